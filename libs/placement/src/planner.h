#ifndef FIGWELL_PLACEMENT_SRC_PLANNER_H_
#define FIGWELL_PLACEMENT_SRC_PLANNER_H_

/** One run of the planner over one view of the domain. */

#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "domain_state.h"

namespace figwell::placement {

class Planner {
 public:
  explicit Planner(const PlanInput& input);
  std::vector<Move> Run();

 private:
  /** Another replica of a bundle, and the replicas evicted for it. */
  struct Candidate {
    Index bundle = 0;
    Index server = 0;
    std::vector<Index> evicted;
    /** Tokens per second gained, less those lost by eviction. */
    double gain = 0;
    double score = 0;
  };

  /** Adds a move unless the plan already has one for the item and server. */
  void Emit(Move move);
  void EmitLoad(Index bundle, Index server, Reason reason);
  void EmitUnload(Index bundle, Index server, Reason reason);

  // Items that are not in the configuration, overdue orders and adapters.
  void UnloadObsolete();
  std::optional<Reason> ObsoleteReason(const Item& item) const;
  bool SuccessorIsReady(const Item& item, const config::Model& model) const;
  bool MayUnload(const Item& item) const;
  std::int64_t ConfiguredBytes(const Item& item) const;
  void RetryOverdue();
  void RetryOverdue(const ServerState& server_state, const Item& item);
  void LoadAdapters();
  void LoadAdapters(const BundleState& bundle, const ServerState& server_state);

  // Reachability: at least one replica of each bundle the domain must hold.
  void EnsureReachability();
  std::vector<Index> UnreachableBundles();
  void RestoreReachability(Index bundle);
  bool LoadIntoFreeMemory(Index bundle, Reason reason);
  bool ReserveMemory(Index bundle);
  bool EvictRedundant(Index bundle);
  bool RelocateReplica(Index bundle);
  std::optional<Index> FindRelocationTarget(Index bundle, Index except);
  std::vector<Index> RedundantToEvict(Index bundle, Index server);
  Reason ReachabilityReason(const BundleState& bundle) const;

  // Demand: more replicas of bundles with unserved tokens.
  void AddReplicasForDemand();
  std::vector<std::pair<double, Index>> BundlesWithUnmetDemand() const;
  double Urgency(const BundleState& bundle) const;
  std::optional<Candidate> BestCandidate();
  std::optional<Candidate> Evaluate(Index bundle, Index server);
  double EvictionLoss(Index bundle, Index server);
  void ApplyCandidate(const Candidate& candidate);
  double MinGain(const BundleState& bundle) const;

  const PlanInput& input_;
  DomainState state_;
  int loads_left_;
  int adapters_left_;
  std::vector<Move> moves_;
  std::set<std::pair<ServerId, Item>> planned_;
};

}  // namespace figwell::placement

#endif  // FIGWELL_PLACEMENT_SRC_PLANNER_H_
