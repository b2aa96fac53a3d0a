#include <algorithm>
#include <cmath>

#include "figwell/serving/demand.h"

namespace figwell::serving {
namespace {

// Time constants of level and trend. A shorter one shows a shift of demand
// sooner; with a longer one a burst of arrivals is less often taken for a
// shift.
constexpr double kLevelTimeConstantSeconds = 0.8;
constexpr double kTrendTimeConstantSeconds = 1.5;
// How far ahead a falling trend is extrapolated.
constexpr double kMaxFallingHorizonSeconds = 1.0;
// Updates that follow the last one sooner than this are ignored.
constexpr Duration kMinUpdateInterval = std::chrono::milliseconds(200);
// Models without demand are removed once their level, in milliseconds of work
// per second, is below this.
constexpr double kMinTrackedWorkMsPerSecond = 0.5;

}  // namespace

void DemandForecast::Update(TimePoint now, const Demand& demand) {
  requests_ = demand.requests;
  if (!updated_) {
    updated_ = now;
    for (const auto& [model, work] : demand.work) {
      work_[model] = {work, 0};
    }
    return;
  }
  if (now - *updated_ < kMinUpdateInterval) {
    return;
  }
  const double seconds = std::chrono::duration<double>(now - *updated_).count();
  updated_ = now;
  for (const auto& [model, work] : demand.work) {
    work_.try_emplace(model);
  }
  const double level_weight =
      1 - std::exp(-seconds / kLevelTimeConstantSeconds);
  const double trend_weight =
      1 - std::exp(-seconds / kTrendTimeConstantSeconds);
  for (auto& [model, series] : work_) {
    const auto found = demand.work.find(model);
    const double work = found == demand.work.end() ? 0 : found->second;
    const double previous_level = series.level;
    const double expected = previous_level + series.trend * seconds;
    series.level = std::max(0.0, expected + level_weight * (work - expected));
    const double slope = (series.level - previous_level) / seconds;
    series.trend += trend_weight * (slope - series.trend);
  }
  std::erase_if(work_, [&](const auto& item) {
    return item.second.level < kMinTrackedWorkMsPerSecond &&
           !demand.work.contains(item.first);
  });
}

Demand DemandForecast::Predict(Duration ahead) const {
  const double seconds = std::chrono::duration<double>(ahead).count();
  double total = 0;
  for (const auto& [model, series] : work_) {
    total += series.level;
  }
  Demand demand;
  demand.requests = requests_;
  for (const auto& [model, series] : work_) {
    const double horizon = series.trend < 0
                               ? std::min(seconds, kMaxFallingHorizonSeconds)
                               : seconds;
    const double work = series.level + series.trend * horizon;
    demand.work.emplace(model, std::clamp(work, 0.0, total));
  }
  return demand;
}

}  // namespace figwell::serving
