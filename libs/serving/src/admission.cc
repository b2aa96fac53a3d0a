#include "figwell/serving/admission.h"

#include <algorithm>

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

// Targets below and above which a request is of a more or less urgent sort.
constexpr Duration kNearTarget = milliseconds(1'000);
constexpr Duration kMiddleTarget = milliseconds(3'000);
constexpr int kNearPriority = 2;
constexpr int kMiddlePriority = 4;
constexpr int kDistantPriority = 5;
constexpr int kLatePriority = 7;

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
  }
  return "unknown";
}

int ServerPriority(const Route& route, const Choice& choice,
                   Duration elapsed) {
  if (elapsed + choice.expected > route.latency_target) {
    return kLatePriority;
  }
  if (route.latency_target <= kNearTarget) {
    return std::clamp(kNearPriority + std::min(route.rank, 1), 0,
                      kMiddlePriority - 1);
  }
  return route.latency_target <= kMiddleTarget ? kMiddlePriority
                                               : kDistantPriority;
}

bool IsHopeless(const Choice& choice, Duration remaining) {
  return choice.expected > remaining;
}

Duration RetryAfterForLoad(Duration work_ahead, Duration remaining) {
  return std::max(kShortestRetryAfter, std::min(work_ahead, remaining / 3));
}

}  // namespace figwell::serving
