#include "planner.h"

#include <algorithm>
#include <utility>

namespace figwell::placement {

Planner::Planner(const PlanInput& input)
    : input_(input),
      state_(input),
      loads_left_(input.loads_allowed),
      adapters_left_(input.adapters_allowed) {}

std::vector<Move> Planner::Run() {
  UnloadObsolete();
  RetryOverdue();
  EnsureReachability();
  LoadAdapters();
  AddReplicasForDemand();
  return std::move(moves_);
}

void Planner::Emit(Move move) {
  if (planned_.emplace(move.server, move.item).second) {
    moves_.push_back(std::move(move));
  }
}

void Planner::EmitLoad(Index bundle, Index server, Reason reason) {
  const Bundle& placed = *state_.bundles()[bundle].bundle;
  state_.AddReplica(bundle, server);
  Emit({state_.servers()[server].id, Action::kLoad, placed.base, placed.bytes,
        reason});
  --loads_left_;
}

void Planner::EmitUnload(Index bundle, Index server, Reason reason) {
  const Item base = state_.bundles()[bundle].bundle->base;
  const ServerState& server_state = state_.servers()[server];
  // Adapters first, so that none is left without its model.
  for (const bool adapters : {true, false}) {
    for (const auto& [item, resident] : server_state.view->ledger.resident) {
      if (item.model == base.model && item.version == base.version &&
          item.adapter.empty() != adapters &&
          !IsUnsettled(server_state.view->ledger, Action::kUnload, item)) {
        Emit({server_state.id, Action::kUnload, item, resident.bytes, reason});
      }
    }
  }
  state_.RemoveReplica(bundle, server);
}

void Planner::UnloadObsolete() {
  for (Index server = 0; server < state_.servers().size(); ++server) {
    const ServerState& server_state = state_.servers()[server];
    if (!server_state.view->usable) {
      continue;
    }
    for (const auto& [item, resident] : server_state.view->ledger.resident) {
      const std::optional<Reason> reason = ObsoleteReason(item);
      if (reason &&
          !IsUnsettled(server_state.view->ledger, Action::kUnload, item)) {
        Emit({server_state.id, Action::kUnload, item, resident.bytes, *reason});
      }
    }
  }
}

std::optional<Reason> Planner::ObsoleteReason(const Item& item) const {
  const auto model = input_.configuration.models.find(item.model);
  if (model == input_.configuration.models.end()) {
    return Reason::kWithdrawn;
  }
  const Item base{item.model, item.version, {}};
  const auto bundle = input_.bundles.find(base);
  if (item.adapter.empty()) {
    if (bundle != input_.bundles.end()) {
      return std::nullopt;
    }
    return SuccessorIsReady(item, model->second)
               ? std::optional(Reason::kVersionChange)
               : std::nullopt;
  }
  if (!model->second.adapters.contains(item.adapter)) {
    return Reason::kWithdrawn;
  }
  if (bundle != input_.bundles.end() &&
      bundle->second.adapters.contains(item)) {
    return std::nullopt;
  }
  return SuccessorIsReady(item, model->second)
             ? std::optional(Reason::kVersionChange)
             : std::nullopt;
}

bool Planner::SuccessorIsReady(const Item& item,
                               const config::Model& model) const {
  const Item base{item.model, model.default_version, {}};
  const BundleState* successor = state_.Find(base);
  if (successor == nullptr) {
    return false;
  }
  if (item.adapter.empty()) {
    return !successor->ready.empty();
  }
  const Item adapter{item.model, model.default_version, item.adapter};
  return std::any_of(
      successor->ready.begin(), successor->ready.end(), [&](Index server) {
        const ServerLedger& ledger = state_.servers()[server].view->ledger;
        const auto found = ledger.resident.find(adapter);
        return found != ledger.resident.end() &&
               found->second.state == ItemState::kReady;
      });
}

void Planner::RetryOverdue() {
  for (const ServerState& server_state : state_.servers()) {
    if (!server_state.view->usable) {
      continue;
    }
    for (const Item& item : server_state.view->overdue) {
      RetryOverdue(server_state, item);
    }
  }
}

/**
 * Whether the item may be unloaded, whatever the outcome of earlier unloads. A
 * replica whose base has an unsettled unload does not count as ready, so any
 * ready one is on another server.
 */
bool Planner::MayUnload(const Item& item) const {
  const BundleState* bundle = state_.Find({item.model, item.version, {}});
  return ObsoleteReason(item) || bundle == nullptr || !bundle->ready.empty();
}

/** The configured size of an item; 0 if it is not in the configuration. */
std::int64_t Planner::ConfiguredBytes(const Item& item) const {
  const auto bundle = input_.bundles.find({item.model, item.version, {}});
  if (bundle == input_.bundles.end()) {
    return 0;
  }
  if (item.adapter.empty()) {
    return bundle->second.bytes;
  }
  const auto adapter = bundle->second.adapters.find(item);
  return adapter == bundle->second.adapters.end() ? 0 : adapter->second;
}

void Planner::RetryOverdue(const ServerState& server_state, const Item& item) {
  const ServerLedger& ledger = server_state.view->ledger;
  const bool unloads = IsUnsettled(ledger, Action::kUnload, item);
  const auto resident = ledger.resident.find(item);
  if (resident != ledger.resident.end()) {
    if (unloads && MayUnload(item)) {
      Emit({server_state.id, Action::kUnload, item, resident->second.bytes,
            Reason::kRetry});
    }
    return;
  }
  if (!IsUnsettled(ledger, Action::kLoad, item)) {
    return;
  }
  const std::int64_t bytes = ConfiguredBytes(item);
  if (bytes > 0 && !unloads) {
    int& remaining = item.adapter.empty() ? loads_left_ : adapters_left_;
    if (remaining > 0) {
      Emit({server_state.id, Action::kLoad, item, bytes, Reason::kRetry});
      --remaining;
    }
  } else if (MayUnload(item)) {
    Emit({server_state.id, Action::kUnload, item, 0, Reason::kCancel});
  }
}

void Planner::LoadAdapters() {
  for (const BundleState& bundle : state_.bundles()) {
    for (const Index server : bundle.ready) {
      LoadAdapters(bundle, state_.servers()[server]);
    }
  }
}

void Planner::LoadAdapters(const BundleState& bundle,
                           const ServerState& server_state) {
  const ServerLedger& ledger = server_state.view->ledger;
  for (const auto& [item, bytes] : bundle.bundle->adapters) {
    if (adapters_left_ <= 0) {
      return;
    }
    if (ledger.resident.contains(item) ||
        IsUnsettled(ledger, Action::kLoad, item) ||
        IsUnsettled(ledger, Action::kUnload, item)) {
      continue;
    }
    Emit({server_state.id, Action::kLoad, item, bytes, Reason::kAdapter});
    --adapters_left_;
  }
}

std::vector<Move> PlanMoves(const PlanInput& input) {
  return Planner(input).Run();
}

ServedDemand EstimateServed(const PlanInput& input) {
  DomainState state(input);
  state.SpreadDemand(true);
  ServedDemand result;
  for (const BundleState& bundle : state.bundles()) {
    result.asked += bundle.demand;
    result.served += bundle.served;
    result.served_by_bundle[bundle.bundle->base] = bundle.served;
  }
  return result;
}

}  // namespace figwell::placement
