#include "figwell/serving/replicas.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "replica_planner.h"

namespace figwell::serving {
namespace {

// Work per replica, in milliseconds per second, from which a further replica is
// worth its model slot.
constexpr double kAddReplicaWorkMsPerSecond = 120;
// The cost of an eviction in addition to the value of the evicted replica, in
// milliseconds of work per second: an empty model slot is preferred unless its
// server has this much more work.
constexpr double kEvictionCostMsPerSecond = 600;
// Each second without requests, up to a minute, lowers the cost of an eviction
// by this many milliseconds of work per second: of equal candidates the least
// recently used one is evicted.
constexpr double kIdleCreditMsPerSecond = 1;
constexpr double kMaxIdleSeconds = 60;
// One more replica may be evicted ahead of the load that replaces it for each
// such span of the longest load time.
constexpr Duration kLoadTimePerEarlyEviction = std::chrono::milliseconds(2'500);

}  // namespace

Planner::Planner(const ReplicaPlanInput& input)
    : input_(input), loads_left_(input.loads_allowed) {
  ComputeSizes();
  for (const auto& [id, server] : input_.servers) {
    for (const auto& [model, adapters] : server.models) {
      ++replica_counts_[model];
      holders_[model].push_back(id);
      adapter_counts_[id] += static_cast<int>(adapters.size());
      for (const std::string& adapter : adapters) {
        ++adapter_replica_counts_[{model, adapter}];
      }
    }
    for (const ModelTarget& late : server.late_loads) {
      // One that is not known may be of an adapter, too.
      adapter_counts_[id] +=
          late.adapter.empty() && !late.model.empty() ? 0 : 1;
    }
    if (IsLoading(server) && !server.loading->empty()) {
      ++replica_counts_[*server.loading];
    }
  }
}

void Planner::ComputeSizes() {
  double max_adapter_mb = 0;
  double total_weights_mb = 0;
  for (const auto& [id, spec] : input_.engine.models) {
    max_adapter_mb =
        std::max(max_adapter_mb, spec.adapters > 0 ? spec.adapter_mb : 0);
    max_weights_mb_ = std::max(max_weights_mb_, spec.weights_mb);
    max_load_time_ = std::max(max_load_time_, spec.load_time);
    total_weights_mb += spec.weights_mb;
  }
  mean_weights_mb_ =
      total_weights_mb / static_cast<double>(std::max<std::size_t>(
                             1, input_.engine.models.size()));
  capacity_mb_ =
      input_.engine.weights_mb - max_adapter_mb * input_.engine.adapter_slots;
}

std::vector<ReplicaMove> Planner::Plan() {
  SetTargets();
  ReserveLoadsForEmptySlots();
  AddModelReplicas();
  AddAdapterReplicas();
  if (input_.rebalance) {
    AddBusyAdapterReplicas();
    FillEmptySlots();
  }
  return std::move(moves_);
}

double Planner::Work(const ModelId& model) const {
  const auto found = input_.demand.work.find(model);
  return found == input_.demand.work.end() ? 0 : found->second;
}

double Planner::WorkPerReplica(const ModelId& model, int replicas) const {
  return replicas > 0 ? Work(model) / replicas
                      : std::numeric_limits<double>::infinity();
}

int Planner::ReplicaCount(const ModelId& model) const {
  const auto found = replica_counts_.find(model);
  return found == replica_counts_.end() ? 0 : found->second;
}

double Planner::ServerWork(const EngineState& server) const {
  double work = 0;
  for (const auto& [model, adapters] : server.models) {
    work += WorkPerReplica(model, ReplicaCount(model));
  }
  return work;
}

bool Planner::IsAvailable(const ServerId& id) const {
  return input_.servers.at(id).orderable && !servers_with_moves_.contains(id);
}

double Planner::WeightsMb(const ModelId& model) const {
  const auto spec = input_.engine.models.find(model);
  // A held model that is not in the configuration counts as the largest one.
  if (spec != input_.engine.models.end()) {
    return spec->second.weights_mb;
  }
  return max_weights_mb_;
}

double Planner::UsedMb(const EngineState& server) const {
  double used_mb = 0;
  for (const auto& [model, adapters] : server.models) {
    used_mb += WeightsMb(model);
  }
  for (const ModelTarget& late : server.late_loads) {
    if (late.adapter.empty() && !server.models.contains(late.model)) {
      used_mb += WeightsMb(late.model);
    }
  }
  return used_mb;
}

bool Planner::Fits(const EngineState& server, const ModelId& model) const {
  return UsedMb(server) + WeightsMb(model) <= capacity_mb_;
}

void Planner::AddMove(const ServerId& server, OrderAction action,
                      const ModelTarget& target, MoveReason reason) {
  moves_.push_back({server, action, target, reason, false});
  servers_with_moves_.insert(server);
}

void Planner::AddLoad(const ServerId& server, const ModelId& model,
                      MoveReason reason) {
  if (!input_.servers.at(server).local_weights.contains(model)) {
    --loads_left_;
  }
  ++replica_counts_[model];
  AddMove(server, OrderAction::kLoad, {model, {}}, reason);
}

bool Planner::MayLoad(const EngineState& server, const ModelId& model) const {
  return server.local_weights.contains(model) || loads_left_ > 0;
}

void Planner::SetTargets() {
  int model_slots = 0;
  for (const auto& [id, server] : input_.servers) {
    model_slots += ModelSlots(server);
  }
  oversubscribed_ = model_slots < static_cast<int>(input_.engine.models.size());
  if (oversubscribed_) {
    SetOversubscribedTargets(model_slots);
    return;
  }
  for (const auto& [id, spec] : input_.engine.models) {
    targets_[id] = 1;
    --model_slots;
  }
  DistributeRemainingSlots(model_slots);
}

void Planner::SetOversubscribedTargets(int model_slots) {
  int requested = 0;
  for (const auto& [id, spec] : input_.engine.models) {
    requested += IsRequested(id) ? 1 : 0;
    targets_[id] = IsRequested(id) ? 1 : 0;
  }
  model_slots -= requested;
  DistributeRemainingSlots(model_slots);
  // Models without requests stay loaded as long as nothing needs their slots.
  for (auto& [id, target] : targets_) {
    if (target == 0 && ReplicaCount(id) > 0) {
      target = 1;
    }
  }
}

void Planner::DistributeRemainingSlots(int model_slots) {
  const int max_replicas = static_cast<int>(input_.servers.size());
  while (model_slots > 0) {
    const ModelId* next = nullptr;
    double max_work = kAddReplicaWorkMsPerSecond;
    for (const auto& [id, target] : targets_) {
      const double work = target > 0 ? Work(id) / target : 0;
      if (target < max_replicas && work > max_work) {
        next = &id;
        max_work = work;
      }
    }
    if (next == nullptr) {
      return;
    }
    ++targets_[*next];
    --model_slots;
  }
}

int Planner::ModelSlots(const EngineState& server) const {
  const double free_mb = capacity_mb_ - UsedMb(server);
  return static_cast<int>(server.models.size()) +
         static_cast<int>(std::max(0.0, free_mb) /
                          std::max(1.0, mean_weights_mb_));
}

void Planner::ReserveLoadsForEmptySlots() {
  evictions_left_ = input_.loads_allowed + MaxEarlyEvictions();
  for (const auto& [id, server] : input_.servers) {
    const int occupied =
        static_cast<int>(server.models.size()) + (IsLoading(server) ? 1 : 0);
    evictions_left_ -= std::max(0, ModelSlots(server) - occupied);
  }
}

int Planner::MaxEarlyEvictions() const {
  return static_cast<int>(max_load_time_ / kLoadTimePerEarlyEviction);
}

bool Planner::IsLoading(const EngineState& server) const {
  return server.loading && !server.models.contains(*server.loading) &&
         server.is_load;
}

int Planner::Target(const ModelId& model) const {
  const auto found = targets_.find(model);
  return found == targets_.end() ? 0 : found->second;
}

double Planner::IdleSeconds(const ModelId& model) const {
  if (input_.history == nullptr) {
    return 0;
  }
  const Duration idle = input_.history->IdleDuration(input_.now, model);
  return std::min(kMaxIdleSeconds, std::chrono::duration<double>(idle).count());
}

std::optional<Planner::Placement> Planner::FindPlacement(
    const ModelId& model) const {
  std::optional<Placement> best;
  for (const auto& [id, server] : input_.servers) {
    if (!IsAvailable(id) || server.models.contains(model) ||
        !MayLoad(server, model)) {
      continue;
    }
    Placement placement{id, std::nullopt, ServerWork(server)};
    if (!Fits(server, model)) {
      const bool has_local_weights = server.local_weights.contains(model);
      const bool may_defer = ReplicaCount(model) > 0 || oversubscribed_;
      if (!has_local_weights && evictions_left_ <= 0 && may_defer) {
        continue;
      }
      placement.evicted = FindEvictionCandidate(id, model);
      if (!placement.evicted) {
        continue;
      }
      placement.cost +=
          kEvictionCostMsPerSecond + EvictionLoss(*placement.evicted) -
          kIdleCreditMsPerSecond * IdleSeconds(*placement.evicted);
    }
    if (!server.local_weights.contains(model)) {
      placement.cost += kWeightStoreLoadCostMsPerSecond;
    }
    if (!best || placement.cost < best->cost) {
      best = std::move(placement);
    }
  }
  return best;
}

void Planner::AddPlacement(const Placement& placement, const ModelId& model,
                           MoveReason reason) {
  if (placement.evicted) {
    if (!input_.servers.at(placement.server).local_weights.contains(model)) {
      --evictions_left_;
    }
    const bool last_replica = --replica_counts_[*placement.evicted] == 0;
    // The load follows once the memory is free; its replica counts from now.
    ++replica_counts_[model];
    AddMove(placement.server, OrderAction::kUnload, {*placement.evicted, {}},
            MoveReason::kMakeRoom);
    moves_.back().last_replica = last_replica;
  } else {
    AddLoad(placement.server, model, reason);
  }
}

void Planner::AddModelReplicas() {
  for (std::size_t moves = 0; moves < input_.servers.size(); ++moves) {
    std::optional<ModelId> next;
    double max_value = 0;
    for (const auto& [id, target] : targets_) {
      if (ReplicaCount(id) >= target || unplaceable_.contains(id)) {
        continue;
      }
      const double value = NextReplicaValue(id);
      if (!next || value > max_value) {
        next = id;
        max_value = value;
      }
    }
    if (!next) {
      return;
    }
    const bool missing = ReplicaCount(*next) == 0;
    if (!missing && !input_.rebalance) {
      return;  // keep the allowed loads for it until the next rebalance
    }
    if (const auto placement = FindPlacement(*next)) {
      AddPlacement(*placement, *next,
                   missing ? MoveReason::kNoReplica : MoveReason::kDemand);
    } else {
      unplaceable_.insert(*next);
    }
  }
}

void Planner::FillEmptySlots() {
  std::map<ModelId, int> replicas = replica_counts_;
  std::set<ServerId> candidates;
  for (const auto& [id, server] : input_.servers) {
    if (UsedMb(server) < capacity_mb_) {
      candidates.insert(id);
    }
  }
  while (loads_left_ > 0) {
    std::optional<Placement> best;
    ModelId model;
    double max_value = 0;
    for (const auto& [id, spec] : input_.engine.models) {
      const double value = (1.0 + spec.adapters) / (1.0 + replicas[id]);
      if (value <= max_value) {
        continue;
      }
      if (auto placement = FindEmptySlot(id, candidates)) {
        best = std::move(placement);
        model = id;
        max_value = value;
      }
    }
    if (!best) {
      return;
    }
    ++replicas[model];
    AddLoad(best->server, model, MoveReason::kSpare);
  }
}

std::optional<Planner::Placement> Planner::FindEmptySlot(
    const ModelId& model, const std::set<ServerId>& candidates) const {
  std::optional<Placement> best;
  for (const ServerId& id : candidates) {
    const EngineState& server = input_.servers.at(id);
    if (!IsAvailable(id) || server.models.contains(model) ||
        !Fits(server, model)) {
      continue;
    }
    const double cost = ServerWork(server);
    if (!best || cost < best->cost) {
      best = Placement{id, std::nullopt, cost};
    }
  }
  return best;
}

std::string_view Name(MoveReason reason) {
  switch (reason) {
    case MoveReason::kNoReplica:
      return "no_copy";
    case MoveReason::kDemand:
      return "demand";
    case MoveReason::kMakeRoom:
      return "make_room";
    case MoveReason::kAdapterIdle:
      return "adapter_idle";
    case MoveReason::kSpare:
      return "spare";
  }
  return "unknown";
}

std::vector<ReplicaMove> PlanReplicas(const ReplicaPlanInput& input) {
  return Planner(input).Plan();
}

}  // namespace figwell::serving
