#include <algorithm>
#include <iterator>

#include "figwell/placement/controller.h"

namespace figwell::placement {
namespace {

/** One share of `total` split evenly; the first shares get the remainder. */
std::int64_t ShareOf(std::int64_t total, std::int64_t shares,
                     std::int64_t position) {
  return total / shares + (position < total % shares ? 1 : 0);
}

}  // namespace

LoadLimits DomainLimits(const config::Configuration& configuration,
                        const DomainId& domain) {
  std::set<DomainId> domains{domain};
  for (const ServerId& server : EngineServers(configuration)) {
    domains.insert(configuration.servers.at(server).failure_domain);
  }
  const auto shares = static_cast<std::int64_t>(domains.size());
  const std::int64_t position =
      std::distance(domains.begin(), domains.find(domain));
  const config::WeightStore& limits = configuration.weight_store;
  const auto at_least_one = [&](std::int64_t total) {
    return static_cast<int>(
        std::max<std::int64_t>(1, ShareOf(total, shares, position)));
  };
  return {limits.loads_per_second / static_cast<double>(shares),
          at_least_one(limits.loads_at_once),
          at_least_one(limits.adapters_at_once)};
}

}  // namespace figwell::placement
