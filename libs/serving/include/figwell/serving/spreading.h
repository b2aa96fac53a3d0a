#ifndef FIGWELL_SERVING_SPREADING_H_
#define FIGWELL_SERVING_SPREADING_H_

/** Chooses among servers by costs that others act on too; see serving.h. */

#include <cstddef>
#include <vector>

namespace figwell::serving {

/**
 * Spreads requests that instances send before they hear of each other's. All
 * of them see the same costs; if each took the least, all would meet there.
 * Each draws a server instead, by the part of the unseen work that it would
 * get if that work were shared so that all servers that get any end up equally
 * loaded. Without unseen work that is the server with the least cost.
 *
 * Answers a model's demand that moves to a few copies, or to one that has just
 * been loaded, while news of loads is some hundred milliseconds old.
 *
 * @param costs_ms expected time at each server; not empty
 * @param unseen_ms time that the servers need for the unseen work, in all
 * @param draw evenly distributed from 0 to 1
 * @return index of the chosen server
 */
std::size_t DrawServer(const std::vector<double>& costs_ms, double unseen_ms,
                       double draw);

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_SPREADING_H_
