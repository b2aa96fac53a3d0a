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
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return {};
  }
  auto& connections = found->second;
  const auto now = Clock::now();
  const auto max_idle_time = MaxIdleTime(now);
  PooledConnection usable;
  while (!connections.empty() && !usable.stream) {
    IdleConnection idle = std::move(connections.back());
    connections.pop_back();
    --size_;
    if (now < idle.usable_until && now - idle.idle_since < max_idle_time &&
        IsOpenWithoutInput(*idle.stream)) {
      usable = {std::move(idle.stream), now - idle.idle_since};
    }
  }
  if (connections.empty()) {
    idle_.erase(found);
  }
  return usable;
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
  size_ -= std::erase_if(connections, [&](const IdleConnection& idle) {
    return idle.usable_until <= now;
  });
  if (connections.size() < limits_.idle_connections_per_address) {
    connections.push_back({std::move(stream), now, now + reuse_period});
    ++size_;
  }
  if (connections.empty()) {
    idle_.erase(address);
  }
  while (size_ > limits_.idle_connections && CloseOldest()) {
  }
  ScheduleSweep();
}

bool IdlePool::CloseOldest() {
  const auto oldest = std::min_element(
      idle_.begin(), idle_.end(), [](const auto& a, const auto& b) {
        return a.second.front().idle_since < b.second.front().idle_since;
      });
  if (oldest == idle_.end()) {
    return false;
  }
  oldest->second.erase(oldest->second.begin());
  --size_;
  if (oldest->second.empty()) {
    idle_.erase(oldest);
  }
  return true;
}

bool IdlePool::MakeRoom(const std::string& error) {
  if (CloseOldest()) {
    return true;
  }
  if (on_shortage_) {
    on_shortage_(error);
  }
  return false;
}

void IdlePool::Clear() {
  idle_.clear();
  size_ = 0;
  sweep_timer_.cancel();
}

void IdlePool::ScheduleSweep() {
  if (sweep_scheduled_ || size_ == 0) {
    return;
  }
  sweep_scheduled_ = true;
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        if (const auto self = weak.lock(); self && !error) {
          self->Sweep();
        }
      });
}

void IdlePool::Sweep() {
  sweep_scheduled_ = false;
  const auto now = Clock::now();
  const auto max_idle_time = MaxIdleTime(now);
  const auto is_useless = [&](const IdleConnection& idle) {
    const auto idle_time = now - idle.idle_since;
    // One in regular use is looked at when it is used.
    return now >= idle.usable_until || idle_time >= max_idle_time ||
           (idle_time >= kSweepInterval && !IsOpenWithoutInput(*idle.stream));
  };
  for (auto& [address, connections] : idle_) {
    size_ -= std::erase_if(connections, is_useless);
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
  ScheduleSweep();
}

}  // namespace figwell::http
