#ifndef FIGWELL_SERVING_SRC_REPLICA_PLANNER_H_
#define FIGWELL_SERVING_SRC_REPLICA_PLANNER_H_

/**
 * One run of PlanReplicas: models in replicas.cc, adapters in
 * replicas_adapters.cc, the choice of eviction candidates in
 * replicas_preemption.cc.
 */

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "figwell/serving/replicas.h"

namespace figwell::serving {

// The cost of a slow load from the weight store, in milliseconds of work per
// second: a server that has local weights is preferred unless it has this much
// more work.
inline constexpr double kWeightStoreLoadCostMsPerSecond = 350;

class Planner {
 public:
  explicit Planner(const ReplicaPlanInput& input);

  std::vector<ReplicaMove> Plan();

 private:
  void ComputeSizes();
  /** The model's demand, in milliseconds of work per second. */
  double Work(const ModelId& model) const;
  double Requests(const ModelTarget& target) const;
  double WorkPerReplica(const ModelId& model, int replicas) const;
  /** Replicas that are held or being loaded, including moves of this plan. */
  int ReplicaCount(const ModelId& model) const;

  /**
   * Work per second that reaches a server if each model's work is spread evenly
   * over its replicas.
   */
  double ServerWork(const EngineState& server) const;

  /** Whether the server may be sent an order and has no move in this plan. */
  bool IsAvailable(const ServerId& id) const;

  double WeightsMb(const ModelId& model) const;
  double UsedMb(const EngineState& server) const;
  bool Fits(const EngineState& server, const ModelId& model) const;

  void AddMove(const ServerId& server, OrderAction action,
               const ModelTarget& target, MoveReason reason);

  void AddLoad(const ServerId& server, const ModelId& model, MoveReason reason);

  bool MayLoad(const EngineState& server, const ModelId& model) const;

  /**
   * Sets how many replicas each model should have: one each; the other model
   * slots go to the models with the most work per replica, as long as that
   * work justifies a further replica.
   */
  void SetTargets();

  /** Sets the targets if there are more models than model slots. */
  void SetOversubscribedTargets(int model_slots);
  /** Assigns further replicas, most work per replica first, to free slots. */
  void DistributeRemainingSlots(int model_slots);

  /**
   * Model slots of a server: the models that it holds, and how many more of
   * average size fit.
   */
  int ModelSlots(const EngineState& server) const;

  /**
   * Limits evictions: a model slot that is empty, or is being emptied, already
   * waits for a load, and no replica is evicted for a load that could not
   * start.
   */
  void ReserveLoadsForEmptySlots();

  /**
   * How many replicas may be evicted before the loads that replace them are
   * allowed: an unload has to wait for the server's runs of the model to end.
   * Few if loads are quick: a model slot that stays empty then costs too much,
   * since the evicted replica would have been worth more.
   */
  int MaxEarlyEvictions() const;

  bool IsLoading(const EngineState& server) const;

  int Target(const ModelId& model) const;

  /**
   * The value of one more replica of a model, in milliseconds of work per
   * second. It is low for the first replica of a model without requests, which
   * can wait until a replica that is hardly used may be evicted.
   */
  double NextReplicaValue(const ModelId& model) const;

  /**
   * The replica on the server with the smallest loss if it is evicted. It has
   * to be worth clearly less than the one that is loaded instead; otherwise
   * models would evict each other again and again.
   */
  std::optional<ModelId> FindEvictionCandidate(const ServerId& id,
                                               const ModelId& incoming) const;

  /** The value lost with one replica, in milliseconds of work per second. */
  double EvictionLoss(const ModelId& model) const;
  /** Whether the replica may be evicted for one more replica of `incoming`. */
  bool MayEvict(const ServerId& id, const ModelId& model,
                const ModelId& incoming) const;
  /** Whether it may be evicted although it is the model's last replica. */
  bool MayEvictLastReplica(const ServerId& id, const ModelId& model,
                           const ModelId& incoming) const;
  bool IsRequested(const ModelId& model) const { return Work(model) > 0; }
  Duration LoadTime(const ModelId& model) const;
  /** How long the model has had no requests, up to a bound. */
  double IdleSeconds(const ModelId& model) const;

  /** Where to load a model, and the model to evict first, if any. */
  struct Placement {
    ServerId server;
    std::optional<ModelId> evicted;
    double cost = 0;
  };

  /** Where a further replica of the model costs least. */
  std::optional<Placement> FindPlacement(const ModelId& model) const;

  void AddPlacement(const Placement& placement, const ModelId& model,
                    MoveReason reason);

  /** Adds moves for missing replicas, those of the highest value first. */
  void AddModelReplicas();

  /**
   * Fills model slots that nothing else needs with models that may be requested
   * next: those with many adapters and few replicas. Demand moves faster than a
   * load, and a single replica may be lost with its server.
   */
  void FillEmptySlots();

  /** @param candidates servers that may have an empty model slot */
  std::optional<Placement> FindEmptySlot(
      const ModelId& model, const std::set<ServerId>& candidates) const;

  int AdapterCount(const ServerId& id) const;

  /**
   * The server with a free adapter slot that has the fewest adapters and the
   * least work. One adapter counts as much as kWeightStoreLoadCostMsPerSecond
   * of work.
   */
  std::optional<ServerId> FindAdapterSlot(const ModelTarget& target) const;

  /** Frees a slot for `target` by unloading an adapter with fewer requests. */
  void FreeAdapterSlot(const ModelTarget& target);

  void AddAdapterReplicas();

  void AddBusyAdapterReplicas();

  const ReplicaPlanInput& input_;
  /** For weights of models, without the memory for adapters. */
  double capacity_mb_ = 0;
  double max_weights_mb_ = 0;
  double mean_weights_mb_ = 0;
  Duration max_load_time_{0};
  int loads_left_;
  int evictions_left_ = 0;
  /** There are more models than model slots. */
  bool oversubscribed_ = false;
  std::map<ModelId, int> replica_counts_;
  std::map<ModelTarget, int> adapter_replica_counts_;
  /** Servers that hold a model, and how many adapters a server holds. */
  std::map<ModelId, std::vector<ServerId>> holders_;
  std::map<ServerId, int> adapter_counts_;
  std::map<ModelId, int> targets_;
  std::set<ModelId> unplaceable_;  // no server can take a replica now
  std::set<ServerId> servers_with_moves_;
  std::vector<ReplicaMove> moves_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_SRC_REPLICA_PLANNER_H_
