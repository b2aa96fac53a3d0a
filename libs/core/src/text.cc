#include <algorithm>
#include <charconv>

#include "figwell/core.h"

namespace figwell {
namespace {

char LowerAscii(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

struct Utf8Sequence {
  std::size_t length;
  std::uint32_t lead_bits;
  std::uint32_t min_code_point;  // a smaller code point would be overlong
};

// The sequence that the byte `lead` begins; length 0 if it begins none.
Utf8Sequence DecodeLeadByte(std::uint8_t lead) {
  if (lead < 0x80) {
    return {1, lead, 0};
  }
  if ((lead & 0xe0U) == 0xc0U) {
    return {2, lead & 0x1fU, 0x80};
  }
  if ((lead & 0xf0U) == 0xe0U) {
    return {3, lead & 0x0fU, 0x800};
  }
  if ((lead & 0xf8U) == 0xf0U) {
    return {4, lead & 0x07U, 0x10000};
  }
  return {0, 0, 0};
}

bool IsSurrogate(std::uint32_t code_point) {
  return code_point >= 0xd800 && code_point <= 0xdfff;
}

constexpr std::uint32_t kMaxCodePoint = 0x10ffff;

}  // namespace

Result<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [position, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || position != end) {
    return Fail(ErrorCode::kInvalid,
                "not an integer: " + std::string(text.substr(0, 40)));
  }
  return number;
}

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](char a, char b) { return LowerAscii(a) == LowerAscii(b); });
}

bool IsValidUtf8(std::string_view text) {
  std::size_t position = 0;
  while (position < text.size()) {
    const Utf8Sequence sequence =
        DecodeLeadByte(static_cast<std::uint8_t>(text[position]));
    if (sequence.length == 0 || position + sequence.length > text.size()) {
      return false;
    }
    std::uint32_t code_point = sequence.lead_bits;
    for (std::size_t i = 1; i < sequence.length; ++i) {
      const auto byte = static_cast<std::uint8_t>(text[position + i]);
      if ((byte & 0xc0U) != 0x80U) {
        return false;
      }
      code_point = code_point << 6U | (byte & 0x3fU);
    }
    if (code_point < sequence.min_code_point || code_point > kMaxCodePoint ||
        IsSurrogate(code_point)) {
      return false;
    }
    position += sequence.length;
  }
  return true;
}

}  // namespace figwell
