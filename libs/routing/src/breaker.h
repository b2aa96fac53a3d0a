#ifndef FIGWELL_ROUTING_SRC_BREAKER_H_
#define FIGWELL_ROUTING_SRC_BREAKER_H_

#include <algorithm>
#include <chrono>

#include "figwell/core.h"

namespace figwell::routing {

/**
 * A circuit breaker: opens after consecutive failures, allows one probe when
 * its open time is over, and closes on the first success. Each opening without
 * a success in between doubles the open time.
 */
class Breaker {
 public:
  static constexpr Duration kMinOpenTime = std::chrono::seconds(2);
  static constexpr Duration kMaxOpenTime = std::chrono::seconds(60);

  /** Whether new work should go elsewhere. */
  bool Blocks(TimePoint now) const {
    return now < open_until_ || (has_opened_ && probe_in_flight_);
  }

  /** Whether it has opened and there was no success since. */
  bool HasOpened() const { return has_opened_; }

  void OnAttemptStarted() { probe_in_flight_ = has_opened_; }

  /** On a result that says nothing about health, allows another probe. */
  void OnInconclusive() { probe_in_flight_ = false; }

  void OnSuccess() { *this = Breaker(); }

  /** @return true if this failure opened it. */
  bool OnFailure(TimePoint now, int threshold) {
    probe_in_flight_ = false;
    ++failures_;
    if (now < open_until_ || (!has_opened_ && failures_ < threshold)) {
      return false;
    }
    open_until_ = now + OpenTime();
    ++openings_;
    has_opened_ = true;
    return true;
  }

 private:
  Duration OpenTime() const {
    constexpr int kMaxDoublings = 5;
    return std::min(kMaxOpenTime,
                    kMinOpenTime * (1 << std::min(openings_, kMaxDoublings)));
  }

  TimePoint open_until_;
  int failures_ = 0;
  int openings_ = 0;
  bool has_opened_ = false;
  bool probe_in_flight_ = false;
};

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_SRC_BREAKER_H_
