#include "http_limits.h"

#include "descriptors.h"

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStoreConnectTimeout{500};
// A server's machine accepts a new connection within a round trip.
constexpr milliseconds kServerConnectTimeout{300};
// A live machine acknowledges bytes within a round trip; one that lost power or
// is behind a network partition never does.
constexpr milliseconds kServerAckTimeout{900};
constexpr milliseconds kStoreAckTimeout{2'000};
// Long enough for packet loss on callers' links, short enough that a caller's
// dead machine does not keep a request alive for long.
constexpr milliseconds kCallerAckTimeout{5'000};
constexpr std::size_t kMaxIdleConnectionsPerServer = 48;
constexpr milliseconds kIdleServerTimeout{20'000};
constexpr milliseconds kIdleStoreTimeout{30'000};
constexpr milliseconds kCallerWriteTimeout{5'000};

}  // namespace

http::ClientLimits StoreLimits() {
  http::ClientLimits limits;
  limits.connect_timeout = kStoreConnectTimeout;
  limits.idle_timeout = kIdleStoreTimeout;
  limits.peer_timeout = kStoreAckTimeout;
  return limits;
}

http::ClientLimits ServerLimits() {
  http::ClientLimits limits;
  limits.connect_timeout = kServerConnectTimeout;
  limits.idle_connections_per_address = kMaxIdleConnectionsPerServer;
  limits.idle_connections =
      ShareDescriptors(DescriptorLimit()).idle_server_connections;
  limits.idle_timeout = kIdleServerTimeout;
  limits.peer_timeout = kServerAckTimeout;
  return limits;
}

http::ServerLimits LimitsOnCallers(const serving::CallerLimits& configured) {
  constexpr int kEnforcedLimitFactor = 2;
  http::ServerLimits limits;
  limits.header_bytes = configured.head_bytes * kEnforcedLimitFactor;
  limits.body_bytes = configured.body_bytes * kEnforcedLimitFactor;
  limits.connections = ShareDescriptors(DescriptorLimit()).caller_connections;
  limits.header_timeout = configured.head_timeout * kEnforcedLimitFactor;
  // Callers reuse connections that were idle for only a fraction of this time.
  limits.idle_timeout = configured.idle_timeout * kEnforcedLimitFactor;
  limits.write_timeout = kCallerWriteTimeout;
  limits.peer_timeout = kCallerAckTimeout;
  return limits;
}

http::ServerLimits ProbeLimits() {
  http::ServerLimits limits;
  limits.connections = ShareDescriptors(DescriptorLimit()).probe_connections;
  return limits;
}

}  // namespace figwell::edge
