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
  static constexpr Duration kFirstOpen = std::chrono::seconds(2);
  static constexpr Duration kLongestOpen = std::chrono::seconds(60);

  /** Whether new work should go elsewhere. */
  bool Blocks(TimePoint now) const {
    return now < open_until_ || (probing_ && probe_out_);
  }

  /** Whether it has opened and there was no success since. */
  bool IsProbing() const { return probing_; }

  void OnBegin() { probe_out_ = probing_; }

  /** On a result that says nothing about health, allows another probe. */
  void OnNothing() { probe_out_ = false; }

  void OnSuccess() { *this = Breaker(); }

  /** @return true if this failure opened it. */
  bool OnFailure(TimePoint now, int threshold) {
    probe_out_ = false;
    ++failures_;
    if (now < open_until_ || (!probing_ && failures_ < threshold)) {
      return false;
    }
    open_until_ = now + OpenTime();
    ++openings_;
    probing_ = true;
    return true;
  }

 private:
  Duration OpenTime() const {
    constexpr int kMostDoublings = 5;
    return std::min(kLongestOpen,
                    kFirstOpen * (1 << std::min(openings_, kMostDoublings)));
  }

  TimePoint open_until_;
  int failures_ = 0;
  int openings_ = 0;
  bool probing_ = false;
  bool probe_out_ = false;
};

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_SRC_BREAKER_H_
