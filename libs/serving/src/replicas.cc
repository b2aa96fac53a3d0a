#include "figwell/serving/replicas.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "replica_planner.h"

namespace figwell::serving {
namespace {

// Work per replica, in milliseconds per second, from which a further replica is
// worth its model slot.
constexpr double kWorthACopy = 120;
// The cost of an eviction in addition to the value of the evicted replica, in
// milliseconds of work per second: an empty model slot is preferred unless its
// server has this much more work.
constexpr double kEvictionCost = 600;
// Each second without requests, up to a minute, lowers the cost of an eviction
// by this many milliseconds of work per second: of equal candidates the least
// recently used one is evicted.
constexpr double kIdleSecond = 1;
constexpr double kMostIdleSeconds = 60;
// One more replica may be evicted ahead of the load that replaces it for each
// such span of the longest load time.
constexpr Duration kLoadTimeAnUnload = std::chrono::milliseconds(2'500);

}  // namespace

Planner::Planner(const ReplicaPlanInput& input)
    : input_(input), loads_left_(input.loads_allowed) {
  NoteSizes();
  for (const auto& [id, server] : input_.servers) {
    for (const auto& [model, adapters] : server.models) {
      ++copies_[model];
      holders_[model].push_back(id);
      adapters_held_[id] += static_cast<int>(adapters.size());
      for (const std::string& adapter : adapters) {
        ++adapter_copies_[{model, adapter}];
      }
    }
    if (IsLoading(server) && !server.loading->empty()) {
      ++copies_[*server.loading];
    }
  }
}

void Planner::NoteSizes() {
  double largest_adapter = 0;
  double sum = 0;
  for (const auto& [id, spec] : input_.engine.models) {
    largest_adapter =
        std::max(largest_adapter, spec.adapters > 0 ? spec.adapter_mb : 0);
    largest_weight_ = std::max(largest_weight_, spec.weights_mb);
    longest_load_ = std::max(longest_load_, spec.load_time);
    sum += spec.weights_mb;
  }
  average_weight_ = sum / static_cast<double>(std::max<std::size_t>(
                              1, input_.engine.models.size()));
  capacity_ =
      input_.engine.weights_mb - largest_adapter * input_.engine.adapter_slots;
}

std::vector<ReplicaMove> Planner::Plan() {
  SetTargets();
  ReserveLoadsForVacancies();
  PlaceModels();
  PlaceAdapters();
  if (input_.rebalance) {
    AddBusyAdapters();
    FillVacancies();
  }
  return std::move(moves_);
}

double Planner::Work(const ModelId& model) const {
  const auto found = input_.demand.work.find(model);
  return found == input_.demand.work.end() ? 0 : found->second;
}

double Planner::WorkPerCopy(const ModelId& model, int copies) const {
  return copies > 0 ? Work(model) / copies
                    : std::numeric_limits<double>::infinity();
}

int Planner::Copies(const ModelId& model) const {
  const auto found = copies_.find(model);
  return found == copies_.end() ? 0 : found->second;
}

double Planner::ServerWork(const EngineState& server) const {
  double work = 0;
  for (const auto& [model, adapters] : server.models) {
    work += WorkPerCopy(model, Copies(model));
  }
  return work;
}

bool Planner::Free(const ServerId& id) const {
  return input_.servers.at(id).orderable && !ordered_.contains(id);
}

double Planner::WeightOf(const ModelId& model) const {
  const auto spec = input_.engine.models.find(model);
  // A held model that is not in the configuration counts as the largest one.
  if (spec != input_.engine.models.end()) {
    return spec->second.weights_mb;
  }
  return largest_weight_;
}

double Planner::UsedMb(const EngineState& server) const {
  double used = 0;
  for (const auto& [model, adapters] : server.models) {
    used += WeightOf(model);
  }
  return used;
}

bool Planner::Fits(const EngineState& server, const ModelId& model) const {
  return UsedMb(server) + WeightOf(model) <= capacity_;
}

void Planner::Add(const ServerId& server, OrderAction action,
                  const ModelTarget& target, MoveReason reason) {
  moves_.push_back({server, action, target, reason, false});
  ordered_.insert(server);
}

void Planner::LoadModel(const ServerId& server, const ModelId& model,
                        MoveReason reason) {
  if (!input_.servers.at(server).local_weights.contains(model)) {
    --loads_left_;
  }
  ++copies_[model];
  Add(server, OrderAction::kLoad, {model, {}}, reason);
}

bool Planner::MayLoad(const EngineState& server, const ModelId& model) const {
  return server.local_weights.contains(model) || loads_left_ > 0;
}

void Planner::SetTargets() {
  int places = 0;
  for (const auto& [id, server] : input_.servers) {
    places += PlacesOf(server);
  }
  scarce_ = places < static_cast<int>(input_.engine.models.size());
  if (scarce_) {
    SetScarceTargets(places);
    return;
  }
  for (const auto& [id, spec] : input_.engine.models) {
    targets_[id] = 1;
    --places;
  }
  SetFurtherTargets(places);
}

void Planner::SetScarceTargets(int places) {
  int asked = 0;
  for (const auto& [id, spec] : input_.engine.models) {
    asked += IsAskedFor(id) ? 1 : 0;
    targets_[id] = IsAskedFor(id) ? 1 : 0;
  }
  places -= asked;
  SetFurtherTargets(places);
  // Models without requests stay loaded as long as nothing needs their slots.
  for (auto& [id, target] : targets_) {
    if (target == 0 && Copies(id) > 0) {
      target = 1;
    }
  }
}

void Planner::SetFurtherTargets(int places) {
  const int most = static_cast<int>(input_.servers.size());
  while (places > 0) {
    const ModelId* next = nullptr;
    double largest = kWorthACopy;
    for (const auto& [id, target] : targets_) {
      const double work = target > 0 ? Work(id) / target : 0;
      if (target < most && work > largest) {
        next = &id;
        largest = work;
      }
    }
    if (next == nullptr) {
      return;
    }
    ++targets_[*next];
    --places;
  }
}

int Planner::PlacesOf(const EngineState& server) const {
  const double left = capacity_ - UsedMb(server);
  return static_cast<int>(server.models.size()) +
         static_cast<int>(std::max(0.0, left) / std::max(1.0, average_weight_));
}

void Planner::ReserveLoadsForVacancies() {
  evictions_left_ = input_.loads_allowed + UnloadsAhead();
  for (const auto& [id, server] : input_.servers) {
    const int taken =
        static_cast<int>(server.models.size()) + (IsLoading(server) ? 1 : 0);
    evictions_left_ -= std::max(0, PlacesOf(server) - taken);
  }
}

int Planner::UnloadsAhead() const {
  return static_cast<int>(longest_load_ / kLoadTimeAnUnload);
}

bool Planner::IsLoading(const EngineState& server) const {
  return server.loading && !server.models.contains(*server.loading) &&
         server.loads;
}

int Planner::Target(const ModelId& model) const {
  const auto found = targets_.find(model);
  return found == targets_.end() ? 0 : found->second;
}

double Planner::IdleSeconds(const ModelId& model) const {
  if (input_.history == nullptr) {
    return 0;
  }
  const Duration idle = input_.history->IdleFor(input_.now, model);
  return std::min(kMostIdleSeconds,
                  std::chrono::duration<double>(idle).count());
}

std::optional<Planner::Place> Planner::FindPlace(const ModelId& model) const {
  std::optional<Place> best;
  for (const auto& [id, server] : input_.servers) {
    if (!Free(id) || server.models.contains(model) || !MayLoad(server, model)) {
      continue;
    }
    Place place{id, std::nullopt, ServerWork(server)};
    if (!Fits(server, model)) {
      const bool fast = server.local_weights.contains(model);
      const bool may_wait = Copies(model) > 0 || scarce_;
      if (!fast && evictions_left_ <= 0 && may_wait) {
        continue;
      }
      place.victim = Victim(id, model);
      if (!place.victim) {
        continue;
      }
      place.cost += kEvictionCost + Loss(*place.victim) -
                    kIdleSecond * IdleSeconds(*place.victim);
    }
    if (!server.local_weights.contains(model)) {
      place.cost += kBusyWork;  // a load from the weight store is slow
    }
    if (!best || place.cost < best->cost) {
      best = std::move(place);
    }
  }
  return best;
}

void Planner::Carry(const Place& place, const ModelId& model,
                    MoveReason reason) {
  if (place.victim) {
    if (!input_.servers.at(place.server).local_weights.contains(model)) {
      --evictions_left_;
    }
    const bool last = --copies_[*place.victim] == 0;
    // The load follows once the memory is free; its replica counts from now.
    ++copies_[model];
    Add(place.server, OrderAction::kUnload, {*place.victim, {}},
        MoveReason::kMakeRoom);
    moves_.back().last_replica = last;
  } else {
    LoadModel(place.server, model, reason);
  }
}

void Planner::PlaceModels() {
  for (std::size_t moves = 0; moves < input_.servers.size(); ++moves) {
    std::optional<ModelId> next;
    double most = 0;
    for (const auto& [id, target] : targets_) {
      if (Copies(id) >= target || stuck_.contains(id)) {
        continue;
      }
      const double worth = WorthOfNextCopy(id);
      if (!next || worth > most) {
        next = id;
        most = worth;
      }
    }
    if (!next) {
      return;
    }
    const bool missing = Copies(*next) == 0;
    if (!missing && !input_.rebalance) {
      return;  // keep the allowed loads for it until the next rebalance
    }
    if (const auto place = FindPlace(*next)) {
      Carry(*place, *next,
            missing ? MoveReason::kNoReplica : MoveReason::kDemand);
    } else {
      stuck_.insert(*next);
    }
  }
}

void Planner::FillVacancies() {
  std::map<ModelId, int> copies = copies_;
  std::set<ServerId> vacant;
  for (const auto& [id, server] : input_.servers) {
    if (UsedMb(server) < capacity_) {
      vacant.insert(id);
    }
  }
  while (loads_left_ > 0) {
    std::optional<Place> best;
    ModelId model;
    double most = 0;
    for (const auto& [id, spec] : input_.engine.models) {
      const double worth = (1.0 + spec.adapters) / (1.0 + copies[id]);
      if (worth <= most) {
        continue;
      }
      if (auto place = FindVacancy(id, vacant)) {
        best = std::move(place);
        model = id;
        most = worth;
      }
    }
    if (!best) {
      return;
    }
    ++copies[model];
    LoadModel(best->server, model, MoveReason::kSpare);
  }
}

std::optional<Planner::Place> Planner::FindVacancy(
    const ModelId& model, const std::set<ServerId>& vacant) const {
  std::optional<Place> best;
  for (const ServerId& id : vacant) {
    const EngineState& server = input_.servers.at(id);
    if (!Free(id) || server.models.contains(model) || !Fits(server, model)) {
      continue;
    }
    const double cost = ServerWork(server);
    if (!best || cost < best->cost) {
      best = Place{id, std::nullopt, cost};
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
