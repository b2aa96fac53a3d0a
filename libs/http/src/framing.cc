#include <algorithm>

#include "figwell/http.h"

namespace figwell::http {
namespace {

std::string_view NextLine(std::string_view& rest) {
  const std::size_t end = rest.find("\r\n");
  const std::string_view line = rest.substr(0, end);
  rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 2);
  return line;
}

std::string_view TrimSpaces(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool HasControlCharacter(std::string_view line) {
  return std::any_of(line.begin(), line.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
  });
}

bool IsDecimal(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

// The fields seen so far that determine where a message ends.
struct Framing {
  int content_lengths = 0;
  int transfer_encodings = 0;
  bool valid = true;

  bool IsUnambiguous() const {
    return valid && content_lengths + transfer_encodings <= 1;
  }
};

void RecordField(std::string_view name, std::string_view value,
                 Framing& framing) {
  if (EqualsIgnoreCase(name, "content-length")) {
    ++framing.content_lengths;
    framing.valid = framing.valid && IsDecimal(value);
  }
  if (EqualsIgnoreCase(name, "transfer-encoding")) {
    ++framing.transfer_encodings;
    framing.valid = framing.valid && EqualsIgnoreCase(value, "chunked");
  }
}

std::optional<RejectReason> CheckField(std::string_view line,
                                       Framing& framing) {
  if (line.front() == ' ' || line.front() == '\t') {
    return RejectReason::kAmbiguousFraming;  // obsolete line folding
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0 ||
      HasControlCharacter(line)) {
    return RejectReason::kMalformed;
  }
  const std::string_view name = line.substr(0, colon);
  if (name.find_first_of(" \t") != std::string_view::npos) {
    return RejectReason::kAmbiguousFraming;
  }
  RecordField(name, TrimSpaces(line.substr(colon + 1)), framing);
  return std::nullopt;
}

}  // namespace

std::optional<RejectReason> CheckHead(std::string_view head) {
  std::string_view rest = head;
  const std::string_view request_line = NextLine(rest);
  if (HasControlCharacter(request_line) ||
      !request_line.ends_with(" HTTP/1.1")) {
    return RejectReason::kMalformed;
  }
  Framing framing;
  while (!rest.empty()) {
    const std::string_view line = NextLine(rest);
    if (line.empty()) {
      break;
    }
    if (const auto reason = CheckField(line, framing)) {
      return reason;
    }
  }
  if (!framing.IsUnambiguous()) {
    return RejectReason::kAmbiguousFraming;
  }
  return std::nullopt;
}

}  // namespace figwell::http
