#include "figwell/core.h"

namespace figwell {

std::string FormatFindings(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += finding.place;
    text += ": ";
    text += finding.message;
    text += '\n';
  }
  return text;
}

std::string_view Name(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return "invalid";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnauthorized:
      return "unauthorized";
    case ErrorCode::kTooLarge:
      return "too_large";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kUnknownOutcome:
      return "unknown_outcome";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kProtocol:
      return "protocol";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::ostream& operator<<(std::ostream& out, const Error& error) {
  out << Name(error.code) << ": " << error.message;
  if (!error.findings.empty()) {
    out << '\n' << FormatFindings(error.findings);
  }
  return out;
}

tl::unexpected<Error> Fail(ErrorCode code, std::string message) {
  return tl::unexpected<Error>(Error{code, std::move(message), {}});
}

tl::unexpected<Error> Fail(Findings findings) {
  std::string message = findings.empty() ? "" : findings.front().message;
  return tl::unexpected<Error>(
      Error{ErrorCode::kInvalid, std::move(message), std::move(findings)});
}

}  // namespace figwell
