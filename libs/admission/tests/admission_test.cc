#include "figwell/admission.h"

#include <map>
#include <numeric>
#include <set>

#include "figwell/testing.h"

namespace figwell::admission {
namespace {

using budget::Limit;
using budget::TeamBudget;
using budget::Tokens;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{hours(1)};
const TeamId kA("a");
const TeamId kB("b");

config::ConfigurationPtr MakeConfiguration() {
  config::Configuration configuration;
  configuration.models[ModelId("review")].versions[VersionId("3")].bytes = 1;
  configuration.models[ModelId("review")].default_version = VersionId("3");
  configuration.models[ModelId("other")] =
      configuration.models[ModelId("review")];
  config::Team& team = configuration.teams[kA];
  team.models = {ModelId("review")};
  team.keys[KeyId("k1")].sha256 = Sha256("secret");
  team.keys[KeyId("k2")].sha256 = Sha256("denied");
  return std::make_shared<const config::Configuration>(configuration);
}

TEST_CASE("every refusal reason has its own code and an error status") {
  std::set<std::string_view> codes;
  for (const RefusalReason reason : kAllRefusalReasons) {
    codes.insert(Code(reason));
    CHECK(HttpStatus(reason) >= 400);
  }
  CHECK(codes.size() == kAllRefusalReasons.size());
  CHECK(Code(RefusalReason::kRateLimited) == "rate_limited");
  CHECK(HttpStatus(RefusalReason::kRateLimited) == 429);
  CHECK(HasRetryAfter(RefusalReason::kOverloaded));
  CHECK_FALSE(HasRetryAfter(RefusalReason::kNoServer));
}

TEST_CASE("a key grants access to its own team's models and nothing else") {
  const AccessTable table(MakeConfiguration(), {Sha256("denied")});
  struct Row {
    const char* key;
    const char* model;
    std::optional<RefusalReason> refusal;
  };
  const Row rows[] = {
      {"secret", "review", std::nullopt},
      {"secret", "review:3", std::nullopt},
      {"secret", "review:4", RefusalReason::kModelNotFound},
      {"secret", "nothing", RefusalReason::kModelNotFound},
      {"secret", "other", RefusalReason::kNotAllowed},
      {"guess", "review", RefusalReason::kUnknownKey},
      {"denied", "review", RefusalReason::kUnknownKey},
  };
  for (const Row& row : rows) {
    const auto access = table.Check(Sha256(row.key), row.model);
    CHECK(access.has_value() == !row.refusal.has_value());
    if (row.refusal.has_value()) {
      CHECK(access.error() == *row.refusal);
    }
  }
  CHECK(table.StillAllowed(Sha256("secret"), kA, ModelId("review")));
  CHECK_FALSE(table.StillAllowed(Sha256("secret"), kB, ModelId("review")));
  CHECK_FALSE(table.StillAllowed(Sha256("secret"), kA, ModelId("other")));
  CHECK_FALSE(table.StillAllowed(Sha256("denied"), kA, ModelId("review")));
}

TEST_CASE(
    "the upper bound covers every prompt; the observed estimate follows "
    "usage") {
  const RequestSize size{1000, 2, 100};
  const UpperBoundCost bound;
  CHECK(bound.Cost(size, 4096) == 1000 + 16 + 100);
  CHECK(bound.Cost({10, 1, 0}, 4096) == 10 + 8 + 4096);
  CHECK(bound.Cost({10, 1, 9000}, 4096) == 10 + 8 + 4096);
  ObservedCost observed;
  CHECK(observed.Cost(size, 4096) == bound.Cost(size, 4096));
  for (int i = 0; i < 1000; ++i) {
    observed.RecordUsage(size, 250);
  }
  CHECK(observed.Cost(size, 4096) < 500);
  CHECK(observed.Cost(size, 4096) >= 250 + 16 + 100);
  observed.RecordUsage(size, 900);
  CHECK(observed.Cost(size, 4096) == bound.Cost(size, 4096));
  CHECK(UnusedTokens(100, 30) == 70);
  CHECK(UnusedTokens(30, 100) == 0);
}

/** A RateGate with one budget and a clock that the test sets. */
struct GateFixture {
  explicit GateFixture(Limit team_limit)
      : limit(team_limit), budget(kA), gate(8) {
    budget.Configure(kStart, limit, {1, 1}, TimePoint::max());
    now = kStart + hours(1);
  }
  RateDecision Arrive(Tokens cost, TimePoint deadline = TimePoint::max()) {
    return gate.Arrive([this] { return now; }, budget,
                       {kA, limit, cost, deadline});
  }
  std::vector<RateDecision> Poll() {
    std::vector<RateDecision> decided;
    gate.Poll(
        [this] { return now; },
        [this](const TeamId&) { return team_removed ? nullptr : &budget; },
        [&](const RateDecision& decision) {
          if (decision.kind != RateDecision::Kind::kWaiting) {
            decided.push_back(decision);
          }
        });
    return decided;
  }

  Limit limit;
  TeamBudget budget;
  RateGate gate;
  TimePoint now;
  bool team_removed = false;
};

TEST_CASE("requests short of tokens are queued and get them in order") {
  GateFixture gate({100, 100});
  CHECK(gate.Arrive(100).kind == RateDecision::Kind::kAdmitted);
  const auto first = gate.Arrive(80);
  CHECK(first.kind == RateDecision::Kind::kWaiting);
  CHECK(first.missing == 80);
  gate.now += milliseconds(100);  // ten tokens: they cover only the second
  const auto second = gate.Arrive(5);
  CHECK(second.kind == RateDecision::Kind::kWaiting);
  CHECK(gate.Poll().empty());
  gate.now += milliseconds(750);
  const auto decided = gate.Poll();
  REQUIRE(decided.size() == 2);
  CHECK(decided[0].kind == RateDecision::Kind::kAdmitted);
  CHECK(decided[0].wait == first.wait);
  CHECK(decided[0].admitted_at == gate.now);
  CHECK(decided[1].wait == second.wait);
  CHECK(gate.gate.waiting() == 0);
}

TEST_CASE(
    "a wait ends at the deadline or the maximum, and one that cannot succeed "
    "never starts") {
  GateFixture gate({10, 100});
  gate.gate.SetMaxWait(seconds(1));
  gate.Arrive(100);
  CHECK(gate.Arrive(101).reason == RefusalReason::kRequestTooLarge);
  const auto late = gate.Arrive(50, gate.now);
  CHECK(late.kind == RateDecision::Kind::kRefused);
  CHECK(late.reason == RefusalReason::kRateLimited);
  const auto short_wait = gate.Arrive(90, gate.now + milliseconds(500));
  REQUIRE(short_wait.kind == RateDecision::Kind::kWaiting);
  // 90 tokens are queued ahead, and ten per second are refilled.
  CHECK(gate.Arrive(5).kind == RateDecision::Kind::kRefused);
  gate.now += milliseconds(500);
  const auto decided = gate.Poll();
  REQUIRE(decided.size() == 1);
  CHECK(decided[0].kind == RateDecision::Kind::kRefused);
  CHECK(decided[0].wait == short_wait.wait);
  const auto removed = gate.Arrive(50);
  CHECK(gate.gate.Remove(removed.wait));
  CHECK_FALSE(gate.gate.Remove(removed.wait));
  gate.Arrive(50);
  gate.team_removed = true;
  CHECK(gate.Poll().size() == 1);
  CHECK(MaxRateWait(0) == kMinRateWait);
  CHECK(MaxRateWait(1) == kMaxRateWait);
}

TEST_CASE(
    "a retry after the stated time succeeds; one refill earlier does not") {
  Random random(5);
  for (int i = 0; i < 200; ++i) {
    const Limit limit{1 + static_cast<Tokens>(random.Below(5000)), 10'000};
    GateFixture gate(limit);
    gate.gate.SetMaxWait(Duration(0));
    gate.Arrive(10'000 - static_cast<Tokens>(random.Below(100)));
    const Tokens cost = 200 + static_cast<Tokens>(random.Below(9000));
    const auto refused = gate.Arrive(cost);
    REQUIRE(refused.kind == RateDecision::Kind::kRefused);
    const TimePoint stated_time = gate.now + refused.retry_after;
    const Duration refill = Duration(1'000'000 / limit.rate + 1);
    gate.now = stated_time - refill;
    CHECK(gate.Arrive(cost).kind == RateDecision::Kind::kRefused);
    gate.now = stated_time;
    CHECK(gate.Arrive(cost).kind == RateDecision::Kind::kAdmitted);
  }
}

QueuedRequest MakeRequest(Tokens cost, int priority = 0,
                          TimePoint deadline = TimePoint::max()) {
  return {{}, Sha256("key"), cost, priority, kStart, deadline};
}

const auto kAllowAll = [](const QueuedRequest&, const TeamId&) { return true; };

TEMPLATE_TEST_CASE("teams are served tokens in proportion to their weights", "",
                   VirtualTime, DeficitRoundRobin) {
  FairQueue<TestType> queue({4096, seconds(30)});
  queue.SetFairness(1);
  Random random(7);
  std::map<TeamId, Tokens> served;
  for (int i = 0; i < 1500; ++i) {
    queue.Push(kA, 1, MakeRequest(1 + static_cast<Tokens>(random.Below(2000))));
    queue.Push(kB, 3, MakeRequest(1 + static_cast<Tokens>(random.Below(200))));
  }
  // Both teams have queued requests throughout.
  while (served[kB] < 120'000) {
    const auto next = queue.Pop(kStart, kAllowAll);
    REQUIRE(next.has_value());
    served[next->team] += next->request.cost;
    CHECK(std::abs(served[kB] - 3 * served[kA]) <= 3 * 2000 + 3 * 2 * 1024);
  }
  // An idle team has accumulated no credit.
  const TeamId late("late");
  queue.Push(late, 1, MakeRequest(100));
  queue.Push(late, 1, MakeRequest(5000));
  queue.Push(late, 1, MakeRequest(100));
  Tokens served_before = served[kA] + served[kB];
  for (int i = 0; i < 3;) {
    const auto next = queue.Pop(kStart, kAllowAll);
    i += next->team == late ? 1 : 0;
    served[next->team] += next->request.cost;
  }
  CHECK(served[kA] + served[kB] - served_before >= 5000);
}

TEST_CASE("within a team the priority decides, then the order of arrival") {
  ModelQueue queue({16, seconds(30)});
  std::vector<Tokens> expected_costs = {5, 6, 3, 4, 1, 2};
  for (const auto& [cost, priority] :
       {std::pair{1, 0}, {2, 0}, {3, 4}, {4, 4}, {5, 9}, {6, 99}}) {
    queue.Push(kA, 1, MakeRequest(cost, priority));
  }
  for (const Tokens cost : expected_costs) {
    CHECK(queue.Pop(kStart, kAllowAll)->request.cost == cost);
  }
  CHECK_FALSE(queue.Pop(kStart, kAllowAll).has_value());
}

TEST_CASE("a full queue sheds a request of the team over its fair share") {
  ModelQueue queue({6, seconds(30)});
  for (int i = 0; i < 5; ++i) {
    queue.Push(kA, 1, MakeRequest(100, i == 0 ? 1 : 0));
  }
  queue.Push(kB, 1, MakeRequest(100));
  const auto refused = queue.Push(kA, 1, MakeRequest(100));
  CHECK_FALSE(refused.ticket.has_value());
  CHECK_FALSE(refused.shed.has_value());
  const auto pushed = queue.Push(kB, 1, MakeRequest(100));
  CHECK(pushed.ticket.has_value());
  CHECK(pushed.shed == Ticket{5});  // the newest of the lowest priority
  CHECK(queue.QueuedTokens(kA) == 400);
  CHECK(queue.size() == 6);
}

TEST_CASE("expired, revoked and abandoned requests are not dispatched") {
  ModelQueue queue({8, seconds(30)});
  queue.Push(kA, 1, MakeRequest(1, 0, kStart + seconds(5)));
  const auto abandoned = queue.Push(kA, 1, MakeRequest(2));
  queue.Push(kA, 1, MakeRequest(3));
  queue.Push(kB, 1, MakeRequest(4));
  CHECK(queue.Remove(*abandoned.ticket));
  CHECK_FALSE(queue.Remove(*abandoned.ticket));
  std::map<Tokens, RefusalReason> expired;
  const auto record = [&](const QueuedRequest& request, RefusalReason reason) {
    expired[request.cost] = reason;
  };
  queue.Expire(kStart + seconds(4), record);
  CHECK(expired.empty());
  queue.Expire(kStart + seconds(5), record);
  CHECK(expired ==
        std::map<Tokens, RefusalReason>{{1, RefusalReason::kDeadline}});
  const auto revoked = queue.Pop(
      kStart,
      [](const QueuedRequest&, const TeamId& team) { return team == kB; });
  CHECK(revoked->request.cost == 3);
  CHECK(revoked->refusal == RefusalReason::kUnknownKey);
  const auto aged_out = queue.Pop(kStart + seconds(30), kAllowAll);
  CHECK(aged_out->refusal == RefusalReason::kOverloaded);
  CHECK(queue.empty());
}

TEST_CASE("less fairness lets cheap requests overtake within a bounded lead") {
  ModelQueue queue({4096, seconds(30)});
  queue.SetFairness(0);
  for (int i = 0; i < 2000; ++i) {
    queue.Push(kA, 1, MakeRequest(2000));
    queue.Push(kB, 1, MakeRequest(100));
  }
  Tokens cheap_tokens = 0;
  while (queue.Pop(kStart, kAllowAll)->team == kB) {
    cheap_tokens += 100;
  }
  CHECK(cheap_tokens > 20'000);
  CHECK(cheap_tokens <= VirtualTime::kMaxLeadTokens + 100);
}

TEST_CASE("a queue agrees with a reference model under random operations") {
  testing::CheckSequences(500, [] {
    const auto operations = *rc::gen::container<std::vector<int>>(
        rc::gen::inRange<int>(0, 1 << 20));
    ModelQueue queue({8, seconds(30)});
    std::map<std::uint64_t, std::pair<TeamId, Tokens>> reference;
    for (const int operation : operations) {
      const TeamId team = operation / 4 % 3 == 0 ? kA : kB;
      const Tokens cost = 1 + operation / 16 % 50;
      if (operation % 4 < 2) {
        const auto pushed =
            queue.Push(team, 1, MakeRequest(cost, operation / 64 % 10));
        if (pushed.shed.has_value()) {
          RC_ASSERT(reference.erase(pushed.shed->value) == 1U);
        }
        if (pushed.ticket.has_value()) {
          reference[pushed.ticket->value] = {team, cost};
        }
      } else if (operation % 4 == 2) {
        const auto next = queue.Pop(kStart, kAllowAll);
        RC_ASSERT(next.has_value() == !reference.empty());
        if (next.has_value()) {
          RC_ASSERT(reference.at(next->request.ticket.value) ==
                    std::pair(next->team, next->request.cost));
          reference.erase(next->request.ticket.value);
        }
      } else {
        const Ticket ticket{static_cast<std::uint64_t>(operation / 16 % 40)};
        RC_ASSERT(queue.Remove(ticket) == (reference.erase(ticket.value) == 1));
      }
      RC_ASSERT(queue.size() == reference.size());
      for (const TeamId& each : {kA, kB}) {
        RC_ASSERT(queue.QueuedTokens(each) ==
                  std::accumulate(reference.begin(), reference.end(), Tokens{0},
                                  [&](Tokens sum, const auto& entry) {
                                    return sum + (entry.second.first == each
                                                      ? entry.second.second
                                                      : 0);
                                  }));
      }
    }
  });
}

}  // namespace
}  // namespace figwell::admission
