#include "figwell/serving/demand.h"

#include <cmath>

namespace figwell::serving {
namespace {

// Rates below these, in milliseconds of work and in requests per second, are
// dropped: they are too small to be worth a message to the leader.
constexpr double kMinWorkMsPerSecond = 0.5;
constexpr double kMinRequestsPerSecond = 0.02;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double DemandMeter::Decayed(const Rate& rate, TimePoint now) {
  return rate.amount * std::exp(-Seconds(now - rate.updated_at) /
                                Seconds(kDecayTimeConstant));
}

void DemandMeter::Add(Rate& rate, TimePoint now, double amount) {
  rate.amount = Decayed(rate, now) + amount;
  rate.updated_at = now;
}

void DemandMeter::OnRequest(TimePoint now, const ModelTarget& target,
                            Duration work) {
  Add(work_[target.model], now, Seconds(work) * 1e3);
  if (!target.adapter.empty()) {
    Add(requests_[target], now, 1);
  }
}

double DemandMeter::Work(TimePoint now, const ModelId& model) const {
  const auto found = work_.find(model);
  return found == work_.end()
             ? 0
             : Decayed(found->second, now) / Seconds(kDecayTimeConstant);
}

Demand DemandMeter::Rates(TimePoint now) {
  Demand demand;
  const double decay_seconds = Seconds(kDecayTimeConstant);
  for (auto rate = work_.begin(); rate != work_.end();) {
    const double amount = Decayed(rate->second, now) / decay_seconds;
    if (amount < kMinWorkMsPerSecond) {
      rate = work_.erase(rate);
      continue;
    }
    demand.work.emplace(rate->first, amount);
    ++rate;
  }
  for (auto rate = requests_.begin(); rate != requests_.end();) {
    const double amount = Decayed(rate->second, now) / decay_seconds;
    if (amount < kMinRequestsPerSecond) {
      rate = requests_.erase(rate);
      continue;
    }
    demand.requests.emplace(rate->first, amount);
    ++rate;
  }
  return demand;
}

}  // namespace figwell::serving
