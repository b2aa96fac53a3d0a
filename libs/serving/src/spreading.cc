#include "figwell/serving/spreading.h"

#include <algorithm>
#include <numeric>

namespace figwell::serving {

std::size_t DrawServer(const std::vector<double>& costs_ms,
                       double unreported_ms, double draw) {
  std::vector<std::size_t> by_cost(costs_ms.size());
  std::iota(by_cost.begin(), by_cost.end(), std::size_t{0});
  std::stable_sort(
      by_cost.begin(), by_cost.end(),
      [&](std::size_t a, std::size_t b) { return costs_ms[a] < costs_ms[b]; });
  // The cost up to which the unreported work fills all servers that get any of
  // it.
  double sum = 0;
  double level_ms = 0;
  std::size_t recipients = 0;
  while (recipients < by_cost.size() &&
         (recipients == 0 || costs_ms[by_cost[recipients]] < level_ms)) {
    sum += costs_ms[by_cost[recipients]];
    ++recipients;
    level_ms = (unreported_ms + sum) / static_cast<double>(recipients);
  }
  double remaining_ms = draw * unreported_ms;
  for (std::size_t i = 0; i < recipients; ++i) {
    remaining_ms -= level_ms - costs_ms[by_cost[i]];
    if (remaining_ms < 0) {
      return by_cost[i];
    }
  }
  return by_cost.front();
}

}  // namespace figwell::serving
