#ifndef FIGWELL_BENCHMARK_PLACEMENT_REPLAY_H_
#define FIGWELL_BENCHMARK_PLACEMENT_REPLAY_H_

/** Runs one policy over one fleet and one workload in virtual time. */

#include <cstdint>

#include "fleet.h"
#include "policies.h"

namespace figwell::placement::benchmark {

/** Results of a run, without the warm-up in which the empty fleet fills. */
struct Outcome {
  double requested = 0;
  double served = 0;
  double accelerator_seconds = 0;
  /** Loads of models, without those of adapters. */
  std::int64_t moves = 0;
  std::int64_t bytes_moved = 0;
  /** Least ratio, over teams, of demand served to demand. */
  double min_team_ratio = 1;
  /** Model-seconds without a ready replica in any domain. */
  std::int64_t unreachable_model_seconds = 0;
  /** The same, summed over the domains that must hold the model. */
  std::int64_t unreachable_domain_seconds = 0;
  /** Moves that were dropped because memory does not allow them. */
  std::int64_t dropped_moves = 0;
};

Outcome Replay(const FleetSize& size, const config::Configuration& fleet,
               PolicyKind kind, double load_fraction, std::uint64_t seed);

}  // namespace figwell::placement::benchmark

#endif  // FIGWELL_BENCHMARK_PLACEMENT_REPLAY_H_
