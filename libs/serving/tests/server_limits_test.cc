#include "figwell/serving/server_limits.h"

#include <algorithm>

#include "figwell/serving/permits.h"
#include "figwell/testing.h"

namespace figwell::serving {
namespace {

TimePoint At(std::int64_t ms) {
  return TimePoint(std::chrono::milliseconds(ms));
}

const ServerId kServer("s");

TEST_CASE("a server's limit holds until an answer states none") {
  ServerLimits limits;
  CHECK(limits.OnAnswer(At(0), At(0), kServer, std::nullopt) ==
        LimitChange::kNone);
  CHECK(limits.OnAnswer(At(10), At(5), kServer, 2.0) == LimitChange::kBegan);
  CHECK(limits.OnAnswer(At(20), At(15), kServer, 2.0) == LimitChange::kNone);
  CHECK(limits.OnAnswer(At(30), At(25), kServer, 1.5) == LimitChange::kChanged);
  CHECK(limits.Find(kServer) == 1.5);
  CHECK(limits.OnAnswer(At(40), At(35), kServer, 1.4) == LimitChange::kNone);
  CHECK(limits.Find(kServer) == 1.4);
  CHECK(limits.OnAnswer(At(45), At(40), kServer, 1.3) == LimitChange::kChanged);
  CHECK(limits.Find(ServerId("other")) == std::nullopt);
  CHECK(limits.OnAnswer(At(60), At(50), kServer, std::nullopt) ==
        LimitChange::kEnded);
  CHECK(limits.Find(kServer) == std::nullopt);
}

TEST_CASE(
    "an answer to a request sent before the limit began does not end it") {
  ServerLimits limits;
  limits.OnAnswer(At(100), At(90), kServer, 2.0);
  CHECK(limits.OnAnswer(At(120), At(95), kServer, std::nullopt) ==
        LimitChange::kNone);
  CHECK(limits.Find(kServer) == 2.0);
}

TEST_CASE("a peer's statement begins and ends a limit") {
  ServerLimits limits;
  CHECK(limits.OnPeerStatement(At(0), kServer, 2.0) == LimitChange::kBegan);
  CHECK(limits.OnPeerStatement(At(1), kServer, 2.0) == LimitChange::kNone);
  CHECK(limits.OnPeerStatement(At(2), kServer, std::nullopt) ==
        LimitChange::kEnded);
  CHECK(limits.OnPeerStatement(At(3), kServer, std::nullopt) ==
        LimitChange::kNone);
}

TEST_CASE("a limit that still holds is announced again every three seconds") {
  ServerLimits limits;
  limits.OnAnswer(At(0), At(0), kServer, 2.0);
  CHECK(limits.OnAnswer(At(2'900), At(2'800), kServer, 2.0) ==
        LimitChange::kNone);
  CHECK(limits.OnAnswer(At(3'000), At(2'900), kServer, 2.0) ==
        LimitChange::kConfirmed);
  // A peer has announced it meanwhile.
  limits.OnPeerStatement(At(5'000), kServer, 2.0);
  CHECK(limits.OnAnswer(At(6'500), At(6'400), kServer, 2.0) ==
        LimitChange::kNone);
}

TEST_CASE("a limit that was not stated for some time is no longer current") {
  ServerLimits limits;
  CHECK_FALSE(limits.IsCurrent(At(0), kServer));
  limits.OnAnswer(At(0), At(0), kServer, 2.0);
  CHECK(limits.IsCurrent(At(9'999), kServer));
  CHECK_FALSE(limits.IsCurrent(At(10'000), kServer));
  CHECK(limits.Find(kServer) == 2.0);
  limits.OnAnswer(At(20'000), At(20'000), kServer, 0.1);
  CHECK(limits.IsCurrent(At(49'999), kServer));
}

TEST_CASE("the limit of a server that restarted or is gone is dropped") {
  ServerLimits limits;
  limits.OnAnswer(At(0), At(0), kServer, 2.0);
  limits.RemoveServer(kServer);
  CHECK(limits.Find(kServer) == std::nullopt);
  CHECK(limits.size() == 0);
}

TEST_CASE("a cold server is limited until it is warm") {
  ServerLimits limits;
  CHECK(limits.OnCold(At(0), kServer, At(3'000) - At(0), 8));
  CHECK(limits.Find(kServer) == 6);
  CHECK_FALSE(limits.FindStated(kServer));
  CHECK_FALSE(limits.OnCold(At(1'000), kServer, At(2'000) - At(0), 8));
  CHECK(limits.Tick(At(2'999)).empty());
  CHECK(limits.Tick(At(3'000)) == std::vector{kServer});
  CHECK_FALSE(limits.Find(kServer));
}

TEST_CASE("a server that states that it is warm is not limited any more") {
  ServerLimits limits;
  limits.SuspectCold(At(0), kServer, At(3'000) - At(0), 8);
  CHECK(limits.IsCold(kServer));
  CHECK_FALSE(limits.OnCold(At(100), kServer, Duration{0}, 8));
  CHECK_FALSE(limits.IsCold(kServer));
}

TEST_CASE("a suspicion does not shorten what a server has stated") {
  ServerLimits limits;
  limits.OnCold(At(0), kServer, At(3'000) - At(0), 8);
  CHECK_FALSE(limits.SuspectCold(At(0), kServer, At(1'000) - At(0), 8));
  CHECK(limits.Tick(At(2'000)).empty());
}

TEST_CASE("of a stated limit and that of a cold server the lower one counts") {
  ServerLimits limits;
  limits.OnAnswer(At(0), At(0), kServer, 2.0);
  limits.OnCold(At(0), kServer, At(3'000) - At(0), 8);
  CHECK(limits.Find(kServer) == 2);
  limits.OnAnswer(At(10), At(5), kServer, 40.0);
  CHECK(limits.Find(kServer) == 6);
  limits.Tick(At(3'000));
  CHECK(limits.Find(kServer) == 40);
}

TEST_CASE("a service without a cold rate has no cold servers") {
  ServerLimits limits;
  CHECK_FALSE(limits.OnCold(At(0), kServer, At(3'000) - At(0), 0));
  CHECK_FALSE(limits.SuspectCold(At(0), kServer, Duration{0}, 8));
  CHECK(limits.cold_servers() == 0);
}

// Plays far more requests than a cold server bears, while no other server can
// take them.
TEST_CASE("permits keep a cold server below its bound in any second") {
  constexpr double kBorne = 8;
  ServerLimits limits;
  limits.OnCold(At(0), kServer, At(3'000) - At(0), kBorne);
  PermitScheduler scheduler;
  std::vector<TimePoint> sent;
  for (int ms = 0; ms < 3'000; ++ms) {
    const Permit permit = scheduler.Request(
        At(ms), kServer, *limits.Find(kServer), std::chrono::milliseconds(400));
    if (permit.granted) {
      sent.push_back(At(ms) + permit.wait);
    }
  }
  CHECK(sent.size() >= 15);
  for (const TimePoint begin : sent) {
    const auto in_second =
        std::count_if(sent.begin(), sent.end(), [&](const TimePoint at) {
          return at >= begin && at < begin + std::chrono::seconds(1);
        });
    CHECK(static_cast<double>(in_second) <= kBorne * 1.5 + 5);
  }
}

}  // namespace
}  // namespace figwell::serving
