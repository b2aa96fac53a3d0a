#include <algorithm>
#include <iterator>

#include "figwell/placement/controller.h"

namespace figwell::placement {
namespace {

/** One share of `whole` split evenly; the first shares get the remainder. */
std::int64_t PartOf(std::int64_t whole, std::int64_t parts,
                    std::int64_t position) {
  return whole / parts + (position < whole % parts ? 1 : 0);
}

}  // namespace

LoadLimits DomainLimits(const config::Configuration& configuration,
                        const DomainId& domain) {
  std::set<DomainId> domains{domain};
  for (const ServerId& server : EngineServers(configuration)) {
    domains.insert(configuration.servers.at(server).failure_domain);
  }
  const auto parts = static_cast<std::int64_t>(domains.size());
  const std::int64_t position =
      std::distance(domains.begin(), domains.find(domain));
  const config::WeightStore& limits = configuration.weight_store;
  const auto at_least_one = [&](std::int64_t whole) {
    return static_cast<int>(
        std::max<std::int64_t>(1, PartOf(whole, parts, position)));
  };
  return {limits.loads_per_second / static_cast<double>(parts),
          at_least_one(limits.loads_at_once),
          at_least_one(limits.adapters_at_once)};
}

}  // namespace figwell::placement
