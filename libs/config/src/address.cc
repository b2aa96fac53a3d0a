#include "address.h"

#include <arpa/inet.h>

#include <array>
#include <string>

#include "figwell/core.h"

namespace figwell::config {
namespace {

constexpr std::int64_t kMaxPort = 65'535;
constexpr std::size_t kMaxPortDigits = 5;

bool IsIp(int family, std::string_view text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(family, std::string(text).c_str(), bytes.data()) == 1;
}

bool IsHost(std::string_view host) {
  if (host.find('\0') != std::string_view::npos) {
    return false;
  }
  if (host.starts_with('[') && host.ends_with(']')) {
    return IsIp(AF_INET6, host.substr(1, host.size() - 2));
  }
  return IsIp(AF_INET, host);
}

}  // namespace

bool IsIpAndPort(std::string_view text, bool allow_port_zero) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string_view digits = text.substr(colon + 1);
  const Result<std::int64_t> port = ParseInteger(digits);
  const std::int64_t lowest = allow_port_zero ? 0 : 1;
  return port && digits.size() <= kMaxPortDigits && *port >= lowest &&
         *port <= kMaxPort && IsHost(text.substr(0, colon));
}

}  // namespace figwell::config
