#include "figwell/serving/attempts.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

TimePoint At(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

Route MakeRoute(RequestKind kind, int max_servers, bool resumable = false) {
  Route route;
  route.kind = kind;
  route.max_servers = max_servers;
  route.resumable = resumable;
  return route;
}

TEST_CASE("a request that may have run is retried only if repeatable") {
  const Route once = MakeRoute(RequestKind::kAtMostOnce, 3);
  CHECK(MayRetry(once, Progress::kNotSent, 3));
  CHECK(MayRetry(once, Progress::kRejected, 1));
  CHECK_FALSE(MayRetry(once, Progress::kRejected, 3));
  CHECK_FALSE(MayRetry(once, Progress::kUnknown, 1));
  CHECK_FALSE(MayRetry(once, Progress::kRan, 1));

  const Route stream = MakeRoute(RequestKind::kStreaming, 2);
  CHECK_FALSE(MayRetry(stream, Progress::kUnknown, 1));
  CHECK_FALSE(MayRetry(stream, Progress::kMidStream, 1));

  const Route resumable = MakeRoute(RequestKind::kStreaming, 2, true);
  CHECK(MayRetry(resumable, Progress::kUnknown, 1));
  CHECK(MayRetry(resumable, Progress::kMidStream, 1));
  CHECK_FALSE(MayRetry(resumable, Progress::kMidStream, 2));

  const Route idempotent = MakeRoute(RequestKind::kIdempotent, 2);
  CHECK(MayRetry(idempotent, Progress::kUnknown, 1));
  CHECK(MayRetry(idempotent, Progress::kRan, 1));
  CHECK_FALSE(MayRetry(idempotent, Progress::kRan, 2));
}

TEST_CASE("all instances together stay within a service's retry budget") {
  constexpr int kInstances = 8;
  constexpr double kRatio = 0.2;
  constexpr double kAllowance = 56;
  const ServiceId service("models");
  std::vector<RetryBudget> budgets(
      kInstances, RetryBudget({kRatio, std::chrono::seconds(10), kAllowance}));
  int first_sends = 0;
  int retries = 0;
  for (RetryBudget& budget : budgets) {
    budget.SetInstances(kInstances);
    for (std::int64_t i = 0; i < 50; ++i) {
      budget.RecordFirstSend(At(i * 100), service);
      ++first_sends;
      while (budget.TryConsumeRetry(At(i * 100), service)) {
        ++retries;
      }
    }
  }
  CHECK(retries <= kRatio * first_sends + kAllowance);
  CHECK(retries > kRatio * first_sends / 2);
  // The window slides: budget is available again later.
  CHECK(budgets[0].TryConsumeRetry(At(16'000), service));
}

TEST_CASE("a stream counts as stalled only after callers have abandoned it") {
  using std::chrono::milliseconds;
  Route route;
  route.kind = RequestKind::kStreaming;
  CHECK(StreamStallTimeout(route) > milliseconds(2'000));
  route.latency_target = milliseconds(800);
  CHECK(StreamStallTimeout(route) > milliseconds(3'200));
  CHECK(StreamStallTimeout(route) < milliseconds(4'200));
  route.event_gap_target = milliseconds(1'000);
  CHECK(StreamStallTimeout(route) > milliseconds(8'000));
}

}  // namespace
}  // namespace figwell::serving
