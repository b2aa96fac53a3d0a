#include <algorithm>
#include <string>
#include <utility>

#include "replica_planner.h"

namespace figwell::serving {
namespace {

// Requests per second and replica from which an adapter gets a further replica.
constexpr double kAddAdapterReplicaRequestsPerSecond = 0.7;

}  // namespace

double Planner::Requests(const ModelTarget& target) const {
  const auto found = input_.demand.requests.find(target);
  return found == input_.demand.requests.end() ? 0 : found->second;
}

int Planner::AdapterCount(const ServerId& id) const {
  const auto found = adapter_counts_.find(id);
  return found == adapter_counts_.end() ? 0 : found->second;
}

std::optional<ServerId> Planner::FindAdapterSlot(
    const ModelTarget& target) const {
  const auto holders = holders_.find(target.model);
  if (holders == holders_.end()) {
    return std::nullopt;
  }
  std::optional<ServerId> best;
  double min_cost = 0;
  for (const ServerId& id : holders->second) {
    const EngineState& server = input_.servers.at(id);
    if (!IsAvailable(id) || AdapterCount(id) >= input_.engine.adapter_slots ||
        server.models.at(target.model).contains(target.adapter)) {
      continue;
    }
    const double cost =
        AdapterCount(id) + ServerWork(server) / kWeightStoreLoadCostMsPerSecond;
    if (!best || cost < min_cost) {
      best = id;
      min_cost = cost;
    }
  }
  return best;
}

void Planner::FreeAdapterSlot(const ModelTarget& target) {
  std::optional<ServerId> server;
  std::optional<ModelTarget> evicted;
  double min_value = Requests(target);
  const auto holders = holders_.find(target.model);
  if (holders == holders_.end()) {
    return;
  }
  for (const ServerId& id : holders->second) {
    if (!IsAvailable(id)) {
      continue;
    }
    for (const auto& [model, adapters] : input_.servers.at(id).models) {
      for (const std::string& adapter : adapters) {
        const ModelTarget other{model, adapter};
        const int replicas = std::max(1, adapter_replica_counts_[other]);
        const double value =
            replicas > 1 ? Requests(other) / replicas / 2 : Requests(other);
        if (value < min_value) {
          min_value = value;
          evicted = other;
          server = id;
        }
      }
    }
  }
  if (evicted) {
    --adapter_replica_counts_[*evicted];
    AddMove(*server, OrderAction::kUnload, *evicted, MoveReason::kAdapterIdle);
  }
}

void Planner::AddAdapterReplicas() {
  std::vector<ModelTarget> missing;
  for (const auto& [id, spec] : input_.engine.models) {
    if (!holders_.contains(id)) {
      continue;  // no server holds the model, so none can take its adapters
    }
    for (int number = 1; number <= spec.adapters; ++number) {
      std::string name = std::to_string(number);
      name.insert(0, 1, 'a');
      const ModelTarget target{id, std::move(name)};
      const auto replicas = adapter_replica_counts_.find(target);
      if (replicas == adapter_replica_counts_.end() || replicas->second == 0) {
        missing.push_back(target);
      }
    }
  }
  std::stable_sort(missing.begin(), missing.end(),
                   [&](const ModelTarget& left, const ModelTarget& right) {
                     return Requests(left) > Requests(right);
                   });
  for (const ModelTarget& target : missing) {
    if (const auto server = FindAdapterSlot(target)) {
      ++adapter_replica_counts_[target];
      AddMove(*server, OrderAction::kLoad, target, MoveReason::kNoReplica);
    } else if (Requests(target) > 0) {
      FreeAdapterSlot(target);
    }
  }
}

void Planner::AddBusyAdapterReplicas() {
  std::vector<std::pair<double, ModelTarget>> busy;
  for (const auto& [target, requests] : input_.demand.requests) {
    const int replicas = adapter_replica_counts_[target];
    if (replicas > 0 &&
        requests / replicas > kAddAdapterReplicaRequestsPerSecond) {
      busy.emplace_back(requests / replicas, target);
    }
  }
  std::sort(busy.rbegin(), busy.rend());
  for (const auto& [requests, target] : busy) {
    if (const auto server = FindAdapterSlot(target)) {
      ++adapter_replica_counts_[target];
      AddMove(*server, OrderAction::kLoad, target, MoveReason::kDemand);
    }
  }
}

}  // namespace figwell::serving
