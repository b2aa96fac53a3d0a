#ifndef FIGWELL_BENCHMARK_PLACEMENT_FLEET_H_
#define FIGWELL_BENCHMARK_PLACEMENT_FLEET_H_

/** Seeded fleets of the users' sizes and the demand on them. */

#include <cstdint>
#include <string>
#include <vector>

#include "figwell/placement.h"

namespace figwell::placement::benchmark {

struct FleetSize {
  std::string name;
  std::size_t domains = 0;
  std::size_t servers = 0;
  std::size_t models = 0;
  std::size_t adapters = 0;
  std::size_t teams = 5;
  std::int64_t loads_at_once = 0;
  double loads_per_second = 2;
  std::int64_t adapters_at_once = 0;
};

FleetSize RahnumaSize();
FleetSize KaracaSize();
FleetSize LargeSize();

config::Configuration MakeFleet(const FleetSize& size, std::uint64_t seed,
                                double fairness);

/**
 * The demand for each model over time. A few models have much more demand than
 * the others, and each has bursts. After 40 minutes the demand shifts within
 * ten minutes: it falls tenfold for the eighth of the models with the highest
 * rates, and rises tenfold for another eighth.
 */
class Workload {
 public:
  Workload(const config::Configuration& configuration, double tokens_per_second,
           std::uint64_t seed);

  static constexpr std::int64_t kStepSeconds = 2;

  /**
   * Returns the demand in tokens per second over the whole fleet. `second` must
   * not decrease from call to call.
   */
  Demand At(std::int64_t second);

  static constexpr std::int64_t kRunSeconds = 7'200;
  static constexpr std::int64_t kShiftStartSecond = 2'400;
  static constexpr std::int64_t kShiftSeconds = 600;

 private:
  struct Source {
    Item item;
    double rate = 0;
    double shift = 1;
    bool bursting = false;
    std::int64_t burst_changes_at = 0;
  };

  Random random_;
  std::vector<Source> sources_;
};

}  // namespace figwell::placement::benchmark

#endif  // FIGWELL_BENCHMARK_PLACEMENT_FLEET_H_
