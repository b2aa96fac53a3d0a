#include <algorithm>

#include "replica_planner.h"

namespace figwell::serving {
namespace {

// The value of a model's first replica in addition to the model's demand: of a
// model without requests, and of one with requests. All values are in
// milliseconds of work per second, as demand is.
constexpr double kMissingWork = 150;
constexpr double kAskedForWork = 600;
// Added to the value of a requested model without a replica for each load time
// that it has waited. Slow loads leave model slots idle for longer, so models
// with slow loads wait longer.
constexpr double kWaitingWork = 450;
constexpr Duration kShortestLoad = std::chrono::milliseconds(500);
// A server does no more work per second, whatever the demand of its replicas.
constexpr double kServerWork = 1'000;
// A replica is evicted only for one worth more than this many times as much.
constexpr double kClearGain = 1.5;
// The last replica of a requested model stays for at least this many load
// times, so that model slots serve requests most of the time.
constexpr int kTenureLoads = 3;

}  // namespace

Duration Planner::LoadTime(const ModelId& model) const {
  const auto spec = input_.engine.models.find(model);
  return spec == input_.engine.models.end() ? longest_load_
                                            : spec->second.load_time;
}

double Planner::WorthOfNextCopy(const ModelId& model) const {
  const double work = Work(model);
  if (Copies(model) > 0) {
    return work / (Copies(model) + 1);
  }
  if (work <= 0) {
    return kMissingWork;
  }
  double waiting = 0;
  if (scarce_ && input_.history != nullptr) {
    const Duration load = std::max(kShortestLoad, LoadTime(model));
    waiting = std::chrono::duration<double>(
                  input_.history->UnreachableFor(input_.now, model)) /
              load;
  }
  return work + kAskedForWork + waiting * kWaitingWork;
}

double Planner::Loss(const ModelId& model) const {
  if (!input_.engine.models.contains(model)) {
    return 0;
  }
  const int copies = Copies(model);
  if (copies < 2) {
    return IsAskedFor(model)
               ? std::min(Work(model), kServerWork) + kAskedForWork
               : kMissingWork;
  }
  const double loss = WorkPerCopy(model, copies - 1);
  return scarce_ ? std::min(loss, kServerWork) : loss;
}

bool Planner::MayYieldLast(const ServerId& id, const ModelId& model,
                           const ModelId& wanted) const {
  if (!scarce_ || !IsAskedFor(wanted)) {
    return false;
  }
  if (!IsAskedFor(model)) {
    return true;
  }
  const bool served_a_while = input_.history != nullptr &&
                              input_.history->HeldFor(input_.now, id, model) >=
                                  kTenureLoads * LoadTime(model);
  return Copies(wanted) == 0 && served_a_while &&
         Loss(model) * kClearGain < WorthOfNextCopy(wanted);
}

bool Planner::MayYield(const ServerId& id, const ModelId& model,
                       const ModelId& wanted) const {
  if (model == wanted) {
    return false;
  }
  const int copies = Copies(model);
  const bool configured = input_.engine.models.contains(model);
  if (configured && copies < 2) {
    return MayYieldLast(id, model, wanted);
  }
  const double gain = WorthOfNextCopy(wanted);
  return Copies(wanted) == 0
             ? Loss(model) <= gain
             : copies > Target(model) && Loss(model) * kClearGain < gain;
}

std::optional<ModelId> Planner::Victim(const ServerId& id,
                                       const ModelId& wanted) const {
  std::optional<ModelId> victim;
  double least = 0;
  double longest_idle = 0;
  for (const auto& [model, adapters] : input_.servers.at(id).models) {
    if (!MayYield(id, model, wanted)) {
      continue;
    }
    const double loss = Loss(model);
    const double idle = IdleSeconds(model);
    if (!victim || loss < least || (loss == least && idle > longest_idle)) {
      victim = model;
      least = loss;
      longest_idle = idle;
    }
  }
  return victim;
}

}  // namespace figwell::serving
