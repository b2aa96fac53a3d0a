#include <algorithm>
#include <string>
#include <utility>

#include "replica_planner.h"

namespace figwell::serving {
namespace {

// Requests per second and replica from which an adapter gets a further replica.
constexpr double kBusyAdapter = 0.7;

}  // namespace

double Planner::Requests(const ModelTarget& target) const {
  const auto found = input_.demand.requests.find(target);
  return found == input_.demand.requests.end() ? 0 : found->second;
}

int Planner::AdapterCount(const ServerId& id) const {
  const auto found = adapters_held_.find(id);
  return found == adapters_held_.end() ? 0 : found->second;
}

std::optional<ServerId> Planner::AdapterPlace(const ModelTarget& target) const {
  const auto holders = holders_.find(target.model);
  if (holders == holders_.end()) {
    return std::nullopt;
  }
  std::optional<ServerId> best;
  double least = 0;
  for (const ServerId& id : holders->second) {
    const EngineState& server = input_.servers.at(id);
    if (!Free(id) || AdapterCount(id) >= input_.engine.adapter_slots ||
        server.models.at(target.model).contains(target.adapter)) {
      continue;
    }
    const double cost = AdapterCount(id) + ServerWork(server) / kBusyWork;
    if (!best || cost < least) {
      best = id;
      least = cost;
    }
  }
  return best;
}

void Planner::MakeAdapterPlace(const ModelTarget& target) {
  std::optional<ServerId> where;
  std::optional<ModelTarget> victim;
  double least = Requests(target);
  const auto holders = holders_.find(target.model);
  if (holders == holders_.end()) {
    return;
  }
  for (const ServerId& id : holders->second) {
    if (!Free(id)) {
      continue;
    }
    for (const auto& [model, adapters] : input_.servers.at(id).models) {
      for (const std::string& adapter : adapters) {
        const ModelTarget other{model, adapter};
        const int copies = std::max(1, adapter_copies_[other]);
        const double worth =
            copies > 1 ? Requests(other) / copies / 2 : Requests(other);
        if (worth < least) {
          least = worth;
          victim = other;
          where = id;
        }
      }
    }
  }
  if (victim) {
    --adapter_copies_[*victim];
    Add(*where, OrderAction::kUnload, *victim, MoveReason::kAdapterIdle);
  }
}

void Planner::PlaceAdapters() {
  std::vector<ModelTarget> missing;
  for (const auto& [id, spec] : input_.engine.models) {
    if (!holders_.contains(id)) {
      continue;  // no server holds the model, so none can take its adapters
    }
    for (int number = 1; number <= spec.adapters; ++number) {
      std::string name = std::to_string(number);
      name.insert(0, 1, 'a');
      const ModelTarget target{id, std::move(name)};
      const auto copies = adapter_copies_.find(target);
      if (copies == adapter_copies_.end() || copies->second == 0) {
        missing.push_back(target);
      }
    }
  }
  std::stable_sort(missing.begin(), missing.end(),
                   [&](const ModelTarget& left, const ModelTarget& right) {
                     return Requests(left) > Requests(right);
                   });
  for (const ModelTarget& target : missing) {
    if (const auto place = AdapterPlace(target)) {
      ++adapter_copies_[target];
      Add(*place, OrderAction::kLoad, target, MoveReason::kNoReplica);
    } else if (Requests(target) > 0) {
      MakeAdapterPlace(target);
    }
  }
}

void Planner::AddBusyAdapters() {
  std::vector<std::pair<double, ModelTarget>> busy;
  for (const auto& [target, requests] : input_.demand.requests) {
    const int copies = adapter_copies_[target];
    if (copies > 0 && requests / copies > kBusyAdapter) {
      busy.emplace_back(requests / copies, target);
    }
  }
  std::sort(busy.rbegin(), busy.rend());
  for (const auto& [requests, target] : busy) {
    if (const auto place = AdapterPlace(target)) {
      ++adapter_copies_[target];
      Add(*place, OrderAction::kLoad, target, MoveReason::kDemand);
    }
  }
}

}  // namespace figwell::serving
