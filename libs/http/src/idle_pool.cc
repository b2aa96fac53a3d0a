#include <algorithm>

#include "call.h"

namespace figwell::http {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

// After a dropped connection, the maximum idle time is not lowered below this,
// since the server may have crashed instead. It doubles after each interval.
constexpr milliseconds kShortestIdle{300};
constexpr milliseconds kBoundDoublesAfter{10'000};
constexpr std::int64_t kMostDoublings = 10;

// Whether the connection is open and has no input. Bytes after the last answer
// would belong to no request; the end of the input means that the server has
// closed the connection.
bool IsQuiet(Stream& stream) {
  char byte = 0;
  boost::system::error_code error;
  stream.socket().non_blocking(true, error);
  stream.socket().receive(asio::buffer(&byte, 1),
                          asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

}  // namespace

IdlePool::Clock::duration IdlePool::LongestIdle(Clock::time_point now) const {
  if (!dropped_bound_) {
    return limits_.idle_timeout;
  }
  const auto doublings = std::min<std::int64_t>(
      kMostDoublings, (now - dropped_at_) / kBoundDoublesAfter);
  return std::min<Clock::duration>(limits_.idle_timeout,
                                   *dropped_bound_ * (1LL << doublings));
}

IdlePool::Kept IdlePool::Take(const std::string& address) {
  auto& connections = idle_[address];
  const auto now = Clock::now();
  const auto longest = LongestIdle(now);
  while (!connections.empty()) {
    Idle idle = std::move(connections.back());
    connections.pop_back();
    if (now < idle.until && now - idle.since < longest &&
        IsQuiet(*idle.stream)) {
      return {std::move(idle.stream), now - idle.since};
    }
  }
  return {};
}

void IdlePool::NoteDropped(Clock::duration idle) {
  const auto now = Clock::now();
  dropped_bound_ = std::max<Clock::duration>(
      kShortestIdle, std::min(LongestIdle(now), idle / 2));
  dropped_at_ = now;
}

void IdlePool::Give(const std::string& address, std::unique_ptr<Stream> stream,
                    std::optional<std::chrono::milliseconds> lifetime) {
  const auto kept =
      std::min(lifetime.value_or(limits_.idle_timeout), limits_.idle_timeout);
  if (kept.count() <= 0) {
    return;
  }
  const auto now = Clock::now();
  auto& connections = idle_[address];
  std::erase_if(connections,
                [&](const Idle& idle) { return idle.until <= now; });
  if (connections.size() < limits_.idle_connections_per_address) {
    connections.push_back({std::move(stream), now, now + kept});
  }
}

std::size_t IdlePool::size() const {
  std::size_t total = 0;
  for (const auto& [address, connections] : idle_) {
    total += connections.size();
  }
  return total;
}

}  // namespace figwell::http
