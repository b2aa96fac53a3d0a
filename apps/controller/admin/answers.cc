#include "answers.h"

#include <boost/json.hpp>

namespace figwell::admin {
namespace {

namespace json = boost::json;
using Kind = versions::PatchOutcome::Kind;

json::object ErrorObject(std::string_view code, std::string_view message) {
  return {{"error",
           {{"type", "admin_error"}, {"code", code}, {"message", message}}}};
}

json::array FindingsToJson(const Findings& findings) {
  json::array array;
  for (const Finding& finding : findings) {
    array.push_back(
        json::object{{"place", finding.place}, {"message", finding.message}});
  }
  return array;
}

http::Response MakeResponse(int status, const json::object& body,
                            NotRun not_run) {
  http::Response response = http::JsonResponse(status, json::serialize(body));
  if (not_run != NotRun::kUnspecified) {
    response.headers.Add("Figwell-Not-Run",
                         not_run == NotRun::kTrue ? "true" : "unknown");
  }
  return response;
}

}  // namespace

http::Response ErrorResponse(int status, std::string_view code,
                             std::string_view message, NotRun not_run) {
  return MakeResponse(status, ErrorObject(code, message), not_run);
}

http::Response PatchResponse(const PatchId& id,
                             const versions::PatchOutcome& outcome) {
  switch (outcome.kind) {
    case Kind::kAccepted: {
      http::Response response =
          MakeResponse(200, {{"id", id.value()}, {"number", outcome.number}},
                       NotRun::kUnspecified);
      response.headers.Add("ETag", '"' + std::to_string(outcome.number) + '"');
      return response;
    }
    case Kind::kConflict: {
      json::object body =
          ErrorObject("conflict",
                      "the patch was made for another version; the present "
                      "one is " +
                          std::to_string(outcome.number));
      body.emplace("number", outcome.number);
      return MakeResponse(412, body, NotRun::kTrue);
    }
    case Kind::kInvalid: {
      json::object body =
          ErrorObject("invalid", "the patch has faults; see findings");
      body.emplace("findings", FindingsToJson(outcome.findings));
      return MakeResponse(422, body, NotRun::kTrue);
    }
    case Kind::kNotRun:
      return ErrorResponse(503, "unavailable", outcome.message, NotRun::kTrue);
    case Kind::kUnknown:
      break;
  }
  json::object body = ErrorObject("outcome_unknown", outcome.message);
  body.emplace("id", id.value());
  return MakeResponse(504, body, NotRun::kUnknown);
}

http::Response PatchStatusResponse(const PatchId& id,
                                   const versions::PatchStatus& status) {
  json::object body = {{"id", id.value()},
                       {"accepted", status.receipt.has_value()},
                       {"present", status.head}};
  if (status.receipt) {
    body.emplace("number", status.receipt->number);
  }
  return MakeResponse(200, body, NotRun::kUnspecified);
}

http::Response HistoryResponse(
    const std::vector<versions::PatchRecord>& records) {
  json::array patches;
  for (const versions::PatchRecord& record : records) {
    patches.push_back(json::object{{"number", record.number},
                                   {"id", record.id.value()},
                                   {"author", record.author.value()},
                                   {"accepted_at", record.accepted_at},
                                   {"patch", record.merge_patch}});
  }
  return MakeResponse(200, {{"patches", std::move(patches)}},
                      NotRun::kUnspecified);
}

std::string_view Name(Kind kind) {
  switch (kind) {
    case Kind::kAccepted:
      return "accepted";
    case Kind::kConflict:
      return "conflict";
    case Kind::kInvalid:
      return "invalid";
    case Kind::kNotRun:
      return "not_run";
    case Kind::kUnknown:
      return "unknown";
  }
  return "unknown";
}

Result<config::VersionNumber> ParseIfMatch(std::string_view value) {
  if (value.size() > 2 && value.front() == '"' && value.back() == '"') {
    value = value.substr(1, value.size() - 2);
  }
  const Result<std::int64_t> number = ParseInteger(value);
  if (!number || *number < 0) {
    return Fail(ErrorCode::kInvalid, "If-Match must be a version's number");
  }
  return static_cast<config::VersionNumber>(*number);
}

Result<Digest> ParseDenial(std::string_view body) {
  json::error_code error;
  const json::value document = json::parse(body, error);
  const json::object* fields = error ? nullptr : document.if_object();
  const json::value* digest =
      fields == nullptr ? nullptr : fields->if_contains("sha256");
  const json::string* hex = digest == nullptr ? nullptr : digest->if_string();
  if (hex == nullptr) {
    return Fail(ErrorCode::kInvalid, "the body must be {\"sha256\": DIGEST}");
  }
  return DigestFromHex({hex->data(), hex->size()});
}

}  // namespace figwell::admin
