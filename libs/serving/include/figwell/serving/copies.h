#ifndef FIGWELL_SERVING_COPIES_H_
#define FIGWELL_SERVING_COPIES_H_

/** Which server should hold which model and adapter; see serving.h. */

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"
#include "figwell/serving/demand.h"
#include "figwell/serving/orders.h"

namespace figwell::serving {

/** One server as the planner sees it. */
struct EngineState {
  /** What it holds, or will once its present order is carried out. */
  std::map<ModelId, std::set<std::string>> models;
  /** Weights that need no load from the weight store. */
  std::set<ModelId> at_hand;
  /** A model whose order is under way: a load if `loads`, else an unload. */
  std::optional<ModelId> loading;
  bool loads = true;
  bool orderable = false;  ///< may be given an order now

  friend bool operator==(const EngineState&, const EngineState&) = default;
};

enum class MoveReason {
  kNoCopy,       ///< no usable server holds it
  kDemand,       ///< its servers have more work than others
  kMakeRoom,     ///< frees memory for a load that follows
  kAdapterIdle,  ///< frees a place for an adapter that is asked for
  kSpare,        ///< takes an empty place, for what may come
};

std::string_view Name(MoveReason reason);

struct CopyMove {
  ServerId server;
  OrderAction action = OrderAction::kLoad;
  ModelTarget target;
  MoveReason reason = MoveReason::kNoCopy;

  friend bool operator==(const CopyMove&, const CopyMove&) = default;
};

struct CopyPlanInput {
  const EngineSpec& engine;
  /** Usable servers of the service. */
  const std::map<ServerId, EngineState>& servers;
  const Demand& demand;
  /** Loads from the weight store that may begin now. */
  int loads_allowed = 0;
  /** Whether copies may be added or removed for demand now. */
  bool rebalance = true;
};

/**
 * The next moves, at most one a server. Every model and adapter gets a copy
 * first, the most asked for before the others; then models whose servers are
 * the busiest get further copies, in the place of copies that nobody needs.
 * No move unloads the last copy of a model, and none overcommits memory.
 */
std::vector<CopyMove> PlanCopies(const CopyPlanInput& input);

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_COPIES_H_
