#include <algorithm>

#include "call.h"

namespace figwell::http {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

// After a dropped connection, the maximum idle time is not lowered below this,
// since the server may have crashed instead. It doubles after each interval.
constexpr milliseconds kMaxIdleTimeFloor{300};
constexpr milliseconds kMaxIdleTimeDoublingInterval{10'000};
constexpr std::int64_t kMaxDoublings = 10;

// Whether the connection is open and has no input. Bytes after the last answer
// would belong to no request; the end of the input means that the server has
// closed the connection.
bool IsOpenWithoutInput(Stream& stream) {
  char byte = 0;
  boost::system::error_code error;
  stream.socket().non_blocking(true, error);
  stream.socket().receive(asio::buffer(&byte, 1),
                          asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

}  // namespace

IdlePool::Clock::duration IdlePool::MaxIdleTime(Clock::time_point now) const {
  if (!max_idle_time_) {
    return limits_.idle_timeout;
  }
  const auto doublings =
      std::min<std::int64_t>(kMaxDoublings, (now - max_idle_time_set_at_) /
                                                kMaxIdleTimeDoublingInterval);
  return std::min<Clock::duration>(limits_.idle_timeout,
                                   *max_idle_time_ * (1LL << doublings));
}

IdlePool::PooledConnection IdlePool::Acquire(const std::string& address) {
  auto& connections = idle_[address];
  const auto now = Clock::now();
  const auto max_idle_time = MaxIdleTime(now);
  while (!connections.empty()) {
    IdleConnection idle = std::move(connections.back());
    connections.pop_back();
    if (now < idle.usable_until && now - idle.idle_since < max_idle_time &&
        IsOpenWithoutInput(*idle.stream)) {
      return {std::move(idle.stream), now - idle.idle_since};
    }
  }
  return {};
}

void IdlePool::RecordDropped(Clock::duration idle_time) {
  const auto now = Clock::now();
  max_idle_time_ = std::max<Clock::duration>(
      kMaxIdleTimeFloor, std::min(MaxIdleTime(now), idle_time / 2));
  max_idle_time_set_at_ = now;
}

void IdlePool::Release(const std::string& address,
                       std::unique_ptr<Stream> stream,
                       std::optional<std::chrono::milliseconds> lifetime) {
  const auto reuse_period =
      std::min(lifetime.value_or(limits_.idle_timeout), limits_.idle_timeout);
  if (reuse_period.count() <= 0) {
    return;
  }
  const auto now = Clock::now();
  auto& connections = idle_[address];
  std::erase_if(connections, [&](const IdleConnection& idle) {
    return idle.usable_until <= now;
  });
  if (connections.size() < limits_.idle_connections_per_address) {
    connections.push_back({std::move(stream), now, now + reuse_period});
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
