#ifndef FIGWELL_APPS_GATEWAY_DEMAND_H_
#define FIGWELL_APPS_GATEWAY_DEMAND_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

#include "figwell/config.h"
#include "figwell/placement.h"

namespace figwell::gateway {

/** Sums the tokens that callers request, by target. Thread-safe. */
class Demand {
 public:
  void Record(config::ModelTarget target, std::uint64_t tokens);

  /**
   * Returns the demand since the last call, as reports that each fit into one
   * message between peers, and resets the sums.
   */
  std::vector<placement::DemandReport> TakeReports(
      const InstanceId& gateway, std::chrono::milliseconds interval);

 private:
  std::mutex mutex_;
  std::map<config::ModelTarget, std::uint64_t> tokens_;
  std::uint64_t sequence_ = 0;
};

}  // namespace figwell::gateway

#endif  // FIGWELL_APPS_GATEWAY_DEMAND_H_
