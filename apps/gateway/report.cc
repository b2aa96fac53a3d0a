#include <boost/json.hpp>

#include "report_poller.h"

namespace figwell::gateway {

namespace json = boost::json;

namespace {

const json::value* Member(const json::object& object, const char* name) {
  return object.if_contains(name);
}

std::string TextOf(const json::object& object, const char* name) {
  const json::value* member = Member(object, name);
  return member != nullptr && member->is_string()
             ? std::string(member->get_string())
             : std::string();
}

std::int64_t NumberOf(const json::object& object, const char* name) {
  const json::value* member = Member(object, name);
  return member != nullptr && member->is_int64() ? member->get_int64() : 0;
}

void ReadResident(const json::value& value, routing::ServerReport& report) {
  const auto* entry = value.if_object();
  if (entry == nullptr || TextOf(*entry, "state") != "ready") {
    return;
  }
  report.ready.push_back({ModelId(TextOf(*entry, "model")),
                          VersionId(TextOf(*entry, "version")),
                          AdapterId(TextOf(*entry, "adapter"))});
}

}  // namespace

Result<routing::ServerReport> ParseReport(std::string_view text,
                                          TimePoint arrived) {
  boost::system::error_code error;
  const json::value value =
      json::parse(json::string_view(text.data(), text.size()), error);
  const auto* object = error ? nullptr : value.if_object();
  if (object == nullptr) {
    return Fail(ErrorCode::kProtocol, "the report is not a JSON object");
  }
  routing::ServerReport report;
  report.incarnation = TextOf(*object, "incarnation");
  report.measured_at =
      arrived - std::chrono::milliseconds(NumberOf(*object, "age_ms"));
  report.outstanding_tokens = NumberOf(*object, "outstanding_tokens");
  const json::value* draining = Member(*object, "draining");
  report.draining =
      draining != nullptr && draining->is_bool() && draining->get_bool();
  const json::value* resident = Member(*object, "resident");
  if (resident != nullptr && resident->is_array()) {
    for (const json::value& entry : resident->get_array()) {
      ReadResident(entry, report);
    }
  }
  return report;
}

}  // namespace figwell::gateway
