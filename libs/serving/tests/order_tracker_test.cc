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
  OrderTracker book;
  CHECK(book.FindOrderable(At(0), kServer) == nullptr);
  CHECK(book.NeedsReport(At(0), kServer));
  book.OnReportRequested(At(0), kServer);
  CHECK_FALSE(book.NeedsReport(At(1), kServer));
  book.OnReport(At(600), kServer, MakeReport(3));
  REQUIRE(book.FindOrderable(At(600), kServer) != nullptr);
  const Order order =
      book.Begin(At(600), kServer, OrderAction::kLoad, kAdapter);
  CHECK(order.expected == 3);
  CHECK(book.FindOrderable(At(601), kServer) == nullptr);
}

TEST_CASE("an accepted order raises the expected number of the next") {
  OrderTracker book;
  book.OnReport(At(600), kServer, MakeReport(3));
  const Order first =
      book.Begin(At(600), kServer, OrderAction::kLoad, kAdapter);
  book.OnOutcome(At(610), first, OrderOutcome::kAccepted, milliseconds(30));
  const EngineView* view = book.FindOrderable(At(620), kServer);
  REQUIRE(view != nullptr);
  CHECK(view->models.at(kModel.model).contains("a1"));
  CHECK(book.Begin(At(620), kServer, OrderAction::kUnload, kAdapter).expected ==
        4);
}

TEST_CASE("an order with an unknown outcome requires another report") {
  OrderTracker book;
  book.OnReport(At(600), kServer, MakeReport(3));
  const Order order =
      book.Begin(At(600), kServer, OrderAction::kLoad, kAdapter);
  book.OnOutcome(At(1'600), order, OrderOutcome::kUnknown, {});
  CHECK(book.FindOrderable(At(1'700), kServer) == nullptr);
  CHECK_FALSE(book.NeedsReport(At(1'700), kServer));
  CHECK(book.NeedsReport(At(2'200), kServer));
  // A report that may have been made before the order took effect is ignored.
  book.OnReport(At(1'800), kServer, MakeReport(3));
  CHECK(book.FindOrderable(At(1'900), kServer) == nullptr);
  book.OnReport(At(2'300), kServer, MakeReport(3));
  REQUIRE(book.FindOrderable(At(2'300), kServer) != nullptr);
  // The late order and the next one carry the same number, so the server
  // executes only one of them.
  CHECK(book.Begin(At(2'300), kServer, OrderAction::kLoad, kAdapter).expected ==
        order.expected);
}

TEST_CASE(
    "a model whose accepted unload waits for its runs does not count as held") {
  OrderTracker book;
  book.OnReport(At(600), kServer, MakeReport(3));
  const Order order =
      book.Begin(At(600), kServer, OrderAction::kUnload, kModel);
  book.OnOutcome(At(610), order, OrderOutcome::kAccepted, milliseconds(30));
  CHECK_FALSE(Holds(book.Find(kServer)->models, kModel));
  // The server lists the model until its last run has ended.
  book.OnReport(At(1'200), kServer, MakeReport(4, /*busy=*/true));
  CHECK_FALSE(Holds(book.Find(kServer)->models, kModel));
  EngineReport done = MakeReport(4);
  done.models.clear();
  book.OnReport(At(1'700), kServer, done);
  CHECK_FALSE(Holds(book.Find(kServer)->models, kModel));
  CHECK(book.FindOrderable(At(1'700), kServer) != nullptr);
}

TEST_CASE(
    "a load with an unknown outcome counts until a report shows the result") {
  OrderTracker book;
  book.OnReport(At(600), kServer, MakeReport(3));
  const ModelTarget other{ModelId("other"), ""};
  const Order order = book.Begin(At(600), kServer, OrderAction::kLoad, other);
  CHECK(book.PossiblyLoading(kServer) == other.model);
  book.OnOutcome(At(900), order, OrderOutcome::kUnknown, {});
  CHECK(book.PossiblyLoading(kServer) == other.model);
  SECTION("it was not executed") {
    book.OnReport(At(1'500), kServer, MakeReport(3));
    CHECK_FALSE(book.PossiblyLoading(kServer));
    CHECK(book.FindOrderable(At(1'500), kServer) != nullptr);
  }
  SECTION("it is being executed") {
    book.OnReport(At(1'500), kServer, MakeReport(4, /*busy=*/true));
    REQUIRE(book.Find(kServer) != nullptr);
    CHECK(book.Find(kServer)->loading == other.model);
    CHECK_FALSE(book.Find(kServer)->unloading);
  }
}

TEST_CASE(
    "a replica that is still held after an unload with an unknown outcome is "
    "reported to peers") {
  OrderTracker book;
  book.OnReport(At(600), kServer, MakeReport(3));
  const Order order =
      book.Begin(At(600), kServer, OrderAction::kUnload, kModel);
  book.OnOutcome(At(900), order, OrderOutcome::kUnknown, {});
  CHECK(book.OnReport(At(1'500), kServer, MakeReport(3)) == kModel);
  // It is reported only once.
  CHECK_FALSE(book.OnReport(At(2'500), kServer, MakeReport(3)));
}

TEST_CASE(
    "a registry entry that differs for longer than its lag requires another "
    "report") {
  constexpr milliseconds kLag(3'000);
  OrderTracker book;
  book.OnReport(At(600), kServer, MakeReport(3));
  const HeldModels same = {{kModel.model, {}}};
  const HeldModels gone;
  book.Reconcile(At(5'000), kServer, same, kLag);
  CHECK_FALSE(book.NeedsReport(At(5'000), kServer));
  // The entry may be older than the report.
  book.Reconcile(At(3'500), kServer, gone, kLag);
  CHECK_FALSE(book.NeedsReport(At(3'500), kServer));
  book.Reconcile(At(3'700), kServer, gone, kLag);
  CHECK(book.NeedsReport(At(3'700), kServer));
  CHECK(book.FindOrderable(At(3'700), kServer) == nullptr);
  SECTION("the entry is correct") {
    EngineReport report = MakeReport(4);
    report.models.clear();
    book.OnReport(At(3'800), kServer, report);
    CHECK(book.Find(kServer)->models.empty());
  }
  SECTION("the entry is old, as while the store is unreachable") {
    book.OnReport(At(3'800), kServer, MakeReport(3));
    book.Reconcile(At(4'000), kServer, gone, kLag);
    CHECK_FALSE(book.NeedsReport(At(4'300), kServer));
  }
}

TEST_CASE("a load keeps the server busy until a report shows the model") {
  OrderTracker book;
  const ModelTarget other{ModelId("n"), ""};
  book.OnReport(At(600), kServer, MakeReport(0));
  const Order order = book.Begin(At(600), kServer, OrderAction::kLoad, other);
  book.OnOutcome(At(610), order, OrderOutcome::kAccepted, milliseconds(8'000));
  CHECK(book.Loading(kServer, other.model));
  CHECK(book.LoadsUnderWay() == 1);
  CHECK_FALSE(book.NeedsReport(At(5'000), kServer));
  CHECK(book.NeedsReport(At(8'700), kServer));
  CHECK_FALSE(book.OnReport(At(8'700), kServer, MakeReport(1, true)));
  CHECK(book.FindOrderable(At(8'700), kServer) == nullptr);
  EngineReport done = MakeReport(1);
  done.models[other.model] = {};
  CHECK(book.OnReport(At(9'200), kServer, done) == other);
  CHECK(book.FindOrderable(At(9'200), kServer) != nullptr);
  CHECK_FALSE(book.Loading(kServer, other.model));
}

TEST_CASE("a report older than the last order is ignored") {
  OrderTracker book;
  book.OnReport(At(600), kServer, MakeReport(3));
  const Order order =
      book.Begin(At(600), kServer, OrderAction::kLoad, kAdapter);
  book.OnOutcome(At(610), order, OrderOutcome::kAccepted, milliseconds(30));
  book.OnReport(At(700), kServer, MakeReport(3));
  REQUIRE(book.Find(kServer) != nullptr);
  CHECK(book.Find(kServer)->accepted == 4);
}

TEST_CASE("a new leader starts with no loads allowed and observes the rate") {
  LoadRateLimiter pacer;
  pacer.Configure(2.1);
  pacer.Reset(At(0));
  CHECK(pacer.Allowed(At(0)) == 0);
  int loads = 0;
  int most_in_window = 0;
  std::vector<std::int64_t> begun;
  for (std::int64_t ms = 0; ms < 30'000; ms += 50) {
    while (pacer.Allowed(At(ms)) > 0) {
      pacer.OnLoad(At(ms));
      begun.push_back(ms);
      ++loads;
    }
    const auto in_window =
        std::count_if(begun.begin(), begun.end(),
                      [&](std::int64_t at) { return at > ms - 5'000; });
    most_in_window = std::max(most_in_window, static_cast<int>(in_window));
  }
  // The weight store's limit: the rate over 5 s and a tenth more, plus 3 loads.
  CHECK(most_in_window <= 2.1 * 5 * 1.1 + 3);
  CHECK(loads >= 50);
}

}  // namespace
}  // namespace figwell::serving
