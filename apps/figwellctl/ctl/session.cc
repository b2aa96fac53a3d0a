#include "session.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <thread>

namespace figwell::ctl {
namespace {

namespace json = boost::json;

constexpr std::size_t kPatchIdBytes = 16;
constexpr int kMaxChangeAttempts = 5;

Result<json::object> ParseObject(std::string_view body) {
  json::error_code error;
  json::value document = json::parse(body, error);
  if (error || !document.is_object()) {
    return Fail(ErrorCode::kProtocol, "the response is not a JSON object");
  }
  return std::move(document.get_object());
}

std::int64_t NumberField(const json::object& fields, std::string_view name) {
  const json::value* value = fields.if_contains(name);
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

std::string TextField(const json::object& fields, std::string_view name) {
  const json::value* value = fields.if_contains(name);
  const json::string* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? "" : std::string(text->data(), text->size());
}

Findings FindingsField(const json::object& fields) {
  Findings findings;
  const json::value* list = fields.if_contains("findings");
  if (list == nullptr || !list->is_array()) {
    return findings;
  }
  for (const json::value& entry : list->get_array()) {
    if (const json::object* finding = entry.if_object()) {
      findings.push_back(
          {TextField(*finding, "place"), TextField(*finding, "message")});
    }
  }
  return findings;
}

ErrorCode ErrorCodeFromStatus(int status) {
  switch (status) {
    case 401:
      return ErrorCode::kUnauthorized;
    case 404:
      return ErrorCode::kNotFound;
    case 412:
      return ErrorCode::kConflict;
    case 422:
    case 428:
      return ErrorCode::kInvalid;
    case 503:
      return ErrorCode::kUnavailable;
    case 504:
      return ErrorCode::kUnknownOutcome;
    default:
      return ErrorCode::kProtocol;
  }
}

// The error that a response with a status other than 200 reports.
Error ErrorFromResponse(const http::Response& response) {
  Error error{ErrorCodeFromStatus(response.status),
              "HTTP status " + std::to_string(response.status),
              {}};
  const auto body = ParseObject(response.body);
  if (!body) {
    return error;
  }
  if (const json::value* inner = body->if_contains("error");
      inner != nullptr && inner->is_object()) {
    error.message = TextField(inner->get_object(), "message");
  }
  error.findings = FindingsField(*body);
  return error;
}

}  // namespace

std::string NewPatchId() { return "ctl-" + RandomHex(kPatchIdBytes); }

Session::Session(boost::asio::io_context& context, SessionOptions options)
    : context_(context), options_(std::move(options)), client_(context, {}) {}

Result<http::Response> Session::Call(http::Request request, bool modifies) {
  request.headers.Add("Authorization", "Bearer " + options_.token);
  http::CallLimits limits;
  limits.head_timeout = options_.answer_timeout;
  std::optional<tl::expected<http::Response, http::ClientError>> answer;
  client_.Fetch(options_.admin, request, limits,
                [&](auto outcome) { answer = std::move(outcome); });
  context_.restart();
  while (!answer && context_.run_one() > 0) {
  }
  if (!answer || !*answer) {
    const bool had_no_effect =
        !modifies || (answer && answer->error().NothingWasSent());
    return Fail(
        had_no_effect ? ErrorCode::kUnavailable : ErrorCode::kUnknownOutcome,
        options_.admin + ": " +
            (answer ? answer->error().message : std::string("no response")));
  }
  return std::move(**answer);
}

Result<std::string> Session::Get(const std::string& target) {
  const auto response = Call({"GET", target, {}, ""}, /*modifies=*/false);
  if (!response) {
    return tl::unexpected<Error>(response.error());
  }
  if (response->status != 200) {
    return tl::unexpected<Error>(ErrorFromResponse(*response));
  }
  return response->body;
}

Result<config::Configuration> Session::Configuration() {
  const auto response = Call({"GET", "/v1/config", {}, ""}, /*modifies=*/false);
  if (!response) {
    return tl::unexpected<Error>(response.error());
  }
  if (response->status != 200) {
    return tl::unexpected<Error>(ErrorFromResponse(*response));
  }
  std::string_view tag = response->headers.Find("ETag");
  if (tag.size() < 2) {
    return Fail(ErrorCode::kProtocol,
                "the response's ETag holds no version number");
  }
  const auto number = ParseInteger(tag.substr(1, tag.size() - 2));
  if (!number || *number < 0) {
    return Fail(ErrorCode::kProtocol,
                "the response's ETag holds no version number");
  }
  return config::ParseConfiguration(
      response->body, static_cast<config::VersionNumber>(*number));
}

Result<config::VersionNumber> Session::Patch(config::VersionNumber base,
                                             const std::string& id,
                                             const std::string& merge_patch) {
  const auto response =
      Call({"PATCH",
            "/v1/config",
            {{"If-Match", '"' + std::to_string(base) + '"'},
             {"Idempotency-Key", id},
             {"Content-Type", "application/merge-patch+json"}},
            merge_patch},
           /*modifies=*/true);
  if (response && response->status == 200) {
    return ParseObject(response->body).map([](const json::object& body) {
      return static_cast<config::VersionNumber>(NumberField(body, "number"));
    });
  }
  const Error error =
      response ? ErrorFromResponse(*response) : response.error();
  // With these errors the patch may have taken effect; with all others it has
  // not.
  if (error.code == ErrorCode::kUnknownOutcome ||
      error.code == ErrorCode::kProtocol) {
    return QueryOutcome(base, id);
  }
  return tl::unexpected<Error>(error);
}

// Once the present version is newer than the patch's base, a patch that was not
// accepted never will be. While the base is the present version, the patch may
// still arrive and be accepted.
Result<config::VersionNumber> Session::QueryOutcome(config::VersionNumber base,
                                                    const std::string& id) {
  for (int attempt = 0; attempt < options_.max_outcome_queries; ++attempt) {
    const auto body = Get("/v1/patches/" + id).and_then([](const auto& text) {
      return ParseObject(text);
    });
    if (body) {
      const json::value* accepted = body->if_contains("accepted");
      if (accepted != nullptr && accepted->is_bool() && accepted->get_bool()) {
        return static_cast<config::VersionNumber>(NumberField(*body, "number"));
      }
      if (NumberField(*body, "present") > static_cast<std::int64_t>(base)) {
        return Fail(ErrorCode::kConflict,
                    "the patch did not take effect; the present version is " +
                        std::to_string(NumberField(*body, "present")));
      }
    }
    Sleep(options_.outcome_query_interval);
  }
  return Fail(
      ErrorCode::kUnknownOutcome,
      "the outcome of the patch " + id + " is unknown; query it again later");
}

Result<config::VersionNumber> Session::Apply(const Change& change) {
  Result<config::VersionNumber> outcome = Fail(
      ErrorCode::kConflict, "other operators' patches were accepted first");
  for (int attempt = 0; attempt < kMaxChangeAttempts; ++attempt) {
    const auto base = Configuration();
    if (!base) {
      return tl::unexpected<Error>(base.error());
    }
    const Result<std::string> patch = change(*base);
    if (!patch) {
      return tl::unexpected<Error>(patch.error());
    }
    // A patch that failed with kConflict had no effect, so the change can be
    // sent again under a new id.
    outcome = Patch(base->number, NewPatchId(), *patch);
    if (outcome || outcome.error().code != ErrorCode::kConflict) {
      return outcome;
    }
  }
  return outcome;
}

Result<void> Session::Deny(const Digest& digest) {
  const auto response = Call({"POST",
                              "/v1/deny",
                              {{"Content-Type", "application/json"}},
                              R"({"sha256":")" + ToHex(digest) + "\"}"},
                             /*modifies=*/true);
  if (!response) {
    return tl::unexpected<Error>(response.error());
  }
  if (response->status != 200) {
    return tl::unexpected<Error>(ErrorFromResponse(*response));
  }
  return {};
}

void Session::Sleep(std::chrono::milliseconds time) {
  std::this_thread::sleep_for(time);
}

}  // namespace figwell::ctl
