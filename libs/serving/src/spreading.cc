#include "figwell/serving/spreading.h"

#include <algorithm>
#include <numeric>

namespace figwell::serving {

std::size_t DrawServer(const std::vector<double>& costs_ms, double unseen_ms,
                       double draw) {
  std::vector<std::size_t> order(costs_ms.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(
      order.begin(), order.end(),
      [&](std::size_t a, std::size_t b) { return costs_ms[a] < costs_ms[b]; });
  // The cost up to which the unreported work fills all servers that get any of
  // it.
  double sum = 0;
  double common = 0;
  std::size_t sharing = 0;
  while (sharing < order.size() &&
         (sharing == 0 || costs_ms[order[sharing]] < common)) {
    sum += costs_ms[order[sharing]];
    ++sharing;
    common = (unseen_ms + sum) / static_cast<double>(sharing);
  }
  double left = draw * unseen_ms;
  for (std::size_t i = 0; i < sharing; ++i) {
    left -= common - costs_ms[order[i]];
    if (left < 0) {
      return order[i];
    }
  }
  return order.front();
}

}  // namespace figwell::serving
