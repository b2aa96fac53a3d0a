#include <openssl/evp.h>

#include <algorithm>
#include <limits>

#include "figwell/core.h"

namespace figwell {

std::string ToBase64(std::string_view bytes) {
  constexpr std::size_t kGroupBytes = 3;
  constexpr std::size_t kGroupDigits = 4;
  // OpenSSL appends a zero byte.
  std::string text(
      (bytes.size() + kGroupBytes - 1) / kGroupBytes * kGroupDigits + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

Result<std::string> FromBase64(std::string_view text) {
  constexpr std::size_t kGroupDigits = 4;
  const std::size_t digits = std::min(text.find('='), text.size());
  const std::size_t padding = text.size() - digits;
  const bool valid_padding =
      padding == 0 || text.substr(digits) == "=" || text.substr(digits) == "==";
  if (text.size() % kGroupDigits != 0 || !valid_padding ||
      text.size() > std::numeric_limits<int>::max()) {
    return Fail(ErrorCode::kProtocol, "not base64");
  }
  std::string bytes(text.size(), '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < 0) {
    return Fail(ErrorCode::kProtocol, "not base64");
  }
  // OpenSSL decodes the padding to zero bytes and includes them in `length`.
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

}  // namespace figwell
