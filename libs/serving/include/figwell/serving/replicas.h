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
  kNoReplica,    ///< no usable server holds the target
  kDemand,       ///< its present replicas have too much demand each
  kMakeRoom,     ///< frees memory for a load that follows
  kAdapterIdle,  ///< frees an adapter slot for an adapter with more requests
  kSpare,        ///< fills a model slot that nothing else needs
};

std::string_view Name(MoveReason reason);

struct ReplicaMove {
  ServerId server;
  OrderAction action = OrderAction::kLoad;
  ModelTarget target;
  MoveReason reason = MoveReason::kNoReplica;
  /** Unloads the last replica, since another model needs the slot more. */
  bool last_replica = false;

  friend bool operator==(const ReplicaMove&, const ReplicaMove&) = default;
};

struct ReplicaPlanInput {
  const EngineSpec& engine;
  /** Usable servers of the service. */
  const std::map<ServerId, EngineState>& servers;
  const Demand& demand;
  /** Loads from the weight store that may start now. */
  int loads_allowed = 0;
  /** Whether replicas may be added or removed for demand now. */
  bool rebalance = true;
  /** If null, all replicas count as just loaded, no model as waiting. */
  const ReplicaHistory* history = nullptr;
  TimePoint now{};
};

/**
 * Returns the next moves, at most one per server. Every model and adapter gets
 * a first replica, those with the most requests before the others. Then models
 * whose servers are the busiest get further replicas, which may evict replicas
 * that are not needed. No move overcommits memory.
 *
 * If there is a model slot for every model, no move unloads a last replica. If
 * there are more models than model slots (oversubscription), the requested
 * models share the slots: the value of a model that waits grows with time,
 * until it evicts a replica that has served for a while. A model without
 * requests never takes the slot of a requested one.
 */
std::vector<ReplicaMove> PlanReplicas(const ReplicaPlanInput& input);

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_REPLICAS_H_
