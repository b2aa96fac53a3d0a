#ifndef FIGWELL_ROUTING_SRC_CALL_RATE_H_
#define FIGWELL_ROUTING_SRC_CALL_RATE_H_

#include <algorithm>
#include <chrono>

#include "figwell/core.h"

namespace figwell::routing {

/** Limits store calls by a token bucket, and by a backoff after failures. */
class CallRateLimiter {
 public:
  static constexpr Duration kMinBackoff = std::chrono::milliseconds(50);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(5);

  CallRateLimiter(double calls_per_second, int burst)
      : interval_(static_cast<std::int64_t>(
            static_cast<double>(Duration(std::chrono::seconds(1)).count()) /
            calls_per_second)),
        burst_credit_(interval_ * std::max(0, burst - 1)) {}

  /** The earliest time of the next call. */
  TimePoint NextCall() const {
    return std::max(full_at_ - burst_credit_, backoff_until_);
  }

  void OnCall(TimePoint now) { full_at_ = std::max(full_at_, now) + interval_; }

  void OnSuccess() { backoff_ = Duration(0); }

  void OnFailure(TimePoint now) {
    backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
    backoff_until_ = now + backoff_;
  }

 private:
  Duration interval_;
  Duration burst_credit_;
  TimePoint full_at_;
  Duration backoff_{0};
  TimePoint backoff_until_;
};

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_SRC_CALL_RATE_H_
