#include "domain_state.h"

#include <algorithm>

namespace figwell::placement {
namespace {

/** Iterations that shift flow from overloaded replicas to others. */
constexpr int kSpreadRounds = 8;
/** Lower bound of a flow's weight; from 0 it could not grow again. */
constexpr double kLeastWeight = 1e-6;

int OrdersFor(const ServerLedger& ledger, const Item& item) {
  return static_cast<int>(
      std::count_if(ledger.unsettled.begin(), ledger.unsettled.end(),
                    [&](const Order& order) { return order.item == item; }));
}

/** Maximum bytes that unsettled loads of the item may use. */
std::int64_t ArrivingBytes(const ServerLedger& ledger, const Item& item) {
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
  return std::max(resident, ArrivingBytes(ledger, item));
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
bool HasStalled(const ServerView& view, const Item& item) {
  return view.overdue.contains(item) &&
         OrdersFor(view.ledger, item) >= kMaxOrdersPerItem;
}

}  // namespace

std::vector<Index> BundleState::Copies() const {
  std::vector<Index> copies(ready.begin(), ready.end());
  copies.insert(copies.end(), coming.begin(), coming.end());
  return copies;
}

DomainState::DomainState(const PlanInput& input) : input_(input) {
  AddServers();
  AddBundles();
  AddStaleBundles();
  for (Index bundle = 0; bundle < bundles_.size(); ++bundle) {
    index_[bundles_[bundle].bundle->base] = bundle;
  }
  for (Index server = 0; server < servers_.size(); ++server) {
    const ServerLedger& ledger = servers_[server].view->ledger;
    for (const auto& [item, resident] : ledger.resident) {
      FindCopies(item, server);
    }
    for (const Order& order : ledger.unsettled) {
      FindCopies(order.item, server);
    }
    CountRoom(server);
  }
  SpreadDemand(false);
  MeasureTeams();
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
    state.obliged = input_.homes.contains(base);
    if (const auto found = input_.demand.find(base);
        found != input_.demand.end()) {
      state.demand = found->second;
    }
    bundles_.push_back(std::move(state));
  }
}

/** Versions that servers hold of models that now have other versions. */
void DomainState::AddStaleBundles() {
  for (const auto& [id, view] : input_.servers) {
    for (const auto& [item, resident] : view.ledger.resident) {
      if (!item.adapter.empty() || input_.bundles.contains(item) ||
          !input_.configuration.models.contains(item.model)) {
        continue;
      }
      Bundle& bundle = stale_bundles_[item];
      bundle.base = item;
      bundle.bytes = std::max(bundle.bytes, resident.bytes);
    }
  }
  for (const auto& [base, bundle] : stale_bundles_) {
    BundleState state;
    state.bundle = &bundle;
    state.stale = true;
    bundles_.push_back(std::move(state));
  }
}

void DomainState::FindCopies(const Item& base, Index server) {
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
    state.on_unusable = true;
    return;
  }
  if (IsUnsettled(view.ledger, Action::kUnload, base)) {
    return;
  }
  if (present && resident->second.state == ItemState::kReady) {
    state.ready.insert(server);
  } else if (present || !HasStalled(view, base)) {
    state.coming.insert(server);
  } else {
    return;
  }
  servers_[server].bundles.insert(bundle);
}

void DomainState::CountRoom(Index server) {
  ServerState& state = servers_[server];
  const ServerLedger& ledger = state.view->ledger;
  state.free_now = state.view->memory_bytes - ReservedBytes(ledger);
  for (const Index bundle : state.bundles) {
    state.free_now -= MissingBytes(ledger, *bundles_[bundle].bundle);
  }
  state.free_soon = state.free_now;
  for (const auto& [item, resident] : ledger.resident) {
    if (IsUnsettled(ledger, Action::kUnload, item) &&
        !IsUnsettled(ledger, Action::kLoad, item)) {
      state.free_soon += resident.bytes;
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

bool DomainState::MayHold(const BundleState& bundle, Index server) const {
  const ServerView& view = *servers_[server].view;
  const Item& base = bundle.bundle->base;
  const bool pool_fits =
      bundle.bundle->pool.empty() || bundle.bundle->pool == view.pool;
  return view.usable && pool_fits && !bundle.ready.contains(server) &&
         !bundle.coming.contains(server) &&
         !view.ledger.resident.contains(base) &&
         !IsUnsettled(view.ledger, Action::kUnload, base) &&
         OrdersFor(view.ledger, base) < kMaxOrdersPerItem;
}

bool DomainState::IsExtra(const BundleState& bundle, Index server) const {
  return bundle.ready.size() >= 2 && bundle.ready.contains(server);
}

void DomainState::AddCopy(Index bundle, Index server) {
  const std::int64_t bytes = BytesToAdd(bundles_[bundle], server);
  servers_[server].free_now -= bytes;
  servers_[server].free_soon -= bytes;
  servers_[server].bundles.insert(bundle);
  bundles_[bundle].coming.insert(server);
}

void DomainState::RemoveCopy(Index bundle, Index server) {
  servers_[server].free_soon += BytesToFree(bundles_[bundle], server);
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
    const std::vector<Index> copies =
        ready_only
            ? std::vector<Index>(bundle.ready.begin(), bundle.ready.end())
            : bundle.Copies();
    double capacity = 0;
    for (const Index server : copies) {
      capacity += servers_[server].capacity;
    }
    for (const Index server : copies) {
      bundle.flow[server] =
          bundle.demand * servers_[server].capacity / std::max(capacity, 1.0);
    }
  }
  for (int round = 0; round <= kSpreadRounds; ++round) {
    for (ServerState& server : servers_) {
      server.load = 0;
    }
    for (const BundleState& bundle : bundles_) {
      for (const auto& [server, tokens] : bundle.flow) {
        servers_[server].load += tokens;
      }
    }
    if (round == kSpreadRounds) {
      break;
    }
    for (BundleState& bundle : bundles_) {
      if (bundle.flow.size() < 2 || bundle.demand <= 0) {
        continue;
      }
      double total = 0;
      for (auto& [server, tokens] : bundle.flow) {
        const double fullness =
            std::max(servers_[server].load / servers_[server].capacity, 0.05);
        tokens = std::max(tokens / fullness, kLeastWeight);
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

void DomainState::MoveDemand(Index bundle, Index server) {
  BundleState& what = bundles_[bundle];
  ServerState& where = servers_[server];
  const double moved =
      std::min(what.Unmet(), std::max(0.0, where.capacity - where.load));
  what.flow[server] += moved;
  what.served += moved;
  where.load += moved;
}

void DomainState::MeasureTeams() {
  std::map<ModelId, std::pair<double, double>> by_model;  // requested, served
  for (const BundleState& bundle : bundles_) {
    auto& [asked, served] = by_model[bundle.bundle->base.model];
    asked += bundle.demand;
    served += bundle.served;
  }
  std::map<ModelId, double> deficits;
  double worst = 0;
  for (const auto& [id, team] : input_.configuration.teams) {
    double asked = 0;
    double served = 0;
    for (const ModelId& model : team.models) {
      asked += by_model[model].first;
      served += by_model[model].second;
    }
    const double deficit = asked > 0 ? 1 - served / asked : 0;
    worst = std::max(worst, deficit);
    for (const ModelId& model : team.models) {
      deficits[model] = std::max(deficits[model], deficit);
    }
  }
  for (BundleState& bundle : bundles_) {
    const double deficit = deficits[bundle.bundle->base.model];
    bundle.deficit = worst > 0 ? deficit / worst : 0;
  }
}

}  // namespace figwell::placement
