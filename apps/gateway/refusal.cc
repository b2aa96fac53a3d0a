#include "refusal.h"

#include <boost/json.hpp>

namespace figwell::gateway {
namespace {

struct RefusalInfo {
  std::string_view code;
  int status;
  std::string_view type;
};

// Indexed by Refusal.
constexpr std::array<RefusalInfo, kRefusals> kRefusalInfos = {{
    {"missing_key", 401, "authentication_error"},
    {"unknown_key", 401, "authentication_error"},
    {"model_not_found", 404, "invalid_request_error"},
    {"not_found", 404, "invalid_request_error"},
    {"not_allowed", 403, "permission_error"},
    {"rate_limited", 429, "rate_limit_error"},
    {"request_too_large", 413, "invalid_request_error"},
    {"bad_request", 400, "invalid_request_error"},
    {"overloaded", 503, "server_error"},
    {"no_server", 503, "server_error"},
    {"deadline", 504, "server_error"},
    {"backend_failed", 502, "server_error"},
    {"outcome_unknown", 502, "server_error"},
    {"idempotency_conflict", 409, "invalid_request_error"},
    {"draining", 503, "server_error"},
    {"isolated", 503, "server_error"},
    {"store_unavailable", 503, "server_error"},
}};

const RefusalInfo& InfoOf(Refusal refusal) {
  return kRefusalInfos[static_cast<std::size_t>(refusal)];
}

}  // namespace

std::string_view CodeOf(Refusal refusal) { return InfoOf(refusal).code; }

int StatusOf(Refusal refusal) { return InfoOf(refusal).status; }

Refusal RefusalFromCode(std::string_view code) {
  for (std::size_t i = 0; i < kRefusalInfos.size(); ++i) {
    if (kRefusalInfos[i].code == code) {
      return static_cast<Refusal>(i);
    }
  }
  return Refusal::kOutcomeUnknown;
}

std::string ErrorObject(Refusal refusal, std::string_view message) {
  const RefusalInfo& info = InfoOf(refusal);
  return boost::json::serialize(boost::json::value{
      {"error",
       {{"type", info.type}, {"code", info.code}, {"message", message}}}});
}

http::Response MakeRefusal(Refusal refusal, NotRun not_run,
                           std::string_view message,
                           std::optional<std::int64_t> retry_after_s) {
  http::Response response =
      http::JsonResponse(StatusOf(refusal), ErrorObject(refusal, message));
  response.headers.Add("Figwell-Not-Run",
                       not_run == NotRun::kCertain ? "true" : "unknown");
  if (retry_after_s) {
    response.headers.Add("Retry-After", std::to_string(*retry_after_s));
  }
  return response;
}

}  // namespace figwell::gateway
