#ifndef FIGWELL_SERVING_REPLICAS_H_
#define FIGWELL_SERVING_REPLICAS_H_

/** Which server should hold which model and adapter; see serving.h. */

#include <map>
#include <string_view>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"
#include "figwell/serving/demand.h"
#include "figwell/serving/engine_state.h"
#include "figwell/serving/order_tracker.h"
#include "figwell/serving/replica_history.h"

namespace figwell::serving {

enum class MoveReason {
  kNoReplica,    ///< no usable server holds it
  kDemand,       ///< its servers have more work than others
  kMakeRoom,     ///< frees memory for a load that follows
  kAdapterIdle,  ///< frees a place for an adapter that is asked for
  kSpare,        ///< takes an empty place, for what may come
};

std::string_view Name(MoveReason reason);

struct ReplicaMove {
  ServerId server;
  OrderAction action = OrderAction::kLoad;
  ModelTarget target;
  MoveReason reason = MoveReason::kNoReplica;
  /** Unloads the last copy, for a model that needs the place more. */
  bool last_replica = false;

  friend bool operator==(const ReplicaMove&, const ReplicaMove&) = default;
};

struct ReplicaPlanInput {
  const EngineSpec& engine;
  /** Usable servers of the service. */
  const std::map<ServerId, EngineState>& servers;
  const Demand& demand;
  /** Loads from the weight store that may begin now. */
  int loads_allowed = 0;
  /** Whether copies may be added or removed for demand now. */
  bool rebalance = true;
  /** Without it, all copies count as new and no model as waiting. */
  const ReplicaHistory* history = nullptr;
  TimePoint now{};
};

/**
 * The next moves, at most one a server. Every model and adapter gets a copy
 * first, the most asked for before the others; then models whose servers are
 * the busiest get further copies, in the place of copies that nobody needs.
 * None overcommits memory.
 *
 * Where all models have room, no move unloads a last copy. Where there are more
 * models than places, those that are asked for share the places: a model that
 * waits becomes worth more with time, until a copy that has served for a while
 * yields to it. A model that nobody asks for takes no place of one that is
 * asked for.
 */
std::vector<ReplicaMove> PlanReplicas(const ReplicaPlanInput& input);

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_REPLICAS_H_
