#include "address.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <sstream>

#include "figwell/http.h"

namespace figwell::http {
namespace {

constexpr std::int64_t kMaxPort = 65535;

// Keep-alive probes that may stay unanswered before the connection fails.
constexpr int kMaxLostProbes = 2;

void SetOption(int socket, int level, int name, int value) {
  // A kernel that lacks one of these options keeps its own, longer timeouts.
  (void)setsockopt(socket, level, name, &value, sizeof(value));
}

std::string WithoutBrackets(const std::string& host) {
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return host.substr(1, host.size() - 2);
  }
  return host;
}

}  // namespace

Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return Fail(ErrorCode::kInvalid, "expected IP:PORT, got " + address);
  }
  const auto port = ParseInteger(std::string_view{address}.substr(colon + 1));
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(
      WithoutBrackets(address.substr(0, colon)), error);
  if (error || !port || *port < 0 || *port > kMaxPort) {
    return Fail(ErrorCode::kInvalid, "expected IP:PORT, got " + address);
  }
  return boost::asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(*port));
}

bool IsServerAddress(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  return endpoint && endpoint->port() != 0;
}

std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

void SetPeerTimeout(boost::asio::ip::tcp::socket& socket,
                    std::chrono::milliseconds timeout) {
  if (timeout.count() <= 0) {
    return;
  }
  const int handle = socket.native_handle();
  const int seconds = static_cast<int>(std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::seconds>(timeout).count() /
             (kMaxLostProbes + 1)));
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(timeout.count()));
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kMaxLostProbes);
}

}  // namespace figwell::http
