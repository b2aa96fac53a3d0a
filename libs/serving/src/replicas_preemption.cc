#include <algorithm>

#include "replica_planner.h"

namespace figwell::serving {
namespace {

// The value of a model's first replica in addition to the model's demand: of a
// model without requests, and of one with requests. All values are in
// milliseconds of work per second, as demand is.
constexpr double kUnrequestedModelValueMsPerSecond = 150;
constexpr double kRequestedModelValueMsPerSecond = 600;
// Added to the value of a requested model without a replica for each load time
// that it has waited. Slow loads leave model slots idle for longer, so models
// with slow loads wait longer. Load times below the minimum count as the
// minimum.
constexpr double kWaitedLoadTimeValueMsPerSecond = 450;
constexpr Duration kMinLoadTime = std::chrono::milliseconds(500);
// A server does no more work per second, whatever the demand of its replicas.
constexpr double kMaxServerWorkMsPerSecond = 1'000;
// A replica is evicted only for one worth more than this many times as much.
constexpr double kMinGainRatio = 1.5;
// The last replica of a requested model stays for at least this many load
// times, so that model slots serve requests most of the time.
constexpr int kMinResidencyLoadTimes = 3;

}  // namespace

Duration Planner::LoadTime(const ModelId& model) const {
  const auto spec = input_.engine.models.find(model);
  return spec == input_.engine.models.end() ? max_load_time_
                                            : spec->second.load_time;
}

double Planner::NextReplicaValue(const ModelId& model) const {
  const double work = Work(model);
  if (ReplicaCount(model) > 0) {
    return work / (ReplicaCount(model) + 1);
  }
  if (work <= 0) {
    return kUnrequestedModelValueMsPerSecond;
  }
  double waited_load_times = 0;
  if (oversubscribed_ && input_.history != nullptr) {
    const Duration load_time = std::max(kMinLoadTime, LoadTime(model));
    waited_load_times =
        std::chrono::duration<double>(
            input_.history->UnservedDuration(input_.now, model)) /
        load_time;
  }
  return work + kRequestedModelValueMsPerSecond +
         waited_load_times * kWaitedLoadTimeValueMsPerSecond;
}

double Planner::EvictionLoss(const ModelId& model) const {
  if (!input_.engine.models.contains(model)) {
    return 0;
  }
  const int replicas = ReplicaCount(model);
  if (replicas < 2) {
    return IsRequested(model)
               ? std::min(Work(model), kMaxServerWorkMsPerSecond) +
                     kRequestedModelValueMsPerSecond
               : kUnrequestedModelValueMsPerSecond;
  }
  const double loss = WorkPerReplica(model, replicas - 1);
  return oversubscribed_ ? std::min(loss, kMaxServerWorkMsPerSecond) : loss;
}

bool Planner::MayEvictLastReplica(const ServerId& id, const ModelId& model,
                                  const ModelId& incoming) const {
  if (!oversubscribed_ || !IsRequested(incoming)) {
    return false;
  }
  if (!IsRequested(model)) {
    return true;
  }
  const bool past_min_residency =
      input_.history != nullptr &&
      input_.history->ReplicaAge(input_.now, id, model) >=
          kMinResidencyLoadTimes * LoadTime(model);
  return ReplicaCount(incoming) == 0 && past_min_residency &&
         EvictionLoss(model) * kMinGainRatio < NextReplicaValue(incoming);
}

bool Planner::MayEvict(const ServerId& id, const ModelId& model,
                       const ModelId& incoming) const {
  if (model == incoming) {
    return false;
  }
  const int replicas = ReplicaCount(model);
  const bool configured = input_.engine.models.contains(model);
  if (configured && replicas < 2) {
    return MayEvictLastReplica(id, model, incoming);
  }
  const double gain = NextReplicaValue(incoming);
  return ReplicaCount(incoming) == 0
             ? EvictionLoss(model) <= gain
             : replicas > Target(model) &&
                   EvictionLoss(model) * kMinGainRatio < gain;
}

std::optional<ModelId> Planner::FindEvictionCandidate(
    const ServerId& id, const ModelId& incoming) const {
  std::optional<ModelId> candidate;
  double min_loss = 0;
  double max_idle_seconds = 0;
  for (const auto& [model, adapters] : input_.servers.at(id).models) {
    if (!MayEvict(id, model, incoming)) {
      continue;
    }
    const double loss = EvictionLoss(model);
    const double idle_seconds = IdleSeconds(model);
    if (!candidate || loss < min_loss ||
        (loss == min_loss && idle_seconds > max_idle_seconds)) {
      candidate = model;
      min_loss = loss;
      max_idle_seconds = idle_seconds;
    }
  }
  return candidate;
}

}  // namespace figwell::serving
