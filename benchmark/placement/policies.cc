#include "policies.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace figwell::placement::benchmark {
namespace {

using Target = std::map<ServerId, std::set<Item>>;

std::int64_t FreeBytes(const ServerView& view) {
  return view.memory_bytes - ReservedBytes(view.ledger);
}

bool Holds(const ServerView& view, const Item& base) {
  return view.ledger.resident.contains(base);
}

/** Loads or unloads the bundle with its adapters. */
void AddMoves(std::vector<Move>& moves, Action action, const ServerId& server,
              const Bundle& bundle) {
  moves.push_back({server, action, bundle.base, bundle.bytes, {}});
  for (const auto& [item, bytes] : bundle.adapters) {
    moves.push_back({server, action, item, bytes, {}});
  }
}

/**
 * Unloads bundles that the target does not contain until `missing_bytes` are
 * freed. Returns the bytes still missing; zero or less if there are enough.
 */
std::int64_t FreeRoom(std::int64_t missing_bytes, const ServerId& id,
                      const std::set<Item>& target_items,
                      const PlanInput& input, std::set<Item>& unloaded,
                      std::vector<Move>& moves) {
  for (const auto& [base, bundle] : input.bundles) {
    if (missing_bytes > 0 && Holds(input.servers.at(id), base) &&
        !target_items.contains(base) && unloaded.insert(base).second) {
      AddMoves(moves, Action::kUnload, id, bundle);
      missing_bytes -= bundle.TotalBytes();
    }
  }
  return missing_bytes;
}

/**
 * Plans moves towards a target: loads as the limits allow, and unloads what is
 * not in the target where memory is needed.
 */
std::vector<Move> Approach(const Target& target, const PlanInput& input) {
  std::vector<Move> moves;
  int loads = input.loads_allowed;
  for (const auto& [id, view] : input.servers) {
    const std::set<Item>& target_items = target.at(id);
    std::int64_t free = FreeBytes(view);
    std::set<Item> unloaded;
    for (const Item& base : target_items) {
      const Bundle& bundle = input.bundles.at(base);
      const std::int64_t bytes_needed = bundle.TotalBytes();
      if (Holds(view, base) || loads <= 0) {
        continue;
      }
      if (free < bytes_needed) {
        free = bytes_needed - FreeRoom(bytes_needed - free, id, target_items,
                                       input, unloaded, moves);
      }
      if (free >= bytes_needed) {
        AddMoves(moves, Action::kLoad, id, bundle);
        free -= bytes_needed;
        --loads;
      }
    }
  }
  return moves;
}

class FigwellPolicy : public Policy {
 public:
  std::vector<Move> Decide(TimePoint /*now*/, const PlanInput& input) override {
    return PlanMoves(input);
  }
};

/**
 * Places one replica of each model, then a second one of each, largest first,
 * where memory is left.
 */
class StaticPolicy : public Policy {
 public:
  std::vector<Move> Decide(TimePoint /*now*/, const PlanInput& input) override {
    if (target_.empty()) {
      MakeTarget(input);
    }
    return Approach(target_, input);
  }

 private:
  void MakeTarget(const PlanInput& input) {
    std::map<ServerId, std::int64_t> free;
    for (const auto& [id, view] : input.servers) {
      free[id] = view.memory_bytes;
      target_[id];
    }
    std::vector<const Bundle*> by_size;
    for (const auto& [base, home] : input.homes) {
      by_size.push_back(&input.bundles.at(base));
    }
    std::stable_sort(by_size.begin(), by_size.end(),
                     [](const Bundle* left, const Bundle* right) {
                       return left->bytes > right->bytes;
                     });
    // Balances free memory if all models fit that way; otherwise uses the
    // layout's placement.
    if (!std::all_of(by_size.begin(), by_size.end(), [&](const Bundle* bundle) {
          return PlaceOnFreestServer(*bundle, free);
        })) {
      UseLayout(input, free);
    }
    for (const Bundle* bundle : by_size) {
      PlaceOnFreestServer(*bundle, free);
    }
  }

  void UseLayout(const PlanInput& input,
                 std::map<ServerId, std::int64_t>& free) {
    for (auto& [id, bundles] : target_) {
      bundles.clear();
      free[id] = input.servers.at(id).memory_bytes;
    }
    for (const auto& [base, home] : input.homes) {
      target_[home].insert(base);
      free[home] -= input.bundles.at(base).TotalBytes();
    }
  }

  bool PlaceOnFreestServer(const Bundle& bundle,
                           std::map<ServerId, std::int64_t>& free) {
    const ServerId* best = nullptr;
    for (const auto& [id, room] : free) {
      if (!target_[id].contains(bundle.base) &&
          (best == nullptr || room > free[*best])) {
        best = &id;
      }
    }
    if (best == nullptr || free[*best] < bundle.TotalBytes()) {
      return false;
    }
    free[*best] -= bundle.TotalBytes();
    target_[*best].insert(bundle.base);
    return true;
  }

  Target target_;
};

/**
 * Sends a model's demand to as many servers as it needs, in rendezvous order.
 * Each of them loads the model on demand and evicts the least recently used
 * models to make room.
 */
class LeastRecentlyUsedPolicy : public Policy {
 public:
  std::vector<Move> Decide(TimePoint now, const PlanInput& input) override {
    std::vector<Move> moves;
    int loads = input.loads_allowed;
    std::map<ServerId, std::int64_t> free;
    for (const auto& [id, view] : input.servers) {
      free[id] = FreeBytes(view);
    }
    for (const auto& [base, rate] : input.demand) {
      for (const ServerId& server : Route(base, rate, input)) {
        last_used_[{server, base}] = now;
        const Bundle& bundle = input.bundles.at(base);
        const ServerView& view = input.servers.at(server);
        if (Holds(view, base) || loads <= 0) {
          continue;
        }
        if (free[server] < bundle.TotalBytes()) {
          Evict(now, server, bundle.TotalBytes() - free[server], input, moves);
          continue;  // It loads in a later round, into the freed memory.
        }
        AddMoves(moves, Action::kLoad, server, bundle);
        free[server] -= bundle.TotalBytes();
        --loads;
      }
    }
    return moves;
  }

 private:
  static std::vector<ServerId> Route(const Item& base, double rate,
                                     const PlanInput& input) {
    std::vector<std::pair<std::uint64_t, ServerId>> order;
    double capacity = 1;
    for (const auto& [id, view] : input.servers) {
      order.emplace_back(RendezvousWeight(base.model.value(), id.value()), id);
      capacity = view.accelerators * input.options.accelerator_rate;
    }
    std::sort(order.rbegin(), order.rend());
    const auto servers_needed = std::max<std::size_t>(
        1, static_cast<std::size_t>(std::ceil(rate / capacity)));
    std::vector<ServerId> servers;
    for (std::size_t i = 0; i < std::min(servers_needed, order.size()); ++i) {
      servers.push_back(order[i].second);
    }
    return servers;
  }

  void Evict(TimePoint now, const ServerId& server, std::int64_t bytes,
             const PlanInput& input, std::vector<Move>& moves) {
    std::vector<std::pair<TimePoint, Item>> oldest;
    for (const auto& [base, bundle] : input.bundles) {
      if (Holds(input.servers.at(server), base)) {
        oldest.emplace_back(last_used_[{server, base}], base);
      }
    }
    std::sort(oldest.begin(), oldest.end());
    for (const auto& [used, base] : oldest) {
      if (bytes <= 0) {
        return;
      }
      AddMoves(moves, Action::kUnload, server, input.bundles.at(base));
      bytes -= input.bundles.at(base).TotalBytes();
      last_used_[{server, base}] = now;
    }
  }

  std::map<std::pair<ServerId, Item>, TimePoint> last_used_;
};

/**
 * Places as many replicas as the demand needs by best fit, from scratch at each
 * interval.
 */
class GreedyPolicy : public Policy {
 public:
  static constexpr Duration kReplanInterval = std::chrono::seconds(60);

  std::vector<Move> Decide(TimePoint now, const PlanInput& input) override {
    if (target_.empty() || now >= replan_at_) {
      replan_at_ = now + kReplanInterval;
      MakeTarget(input);
    }
    return Approach(target_, input);
  }

 private:
  struct SpareCapacity {
    std::int64_t bytes = 0;
    double rate = 0;
  };

  void MakeTarget(const PlanInput& input) {
    target_.clear();
    std::map<ServerId, SpareCapacity> spare;
    for (const auto& [id, view] : input.servers) {
      target_[id];
      spare[id] = {view.memory_bytes,
                   view.accelerators * input.options.accelerator_rate};
    }
    std::vector<std::pair<double, const Bundle*>> order;
    for (const auto& [base, bundle] : input.bundles) {
      const auto rate = input.demand.find(base);
      order.emplace_back(rate == input.demand.end() ? 0 : rate->second,
                         &bundle);
    }
    std::stable_sort(
        order.begin(), order.end(), [](const auto& left, const auto& right) {
          return left.second->TotalBytes() > right.second->TotalBytes();
        });
    for (auto& [rate, bundle] : order) {
      Place(*bundle, rate, spare);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& left, const auto& right) {
                       return left.first > right.first;
                     });
    for (auto& [rate, bundle] : order) {
      while (rate > 0 && Place(*bundle, rate, spare)) {
      }
    }
  }

  /**
   * Places one replica on the server with the most spare rate; among equals, on
   * the one with the least free memory that suffices.
   */
  bool Place(const Bundle& bundle, double& rate,
             std::map<ServerId, SpareCapacity>& spare) {
    const ServerId* best = nullptr;
    for (const auto& [id, room] : spare) {
      if (room.bytes < bundle.TotalBytes() ||
          target_[id].contains(bundle.base)) {
        continue;
      }
      if (best == nullptr || room.rate > spare[*best].rate ||
          (room.rate == spare[*best].rate && room.bytes < spare[*best].bytes)) {
        best = &id;
      }
    }
    if (best == nullptr) {
      return false;
    }
    SpareCapacity& room = spare[*best];
    target_[*best].insert(bundle.base);
    room.bytes -= bundle.TotalBytes();
    const double served_rate = std::min(rate, room.rate);
    room.rate -= served_rate;
    rate -= served_rate;
    return true;
  }

  Target target_;
  TimePoint replan_at_;
};

}  // namespace

std::string_view Name(PolicyKind kind) {
  switch (kind) {
    case PolicyKind::kFigwell:
      return "figwell";
    case PolicyKind::kStatic:
      return "static by size";
    case PolicyKind::kLeastRecentlyUsed:
      return "LRU on demand";
    case PolicyKind::kGreedy:
      return "greedy best fit";
  }
  return "";
}

std::unique_ptr<Policy> MakePolicy(PolicyKind kind) {
  switch (kind) {
    case PolicyKind::kFigwell:
      return std::make_unique<FigwellPolicy>();
    case PolicyKind::kStatic:
      return std::make_unique<StaticPolicy>();
    case PolicyKind::kLeastRecentlyUsed:
      return std::make_unique<LeastRecentlyUsedPolicy>();
    case PolicyKind::kGreedy:
      return std::make_unique<GreedyPolicy>();
  }
  return nullptr;
}

}  // namespace figwell::placement::benchmark
