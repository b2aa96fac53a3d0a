#include "figwell/budget.h"

#include <atomic>
#include <thread>

#include "figwell/testing.h"
#include "simulation.h"

namespace figwell::budget {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{hours(1)};
const TimePoint kForever{hours(1'000'000)};

TokenBucket MakeBucket(Limit limit, Share share = {1, 1}) {
  TokenBucket bucket;
  bucket.SetValidUntil(kStart, kForever);
  bucket.Configure(kStart, limit, share);
  return bucket;
}

TEST_CASE("shares of a rate add up without drift however often they refill") {
  // 997 tokens per second over 7 units, refilled in uneven steps for an hour.
  std::vector<TokenBucket> buckets;
  for (const std::int64_t units : {1, 2, 4}) {
    buckets.push_back(MakeBucket({997, 1'000'000'000}, {units, 7}));
  }
  Random random(3);
  TimePoint now = kStart;
  while (now < kStart + hours(1)) {
    now = std::min<TimePoint>(now + Duration(random.Below(900'000)),
                              kStart + hours(1));
    buckets[random.Below(3)].Available(now);
  }
  Tokens sum = 0;
  for (TokenBucket& bucket : buckets) {
    sum += bucket.Available(now);
  }
  const Tokens exact = Tokens{997} * 3600;
  CHECK(sum <= exact);
  CHECK(sum >= exact - 3);  // each rounds down to whole tokens once
}

TEST_CASE("a refund sets the level as if the true cost had been charged") {
  struct Row {
    seconds idle_before;
    seconds idle_after;
    Tokens charged;
    Tokens used;
    Tokens expected;
  };
  // Rate 10, burst 100: an empty bucket is full after ten seconds.
  const Row rows[] = {
      {seconds(10), seconds(0), 80, 30, 70},  // no refill since
      {seconds(10), seconds(2), 80, 30,
       90},  // 20 left + 20 refilled + 50 refunded
      {seconds(10), seconds(4), 80, 30, 100},  // limited by the capacity
      {seconds(10), seconds(60), 80, 0,
       100},  // refilled to the full burst already
      {seconds(5), seconds(1), 50, 50, 10},  // nothing to refund
  };
  for (const Row& row : rows) {
    TokenBucket bucket = MakeBucket({10, 100});
    const TimePoint admitted = kStart + row.idle_before;
    REQUIRE(bucket.Spend(admitted, row.charged));
    const TimePoint now = admitted + row.idle_after;
    bucket.Refund(now, admitted, row.charged - row.used);
    CHECK(bucket.Available(now) == row.expected);
  }
}

TEST_CASE("refunds of old requests do not allow a second burst") {
  TokenBucket bucket = MakeBucket({10, 100});
  const TimePoint admitted = kStart + seconds(10);
  REQUIRE(bucket.Spend(admitted, 60));
  REQUIRE(bucket.Spend(admitted + seconds(1), 20));
  // Full again after eight seconds; then the full burst is spent.
  const TimePoint now = admitted + seconds(30);
  REQUIRE(bucket.Spend(now, 100));
  bucket.Refund(now, admitted, 60);
  bucket.Refund(now, admitted + seconds(1), 20);
  CHECK(bucket.Available(now) == 0);
  REQUIRE(bucket.Spend(now + seconds(5), 50));
  // At a cost of 30 the bucket would have been full before the 50 were spent,
  // so that only 50 are refunded.
  bucket.Refund(now + seconds(5), now, 70);
  CHECK(bucket.Available(now + seconds(5)) == 50);
  // The first refund has used up the free capacity.
  bucket.Refund(now + seconds(5), now, 30);
  CHECK(bucket.Available(now + seconds(5)) == 50);
}

TEST_CASE("added capacity starts empty and an expired level is dropped") {
  TokenBucket bucket = MakeBucket({10, 100}, {1, 2});
  CHECK(bucket.Available(kStart + seconds(60)) == 50);
  bucket.Configure(kStart + seconds(60), {10, 200}, {2, 2});
  CHECK(bucket.Available(kStart + seconds(60)) == 50);
  bucket.Configure(kStart + seconds(60), {10, 20}, {2, 2});
  CHECK(bucket.Available(kStart + seconds(60)) == 20);
  bucket.SetValidUntil(kStart + seconds(60), kStart + seconds(70));
  CHECK_FALSE(bucket.Spend(kStart + seconds(70), 1));
  bucket.SetValidUntil(kStart + seconds(90), kForever);
  CHECK(bucket.Available(kStart + seconds(90)) == 0);
  CHECK(bucket.Available(kStart + seconds(91)) == 10);
}

TEST_CASE("TimeUntil is exact to one microsecond") {
  TokenBucket bucket = MakeBucket({7, 100}, {3, 11});
  for (const Tokens cost : {1, 5, 27}) {
    TokenBucket copy = bucket;
    const Duration wait = copy.TimeUntil(kStart, cost);
    TokenBucket early = bucket;
    CHECK_FALSE(early.Spend(kStart + wait - Duration(1), cost));
    CHECK(copy.Spend(kStart + wait, cost));
  }
  CHECK(bucket.TimeUntil(kStart, 28) == Duration::max());
}

TEST_CASE("debited capacity is reserved for a while and grants expire") {
  TokenBucket source = MakeBucket({100, 100});
  TokenBucket requester = MakeBucket({0, 0});
  const TimePoint now = kStart + seconds(10);
  CHECK(source.Debit(now, 80, 30) == 70);
  CHECK(source.Available(now + kTransferReservation - Duration(1)) == 30);
  CHECK(source.Available(now + seconds(10)) == 100);
  requester.Credit(now, 70, now + kTransferLifetime);
  CHECK(requester.Available(now + kTransferLifetime - Duration(1)) == 70);
  CHECK_FALSE(requester.Spend(now + kTransferLifetime, 1));
}

TEST_CASE("the clock is read after the lock is acquired") {
  TeamBudget budget(TeamId("a"));
  budget.Configure(kStart, {10, 100}, {1, 1}, kStart + seconds(20));
  std::atomic<bool> inside = false;
  std::atomic<bool> early = false;
  std::atomic<bool> arriving = false;
  std::thread waiter;
  const auto waiting_clock = [&] {
    early = early || inside;
    return kStart + seconds(10);
  };
  const auto holding_clock = [&] {
    inside = true;
    waiter = std::thread([&] {
      arriving = true;
      budget.Spend(waiting_clock, 1);
    });
    constexpr int kYields = 20'000;
    for (int i = 0; i < kYields || !arriving; ++i) {
      std::this_thread::yield();
    }
    inside = false;
    return kStart + seconds(10);
  };
  CHECK(budget.Spend(holding_clock, 1).admitted);
  waiter.join();
  CHECK_FALSE(early);
}

TEST_CASE("concurrent threads spend exactly the tokens of a bucket") {
  TeamBudget budget(TeamId("a"));
  budget.Configure(kStart, {1000, 100'000}, {1, 1}, kForever);
  const auto clock = [] { return kStart + hours(1); };
  std::atomic<Tokens> spent = 0;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      while (budget.Spend(clock, 7).admitted) {
        spent += 7;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(spent == 99'995);
}

TEST_CASE("a team that is removed and added again starts empty") {
  TeamBudgets budgets;
  const auto with = simulation::MakeConfiguration(1, {{10, 100}});
  const auto without = simulation::MakeConfiguration(1, {});
  budgets.SetShare(kStart, {1, 1}, kForever);
  budgets.Configure(kStart, with);
  const auto old = budgets.snapshot();
  const TimePoint now = kStart + seconds(60);
  budgets.Configure(now, without);
  budgets.Configure(now, with);
  const TeamId team = simulation::TeamName(0);
  CHECK(old->Find(team)->Available(now) == 0);
  CHECK(budgets.snapshot()->Find(team)->Available(now) == 0);
  CHECK(budgets.snapshot()->Find(TeamId("nobody")) == nullptr);
}

TEST_CASE("a packed level is at most an eighth below the true one") {
  for (Tokens tokens = 0; tokens < 4'000'000'000; tokens += 1 + tokens / 97) {
    const Tokens unpacked = UnpackLevel(PackLevel(tokens));
    CHECK(unpacked <= tokens);
    CHECK(unpacked >= tokens - tokens / 8);
  }
  CHECK(PackLevel(-5) == 0);
}

TEST_CASE("an answer is credited once, from its source, up to the request") {
  using simulation::TeamName;
  TeamBudgets budgets;
  budgets.SetShare(kStart, {1, 1}, kForever);
  budgets.Configure(kStart, simulation::MakeConfiguration(1, {{0, 1000}}));
  Transfers transfers({InstanceId("me"), DomainId("d0")}, 1);
  transfers.Configure(1, budgets.snapshot());
  transfers.SetPeers(
      {{InstanceId("a"), DomainId("d0")}, {InstanceId("b"), DomainId("d1")}});
  const InstanceId a("a");
  transfers.OnReport(kStart, a, {1, {PackLevel(640)}});
  const auto actions = transfers.RequestTokens(kStart, TeamName(0), 100);
  REQUIRE(actions.requests.size() == 1);
  CHECK(actions.requests[0].to == a);
  CHECK(transfers.RequestTokens(kStart, TeamName(0), 100).requests.empty());
  const TransferItem item{HashTeam(TeamName(0)), 900, false, 0};
  const TransferAnswer answer{
      actions.requests[0].message.id, 1, 0, {item, item}};
  CHECK_FALSE(transfers.OnAnswer(kStart, InstanceId("b"), answer));
  CHECK(transfers.OnAnswer(kStart, a, answer));
  CHECK_FALSE(transfers.OnAnswer(kStart, a, answer));
  CHECK(budgets.snapshot()->Find(TeamName(0))->Available(kStart) == 100);

  const TransferRequest too_long{
      7, std::vector<TransferItem>(kMaxTransferItems + 1, item)};
  CHECK_FALSE(transfers.OnRequest(kStart, too_long).has_value());
}

/** Two gateways, of which the first has all units and the second none. */
struct TwoGateways {
  TwoGateways() {
    const auto configuration = simulation::MakeConfiguration(1, {{100, 1000}});
    for (int i = 0; i < 2; ++i) {
      budgets[i].SetShare(kStart, {i == 0 ? 1 : 0, 1}, kForever);
      budgets[i].Configure(kStart, configuration);
      transfers[i].Configure(1, budgets[i].snapshot());
      transfers[i].SetPeers(
          {{names[0], DomainId("d0")}, {names[1], DomainId("d0")}});
    }
  }
  TeamBudget& Budget(int i) { return *budgets[i].snapshot()->Find(team); }

  const TeamId team = simulation::TeamName(0);
  const InstanceId names[2] = {InstanceId("home"), InstanceId("away")};
  TeamBudgets budgets[2];
  Transfers transfers[2] = {Transfers({names[0], DomainId("d0")}, 11),
                            Transfers({names[1], DomainId("d0")}, 12)};
};

TEST_CASE("unused tokens are returned once, up to the free capacity since") {
  for (const bool full_meanwhile : {false, true}) {
    TwoGateways fleet;
    TimePoint now = kStart + seconds(10);
    const auto clock = [&] { return now; };
    // A source with a full bucket would refill what it grants, which leaves no
    // free capacity for returned tokens.
    REQUIRE(fleet.Budget(0).Spend(clock, 400).admitted);
    fleet.transfers[1].OnReport(now, fleet.names[0], {1, {PackLevel(1000)}});
    const auto actions = fleet.transfers[1].RequestTokens(now, fleet.team, 600);
    const auto answer =
        fleet.transfers[0].OnRequest(now, actions.requests[0].message);
    REQUIRE(fleet.transfers[1].OnAnswer(now, fleet.names[0], *answer));
    REQUIRE(fleet.Budget(1).Spend(clock, 600).admitted);
    const TimePoint admitted = now;
    now += full_meanwhile ? seconds(10) : seconds(1);
    fleet.Budget(0).Spend(clock, full_meanwhile ? 1000 : 1);
    fleet.transfers[1].Settle(now, fleet.team, admitted, 350);
    const auto returns = fleet.transfers[1].Tick(now).returns;
    REQUIRE(returns.size() == 1);
    CHECK(returns[0].to == fleet.names[0]);
    const Tokens before = fleet.Budget(0).Available(now);
    auto stale = returns[0].message;
    stale.source_incarnation = 99;
    fleet.transfers[0].OnReturn(now, fleet.names[1], stale);
    CHECK(fleet.Budget(0).Available(now) == before);
    for (int i = 0; i < 2; ++i) {
      fleet.transfers[0].OnReturn(now, fleet.names[1], returns[0].message);
      CHECK(fleet.Budget(0).Available(now) ==
            before + (full_meanwhile ? 0 : 350));
    }
  }
}

TEST_CASE("a lent share counts only at the borrower until the loan ends") {
  TokenBucket lender = MakeBucket({100, 1000}, {1, 4});
  TokenBucket borrower = MakeBucket({100, 1000}, {1, 4});
  const TimePoint now = kStart + seconds(10);
  CHECK(lender.Available(now) == 250);
  const Loan loan = lender.Lend(now, 7);
  CHECK(loan == Loan{{1, 4}, kLoanLifetime, 250});
  TokenBucket not_renewed = lender;
  CHECK(not_renewed.Available(now + kLoanReservation - Duration(1)) == 0);
  CHECK(not_renewed.Available(now + kLoanReservation + seconds(1)) == 25);
  CHECK(lender.Lend(now, 8).share.units == 0);
  CHECK(lender.Lend(now + seconds(1), 7).tokens == 0);
  CHECK(lender.Available(now + seconds(1) + kLoanReservation) == 0);
  CHECK(lender.Available(now + seconds(2) + kLoanReservation) == 25);

  borrower.Spend(now, 250);
  borrower.Borrow(now, 1, loan, now + kLoanLifetime);
  CHECK(borrower.Available(now) == 250);
  CHECK(borrower.Available(now + seconds(2)) == 350);
  CHECK(borrower.Lend(now, 9).share.units == 0);
  // Tokens beyond the capacity of the own share expire with the loan.
  CHECK(borrower.Available(now + kLoanLifetime) == 250);
  borrower.Borrow(now + seconds(10), 1, loan, now + seconds(9));
  borrower.Borrow(now + seconds(10), 1, {{1, 5}, seconds(1), 9},
                  now + seconds(11));
  CHECK(borrower.Available(now + seconds(10)) == 250);

  // No loan while granted tokens may still be spent.
  TokenBucket reserved = MakeBucket({100, 1000}, {1, 4});
  reserved.Debit(now, 10, 0);
  CHECK(reserved.Lend(now, 7).share.units == 0);
  CHECK(reserved.Lend(now + kTransferReservation, 7).share.units == 1);
}

TEST_CASE("a table of units round-trips; malformed text is rejected") {
  UnitTable table;
  table.change = 9;
  table.entries = {{InstanceId("a"), 1, 20, 1000, 7, 8},
                   {InstanceId("b"), 3, 0, 900, 1, 0}};
  CHECK(ParseUnitTable(FormatUnitTable(table)) == table);
  for (const char* text :
       {"", "units2 1\n", "units1 x\n", "units1 1\na 1 2 3 4\n",
        "units1 1\na 1 -2 3 4 5\n", "units1 1\na 1 2 0 4 5\n",
        "units1 1\na 1 2 3 4 99999999999999999999\n"}) {
    CHECK_FALSE(ParseUnitTable(text).has_value());
  }
  CHECK(WithinFullLimit({&table}));
  table.entries[1].units = 882;
  CHECK(WithinFullLimit({&table}));
  table.entries[1].units = 883;
  CHECK_FALSE(WithinFullLimit({&table}));
}

}  // namespace
}  // namespace figwell::budget
