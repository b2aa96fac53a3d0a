#include "figwell/serving/replica_history.h"

#include <algorithm>
#include <set>

namespace figwell::serving {
namespace {

// A model that is requested again within this time counts as having waited
// throughout.
constexpr Duration kWaitMemory = std::chrono::seconds(30);

Duration Since(TimePoint now, TimePoint then) {
  return std::max(Duration{0}, now - then);
}

}  // namespace

void ReplicaHistory::Update(TimePoint now,
                            const std::map<ServerId, EngineState>& servers,
                            const Demand& demand) {
  if (!updated_) {
    begun_ = now;
    updated_ = true;
  }
  std::map<Copy, TimePoint> held;
  std::set<ModelId> present;
  for (const auto& [id, server] : servers) {
    for (const auto& [model, adapters] : server.models) {
      const auto before = held_since_.find({id, model});
      held.emplace(Copy{id, model},
                   before == held_since_.end() ? now : before->second);
      present.insert(model);
    }
  }
  held_since_ = std::move(held);
  for (const auto& [model, work] : demand.work) {
    if (work > 0) {
      last_asked_[model] = now;
    }
  }
  std::erase_if(unreachable_since_, [&](const auto& item) {
    return present.contains(item.first) ||
           IdleFor(now, item.first) > kWaitMemory;
  });
  for (const auto& [model, work] : demand.work) {
    if (work > 0 && !present.contains(model)) {
      unreachable_since_.try_emplace(model, now);
    }
  }
}

Duration ReplicaHistory::UnreachableFor(TimePoint now,
                                        const ModelId& model) const {
  const auto found = unreachable_since_.find(model);
  return found == unreachable_since_.end() ? Duration{0}
                                           : Since(now, found->second);
}

Duration ReplicaHistory::HeldFor(TimePoint now, const ServerId& server,
                                 const ModelId& model) const {
  const auto found = held_since_.find({server, model});
  return found == held_since_.end() ? Duration{0} : Since(now, found->second);
}

Duration ReplicaHistory::IdleFor(TimePoint now, const ModelId& model) const {
  const auto found = last_asked_.find(model);
  return Since(now, found == last_asked_.end() ? begun_ : found->second);
}

}  // namespace figwell::serving
