#include "figwell/serving/order_tracker.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

TimePoint At(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

const ServerId kServer("s");
const ModelTarget kModel{ModelId("m"), ""};
const ModelTarget kAdapter{ModelId("m"), "a1"};

EngineReport MakeReport(std::int64_t accepted, bool busy = false) {
  EngineReport report;
  report.models[kModel.model] = {};
  report.accepted = accepted;
  report.busy = busy;
  return report;
}

TEST_CASE("no order is sent before a report has shown the server's state") {
  OrderTracker tracker;
  CHECK(tracker.FindOrderable(At(0), kServer) == nullptr);
  CHECK(tracker.NeedsReport(At(0), kServer));
  tracker.OnReportRequested(At(0), kServer);
  CHECK_FALSE(tracker.NeedsReport(At(1), kServer));
  tracker.OnReport(At(600), kServer, MakeReport(3));
  REQUIRE(tracker.FindOrderable(At(600), kServer) != nullptr);
  const Order order =
      tracker.Begin(At(600), kServer, OrderAction::kLoad, kAdapter);
  CHECK(order.expected == 3);
  CHECK(tracker.FindOrderable(At(601), kServer) == nullptr);
}

TEST_CASE("an accepted order raises the expected number of the next") {
  OrderTracker tracker;
  tracker.OnReport(At(600), kServer, MakeReport(3));
  const Order first =
      tracker.Begin(At(600), kServer, OrderAction::kLoad, kAdapter);
  tracker.OnOutcome(At(610), first, OrderOutcome::kAccepted, milliseconds(30));
  const EngineView* view = tracker.FindOrderable(At(620), kServer);
  REQUIRE(view != nullptr);
  CHECK(view->models.at(kModel.model).contains("a1"));
  CHECK(tracker.Begin(At(620), kServer, OrderAction::kUnload, kAdapter)
            .expected == 4);
}

TEST_CASE("an order with an unknown outcome requires another report") {
  OrderTracker tracker;
  tracker.OnReport(At(600), kServer, MakeReport(3));
  const Order order =
      tracker.Begin(At(600), kServer, OrderAction::kLoad, kAdapter);
  tracker.OnOutcome(At(1'600), order, OrderOutcome::kUnknown, {});
  CHECK(tracker.FindOrderable(At(1'700), kServer) == nullptr);
  CHECK_FALSE(tracker.NeedsReport(At(1'700), kServer));
  CHECK(tracker.NeedsReport(At(2'200), kServer));
  // A report that may have been made before the order took effect is ignored.
  tracker.OnReport(At(1'800), kServer, MakeReport(3));
  CHECK(tracker.FindOrderable(At(1'900), kServer) == nullptr);
  tracker.OnReport(At(2'300), kServer, MakeReport(3));
  REQUIRE(tracker.FindOrderable(At(2'300), kServer) != nullptr);
  // The late order and the next one carry the same number, so the server
  // executes only one of them.
  CHECK(tracker.Begin(At(2'300), kServer, OrderAction::kLoad, kAdapter)
            .expected == order.expected);
}

TEST_CASE(
    "a model whose accepted unload waits for its runs does not count as held") {
  OrderTracker tracker;
  tracker.OnReport(At(600), kServer, MakeReport(3));
  const Order order =
      tracker.Begin(At(600), kServer, OrderAction::kUnload, kModel);
  tracker.OnOutcome(At(610), order, OrderOutcome::kAccepted, milliseconds(30));
  CHECK_FALSE(Holds(tracker.Find(kServer)->models, kModel));
  // The server lists the model until its last run has ended.
  tracker.OnReport(At(1'200), kServer, MakeReport(4, /*busy=*/true));
  CHECK_FALSE(Holds(tracker.Find(kServer)->models, kModel));
  EngineReport done = MakeReport(4);
  done.models.clear();
  tracker.OnReport(At(1'700), kServer, done);
  CHECK_FALSE(Holds(tracker.Find(kServer)->models, kModel));
  CHECK(tracker.FindOrderable(At(1'700), kServer) != nullptr);
}

TEST_CASE(
    "a load with an unknown outcome counts until a report shows the result") {
  OrderTracker tracker;
  tracker.OnReport(At(600), kServer, MakeReport(3));
  const ModelTarget other{ModelId("other"), ""};
  const Order order =
      tracker.Begin(At(600), kServer, OrderAction::kLoad, other);
  CHECK(tracker.PossiblyLoadingModel(kServer) == other.model);
  tracker.OnOutcome(At(900), order, OrderOutcome::kUnknown, {});
  CHECK(tracker.PossiblyLoadingModel(kServer) == other.model);
  SECTION("it was not executed") {
    tracker.OnReport(At(1'500), kServer, MakeReport(3));
    CHECK_FALSE(tracker.PossiblyLoadingModel(kServer));
    CHECK(tracker.FindOrderable(At(1'500), kServer) != nullptr);
  }
  SECTION("it is being executed") {
    tracker.OnReport(At(1'500), kServer, MakeReport(4, /*busy=*/true));
    REQUIRE(tracker.Find(kServer) != nullptr);
    CHECK(tracker.Find(kServer)->loading == other.model);
    CHECK_FALSE(tracker.Find(kServer)->unloading);
  }
}

TEST_CASE(
    "a replica that is still held after an unload with an unknown outcome is "
    "reported to peers") {
  OrderTracker tracker;
  tracker.OnReport(At(600), kServer, MakeReport(3));
  const Order order =
      tracker.Begin(At(600), kServer, OrderAction::kUnload, kModel);
  tracker.OnOutcome(At(900), order, OrderOutcome::kUnknown, {});
  CHECK(tracker.OnReport(At(1'500), kServer, MakeReport(3)) == kModel);
  // It is reported only once.
  CHECK_FALSE(tracker.OnReport(At(2'500), kServer, MakeReport(3)));
}

TEST_CASE(
    "a registry entry that differs for longer than its lag requires another "
    "report") {
  constexpr milliseconds kRegistryLag(3'000);
  OrderTracker tracker;
  tracker.OnReport(At(600), kServer, MakeReport(3));
  const HeldModels matching = {{kModel.model, {}}};
  const HeldModels differing;
  tracker.Reconcile(At(5'000), kServer, matching, kRegistryLag);
  CHECK_FALSE(tracker.NeedsReport(At(5'000), kServer));
  // The entry may be older than the report.
  tracker.Reconcile(At(3'500), kServer, differing, kRegistryLag);
  CHECK_FALSE(tracker.NeedsReport(At(3'500), kServer));
  tracker.Reconcile(At(3'700), kServer, differing, kRegistryLag);
  CHECK(tracker.NeedsReport(At(3'700), kServer));
  CHECK(tracker.FindOrderable(At(3'700), kServer) == nullptr);
  SECTION("the entry is correct") {
    EngineReport report = MakeReport(4);
    report.models.clear();
    tracker.OnReport(At(3'800), kServer, report);
    CHECK(tracker.Find(kServer)->models.empty());
  }
  SECTION("the entry is old, as while the store is unreachable") {
    tracker.OnReport(At(3'800), kServer, MakeReport(3));
    tracker.Reconcile(At(4'000), kServer, differing, kRegistryLag);
    CHECK_FALSE(tracker.NeedsReport(At(4'300), kServer));
  }
}

TEST_CASE("a load keeps the server busy until a report shows the model") {
  OrderTracker tracker;
  const ModelTarget other{ModelId("n"), ""};
  tracker.OnReport(At(600), kServer, MakeReport(0));
  const Order order =
      tracker.Begin(At(600), kServer, OrderAction::kLoad, other);
  tracker.OnOutcome(At(610), order, OrderOutcome::kAccepted,
                    milliseconds(8'000));
  CHECK(tracker.IsLoading(kServer, other.model));
  CHECK(tracker.OrdersInProgress() == 1);
  CHECK_FALSE(tracker.NeedsReport(At(5'000), kServer));
  CHECK(tracker.NeedsReport(At(8'700), kServer));
  CHECK_FALSE(tracker.OnReport(At(8'700), kServer, MakeReport(1, true)));
  CHECK(tracker.FindOrderable(At(8'700), kServer) == nullptr);
  EngineReport done = MakeReport(1);
  done.models[other.model] = {};
  CHECK(tracker.OnReport(At(9'200), kServer, done) == other);
  CHECK(tracker.FindOrderable(At(9'200), kServer) != nullptr);
  CHECK_FALSE(tracker.IsLoading(kServer, other.model));
}

TEST_CASE("a report older than the last order is ignored") {
  OrderTracker tracker;
  tracker.OnReport(At(600), kServer, MakeReport(3));
  const Order order =
      tracker.Begin(At(600), kServer, OrderAction::kLoad, kAdapter);
  tracker.OnOutcome(At(610), order, OrderOutcome::kAccepted, milliseconds(30));
  tracker.OnReport(At(700), kServer, MakeReport(3));
  REQUIRE(tracker.Find(kServer) != nullptr);
  CHECK(tracker.Find(kServer)->accepted == 4);
}

TEST_CASE("a new leader starts with no loads allowed and observes the rate") {
  LoadRateLimiter limiter;
  limiter.Configure(2.1);
  limiter.Reset(At(0));
  CHECK(limiter.Allowed(At(0), 0) == 0);
  int loads = 0;
  int max_in_window = 0;
  std::vector<std::int64_t> start_times;
  for (std::int64_t ms = 0; ms < 30'000; ms += 50) {
    while (limiter.Allowed(At(ms), 0) > 0) {
      limiter.OnLoads(At(ms), 1);
      start_times.push_back(ms);
      ++loads;
    }
    const auto in_window =
        std::count_if(start_times.begin(), start_times.end(),
                      [&](std::int64_t at) { return at > ms - 5'000; });
    max_in_window = std::max(max_in_window, static_cast<int>(in_window));
  }
  // The weight store's limit: the rate over 5 s and a tenth more, plus 3 loads.
  CHECK(max_in_window <= 2.1 * 5 * 1.1 + 3);
  CHECK(loads >= 50);
}

bool KeepsRoom(const OrderTracker& tracker, TimePoint now) {
  return tracker.StateOf(now, kServer, {}).late_loads ==
         std::vector<ModelTarget>{ModelTarget{}};
}

TEST_CASE("room for a suspected load is kept while it may be executed") {
  OrderTracker tracker;
  tracker.SuspectLateLoad(At(20'000), kServer, At(10'000));
  CHECK(KeepsRoom(tracker, At(20'000)));
  CHECK(tracker.ServersWithLateLoads(At(20'000)) == 1);
  const TimePoint end = At(10'000) + OrderTracker::kMaxOrderDelay;
  CHECK(KeepsRoom(tracker, end - Duration(1)));
  CHECK_FALSE(KeepsRoom(tracker, end));
  CHECK(tracker.ServersWithLateLoads(end) == 0);
}

TEST_CASE("a server that holds more than was ordered had no earlier start") {
  OrderTracker tracker;
  tracker.SuspectLateLoad(At(0), kServer, At(0));
  tracker.OnReport(At(600), kServer, MakeReport(1));
  CHECK(KeepsRoom(tracker, At(600)));
  tracker.OnReport(At(1'200), kServer, MakeReport(0));
  CHECK_FALSE(KeepsRoom(tracker, At(1'200)));
}

TEST_CASE("a known restart leaves no doubt, whatever the server holds") {
  OrderTracker tracker;
  tracker.SuspectLateLoad(At(0), kServer, At(0));
  tracker.ExpectLateLoad(At(100), kServer);
  tracker.OnReport(At(600), kServer, MakeReport(0));
  tracker.ForgetSuspectedLoads();
  CHECK(KeepsRoom(tracker, At(600)));
}

TEST_CASE("a load without an answer counts as late until it cannot begin") {
  OrderTracker tracker;
  tracker.OnReport(At(600), kServer, MakeReport(3));
  const ModelTarget other{ModelId("n"), ""};
  const Order order =
      tracker.Begin(At(600), kServer, OrderAction::kLoad, other);
  CHECK(tracker.ServersWithLateStoreLoads(At(700)) == 0);
  tracker.OnOutcome(At(900), order, OrderOutcome::kUnknown, Duration{0});
  CHECK(tracker.ServersWithLateStoreLoads(At(900)) == 1);
  SECTION("it has not begun") {
    tracker.OnReport(At(1'500), kServer, MakeReport(3));
    CHECK(tracker.ServersWithLateStoreLoads(At(1'500)) == 1);
    CHECK(tracker.TakeLateStoreLoads() == 0);
  }
  SECTION("it has begun") {
    tracker.OnReport(At(1'500), kServer, MakeReport(4, true));
    CHECK(tracker.ServersWithLateStoreLoads(At(1'500)) == 0);
    CHECK(tracker.TakeLateStoreLoads() == 1);
    CHECK(tracker.TakeLateStoreLoads() == 0);
  }
  SECTION("another order was accepted in its place") {
    tracker.OnReport(At(1'500), kServer, MakeReport(3));
    const Order next =
        tracker.Begin(At(1'600), kServer, OrderAction::kUnload, kModel);
    tracker.OnOutcome(At(1'610), next, OrderOutcome::kAccepted,
                      milliseconds(10));
    CHECK(tracker.ServersWithLateStoreLoads(At(1'610)) == 0);
    tracker.OnReport(At(2'200), kServer, MakeReport(4));
    CHECK(tracker.TakeLateStoreLoads() == 0);
  }
  SECTION("the time for it is over") {
    const TimePoint end = At(600) + OrderTracker::kMaxOrderDelay;
    CHECK(tracker.ServersWithLateStoreLoads(end - Duration(1)) == 1);
    CHECK(tracker.ServersWithLateStoreLoads(end) == 0);
  }
}

TEST_CASE("late loads take the places of others in a burst, not of all") {
  LoadRateLimiter limiter;
  limiter.Configure(2.1);
  limiter.Reset(At(0));
  CHECK(limiter.Allowed(At(10'000), 0) == 3);
  CHECK(limiter.Allowed(At(10'000), 1) == 2);
  CHECK(limiter.Allowed(At(10'000), 2) == 1);
  CHECK(limiter.Allowed(At(10'000), 40) == 1);
}

TEST_CASE("a report is of the registered start unless it states another") {
  EngineReport report = MakeReport(0);
  CHECK(report.IsOfStart(1'700));
  report.started_ms = 1'700;
  CHECK(report.IsOfStart(1'700));
  CHECK_FALSE(report.IsOfStart(1'600));
}

TEST_CASE("without orders before, suspected loads are forgotten") {
  OrderTracker tracker;
  tracker.SuspectLateLoad(At(0), kServer, At(0));
  tracker.ForgetSuspectedLoads();
  CHECK_FALSE(KeepsRoom(tracker, At(0)));
}

}  // namespace
}  // namespace figwell::serving
