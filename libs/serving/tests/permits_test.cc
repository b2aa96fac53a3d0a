#include "figwell/serving/permits.h"

#include <algorithm>
#include <limits>
#include <vector>

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

TimePoint At(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

const ServerId kServer("s");

TEST_CASE("permits beyond the limit are granted for later, evenly spaced") {
  PermitScheduler scheduler;
  const Duration patient = milliseconds(5'000);
  for (int i = 0; i < 8; ++i) {
    const Permit permit = scheduler.Request(At(0), kServer, 4, patient);
    CHECK(permit == Permit{true, milliseconds(250 * i)});
  }
}

TEST_CASE("a permit is denied if the request cannot wait for it") {
  PermitScheduler scheduler;
  CHECK(scheduler.Request(At(0), kServer, 2, milliseconds(0)).granted);
  const Permit denied = scheduler.Request(At(100), kServer, 2, milliseconds(0));
  CHECK(denied == Permit{false, milliseconds(400)});
  // A denied request takes no permit.
  CHECK(scheduler.Request(At(500), kServer, 2, milliseconds(0)).granted);
}

TEST_CASE("an idle server takes one second's worth of requests at once") {
  PermitScheduler scheduler;
  scheduler.Request(At(0), kServer, 5, milliseconds(0));
  int granted = 0;
  while (scheduler.Request(At(60'000), kServer, 5, milliseconds(0)).granted) {
    ++granted;
  }
  CHECK(granted == 5);
}

TEST_CASE("a request that was sent without asking delays the next permit") {
  PermitScheduler scheduler;
  scheduler.Charge(At(0), kServer, 2);
  scheduler.Charge(At(0), kServer, 2);
  CHECK(scheduler.Request(At(0), kServer, 2, milliseconds(0)) ==
        Permit{false, milliseconds(1'000)});
}

TEST_CASE("a server whose limit is 0 still gets a request now and then") {
  for (const double limit :
       {0.0, -1.0, 1e-300, std::numeric_limits<double>::quiet_NaN()}) {
    CAPTURE(limit);
    CHECK(RequestInterval(limit) == std::chrono::seconds(10));
  }
  CHECK(RequestInterval(std::numeric_limits<double>::infinity()) ==
        Duration{0});
}

TEST_CASE("granted permits stay within the limit in every window") {
  // The users allow 1.5 times the limit plus 5 requests in four seconds.
  constexpr Duration kWindow = std::chrono::seconds(4);
  testing::CheckSequences(200, [&] {
    const double limit = *rc::gen::inRange(1, 400) / 10.0;
    PermitScheduler scheduler;
    std::vector<TimePoint> sent;
    TimePoint now{};
    const int requests = *rc::gen::inRange(1, 400);
    for (int i = 0; i < requests; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 200));
      const Permit permit = scheduler.Request(
          now, kServer, limit, milliseconds(*rc::gen::inRange(0, 2'000)));
      if (permit.granted) {
        sent.push_back(now + permit.wait);
      }
    }
    std::sort(sent.begin(), sent.end());
    for (auto begin = sent.begin(); begin != sent.end(); ++begin) {
      const auto end = std::lower_bound(begin, sent.end(), *begin + kWindow);
      RC_ASSERT(static_cast<double>(end - begin) <= 1.5 * limit * 4 + 5);
    }
  });
}

TEST_CASE("all instances select the same arbiter, in the server's domain") {
  const std::map<InstanceId, DomainId> instances{
      {InstanceId("a1"), DomainId("a")},
      {InstanceId("a2"), DomainId("a")},
      {InstanceId("b1"), DomainId("b")},
      {InstanceId("b2"), DomainId("b")}};
  std::map<InstanceId, int> servers_by_arbiter;
  for (int i = 0; i < 100; ++i) {
    const ServerId server(std::string("s").append(std::to_string(i)));
    ++servers_by_arbiter[SelectArbiter(server, DomainId("b"), instances)];
  }
  CHECK(servers_by_arbiter.size() == 2);
  CHECK(servers_by_arbiter.contains(InstanceId("b1")));
  CHECK(servers_by_arbiter.contains(InstanceId("b2")));
  // Without an instance in the server's domain, any may be the arbiter.
  CHECK(instances.contains(SelectArbiter(kServer, DomainId("c"), instances)));
}

}  // namespace
}  // namespace figwell::serving
