#include "admin_api.h"

#include "answers.h"

namespace figwell::admin {
namespace {

using telemetry::Event;

constexpr config::VersionNumber kHistoryRecords = 50;
constexpr std::size_t kGeneratedIdBytes = 16;
constexpr std::string_view kPatchesPath = "/v1/patches/";
constexpr std::string_view kBearerPrefix = "Bearer ";

http::Response StoreFailureResponse(const Error& error) {
  return ErrorResponse(503, "unavailable", error.message, NotRun::kTrue);
}

http::Response TextResponse(int status, std::string body) {
  http::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "text/plain; charset=utf-8");
  response.body = std::move(body);
  return response;
}

// Writes one audit event for each patch, accepted or not.
void Audit(const versions::PatchRequest& request,
           const versions::PatchOutcome& outcome) {
  using Kind = versions::PatchOutcome::Kind;
  const Event event = outcome.kind == Kind::kAccepted  ? Event::kPatchAccepted
                      : outcome.kind == Kind::kUnknown ? Event::kPatchUnknown
                                                       : Event::kPatchRefused;
  telemetry::Log(event, "an operator sent a patch",
                 {{"operator", request.author.value()},
                  {"id", request.id.value()},
                  {"base", std::to_string(request.base)},
                  {"number", std::to_string(outcome.number)},
                  {"outcome", std::string(Name(outcome.kind))}});
}

}  // namespace

AdminApi::AdminApi(std::vector<config::Operator> operators,
                   versions::VersionLog& log, telemetry::Registry& metrics,
                   Ports ports)
    : operators_(std::move(operators)),
      log_(log),
      metrics_(metrics),
      ports_(std::move(ports)) {}

void AdminApi::Handle(const http::ExchangePtr& exchange) {
  if (HandleUnauthenticated(exchange)) {
    return;
  }
  const config::Operator* caller = Authenticate(exchange->request());
  if (caller == nullptr) {
    telemetry::Log(Event::kOperatorRefused,
                   "refused a call without a known operator's token",
                   {{"client", exchange->client_address()}});
    exchange->Send(ErrorResponse(
        401, "unauthorized", "an operator's token is needed", NotRun::kTrue));
    return;
  }
  Route(exchange, *caller);
}

bool AdminApi::HandleUnauthenticated(const http::ExchangePtr& exchange) {
  const std::string_view path = http::PathOf(exchange->request().target);
  if (exchange->request().method != "GET") {
    return false;
  }
  if (path == "/healthz") {
    exchange->Send(TextResponse(200, "ok\n"));
  } else if (path == "/readyz") {
    const bool ready = ports_.ready();
    exchange->Send(
        TextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
  } else if (path == "/metrics") {
    exchange->Send(TextResponse(200, metrics_.Render()));
  } else {
    return false;
  }
  return true;
}

const config::Operator* AdminApi::Authenticate(
    const http::Request& request) const {
  std::string_view value = request.headers.Find("Authorization");
  if (!value.starts_with(kBearerPrefix)) {
    return nullptr;
  }
  value.remove_prefix(kBearerPrefix.size());
  return config::FindOperator(operators_, value);
}

void AdminApi::Route(const http::ExchangePtr& exchange,
                     const config::Operator& caller) {
  const http::Request& request = exchange->request();
  const std::string_view path = http::PathOf(request.target);
  const auto is = [&](std::string_view method, std::string_view target) {
    return request.method == method && path == target;
  };
  if (is("GET", "/v1/config")) {
    GetConfiguration(exchange);
  } else if (is("PATCH", "/v1/config")) {
    PatchConfiguration(exchange, caller);
  } else if (is("GET", "/v1/history")) {
    GetHistory(exchange);
  } else if (is("GET", "/v1/status")) {
    ports_.status([exchange](std::string body) {
      exchange->Send(http::JsonResponse(200, std::move(body)));
    });
  } else if (is("POST", "/v1/deny")) {
    Deny(exchange, caller);
  } else if (request.method == "GET" && path.starts_with(kPatchesPath)) {
    GetPatch(exchange, path.substr(kPatchesPath.size()));
  } else {
    exchange->Send(
        ErrorResponse(404, "not_found", "no such call", NotRun::kTrue));
  }
}

// Reads the store first, to return the newest version. If that fails, returns
// the version in force here with a Warning header.
void AdminApi::GetConfiguration(const http::ExchangePtr& exchange) {
  const versions::VersionLog::Read read = log_.NextRead();
  ports_.execute(
      read.transaction,
      [this, exchange, read](const Result<store::TransactionResult>& result) {
        const bool is_current =
            result && log_.ApplyRead(read, *result) != versions::Step::kGap;
        http::Response response =
            http::JsonResponse(200, config::ToJson(*log_.InForce()));
        response.headers.Add("ETag", '"' + std::to_string(log_.Number()) + '"');
        if (!is_current) {
          response.headers.Add("Warning",
                               "110 figwell \"the store was not reached\"");
        }
        exchange->Send(std::move(response));
      });
}

void AdminApi::PatchConfiguration(const http::ExchangePtr& exchange,
                                  const config::Operator& caller) {
  const http::Request& http_request = exchange->request();
  const auto base = ParseIfMatch(http_request.headers.Find("If-Match"));
  if (!base) {
    exchange->Send(ErrorResponse(428, "precondition_required",
                                 base.error().message, NotRun::kTrue));
    return;
  }
  versions::PatchRequest request;
  request.base = *base;
  request.author = caller.name;
  request.merge_patch = http_request.body;
  request.accepted_at = ports_.unix_time();
  request.id =
      PatchId(std::string(http_request.headers.Find("Idempotency-Key")));
  if (request.id.empty()) {
    request.id = PatchId(RandomHex(kGeneratedIdBytes));
  }
  ports_.submit(request, [this, exchange,
                          request](const versions::PatchOutcome& outcome) {
    Audit(request, outcome);
    metrics_
        .GetCounter("figwell_patches_total",
                    telemetry::Label("outcome", Name(outcome.kind)))
        .Add();
    exchange->Send(PatchResponse(request.id, outcome));
  });
}

void AdminApi::GetPatch(const http::ExchangePtr& exchange,
                        std::string_view id_text) {
  const PatchId id{std::string(id_text)};
  ports_.execute(
      versions::PatchStatusQuery(log_.Keys(), id),
      [exchange, id](const Result<store::TransactionResult>& result) {
        const auto status = result.and_then(versions::ReadPatchStatus);
        exchange->Send(status ? PatchStatusResponse(id, *status)
                              : StoreFailureResponse(status.error()));
      });
}

void AdminApi::GetHistory(const http::ExchangePtr& exchange) {
  // The local log may be older than the store's head. The answer then holds
  // more than kHistoryRecords records, and misses none.
  ports_.execute(
      versions::HistoryQuery(log_.Keys(), log_.Number(), kHistoryRecords),
      [exchange](const Result<store::TransactionResult>& result) {
        const auto records = result.and_then(versions::ReadHistory);
        exchange->Send(records ? HistoryResponse(*records)
                               : StoreFailureResponse(records.error()));
      });
}

void AdminApi::Deny(const http::ExchangePtr& exchange,
                    const config::Operator& caller) const {
  const Result<Digest> digest = ParseDenial(exchange->request().body);
  if (!digest) {
    exchange->Send(
        ErrorResponse(422, "invalid", digest.error().message, NotRun::kTrue));
    return;
  }
  const Result<void> denied = ports_.deny(*digest);
  if (!denied) {
    exchange->Send(ErrorResponse(503, "unavailable", denied.error().message,
                                 NotRun::kTrue));
    return;
  }
  telemetry::Log(
      Event::kKeyDenied, "an operator denied a key",
      {{"operator", caller.name.value()}, {"sha256", ToHex(*digest)}});
  exchange->Send(
      http::JsonResponse(200, R"({"denied":")" + ToHex(*digest) + "\"}"));
}

}  // namespace figwell::admin
