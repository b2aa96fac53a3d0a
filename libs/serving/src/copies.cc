#include "figwell/serving/copies.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace figwell::serving {
namespace {

// A model's servers count as busy above this, in milliseconds of work a
// second; a copy is added only where there is less than kIdleWork.
constexpr double kBusyWork = 350;
constexpr double kIdleWork = 250;
// A victim's remaining servers must stay below this with its work.
constexpr double kVictimWork = 200;
// Requests a second and copy from which an adapter gets another copy.
constexpr double kBusyAdapter = 0.7;

class Planner {
 public:
  explicit Planner(const CopyPlanInput& input)
      : input_(input), loads_left_(input.loads_allowed) {
    for (const auto& [id, server] : input_.servers) {
      for (const auto& [model, adapters] : server.models) {
        ++copies_[model];
        for (const std::string& adapter : adapters) {
          ++adapter_copies_[{model, adapter}];
        }
      }
      if (server.loading && !server.loading->empty() &&
          !server.models.contains(*server.loading)) {
        ++copies_[*server.loading];
      }
    }
  }

  std::vector<CopyMove> Plan() {
    PlaceMissingModels();
    PlaceAdapters();
    if (input_.rebalance) {
      AddBusyModel();
      AddBusyAdapters();
    }
    return std::move(moves_);
  }

 private:
  double Work(const ModelId& model) const {
    const auto found = input_.demand.work.find(model);
    return found == input_.demand.work.end() ? 0 : found->second;
  }
  double Requests(const ModelTarget& target) const {
    const auto found = input_.demand.requests.find(target);
    return found == input_.demand.requests.end() ? 0 : found->second;
  }
  double WorkPerCopy(const ModelId& model, int copies) const {
    return copies > 0 ? Work(model) / copies
                      : std::numeric_limits<double>::infinity();
  }
  int Copies(const ModelId& model) const {
    const auto found = copies_.find(model);
    return found == copies_.end() ? 0 : found->second;
  }

  /** Work a second that reaches a server if each model's copies share. */
  double ServerWork(const EngineState& server) const {
    double work = 0;
    for (const auto& [model, adapters] : server.models) {
      work += WorkPerCopy(model, Copies(model));
    }
    return work;
  }

  bool Free(const ServerId& id) const {
    return input_.servers.at(id).orderable && !ordered_.contains(id);
  }

  /** Memory for weights, without what adapters may take. */
  double Capacity() const {
    double largest = 0;
    for (const auto& [id, spec] : input_.engine.models) {
      largest = std::max(largest, spec.adapters > 0 ? spec.adapter_mb : 0);
    }
    return input_.engine.weights_mb - largest * input_.engine.adapter_slots;
  }
  double WeightOf(const ModelId& model) const {
    const auto spec = input_.engine.models.find(model);
    // What is held and not in the configuration is taken for the largest.
    if (spec != input_.engine.models.end()) {
      return spec->second.weights_mb;
    }
    double largest = 0;
    for (const auto& [id, other] : input_.engine.models) {
      largest = std::max(largest, other.weights_mb);
    }
    return largest;
  }
  double UsedMb(const EngineState& server) const {
    double used = 0;
    for (const auto& [model, adapters] : server.models) {
      used += WeightOf(model);
    }
    return used;
  }
  bool Fits(const EngineState& server, const ModelId& model) const {
    return UsedMb(server) + WeightOf(model) <= Capacity();
  }

  void Add(const ServerId& server, OrderAction action,
           const ModelTarget& target, MoveReason reason) {
    moves_.push_back({server, action, target, reason});
    ordered_.insert(server);
  }

  void LoadModel(const ServerId& server, const ModelId& model,
                 MoveReason reason) {
    if (!input_.servers.at(server).at_hand.contains(model)) {
      --loads_left_;
    }
    ++copies_[model];
    Add(server, OrderAction::kLoad, {model, {}}, reason);
  }

  bool MayLoad(const EngineState& server, const ModelId& model) const {
    return server.at_hand.contains(model) || loads_left_ > 0;
  }

  /** The copy on the server whose loss matters least, if any may go. */
  std::optional<ModelId> Victim(const EngineState& server,
                                const ModelId& wanted) const {
    std::optional<ModelId> victim;
    double least = 0;
    for (const auto& [model, adapters] : server.models) {
      const int copies = Copies(model);
      if (model == wanted || copies < 2) {
        continue;
      }
      const double work = WorkPerCopy(model, copies - 1);
      if (!victim || work < least) {
        victim = model;
        least = work;
      }
    }
    return victim;
  }

  struct Place {
    ServerId server;
    std::optional<ModelId> victim;
    double cost = 0;
  };

  /** Where a further copy costs least; a victim has to go first if it is set.
   */
  std::optional<Place> FindPlace(const ModelId& model, double most_work) const {
    std::optional<Place> best;
    for (const auto& [id, server] : input_.servers) {
      if (!Free(id) || server.models.contains(model) ||
          !MayLoad(server, model)) {
        continue;
      }
      Place place{id, std::nullopt, ServerWork(server)};
      if (!Fits(server, model)) {
        place.victim = Victim(server, model);
        if (!place.victim) {
          continue;
        }
        const double after =
            WorkPerCopy(*place.victim, Copies(*place.victim) - 1);
        if (after > most_work) {
          continue;
        }
        place.cost += after;
      }
      if (!server.at_hand.contains(model)) {
        place.cost += kBusyWork;  // a load from the weight store is slow
      }
      if (!best || place.cost < best->cost) {
        best = std::move(place);
      }
    }
    return best;
  }

  void Carry(const Place& place, const ModelId& model, MoveReason reason) {
    if (place.victim) {
      --copies_[*place.victim];
      Add(place.server, OrderAction::kUnload, {*place.victim, {}},
          MoveReason::kMakeRoom);
    } else {
      LoadModel(place.server, model, reason);
    }
  }

  void PlaceMissingModels() {
    std::vector<ModelId> missing;
    for (const auto& [id, spec] : input_.engine.models) {
      if (Copies(id) == 0) {
        missing.push_back(id);
      }
    }
    std::stable_sort(missing.begin(), missing.end(),
                     [&](const ModelId& left, const ModelId& right) {
                       return Work(left) > Work(right);
                     });
    for (const ModelId& model : missing) {
      const auto place =
          FindPlace(model, std::numeric_limits<double>::infinity());
      if (place) {
        Carry(*place, model, MoveReason::kNoCopy);
      }
    }
  }

  int AdapterCount(const EngineState& server) const {
    int count = 0;
    for (const auto& [model, adapters] : server.models) {
      count += static_cast<int>(adapters.size());
    }
    return count;
  }

  /** The server with a free place that has the fewest adapters. */
  std::optional<ServerId> AdapterPlace(const ModelTarget& target) const {
    std::optional<ServerId> best;
    double least = 0;
    for (const auto& [id, server] : input_.servers) {
      const auto model = server.models.find(target.model);
      if (!Free(id) || model == server.models.end() ||
          model->second.contains(target.adapter) ||
          AdapterCount(server) >= input_.engine.adapter_slots) {
        continue;
      }
      const double cost =
          AdapterCount(server) + ServerWork(server) / kBusyWork;
      if (!best || cost < least) {
        best = id;
        least = cost;
      }
    }
    return best;
  }

  /** Frees a place for `target` by unloading an adapter asked for less. */
  void MakeAdapterPlace(const ModelTarget& target) {
    std::optional<ServerId> where;
    std::optional<ModelTarget> victim;
    double least = Requests(target);
    for (const auto& [id, server] : input_.servers) {
      if (!Free(id) || !server.models.contains(target.model)) {
        continue;
      }
      for (const auto& [model, adapters] : server.models) {
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

  void PlaceAdapters() {
    std::vector<ModelTarget> missing;
    for (const auto& [id, spec] : input_.engine.models) {
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
        Add(*place, OrderAction::kLoad, target, MoveReason::kNoCopy);
      } else if (Requests(target) > 0) {
        MakeAdapterPlace(target);
      }
    }
  }

  void AddBusyAdapters() {
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

  /** The least work of any server that holds the model. */
  double LeastWork(const ModelId& model) const {
    double least = std::numeric_limits<double>::infinity();
    for (const auto& [id, server] : input_.servers) {
      if (server.models.contains(model)) {
        least = std::min(least, ServerWork(server));
      }
    }
    return least;
  }

  void AddBusyModel() {
    std::optional<ModelId> busiest;
    double most = kBusyWork;
    for (const auto& [model, work] : input_.demand.work) {
      if (work <= 0 || Copies(model) == 0 ||
          !input_.engine.models.contains(model)) {
        continue;
      }
      const double least = LeastWork(model);
      // Only a copy for a model that causes the work there helps.
      if (least > most && least < std::numeric_limits<double>::infinity() &&
          WorkPerCopy(model, Copies(model)) > least / 3) {
        busiest = model;
        most = least;
      }
    }
    if (!busiest) {
      return;
    }
    const auto place = FindPlace(*busiest, kVictimWork);
    if (!place ||
        ServerWork(input_.servers.at(place->server)) > kIdleWork) {
      return;
    }
    Carry(*place, *busiest, MoveReason::kDemand);
  }

  const CopyPlanInput& input_;
  int loads_left_;
  std::map<ModelId, int> copies_;
  std::map<ModelTarget, int> adapter_copies_;
  std::set<ServerId> ordered_;
  std::vector<CopyMove> moves_;
};

}  // namespace

std::string_view Name(MoveReason reason) {
  switch (reason) {
    case MoveReason::kNoCopy:
      return "no_copy";
    case MoveReason::kDemand:
      return "demand";
    case MoveReason::kMakeRoom:
      return "make_room";
    case MoveReason::kAdapterIdle:
      return "adapter_idle";
  }
  return "unknown";
}

std::vector<CopyMove> PlanCopies(const CopyPlanInput& input) {
  return Planner(input).Plan();
}

}  // namespace figwell::serving
