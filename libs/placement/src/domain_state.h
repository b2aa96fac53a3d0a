#ifndef FIGWELL_PLACEMENT_SRC_DOMAIN_STATE_H_
#define FIGWELL_PLACEMENT_SRC_DOMAIN_STATE_H_

/**
 * The planner's working state: the domain's servers and bundles by index, with
 * the replicas that are ready and those that are pending.
 */

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "figwell/placement/plan.h"

namespace figwell::placement {

using Index = std::size_t;

struct ServerState {
  ServerId id;
  const ServerView* view = nullptr;
  /** Bytes for new loads; pending loads of adapters are already subtracted. */
  std::int64_t free_now = 0;
  /** The same once all unsettled unloads have been executed. */
  std::int64_t free_after_unloads = 0;
  /** Tokens per second; `load` is the part of it in use. */
  double capacity = 0;
  double load = 0;
  /** Bundles with a ready or pending replica here. */
  std::set<Index> bundles;
};

struct BundleState {
  const Bundle* bundle = nullptr;
  double demand = 0;
  double served = 0;
  /** The domain must hold a replica. */
  bool required = false;
  /** No longer configured; kept until the version that replaces it is ready. */
  bool replaced = false;
  std::set<Index> ready;
  std::set<Index> pending;
  /** Has a replica on a server that is dead or draining. */
  bool on_unusable_server = false;
  /**
   * The unserved fraction of demand of its worst-served team, relative to the
   * worst-served team of all; 0 to 1.
   */
  double deficit = 0;
  /** Tokens per second at each replica, by server. */
  std::map<Index, double> flow;

  std::vector<Index> Replicas() const;
  double Unmet() const { return demand > served ? demand - served : 0; }
};

class DomainState {
 public:
  explicit DomainState(const PlanInput& input);

  const PlanInput& input() const { return input_; }
  const std::vector<ServerState>& servers() const { return servers_; }
  const std::vector<BundleState>& bundles() const { return bundles_; }
  const BundleState* Find(const Item& base) const;

  /** Bytes that a replica would add to the server's reserved memory. */
  std::int64_t BytesToAdd(const BundleState& bundle, Index server) const;
  /** Bytes that unloading the bundle's replica would free there. */
  std::int64_t BytesToFree(const BundleState& bundle, Index server) const;
  /** Whether a replica may be loaded there, memory aside. */
  bool IsEligible(const BundleState& bundle, Index server) const;
  /** Whether the replica there is ready and not the only ready one. */
  bool IsRedundant(const BundleState& bundle, Index server) const;

  void AddReplica(Index bundle, Index server);
  void RemoveReplica(Index bundle, Index server);

  /** Distributes each bundle's demand over its replicas and sets `served`. */
  void SpreadDemand(bool ready_only);
  /** Assigns unserved demand to a new replica, up to its server's spare rate.
   */
  void AssignUnmetDemand(Index bundle, Index server);

 private:
  void AddServers();
  void AddBundles();
  void AddReplacedBundles();
  void RecordReplica(const Item& base, Index server);
  void ComputeFreeMemory(Index server);
  void ComputeTeamDeficits();

  const PlanInput& input_;
  std::vector<ServerState> servers_;
  std::vector<BundleState> bundles_;
  std::map<Item, Index> index_;
  std::map<Item, Bundle> replaced_bundles_;
};

}  // namespace figwell::placement

#endif  // FIGWELL_PLACEMENT_SRC_DOMAIN_STATE_H_
