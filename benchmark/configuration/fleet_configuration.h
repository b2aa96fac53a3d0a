#ifndef FIGWELL_BENCHMARK_CONFIGURATION_FLEET_CONFIGURATION_H_
#define FIGWELL_BENCHMARK_CONFIGURATION_FLEET_CONFIGURATION_H_

#include "figwell/config.h"

namespace figwell::bench {

struct FleetSize {
  int teams = 200;
  int keys_per_team = 3;
  int models = 940;
  int adapters_per_model = 2;
  int servers = 2'700;
  int domains = 10;
};

/** Returns a valid configuration of the given size. */
config::Configuration MakeConfiguration(const FleetSize& size);

}  // namespace figwell::bench

#endif  // FIGWELL_BENCHMARK_CONFIGURATION_FLEET_CONFIGURATION_H_
