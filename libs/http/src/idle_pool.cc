#include <algorithm>

#include "call.h"

namespace figwell::http {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

// The bound on idle time after a dropped connection is never below this, since
// a server may also have crashed; it doubles after each such interval.
constexpr milliseconds kShortestIdle{300};
constexpr milliseconds kBoundDoublesAfter{10'000};
constexpr std::int64_t kMostDoublings = 10;
// Resets at once, of so many servers within one such interval, have a common
// cause.
constexpr std::size_t kSharedCause = 3;
// A round trip between failure domains, and room for a busy machine.
constexpr milliseconds kAtOnce{10};

// Whether nothing has happened on the connection since its last answer. Bytes
// would belong to no request of ours; an end means that the server closed it.
bool IsQuiet(Stream& stream) {
  char byte = 0;
  boost::system::error_code error;
  stream.socket().non_blocking(true, error);
  stream.socket().receive(asio::buffer(&byte, 1),
                          asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

}  // namespace

IdlePool::Clock::duration IdlePool::Longest(const Bound& bound,
                                            Clock::time_point now) const {
  const auto doublings = std::min<std::int64_t>(
      kMostDoublings, (now - bound.since) / kBoundDoublesAfter);
  return std::min<Clock::duration>(limits_.idle_timeout,
                                   bound.longest * (1LL << doublings));
}

IdlePool::Bound IdlePool::Shorter(const std::optional<Bound>& bound,
                                  Clock::duration idle,
                                  Clock::time_point now) const {
  const Clock::duration longest =
      bound ? Longest(*bound, now) : Clock::duration(limits_.idle_timeout);
  return {std::max<Clock::duration>(kShortestIdle, std::min(longest, idle / 2)),
          now};
}

IdlePool::Clock::duration IdlePool::LongestIdle(const std::string& address,
                                                Clock::time_point now) const {
  Clock::duration longest = limits_.idle_timeout;
  if (shared_bound_) {
    longest = std::min(longest, Longest(*shared_bound_, now));
  }
  const auto own = bounds_.find(address);
  return own == bounds_.end() ? longest
                              : std::min(longest, Longest(own->second, now));
}

IdlePool::Kept IdlePool::Take(const std::string& address) {
  auto& connections = idle_[address];
  const auto now = Clock::now();
  const auto longest = LongestIdle(address, now);
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

void IdlePool::NoteDropped(const std::string& address, Clock::duration idle,
                           Clock::duration waited) {
  const auto now = Clock::now();
  std::erase_if(bounds_, [&](const auto& item) {
    return Longest(item.second, now) >= limits_.idle_timeout;
  });
  const auto own = bounds_.find(address);
  bounds_.insert_or_assign(
      address,
      Shorter(own == bounds_.end() ? std::nullopt : std::optional(own->second),
              idle, now));
  if (waited > kAtOnce) {
    return;
  }
  resets_[address] = now;
  std::erase_if(resets_, [&](const auto& item) {
    return now - item.second >= kBoundDoublesAfter;
  });
  if (resets_.size() >= kSharedCause) {
    shared_bound_ = Shorter(shared_bound_, idle, now);
  }
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
