#include <algorithm>
#include <limits>

#include "planner.h"

namespace figwell::placement {

std::vector<Index> Planner::Unreachable() {
  std::vector<Index> missing;
  const std::vector<BundleState>& bundles = state_.bundles();
  for (Index i = 0; i < bundles.size(); ++i) {
    if (bundles[i].obliged && bundles[i].ready.empty() &&
        bundles[i].coming.empty()) {
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

void Planner::KeepReachable() {
  for (const Index bundle : Unreachable()) {
    MakeReachable(bundle);
  }
}

Reason Planner::WhyUnreachable(const BundleState& bundle) const {
  if (bundle.on_unusable) {
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

void Planner::MakeReachable(Index bundle) {
  if (loads_left_ <= 0) {
    WaitForRoom(bundle);  // Reserves the memory that it will need.
    return;
  }
  const Reason reason = WhyUnreachable(state_.bundles()[bundle]);
  // Stops at the first step that succeeds.
  const bool done = PlaceInFreeRoom(bundle, reason) || WaitForRoom(bundle) ||
                    EvictExtras(bundle) || RelocateOthers(bundle);
  static_cast<void>(done);
}

bool Planner::PlaceInFreeRoom(Index bundle, Reason reason) {
  const BundleState& what = state_.bundles()[bundle];
  const auto home = input_.homes.find(what.bundle->base);
  std::optional<Index> best;
  double best_fullness = std::numeric_limits<double>::infinity();
  for (Index server = 0; server < state_.servers().size(); ++server) {
    const ServerState& where = state_.servers()[server];
    if (!state_.MayHold(what, server) ||
        where.free_now < state_.BytesToAdd(what, server)) {
      continue;
    }
    const bool is_home = home != input_.homes.end() && home->second == where.id;
    const double fullness =
        is_home ? -1 : where.load / std::max(where.capacity, 1.0);
    if (fullness < best_fullness) {
      best = server;
      best_fullness = fullness;
    }
  }
  if (best) {
    EmitLoad(bundle, *best, reason);
  }
  return best.has_value();
}

bool Planner::WaitForRoom(Index bundle) {
  const BundleState& what = state_.bundles()[bundle];
  for (Index server = 0; server < state_.servers().size(); ++server) {
    const ServerState& where = state_.servers()[server];
    if (state_.MayHold(what, server) &&
        where.free_soon >= state_.BytesToAdd(what, server)) {
      state_.AddCopy(bundle, server);  // Reserves the memory.
      return true;
    }
  }
  return false;
}

std::vector<Index> Planner::ExtrasToEvict(Index bundle, Index server) {
  const BundleState& what = state_.bundles()[bundle];
  const std::int64_t need = state_.BytesToAdd(what, server);
  std::vector<std::pair<double, Index>> extras;
  for (const Index other : state_.servers()[server].bundles) {
    if (other != bundle && state_.IsExtra(state_.bundles()[other], server)) {
      extras.emplace_back(EvictionLoss(other, server), other);
    }
  }
  std::sort(extras.begin(), extras.end());
  std::vector<Index> evicted;
  std::int64_t room = state_.servers()[server].free_soon;
  for (const auto& [loss, other] : extras) {
    if (room >= need) {
      break;
    }
    room += state_.BytesToFree(state_.bundles()[other], server);
    evicted.push_back(other);
  }
  if (room < need) {
    evicted.clear();
  }
  return evicted;
}

bool Planner::EvictExtras(Index bundle) {
  std::vector<Index> cheapest;
  Index where = 0;
  double least = std::numeric_limits<double>::infinity();
  for (Index server = 0; server < state_.servers().size(); ++server) {
    if (!state_.MayHold(state_.bundles()[bundle], server)) {
      continue;
    }
    std::vector<Index> extras = ExtrasToEvict(bundle, server);
    double loss = 0;
    for (const Index other : extras) {
      loss += EvictionLoss(other, server);
    }
    if (!extras.empty() && loss < least) {
      least = loss;
      cheapest = std::move(extras);
      where = server;
    }
  }
  for (const Index other : cheapest) {
    EmitUnload(other, where, Reason::kMakeRoom);
  }
  if (!cheapest.empty()) {
    state_.AddCopy(bundle, where);
    --loads_left_;
  }
  return !cheapest.empty();
}

std::optional<Index> Planner::RoomElsewhere(Index bundle, Index except) {
  const BundleState& what = state_.bundles()[bundle];
  std::optional<Index> best;
  for (Index server = 0; server < state_.servers().size(); ++server) {
    const ServerState& where = state_.servers()[server];
    if (server != except && state_.MayHold(what, server) &&
        where.free_now >= state_.BytesToAdd(what, server) &&
        (!best || where.free_now < state_.servers()[*best].free_now)) {
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
bool Planner::RelocateOthers(Index bundle) {
  const BundleState& what = state_.bundles()[bundle];
  std::optional<std::pair<Index, Index>>
      best;  // bundle to relocate, target server
  std::int64_t least_lacking = std::numeric_limits<std::int64_t>::max();
  for (Index server = 0; server < state_.servers().size(); ++server) {
    if (!state_.MayHold(what, server)) {
      continue;
    }
    std::int64_t room = state_.servers()[server].free_soon;
    for (const Index other : state_.servers()[server].bundles) {
      const BundleState& copy = state_.bundles()[other];
      if (copy.ready.size() == 1 && !copy.coming.empty()) {
        return true;  // Wait for a relocation in progress.
      }
      if (state_.IsExtra(copy, server)) {
        room += state_.BytesToFree(copy, server);
      }
    }
    for (const Index other : state_.servers()[server].bundles) {
      const BundleState& copy = state_.bundles()[other];
      if (!copy.ready.contains(server) || state_.IsExtra(copy, server)) {
        continue;
      }
      const std::int64_t lacking =
          std::max<std::int64_t>(0, state_.BytesToAdd(what, server) - room -
                                        state_.BytesToFree(copy, server));
      const std::optional<Index> target =
          lacking < least_lacking ? RoomElsewhere(other, server) : std::nullopt;
      if (target) {
        best = {other, *target};
        least_lacking = lacking;
      }
    }
  }
  if (best) {
    EmitLoad(best->first, best->second, Reason::kRelocation);
  }
  return best.has_value();
}

}  // namespace figwell::placement
