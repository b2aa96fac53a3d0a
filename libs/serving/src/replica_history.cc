#include "figwell/serving/replica_history.h"

#include <algorithm>
#include <set>

namespace figwell::serving {
namespace {

// A model that is requested again within this time counts as having waited
// throughout.
constexpr Duration kUnservedResetTimeout = std::chrono::seconds(30);

Duration Elapsed(TimePoint now, TimePoint start) {
  return std::max(Duration{0}, now - start);
}

}  // namespace

void ReplicaHistory::Update(TimePoint now,
                            const std::map<ServerId, EngineState>& servers,
                            const Demand& demand) {
  if (!has_update_) {
    first_update_ = now;
    has_update_ = true;
  }
  std::map<ServerModel, TimePoint> held_since;
  std::set<ModelId> held_models;
  for (const auto& [id, server] : servers) {
    for (const auto& [model, adapters] : server.models) {
      const auto before = held_since_.find({id, model});
      held_since.emplace(ServerModel{id, model},
                         before == held_since_.end() ? now : before->second);
      held_models.insert(model);
    }
  }
  held_since_ = std::move(held_since);
  for (const auto& [model, work] : demand.work) {
    if (work > 0) {
      last_requested_[model] = now;
    }
  }
  std::erase_if(unserved_since_, [&](const auto& item) {
    return held_models.contains(item.first) ||
           IdleDuration(now, item.first) > kUnservedResetTimeout;
  });
  for (const auto& [model, work] : demand.work) {
    if (work > 0 && !held_models.contains(model)) {
      unserved_since_.try_emplace(model, now);
    }
  }
}

Duration ReplicaHistory::UnservedDuration(TimePoint now,
                                          const ModelId& model) const {
  const auto found = unserved_since_.find(model);
  return found == unserved_since_.end() ? Duration{0}
                                        : Elapsed(now, found->second);
}

Duration ReplicaHistory::ReplicaAge(TimePoint now, const ServerId& server,
                                    const ModelId& model) const {
  const auto found = held_since_.find({server, model});
  return found == held_since_.end() ? Duration{0} : Elapsed(now, found->second);
}

Duration ReplicaHistory::IdleDuration(TimePoint now,
                                      const ModelId& model) const {
  const auto found = last_requested_.find(model);
  return Elapsed(
      now, found == last_requested_.end() ? first_update_ : found->second);
}

}  // namespace figwell::serving
