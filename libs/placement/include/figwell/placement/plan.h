#ifndef FIGWELL_PLACEMENT_PLAN_H_
#define FIGWELL_PLACEMENT_PLAN_H_

/** Which domain must hold what, and the next moves within one domain. */

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "figwell/config.h"
#include "figwell/core.h"
#include "figwell/placement/ledger.h"
#include "figwell/placement/reports.h"

namespace figwell::placement {

/**
 * A version of a model together with its adapters: the unit of placement. Only
 * the default version has adapters.
 */
struct Bundle {
  Item base;  ///< `adapter` is empty
  std::int64_t bytes = 0;
  PoolId pool;
  std::map<Item, std::int64_t> adapters;

  std::int64_t TotalBytes() const;
  friend bool operator==(const Bundle&, const Bundle&) = default;
};

/** All configured versions of all models, by base item. */
std::map<Item, Bundle> MakeBundles(const config::Configuration& configuration);

/** Servers that receive orders: they have memory and belong to no service. */
std::set<ServerId> EngineServers(const config::Configuration& configuration);

/** The assigned server of each bundle that the domain must hold. */
using Homes = std::map<Item, ServerId>;

/**
 * An assignment of bundles to the servers of the fleet. It depends on the
 * configuration alone, so the controllers of all domains compute the same one.
 */
struct Layout {
  std::map<DomainId, Homes> homes;
  /** Bundles that fit in no domain, with the bytes that are lacking. */
  Findings findings;

  friend bool operator==(const Layout&, const Layout&) = default;
};

/**
 * Assigns one domain to each bundle, then a second one, and so on while memory
 * lasts. Runs in O(bundles x servers x domains).
 */
Layout MakeLayout(const config::Configuration& configuration);

/**
 * One finding for each model version that does not fit beside the others, with
 * the bytes that are lacking. Proposed patches are checked with this. Draining
 * servers and servers of services hold nothing.
 */
Findings CheckFits(const config::Configuration& configuration);

/** The planner's view of one server. */
struct ServerView {
  ServerLedger ledger;
  std::int64_t memory_bytes = 0;
  int accelerators = 1;
  PoolId pool;
  /** Its report is recent and it is not draining: it may receive orders. */
  bool usable = false;
  /** Items of which all unsettled orders are older than kOrderEffectTimeout. */
  std::set<Item> overdue;

  friend bool operator==(const ServerView&, const ServerView&) = default;
};

/** Parameters of the planner. */
struct PlanOptions {
  /** Tokens per second that one accelerator serves. */
  double accelerator_rate = 286;
  /** A move must make up for the cost of its load within this time. */
  Duration payback = std::chrono::seconds(120);
  /** Duration of a load, during which the replica does not serve. */
  Duration load_time = std::chrono::seconds(9);
  /** Minimum gain of a move, as a fraction of one accelerator's rate. */
  double min_gain = 0.25;

  friend bool operator==(const PlanOptions&, const PlanOptions&) = default;
};

/** Input of one plan. */
struct PlanInput {
  const config::Configuration& configuration;
  const std::map<Item, Bundle>& bundles;
  /** Bundles that this domain must hold. */
  const Homes& homes;
  const std::map<ServerId, ServerView>& servers;
  const Demand& demand;
  /** How many loads of models and of adapters may start now. */
  int loads_allowed = 0;
  int adapters_allowed = 0;
  PlanOptions options;
};

/**
 * The next moves, most urgent first. Each is safe by itself: a load fits beside
 * everything that may still arrive, and no unload removes the domain's last
 * ready replica of a bundle that is configured or not yet replaced.
 */
std::vector<Move> PlanMoves(const PlanInput& input);

/** Tokens per second that are requested, and those that a placement serves. */
struct ServedDemand {
  double asked = 0;
  double served = 0;
  std::map<Item, double> served_by_bundle;

  friend bool operator==(const ServedDemand&, const ServedDemand&) = default;
};

/** The demand that ready replicas on usable servers can serve. */
ServedDemand EstimateServed(const PlanInput& input);

}  // namespace figwell::placement

#endif  // FIGWELL_PLACEMENT_PLAN_H_
