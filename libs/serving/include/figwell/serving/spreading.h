#ifndef FIGWELL_SERVING_SPREADING_H_
#define FIGWELL_SERVING_SPREADING_H_

/**
 * Chooses among servers by costs that other instances use too; see serving.h.
 */

#include <cstddef>
#include <vector>

namespace figwell::serving {

/**
 * Spreads requests that instances send before they receive each other's load
 * reports. All instances see the same costs; if each chose the lowest, all
 * would choose the same server. Each instance draws a server at random instead.
 * A server's probability is the share of the unreported work that it would get
 * if that work were divided so that all servers that get any end up equally
 * loaded. Without unreported work, the result is the server with the lowest
 * cost.
 *
 * Handles demand for a model that moves to a few replicas, or to one that has
 * just been loaded, while load reports are some hundred milliseconds old.
 *
 * @param costs_ms expected time at each server; not empty
 * @param unreported_ms total time that the servers need for the unreported work
 * @param draw uniformly distributed in [0, 1)
 * @return index of the chosen server
 */
std::size_t DrawServer(const std::vector<double>& costs_ms,
                       double unreported_ms, double draw);

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_SPREADING_H_
