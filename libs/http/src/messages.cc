#include <algorithm>

#include "figwell/http.h"

namespace figwell::http {

std::string_view Headers::Find(std::string_view name) const {
  for (const HeaderField& field : fields_) {
    if (EqualsIgnoreCase(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

bool Headers::Contains(std::string_view name) const { return Count(name) > 0; }

std::size_t Headers::Count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields_.begin(), fields_.end(), [&](const HeaderField& field) {
        return EqualsIgnoreCase(field.name, name);
      }));
}

void Headers::Add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

Response JsonResponse(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string_view Name(RejectReason reason) {
  switch (reason) {
    case RejectReason::kMalformed:
      return "malformed";
    case RejectReason::kAmbiguousFraming:
      return "ambiguous_framing";
    case RejectReason::kHeaderTooLarge:
      return "header_too_large";
    case RejectReason::kBodyTooLarge:
      return "body_too_large";
    case RejectReason::kTimeout:
      return "read_timeout";
    case RejectReason::kTooManyConnections:
      return "too_many_connections";
    case RejectReason::kTooManyBytes:
      return "too_many_bytes";
  }
  return "malformed";
}

std::string_view Name(Stage stage) {
  switch (stage) {
    case Stage::kResolve:
      return "resolve";
    case Stage::kConnect:
      return "connect";
    case Stage::kFirstByte:
      return "first_byte";
    case Stage::kPartlyWritten:
      return "partly_written";
    case Stage::kWritten:
      return "written";
    case Stage::kHead:
      return "head";
    case Stage::kBody:
      return "body";
  }
  return "body";
}

}  // namespace figwell::http
