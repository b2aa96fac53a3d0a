#ifndef FIGWELL_BUDGET_EXACT_BUCKET_H_
#define FIGWELL_BUDGET_EXACT_BUCKET_H_

/**
 * Test oracle: one exact bucket for the whole fleet. It starts full and is
 * charged the true cost of each request at the time of its admission. Its level
 * stays at or above zero if and only if at most burst + rate * T tokens are
 * spent in every window of length T.
 */

#include <algorithm>
#include <cstdint>
#include <vector>

#include "figwell/budget.h"

namespace figwell::budget::simulation {

class ExactBucket {
 public:
  explicit ExactBucket(Limit limit) : limit_(limit) {}

  /** Changes the limit in force from `when` on. */
  void SetLimit(TimePoint when, Limit limit) {
    entries_.push_back({when, 0, true, limit});
  }

  /** Records a request. @return its number, for Settle */
  std::size_t Charge(TimePoint when, Tokens cost) {
    entries_.push_back({when, cost, false, {}});
    return entries_.size() - 1;
  }

  /** Sets the true cost of a request that was recorded before. */
  void Settle(std::size_t number, Tokens cost) { entries_[number].cost = cost; }

  /** The minimum level in micro-tokens that the bucket reaches. */
  MicroTokens Lowest() const {
    std::vector<Entry> sorted = entries_;
    std::stable_sort(
        sorted.begin(), sorted.end(),
        [](const Entry& a, const Entry& b) { return a.when < b.when; });
    Limit limit = limit_;
    MicroTokens level = limit.burst * kMicroTokensPerToken;
    MicroTokens min_level = level;
    TimePoint last;
    for (const Entry& entry : sorted) {
      const Duration elapsed =
          last == TimePoint() ? Duration(0) : entry.when - last;
      level = std::min(limit.burst * kMicroTokensPerToken,
                       level + limit.rate * elapsed.count());
      last = entry.when;
      if (entry.is_limit) {
        limit = entry.limit;
        level = std::min(level, limit.burst * kMicroTokensPerToken);
      }
      level -= entry.cost * kMicroTokensPerToken;
      min_level = std::min(min_level, level);
    }
    return min_level;
  }

 private:
  struct Entry {
    TimePoint when;
    Tokens cost = 0;
    bool is_limit = false;
    Limit limit;
  };

  Limit limit_;
  std::vector<Entry> entries_;
};

}  // namespace figwell::budget::simulation

#endif  // FIGWELL_BUDGET_EXACT_BUCKET_H_
