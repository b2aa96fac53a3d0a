#ifndef FIGWELL_BENCHMARK_PLACEMENT_POLICIES_H_
#define FIGWELL_BENCHMARK_PLACEMENT_POLICIES_H_

/** figwell's planner and the baselines, all with the same input and limits. */

#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "figwell/placement.h"

namespace figwell::placement::benchmark {

/**
 * Plans the moves of one domain. They are executed in order, and a load needs
 * enough free memory at that point.
 */
class Policy {
 public:
  Policy() = default;
  Policy(const Policy&) = delete;
  Policy& operator=(const Policy&) = delete;
  virtual ~Policy() = default;
  virtual std::vector<Move> Decide(TimePoint now, const PlanInput& input) = 0;
};

enum class PolicyKind { kFigwell, kStatic, kLeastRecentlyUsed, kGreedy };

std::string_view Name(PolicyKind kind);
std::unique_ptr<Policy> MakePolicy(PolicyKind kind);

}  // namespace figwell::placement::benchmark

#endif  // FIGWELL_BENCHMARK_PLACEMENT_POLICIES_H_
