#include "figwell/serving/admission.h"

#include <algorithm>

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

// Latency targets up to which a request counts as short-target or
// medium-target, and the priorities of the three classes.
constexpr Duration kNearTarget = milliseconds(1'000);
constexpr Duration kMiddleTarget = milliseconds(3'000);
constexpr int kNearPriority = 2;
constexpr int kMiddlePriority = 4;
constexpr int kDistantPriority = 5;
// A wait counts as a queue if it exceeds the latency target divided by this.
constexpr int kQueueParts = 2;
// Callers accept a Retry-After of up to their remaining time divided by this.
constexpr int kRetryAfterPart = 3;
// Delay from demand to its order, plus from the end of a load to its
// announcement.
constexpr Duration kOrderAndNews = milliseconds(200);

}  // namespace

std::string_view Name(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoConfiguration:
      return "no_configuration";
    case RefusalReason::kNoRoute:
      return "no_route";
    case RefusalReason::kNoKey:
      return "no_key";
    case RefusalReason::kOverRate:
      return "over_rate";
    case RefusalReason::kNoServer:
      return "no_server";
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kTimedOut:
      return "timed_out";
    case RefusalReason::kShed:
      return "shed";
    case RefusalReason::kPaused:
      return "paused";
  }
  return "unknown";
}

int ServerPriority(const Route& route) {
  if (route.latency_target <= kNearTarget) {
    return std::clamp(kNearPriority + std::min(route.rank, 1), 0,
                      kMiddlePriority - 1);
  }
  return route.latency_target <= kMiddleTarget ? kMiddlePriority
                                               : kDistantPriority;
}

std::string_view Name(Admission admission) {
  switch (admission) {
    case Admission::kSend:
      return "send";
    case Admission::kRefuseLate:
      return "late";
    case Admission::kRefuseHopeless:
      return "hopeless";
  }
  return "unknown";
}

Admission Admit(const Route& route, const Choice& choice, Duration elapsed,
                Duration remaining) {
  if (choice.expected > remaining) {
    return Admission::kRefuseHopeless;
  }
  const bool late = route.latency_target.count() > 0 &&
                    elapsed + choice.expected > route.latency_target;
  // The estimate is rough: a wait that is short compared with the target does
  // not count as a queue.
  const bool queued = choice.wait * kQueueParts > route.latency_target;
  if (route.kind == RequestKind::kStreaming && late && queued) {
    return Admission::kRefuseLate;
  }
  return Admission::kSend;
}

Duration RetryAfterForLoad(Duration work_ahead, Duration remaining) {
  return std::max(kMinRetryAfter,
                  std::min(work_ahead, remaining / kRetryAfterPart));
}

Duration RetryAfterForMissing(const MissingTarget& missing,
                              Duration remaining) {
  return RetryAfterForLoad(
      missing.orders_pause + missing.load_time + kOrderAndNews, remaining);
}

}  // namespace figwell::serving
