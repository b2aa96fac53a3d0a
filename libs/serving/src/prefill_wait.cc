#include "figwell/serving/prefill_wait.h"

#include <algorithm>

namespace figwell::serving {
namespace {

// Weight of each first event: the speed of engines changes within seconds, and
// single waits vary by as much as their mean.
constexpr double kWaitRatioSmoothing = 0.05;
// Waits behind a smaller backlog are ignored: the request's own work dominates
// them.
constexpr Duration kMinSampledBacklog = std::chrono::milliseconds(20);
// Bounds the weight of one request that a slow server delayed: it says nothing
// about the others.
constexpr double kMaxWaitRatioSample = 2.0;

}  // namespace

Duration PrefillWaitEstimator::EstimateWait(Duration prefill_backlog) const {
  return Duration(static_cast<std::int64_t>(
      wait_ratio_ * static_cast<double>(prefill_backlog.count())));
}

void PrefillWaitEstimator::OnFirstEvent(Duration prefill_backlog,
                                        Duration waited) {
  if (prefill_backlog < kMinSampledBacklog) {
    return;
  }
  const double sample = static_cast<double>(waited.count()) /
                        static_cast<double>(prefill_backlog.count());
  wait_ratio_ += kWaitRatioSmoothing *
                 (std::clamp(sample, 0.0, kMaxWaitRatioSample) - wait_ratio_);
}

}  // namespace figwell::serving
