#ifndef FIGWELL_SERVING_TESTS_CHARGES_H_
#define FIGWELL_SERVING_TESTS_CHARGES_H_

#include <algorithm>
#include <utility>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"

namespace figwell::serving {

/** Charges of a fleet to one team, in order of time. */
class Charges {
 public:
  void Add(TimePoint at, Tokens cost) { charges_.emplace_back(at, cost); }

  /** The largest sum of charges in any window of that length. */
  Tokens MaxInWindow(Duration window) const {
    Tokens max_sum = 0;
    Tokens sum = 0;
    std::size_t first = 0;
    for (const auto& [at, cost] : charges_) {
      sum += cost;
      while (charges_[first].first + window < at) {
        sum -= charges_[first++].second;
      }
      max_sum = std::max(max_sum, sum);
    }
    return max_sum;
  }

  Tokens Between(TimePoint from, TimePoint to) const {
    Tokens sum = 0;
    for (const auto& [at, cost] : charges_) {
      sum += at >= from && at < to ? cost : 0;
    }
    return sum;
  }

  Tokens Total() const { return Between(TimePoint::min(), TimePoint::max()); }

 private:
  std::vector<std::pair<TimePoint, Tokens>> charges_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_TESTS_CHARGES_H_
