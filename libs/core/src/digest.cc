#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "figwell/core.h"

namespace figwell {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

std::string BytesToHex(std::span<const std::uint8_t> bytes) {
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const std::uint8_t byte : bytes) {
    hex += kHexDigits[byte >> 4U];
    hex += kHexDigits[byte & 0x0fU];
  }
  return hex;
}

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  if (digit >= 'A' && digit <= 'F') {
    return digit - 'A' + 10;
  }
  return -1;
}

const unsigned char* AsBytes(std::string_view data) {
  return reinterpret_cast<const unsigned char*>(data.data());
}

}  // namespace

Digest Sha256(std::string_view data) {
  Digest digest;
  EVP_Digest(data.data(), data.size(), digest.bytes.data(), nullptr,
             EVP_sha256(), nullptr);
  return digest;
}

Digest HmacSha256(std::string_view secret, std::string_view data) {
  Digest digest;
  unsigned int length = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       AsBytes(data), data.size(), digest.bytes.data(), &length);
  return digest;
}

bool ConstantTimeEqual(const Digest& left, const Digest& right) {
  return CRYPTO_memcmp(left.bytes.data(), right.bytes.data(), kDigestBytes) ==
         0;
}

std::string ToHex(const Digest& digest) { return BytesToHex(digest.bytes); }

Result<Digest> DigestFromHex(std::string_view hex) {
  if (hex.size() != kDigestBytes * 2) {
    return Fail(ErrorCode::kInvalid, "expected 64 hexadecimal digits");
  }
  Digest digest;
  for (std::size_t i = 0; i < kDigestBytes; ++i) {
    const int high = HexValue(hex[2 * i]);
    const int low = HexValue(hex[2 * i + 1]);
    if (high < 0 || low < 0) {
      return Fail(ErrorCode::kInvalid, "expected 64 hexadecimal digits");
    }
    digest.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return digest;
}

std::ostream& operator<<(std::ostream& out, const Digest& digest) {
  return out << ToHex(digest);
}

std::string RandomHex(std::size_t bytes) {
  std::vector<std::uint8_t> buffer(bytes);
  RAND_bytes(buffer.data(), static_cast<int>(bytes));
  return BytesToHex(buffer);
}

}  // namespace figwell
