#include "figwell/serving/admission.h"

#include <algorithm>

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

// Latency targets up to which a request counts as short-target or
// medium-target, and the priorities of the three classes.
constexpr Duration kShortLatencyTarget = milliseconds(1'000);
constexpr Duration kMediumLatencyTarget = milliseconds(3'000);
constexpr int kShortTargetPriority = 2;
constexpr int kMediumTargetPriority = 4;
constexpr int kLongTargetPriority = 5;
// A wait counts as a queue if it exceeds the latency target divided by this.
constexpr int kQueueTargetDivisor = 2;
// Callers accept a Retry-After of up to their remaining time divided by this.
constexpr int kRetryAfterDivisor = 3;
// Callers of a process that stops learn of it within this time. What they sent
// before is answered as far as the grace lasts.
constexpr Duration kStopAcceptTime = milliseconds(3'000);
// Delay from demand to its order, plus from the end of a load to its
// announcement.
constexpr Duration kOrderAndAnnounceDelay = milliseconds(200);

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
    case RefusalReason::kLimited:
      return "limited";
    case RefusalReason::kQuarantined:
      return "quarantined";
    case RefusalReason::kNoVersion:
      return "no_version";
    case RefusalReason::kEvacuated:
      return "evacuated";
    case RefusalReason::kStopping:
      return "stopping";
  }
  return "unknown";
}

bool MayOutliveProcess(const Route& route, Duration since_stop,
                       Duration until_end) {
  if (since_stop < kStopAcceptTime) {
    return false;
  }
  return route.kind == RequestKind::kStreaming || route.timeout.count() == 0 ||
         route.timeout > until_end;
}

int ServerPriority(const Route& route) {
  if (route.latency_target <= kShortLatencyTarget) {
    return std::clamp(kShortTargetPriority + std::min(route.rank, 1), 0,
                      kMediumTargetPriority - 1);
  }
  return route.latency_target <= kMediumLatencyTarget ? kMediumTargetPriority
                                                      : kLongTargetPriority;
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
  const bool queued = choice.wait * kQueueTargetDivisor > route.latency_target;
  if (route.kind == RequestKind::kStreaming && late && queued) {
    return Admission::kRefuseLate;
  }
  return Admission::kSend;
}

Duration MaxPermitWait(const Route& route, const Choice& choice,
                       Duration elapsed, Duration remaining) {
  Duration wait = remaining - choice.expected;
  if (route.latency_target.count() > 0) {
    wait = std::min(wait, route.latency_target - elapsed - choice.expected);
  }
  wait = std::min(wait, choice.unlimited_excess.value_or(wait));
  return std::max(Duration{0}, wait);
}

Duration RetryAfterForLoad(Duration work_ahead, Duration remaining) {
  return std::max(kMinRetryAfter,
                  std::min(work_ahead, remaining / kRetryAfterDivisor));
}

Duration RetryAfterForMissing(const MissingTarget& missing,
                              Duration remaining) {
  return RetryAfterForLoad(
      missing.orders_resume_in + missing.load_time + kOrderAndAnnounceDelay,
      remaining);
}

}  // namespace figwell::serving
