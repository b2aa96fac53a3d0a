#include "figwell/serving/server_limits.h"

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

}  // namespace
}  // namespace figwell::serving
