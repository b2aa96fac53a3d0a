#ifndef FIGWELL_APPS_LOAD_PLAN_H_
#define FIGWELL_APPS_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "figwell/core.h"

namespace figwell::load {

enum class Arrivals { kPoisson, kBursts };

/** An item of a weighted random choice. */
struct Weighted {
  std::string name;
  double weight = 1;
};

/** A team's key and its weight, the relative share of the requests. */
struct Caller {
  std::string team;
  std::string key;
  double weight = 1;
};

struct LoadOptions {
  std::vector<std::string> targets;  ///< gateways' addresses for callers
  std::vector<Caller> callers;
  std::vector<Weighted> models;
  double requests_per_second = 10;
  std::int64_t requests = 100;
  Arrivals arrivals = Arrivals::kPoisson;
  std::int64_t burst_size = 20;
  double stream_share = 0.5;
  std::int64_t max_tokens = 16;
  std::int64_t prompt_bytes = 200;
  std::uint64_t seed = 1;
};

/** One request of a plan; the indices are into LoadOptions. */
struct PlannedRequest {
  Duration at{0};  ///< from the start of the run
  std::size_t target = 0;
  std::size_t caller = 0;
  std::size_t model = 0;
  bool streamed = false;
};

/** All requests ordered by time; deterministic for a seed. */
std::vector<PlannedRequest> MakePlan(const LoadOptions& options);

}  // namespace figwell::load

#endif  // FIGWELL_APPS_LOAD_PLAN_H_
