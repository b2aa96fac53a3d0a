#include "figwell/serving/attempts.h"

#include <algorithm>

namespace figwell::serving {
namespace {

// Fraction of the budget that is used. The rest is headroom for instances that
// join or leave while their windows slide.
constexpr double kUsedBudgetFraction = 0.8;

// How long callers wait for an event, according to the platform's
// documentation: a minimum, and multiples of the route's latency and pause
// targets.
constexpr Duration kMinStallTimeout = std::chrono::milliseconds(2'000);
constexpr int kStallLatencyTargets = 4;
constexpr int kStallPauseTargets = 8;
// Maximum delay until this instance notices that a caller abandoned a stream.
constexpr Duration kMaxAbandonDetectionDelay = std::chrono::milliseconds(500);

}  // namespace

std::string_view Name(Progress progress) {
  switch (progress) {
    case Progress::kNotSent:
      return "not_sent";
    case Progress::kRejected:
      return "rejected";
    case Progress::kUnknown:
      return "unknown";
    case Progress::kRan:
      return "ran";
    case Progress::kMidStream:
      return "mid_stream";
  }
  return "unknown";
}

bool MayRetry(const Route& route, Progress progress, int sent_to) {
  if (progress == Progress::kNotSent) {
    return true;
  }
  if (sent_to >= route.max_servers) {
    return false;
  }
  if (progress == Progress::kRejected) {
    return true;
  }
  if (progress == Progress::kMidStream) {
    return route.resumable;
  }
  return route.Repeatable();
}

Duration StreamStallTimeout(const Route& route) {
  return kMaxAbandonDetectionDelay +
         std::max({kMinStallTimeout,
                   route.latency_target * kStallLatencyTargets,
                   route.event_gap_target * kStallPauseTargets});
}

RetryBudget::Window& RetryBudget::Trim(TimePoint now,
                                       const ServiceId& service) {
  Window& window = windows_[service];
  const TimePoint window_start = now - bounds_.window;
  const auto trim = [&](std::deque<TimePoint>& times) {
    while (!times.empty() && times.front() < window_start) {
      times.pop_front();
    }
  };
  trim(window.first_sends);
  trim(window.retries);
  return window;
}

void RetryBudget::RecordFirstSend(TimePoint now, const ServiceId& service) {
  Trim(now, service).first_sends.push_back(now);
}

bool RetryBudget::TryConsumeRetry(TimePoint now, const ServiceId& service) {
  Window& window = Trim(now, service);
  const double allowed =
      kUsedBudgetFraction *
      (bounds_.ratio * static_cast<double>(window.first_sends.size()) +
       bounds_.allowance /
           static_cast<double>(std::max<std::size_t>(1, instances_)));
  if (static_cast<double>(window.retries.size()) + 1 > allowed) {
    return false;
  }
  window.retries.push_back(now);
  return true;
}

}  // namespace figwell::serving
