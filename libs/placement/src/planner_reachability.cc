#include <algorithm>
#include <limits>

#include "planner.h"

namespace figwell::placement {

std::vector<Index> Planner::UnreachableBundles() {
  std::vector<Index> missing;
  const std::vector<BundleState>& bundles = state_.bundles();
  for (Index i = 0; i < bundles.size(); ++i) {
    if (bundles[i].required && bundles[i].ready.empty() &&
        bundles[i].pending.empty()) {
      missing.push_back(i);
    }
  }
  // Loads are limited, so the bundle with the highest demand comes first; among
  // equals the larger one, which is harder to place later.
  std::stable_sort(
      missing.begin(), missing.end(), [&](Index left, Index right) {
        if (bundles[left].demand != bundles[right].demand) {
          return bundles[left].demand > bundles[right].demand;
        }
        return bundles[left].bundle->bytes > bundles[right].bundle->bytes;
      });
  return missing;
}

void Planner::EnsureReachability() {
  for (const Index bundle : UnreachableBundles()) {
    RestoreReachability(bundle);
  }
}

Reason Planner::ReachabilityReason(const BundleState& bundle) const {
  if (bundle.on_unusable_server) {
    return Reason::kReplacement;
  }
  const ModelId& model = bundle.bundle->base.model;
  const bool is_new_version = std::any_of(
      input_.servers.begin(), input_.servers.end(), [&](const auto& server) {
        const auto& resident = server.second.ledger.resident;
        return std::any_of(
            resident.begin(), resident.end(),
            [&](const auto& entry) { return entry.first.model == model; });
      });
  return is_new_version ? Reason::kVersionChange : Reason::kReachability;
}

void Planner::RestoreReachability(Index bundle) {
  if (loads_left_ <= 0) {
    ReserveMemory(bundle);  // Reserves the memory that it will need.
    return;
  }
  const Reason reason = ReachabilityReason(state_.bundles()[bundle]);
  // Stops at the first step that succeeds.
  const bool done = LoadIntoFreeMemory(bundle, reason) ||
                    ReserveMemory(bundle) || EvictRedundant(bundle) ||
                    RelocateReplica(bundle);
  static_cast<void>(done);
}

bool Planner::LoadIntoFreeMemory(Index bundle, Reason reason) {
  const BundleState& bundle_state = state_.bundles()[bundle];
  const auto assigned = input_.homes.find(bundle_state.bundle->base);
  std::optional<Index> best;
  double min_utilization = std::numeric_limits<double>::infinity();
  for (Index server = 0; server < state_.servers().size(); ++server) {
    const ServerState& server_state = state_.servers()[server];
    if (!state_.IsEligible(bundle_state, server) ||
        server_state.free_now < state_.BytesToAdd(bundle_state, server)) {
      continue;
    }
    const bool is_assigned =
        assigned != input_.homes.end() && assigned->second == server_state.id;
    const double utilization =
        is_assigned ? -1
                    : server_state.load / std::max(server_state.capacity, 1.0);
    if (utilization < min_utilization) {
      best = server;
      min_utilization = utilization;
    }
  }
  if (best) {
    EmitLoad(bundle, *best, reason);
  }
  return best.has_value();
}

bool Planner::ReserveMemory(Index bundle) {
  const BundleState& bundle_state = state_.bundles()[bundle];
  for (Index server = 0; server < state_.servers().size(); ++server) {
    const ServerState& server_state = state_.servers()[server];
    if (state_.IsEligible(bundle_state, server) &&
        server_state.free_after_unloads >=
            state_.BytesToAdd(bundle_state, server)) {
      state_.AddReplica(bundle, server);  // Reserves the memory.
      return true;
    }
  }
  return false;
}

std::vector<Index> Planner::RedundantToEvict(Index bundle, Index server) {
  const BundleState& bundle_state = state_.bundles()[bundle];
  const std::int64_t needed_bytes = state_.BytesToAdd(bundle_state, server);
  std::vector<std::pair<double, Index>> redundant;
  for (const Index other : state_.servers()[server].bundles) {
    if (other != bundle &&
        state_.IsRedundant(state_.bundles()[other], server)) {
      redundant.emplace_back(EvictionLoss(other, server), other);
    }
  }
  std::sort(redundant.begin(), redundant.end());
  std::vector<Index> evicted;
  std::int64_t free_bytes = state_.servers()[server].free_after_unloads;
  for (const auto& [loss, other] : redundant) {
    if (free_bytes >= needed_bytes) {
      break;
    }
    free_bytes += state_.BytesToFree(state_.bundles()[other], server);
    evicted.push_back(other);
  }
  if (free_bytes < needed_bytes) {
    evicted.clear();
  }
  return evicted;
}

bool Planner::EvictRedundant(Index bundle) {
  std::vector<Index> evictions;
  Index best_server = 0;
  double min_loss = std::numeric_limits<double>::infinity();
  for (Index server = 0; server < state_.servers().size(); ++server) {
    if (!state_.IsEligible(state_.bundles()[bundle], server)) {
      continue;
    }
    std::vector<Index> redundant = RedundantToEvict(bundle, server);
    double loss = 0;
    for (const Index other : redundant) {
      loss += EvictionLoss(other, server);
    }
    if (!redundant.empty() && loss < min_loss) {
      min_loss = loss;
      evictions = std::move(redundant);
      best_server = server;
    }
  }
  for (const Index other : evictions) {
    EmitUnload(other, best_server, Reason::kMakeRoom);
  }
  if (!evictions.empty()) {
    state_.AddReplica(bundle, best_server);
    --loads_left_;
  }
  return !evictions.empty();
}

std::optional<Index> Planner::FindRelocationTarget(Index bundle, Index except) {
  const BundleState& bundle_state = state_.bundles()[bundle];
  std::optional<Index> best;
  for (Index server = 0; server < state_.servers().size(); ++server) {
    const ServerState& server_state = state_.servers()[server];
    if (server != except && state_.IsEligible(bundle_state, server) &&
        server_state.free_now >= state_.BytesToAdd(bundle_state, server) &&
        (!best || server_state.free_now < state_.servers()[*best].free_now)) {
      best = server;
    }
  }
  return best;
}

/**
 * Loads one more replica of another bundle elsewhere, so that its only ready
 * replica becomes redundant and a later plan can evict it. Picks the replica
 * whose eviction leaves this bundle with the fewest bytes lacking.
 */
bool Planner::RelocateReplica(Index bundle) {
  const BundleState& bundle_state = state_.bundles()[bundle];
  std::optional<std::pair<Index, Index>>
      best;  // bundle to relocate, target server
  std::int64_t min_lacking_bytes = std::numeric_limits<std::int64_t>::max();
  for (Index server = 0; server < state_.servers().size(); ++server) {
    if (!state_.IsEligible(bundle_state, server)) {
      continue;
    }
    std::int64_t free_bytes = state_.servers()[server].free_after_unloads;
    for (const Index other : state_.servers()[server].bundles) {
      const BundleState& other_state = state_.bundles()[other];
      if (other_state.ready.size() == 1 && !other_state.pending.empty()) {
        return true;  // Wait for a relocation in progress.
      }
      if (state_.IsRedundant(other_state, server)) {
        free_bytes += state_.BytesToFree(other_state, server);
      }
    }
    for (const Index other : state_.servers()[server].bundles) {
      const BundleState& other_state = state_.bundles()[other];
      if (!other_state.ready.contains(server) ||
          state_.IsRedundant(other_state, server)) {
        continue;
      }
      const std::int64_t lacking = std::max<std::int64_t>(
          0, state_.BytesToAdd(bundle_state, server) - free_bytes -
                 state_.BytesToFree(other_state, server));
      const std::optional<Index> target =
          lacking < min_lacking_bytes ? FindRelocationTarget(other, server)
                                      : std::nullopt;
      if (target) {
        best = {other, *target};
        min_lacking_bytes = lacking;
      }
    }
  }
  if (best) {
    EmitLoad(best->first, best->second, Reason::kRelocation);
  }
  return best.has_value();
}

}  // namespace figwell::placement
