#include <algorithm>

#include "replica_planner.h"

namespace figwell::serving {
namespace {

// In milliseconds of work a second, as demand is: what a model without a copy
// counts beyond its demand if nobody asks for it, and if somebody does.
constexpr double kMissingWork = 150;
constexpr double kAskedForWork = 600;
// What it counts that a model that is asked for has had no copy for as long as
// its load takes. Slow loads leave places idle for longer, so they wait longer.
constexpr double kWaitingWork = 450;
constexpr Duration kShortestLoad = std::chrono::milliseconds(500);
// A server does no more work in a second, whatever is asked of its copies.
constexpr double kServerWork = 1'000;
// A copy makes way only for one that is worth so many times as much.
constexpr double kClearGain = 1.5;
// The last copy of a model that is asked for stays for so many times the load
// that it took, so that most of the time places serve.
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
