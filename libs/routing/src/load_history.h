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
  static constexpr Duration kBucket = std::chrono::milliseconds(50);
  static constexpr std::int64_t kBuckets = 256;

  std::int64_t Present() const { return present_; }

  void Add(TimePoint now, std::int64_t tokens);

  /** The tokens in flight at `when`, to within one bucket. */
  std::int64_t At(TimePoint when) const;

 private:
  static std::int64_t BucketOf(TimePoint when) {
    return when.time_since_epoch() / kBucket;
  }

  std::int64_t present_ = 0;
  std::int64_t last_ = 0;
  std::array<std::int64_t, kBuckets> at_end_{};
};

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_SRC_LOAD_HISTORY_H_
