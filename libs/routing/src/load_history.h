#ifndef FIGWELL_ROUTING_SRC_LOAD_HISTORY_H_
#define FIGWELL_ROUTING_SRC_LOAD_HISTORY_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "figwell/core.h"

namespace figwell::routing {

/**
 * The tokens that this gateway has in flight at one server, now and at any
 * time within the last 12.8 s. Fixed memory, no allocation.
 */
class LoadHistory {
 public:
  static constexpr Duration kBucketDuration = std::chrono::milliseconds(50);
  static constexpr std::int64_t kBucketCount = 256;

  std::int64_t Current() const { return current_; }

  void Add(TimePoint now, std::int64_t tokens);

  /** The tokens in flight at `when`, to within one bucket. */
  std::int64_t At(TimePoint when) const;

 private:
  static std::int64_t BucketOf(TimePoint when) {
    return when.time_since_epoch() / kBucketDuration;
  }

  std::int64_t current_ = 0;
  std::int64_t last_bucket_ = 0;
  std::array<std::int64_t, kBucketCount> at_bucket_end_{};
};

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_SRC_LOAD_HISTORY_H_
