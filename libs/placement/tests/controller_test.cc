#include <algorithm>

#include "figwell/testing.h"
#include "world.h"

namespace figwell::placement {
namespace {

const ServerId kServer(std::string("s0"));

/** One controller, its store, and a domain with one server. */
struct Fixture {
  SimulatedStore store;
  Controller controller{InstanceId(std::string("c")),
                        DomainId(std::string("d")), "/f/"};
  TimePoint now{seconds(100)};

  Fixture() {
    controller.OnConfiguration(std::make_shared<config::Configuration>(
        SmallConfiguration(1, 1, true)));
  }

  /** Runs ticks with a store that answers immediately; returns the orders. */
  std::vector<Order> Run(Duration duration) {
    std::vector<Order> orders;
    for (const TimePoint end = now + duration; now < end;) {
      now += World::kTick;
      ExecuteActions(controller.OnTick(now), orders);
    }
    return orders;
  }

  void ExecuteActions(const Actions& actions, std::vector<Order>& orders) {
    for (const ControllerAction& action : actions) {
      if (const auto* grant = std::get_if<GrantLease>(&action)) {
        controller.OnLeaseGranted(now, store.Grant(now, grant->ttl));
      } else if (const auto* renew = std::get_if<RenewLease>(&action)) {
        controller.OnLeaseRenewed(now, renew->lease,
                                  store.Renew(now, renew->lease));
      } else if (const auto* execute =
                     std::get_if<ExecuteTransaction>(&action)) {
        const auto result = store.Execute(now, execute->transaction);
        ExecuteActions(controller.OnTransaction(now, execute->id, result),
                       orders);
      } else if (const auto* send = std::get_if<SendOrder>(&action)) {
        orders.push_back(send->order);
      }
    }
  }

  void Report(Duration age, TimePoint requested_at) {
    ServerReport report;
    report.incarnation = std::string("i");
    report.memory_bytes = 100;
    report.age = age;
    controller.OnReport(now, kServer, requested_at, report);
  }

  bool IsKnown() const {
    return controller.Status(now).servers.at(kServer).known;
  }
};

}  // namespace

TEST_CASE("A report made before the lease was acquired is ignored") {
  Fixture fixture;
  CHECK(fixture.Run(seconds(5)).empty());  // no report yet
  REQUIRE(fixture.controller.Status(fixture.now).holds_lease);
  fixture.Report(seconds(6), fixture.now);
  CHECK_FALSE(fixture.IsKnown());
  fixture.Report(seconds(0), fixture.now - seconds(6));
  CHECK_FALSE(fixture.IsKnown());
  CHECK(fixture.Run(seconds(5)).empty());
  fixture.Report(seconds(1), fixture.now);
  CHECK(fixture.IsKnown());
  CHECK(fixture.Run(seconds(5)).size() == 1);
}

TEST_CASE("An order that was certainly not sent reserves no memory") {
  Fixture fixture;
  fixture.Run(seconds(5));
  fixture.Report(seconds(0), fixture.now);
  const std::vector<Order> orders = fixture.Run(seconds(4));
  REQUIRE(orders.size() == 1);
  const auto reserved = [&] {
    return fixture.controller.Status(fixture.now)
        .servers.at(kServer)
        .reserved_bytes;
  };
  CHECK(reserved() == 30);
  fixture.controller.OnOrderAnswer(fixture.now, kServer, orders[0].fencing,
                                   OrderAnswer::kUnknown);
  CHECK(reserved() == 30);
  fixture.controller.OnOrderAnswer(fixture.now, kServer, orders[0].fencing,
                                   OrderAnswer::kNotSent);
  CHECK(reserved() == 0);
}

}  // namespace figwell::placement
