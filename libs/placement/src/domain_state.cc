#include "domain_state.h"

#include <algorithm>

namespace figwell::placement {
namespace {

/** Iterations that shift flow from overloaded replicas to others. */
constexpr int kSpreadIterations = 8;
/** Lower bound of a flow's weight; from 0 it could not grow again. */
constexpr double kMinFlowWeight = 1e-6;

int OrdersFor(const ServerLedger& ledger, const Item& item) {
  return static_cast<int>(
      std::count_if(ledger.unsettled.begin(), ledger.unsettled.end(),
                    [&](const Order& order) { return order.item == item; }));
}

/** Maximum bytes that unsettled loads of the item may use. */
std::int64_t PendingLoadBytes(const ServerLedger& ledger, const Item& item) {
  std::int64_t bytes = 0;
  for (const Order& order : ledger.unsettled) {
    if (order.action == Action::kLoad && order.item == item) {
      bytes = std::max(bytes, order.bytes);
    }
  }
  return bytes;
}

std::int64_t AccountedBytes(const ServerLedger& ledger, const Item& item) {
  const auto found = ledger.resident.find(item);
  const std::int64_t resident =
      found == ledger.resident.end() ? 0 : found->second.bytes;
  return std::max(resident, PendingLoadBytes(ledger, item));
}

std::int64_t MissingBytes(const ServerLedger& ledger, const Bundle& bundle) {
  std::int64_t missing = std::max<std::int64_t>(
      0, bundle.bytes - AccountedBytes(ledger, bundle.base));
  for (const auto& [item, bytes] : bundle.adapters) {
    missing += std::max<std::int64_t>(0, bytes - AccountedBytes(ledger, item));
  }
  return missing;
}

/** All allowed orders for the item are overdue; no longer wait for it. */
bool HasExhaustedOrders(const ServerView& view, const Item& item) {
  return view.overdue.contains(item) &&
         OrdersFor(view.ledger, item) >= kMaxOrdersPerItem;
}

}  // namespace

std::vector<Index> BundleState::Replicas() const {
  std::vector<Index> replicas(ready.begin(), ready.end());
  replicas.insert(replicas.end(), pending.begin(), pending.end());
  return replicas;
}

DomainState::DomainState(const PlanInput& input) : input_(input) {
  AddServers();
  AddBundles();
  AddReplacedBundles();
  for (Index bundle = 0; bundle < bundles_.size(); ++bundle) {
    index_[bundles_[bundle].bundle->base] = bundle;
  }
  for (Index server = 0; server < servers_.size(); ++server) {
    const ServerLedger& ledger = servers_[server].view->ledger;
    for (const auto& [item, resident] : ledger.resident) {
      RecordReplica(item, server);
    }
    for (const Order& order : ledger.unsettled) {
      RecordReplica(order.item, server);
    }
    ComputeFreeMemory(server);
  }
  SpreadDemand(false);
  ComputeTeamDeficits();
}

void DomainState::AddServers() {
  for (const auto& [id, view] : input_.servers) {
    ServerState state;
    state.id = id;
    state.view = &view;
    state.capacity = view.accelerators * input_.options.accelerator_rate;
    servers_.push_back(std::move(state));
  }
}

void DomainState::AddBundles() {
  for (const auto& [base, bundle] : input_.bundles) {
    BundleState state;
    state.bundle = &bundle;
    state.required = input_.homes.contains(base);
    if (const auto found = input_.demand.find(base);
        found != input_.demand.end()) {
      state.demand = found->second;
    }
    bundles_.push_back(std::move(state));
  }
}

/** Versions that servers hold of models that now have other versions. */
void DomainState::AddReplacedBundles() {
  for (const auto& [id, view] : input_.servers) {
    for (const auto& [item, resident] : view.ledger.resident) {
      if (!item.adapter.empty() || input_.bundles.contains(item) ||
          !input_.configuration.models.contains(item.model)) {
        continue;
      }
      Bundle& bundle = replaced_bundles_[item];
      bundle.base = item;
      bundle.bytes = std::max(bundle.bytes, resident.bytes);
    }
  }
  for (const auto& [base, bundle] : replaced_bundles_) {
    BundleState state;
    state.bundle = &bundle;
    state.replaced = true;
    bundles_.push_back(std::move(state));
  }
}

void DomainState::RecordReplica(const Item& base, Index server) {
  const auto found = base.adapter.empty() ? index_.find(base) : index_.end();
  if (found == index_.end()) {
    return;
  }
  const Index bundle = found->second;
  BundleState& state = bundles_[bundle];
  const ServerView& view = *servers_[server].view;
  const auto resident = view.ledger.resident.find(base);
  const bool present = resident != view.ledger.resident.end();
  if (!present && !IsUnsettled(view.ledger, Action::kLoad, base)) {
    return;
  }
  if (!view.usable) {
    state.on_unusable_server = true;
    return;
  }
  if (IsUnsettled(view.ledger, Action::kUnload, base)) {
    return;
  }
  if (present && resident->second.state == ItemState::kReady) {
    state.ready.insert(server);
  } else if (present || !HasExhaustedOrders(view, base)) {
    state.pending.insert(server);
  } else {
    return;
  }
  servers_[server].bundles.insert(bundle);
}

void DomainState::ComputeFreeMemory(Index server) {
  ServerState& state = servers_[server];
  const ServerLedger& ledger = state.view->ledger;
  state.free_now = state.view->memory_bytes - ReservedBytes(ledger);
  for (const Index bundle : state.bundles) {
    state.free_now -= MissingBytes(ledger, *bundles_[bundle].bundle);
  }
  state.free_after_unloads = state.free_now;
  for (const auto& [item, resident] : ledger.resident) {
    if (IsUnsettled(ledger, Action::kUnload, item) &&
        !IsUnsettled(ledger, Action::kLoad, item)) {
      state.free_after_unloads += resident.bytes;
    }
  }
}

const BundleState* DomainState::Find(const Item& base) const {
  const auto found = index_.find(base);
  return found == index_.end() ? nullptr : &bundles_[found->second];
}

std::int64_t DomainState::BytesToAdd(const BundleState& bundle,
                                     Index server) const {
  return MissingBytes(servers_[server].view->ledger, *bundle.bundle);
}

std::int64_t DomainState::BytesToFree(const BundleState& bundle,
                                      Index server) const {
  std::int64_t bytes = 0;
  const Item& base = bundle.bundle->base;
  const auto& resident = servers_[server].view->ledger.resident;
  // Items are sorted: the base first, then its adapters.
  for (auto entry = resident.lower_bound(base);
       entry != resident.end() && entry->first.model == base.model &&
       entry->first.version == base.version;
       ++entry) {
    bytes += entry->second.bytes;
  }
  return bytes;
}

bool DomainState::IsEligible(const BundleState& bundle, Index server) const {
  const ServerView& view = *servers_[server].view;
  const Item& base = bundle.bundle->base;
  const bool pool_fits =
      bundle.bundle->pool.empty() || bundle.bundle->pool == view.pool;
  return view.usable && pool_fits && !bundle.ready.contains(server) &&
         !bundle.pending.contains(server) &&
         !view.ledger.resident.contains(base) &&
         !IsUnsettled(view.ledger, Action::kUnload, base) &&
         OrdersFor(view.ledger, base) < kMaxOrdersPerItem;
}

bool DomainState::IsRedundant(const BundleState& bundle, Index server) const {
  return bundle.ready.size() >= 2 && bundle.ready.contains(server);
}

void DomainState::AddReplica(Index bundle, Index server) {
  const std::int64_t bytes = BytesToAdd(bundles_[bundle], server);
  servers_[server].free_now -= bytes;
  servers_[server].free_after_unloads -= bytes;
  servers_[server].bundles.insert(bundle);
  bundles_[bundle].pending.insert(server);
}

void DomainState::RemoveReplica(Index bundle, Index server) {
  servers_[server].free_after_unloads += BytesToFree(bundles_[bundle], server);
  servers_[server].bundles.erase(bundle);
  bundles_[bundle].ready.erase(server);
  if (const auto flow = bundles_[bundle].flow.find(server);
      flow != bundles_[bundle].flow.end()) {
    servers_[server].load -= flow->second;
    bundles_[bundle].served -= flow->second;
    bundles_[bundle].flow.erase(flow);
  }
}

void DomainState::SpreadDemand(bool ready_only) {
  for (BundleState& bundle : bundles_) {
    bundle.flow.clear();
    bundle.served = 0;
    const std::vector<Index> replicas =
        ready_only
            ? std::vector<Index>(bundle.ready.begin(), bundle.ready.end())
            : bundle.Replicas();
    double capacity = 0;
    for (const Index server : replicas) {
      capacity += servers_[server].capacity;
    }
    for (const Index server : replicas) {
      bundle.flow[server] =
          bundle.demand * servers_[server].capacity / std::max(capacity, 1.0);
    }
  }
  for (int iteration = 0; iteration <= kSpreadIterations; ++iteration) {
    for (ServerState& server : servers_) {
      server.load = 0;
    }
    for (const BundleState& bundle : bundles_) {
      for (const auto& [server, tokens] : bundle.flow) {
        servers_[server].load += tokens;
      }
    }
    if (iteration == kSpreadIterations) {
      break;
    }
    for (BundleState& bundle : bundles_) {
      if (bundle.flow.size() < 2 || bundle.demand <= 0) {
        continue;
      }
      double total = 0;
      for (auto& [server, tokens] : bundle.flow) {
        const double utilization =
            std::max(servers_[server].load / servers_[server].capacity, 0.05);
        tokens = std::max(tokens / utilization, kMinFlowWeight);
        total += tokens;
      }
      for (auto& [server, tokens] : bundle.flow) {
        tokens *= bundle.demand / total;
      }
    }
  }
  for (BundleState& bundle : bundles_) {
    for (auto& [server, tokens] : bundle.flow) {
      const ServerState& state = servers_[server];
      tokens *= std::min(1.0, state.capacity / std::max(state.load, 1e-9));
      bundle.served += tokens;
    }
  }
  for (ServerState& server : servers_) {
    server.load = std::min(server.load, server.capacity);
  }
}

void DomainState::AssignUnmetDemand(Index bundle, Index server) {
  BundleState& bundle_state = bundles_[bundle];
  ServerState& server_state = servers_[server];
  const double moved =
      std::min(bundle_state.Unmet(),
               std::max(0.0, server_state.capacity - server_state.load));
  bundle_state.flow[server] += moved;
  bundle_state.served += moved;
  server_state.load += moved;
}

void DomainState::ComputeTeamDeficits() {
  std::map<ModelId, std::pair<double, double>> by_model;  // requested, served
  for (const BundleState& bundle : bundles_) {
    auto& [requested, served] = by_model[bundle.bundle->base.model];
    requested += bundle.demand;
    served += bundle.served;
  }
  std::map<ModelId, double> deficits;
  double max_deficit = 0;
  for (const auto& [id, team] : input_.configuration.teams) {
    double requested = 0;
    double served = 0;
    for (const ModelId& model : team.models) {
      requested += by_model[model].first;
      served += by_model[model].second;
    }
    const double deficit = requested > 0 ? 1 - served / requested : 0;
    max_deficit = std::max(max_deficit, deficit);
    for (const ModelId& model : team.models) {
      deficits[model] = std::max(deficits[model], deficit);
    }
  }
  for (BundleState& bundle : bundles_) {
    const double deficit = deficits[bundle.bundle->base.model];
    bundle.deficit = max_deficit > 0 ? deficit / max_deficit : 0;
  }
}

}  // namespace figwell::placement
