#include "figwell/serving/copies.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace figwell::serving {
namespace {

// What a slow load costs, in milliseconds of work a second: a server that has
// the weights at hand is chosen unless it has so much more to do.
constexpr double kBusyWork = 350;
// Work a second and copy from which another copy is worth its place.
constexpr double kWorthACopy = 120;
// What giving up another copy costs, in milliseconds of work a second: an empty
// place is taken unless its server has so much more to do.
constexpr double kEvictionCost = 600;
// What a model without a copy counts beyond its demand: it serves nobody.
constexpr double kMissingWork = 150;
// One more copy may give way ahead of its load for each such load time.
constexpr Duration kLoadTimeAnUnload = std::chrono::milliseconds(2'500);
// A copy makes way only for one that is worth so many times as much.
constexpr double kClearGain = 1.5;
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

  /**
   * How many copies each model should have: one each, and the other places to
   * the models with the most work a copy, as far as it is worth a copy.
   */
  void SetTargets() {
    int places = 0;
    for (const auto& [id, server] : input_.servers) {
      places += PlacesOf(server);
    }
    for (const auto& [id, spec] : input_.engine.models) {
      targets_[id] = 1;
      --places;
    }
    const int most = static_cast<int>(input_.servers.size());
    while (places > 0) {
      const ModelId* next = nullptr;
      double largest = kWorthACopy;
      for (const auto& [id, target] : targets_) {
        const double work = Work(id) / target;
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

  /** Models that fit into a server: those it holds, and more of average size.
   */
  int PlacesOf(const EngineState& server) const {
    double sum = 0;
    for (const auto& [id, spec] : input_.engine.models) {
      sum += spec.weights_mb;
    }
    const double average = sum / static_cast<double>(std::max<std::size_t>(
                                     1, input_.engine.models.size()));
    const double left = Capacity() - UsedMb(server);
    return static_cast<int>(server.models.size()) +
           static_cast<int>(std::max(0.0, left) / std::max(1.0, average));
  }

  /**
   * A place that is empty, or is being emptied, waits for a load. No further
   * copy gives way for loads that could not begin.
   */
  void ReserveLoadsForVacancies() {
    evictions_left_ = input_.loads_allowed + UnloadsAhead();
    for (const auto& [id, server] : input_.servers) {
      const int taken =
          static_cast<int>(server.models.size()) + (IsLoading(server) ? 1 : 0);
      evictions_left_ -= std::max(0, PlacesOf(server) - taken);
    }
  }

  /**
   * Copies that may give way before their loads are allowed: an unload waits
   * for its runs to end. A place that stays empty is dear where loads are
   * quick, since the copy that left it would have been worth more.
   */
  int UnloadsAhead() const {
    Duration longest{0};
    for (const auto& [id, spec] : input_.engine.models) {
      longest = std::max(longest, spec.load_time);
    }
    return static_cast<int>(longest / kLoadTimeAnUnload);
  }

  bool IsLoading(const EngineState& server) const {
    return server.loading && !server.models.contains(*server.loading) &&
           server.loads;
  }

  int Target(const ModelId& model) const {
    const auto found = targets_.find(model);
    return found == targets_.end() ? 0 : found->second;
  }

  /**
   * The copy on the server whose loss matters least. It has to be worth
   * clearly less than the one that is wanted, or models would change places
   * over and over.
   */
  std::optional<ModelId> Victim(const EngineState& server,
                                const ModelId& wanted) const {
    const bool missing = Copies(wanted) == 0;
    const double gain = Work(wanted) / (Copies(wanted) + 1);
    std::optional<ModelId> victim;
    double least = 0;
    for (const auto& [model, adapters] : server.models) {
      const bool configured = input_.engine.models.contains(model);
      const int copies = Copies(model);
      if (model == wanted || (configured && copies < 2)) {
        continue;
      }
      const double loss = configured ? WorkPerCopy(model, copies - 1) : 0;
      const bool spare = copies > Target(model) && loss * kClearGain < gain;
      if (!missing && !spare) {
        continue;
      }
      if (!victim || loss < least) {
        victim = model;
        least = loss;
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
  std::optional<Place> FindPlace(const ModelId& model) const {
    std::optional<Place> best;
    for (const auto& [id, server] : input_.servers) {
      if (!Free(id) || server.models.contains(model) ||
          !MayLoad(server, model)) {
        continue;
      }
      Place place{id, std::nullopt, ServerWork(server)};
      if (!Fits(server, model)) {
        const bool fast = server.at_hand.contains(model);
        if (!fast && evictions_left_ <= 0 && Copies(model) > 0) {
          continue;
        }
        place.victim = Victim(server, model);
        if (!place.victim) {
          continue;
        }
        place.cost += kEvictionCost +
                      WorkPerCopy(*place.victim, Copies(*place.victim) - 1);
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
      if (!input_.servers.at(place.server).at_hand.contains(model)) {
        --evictions_left_;
      }
      --copies_[*place.victim];
      // The load follows once the memory is free; it counts from now.
      ++copies_[model];
      Add(place.server, OrderAction::kUnload, {*place.victim, {}},
          MoveReason::kMakeRoom);
    } else {
      LoadModel(place.server, model, reason);
    }
  }

  /** Copies that are missing, those with the most work first. */
  void PlaceModels() {
    for (std::size_t moves = 0; moves < input_.servers.size(); ++moves) {
      std::optional<ModelId> next;
      double most = 0;
      for (const auto& [id, target] : targets_) {
        const int copies = Copies(id);
        if (copies >= target || stuck_.contains(id) ||
            (copies > 0 && !input_.rebalance)) {
          continue;
        }
        const double work =
            copies == 0 ? Work(id) + kMissingWork : Work(id) / (copies + 1);
        if (!next || work > most) {
          next = id;
          most = work;
        }
      }
      if (!next) {
        return;
      }
      const bool missing = Copies(*next) == 0;
      if (const auto place = FindPlace(*next)) {
        Carry(*place, *next,
              missing ? MoveReason::kNoCopy : MoveReason::kDemand);
      } else {
        stuck_.insert(*next);
      }
    }
  }

  /**
   * Takes places that nothing needs for models that may be asked for next:
   * those with many adapters and few copies. Demand moves faster than a load,
   * and a lone copy may be lost with its server.
   */
  void FillVacancies() {
    std::map<ModelId, int> copies = copies_;
    while (loads_left_ > 0) {
      std::optional<Place> best;
      ModelId model;
      double most = 0;
      for (const auto& [id, spec] : input_.engine.models) {
        const double worth = (1.0 + spec.adapters) / (1.0 + copies[id]);
        if (worth <= most) {
          continue;
        }
        if (auto place = FindVacancy(id)) {
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

  std::optional<Place> FindVacancy(const ModelId& model) const {
    std::optional<Place> best;
    for (const auto& [id, server] : input_.servers) {
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
      const double cost = AdapterCount(server) + ServerWork(server) / kBusyWork;
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

  const CopyPlanInput& input_;
  int loads_left_;
  int evictions_left_ = 0;
  std::map<ModelId, int> copies_;
  std::map<ModelTarget, int> adapter_copies_;
  std::map<ModelId, int> targets_;
  std::set<ModelId> stuck_;  // no place can be found now
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
    case MoveReason::kSpare:
      return "spare";
  }
  return "unknown";
}

std::vector<CopyMove> PlanCopies(const CopyPlanInput& input) {
  return Planner(input).Plan();
}

}  // namespace figwell::serving
