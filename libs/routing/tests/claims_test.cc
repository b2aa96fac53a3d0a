#include "fake_store.h"
#include "figwell/routing.h"
#include "figwell/testing.h"

namespace figwell::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1000)};
const TeamId kTeam("drivers");
const Digest kBody = Sha256("fee 500");
const Digest kOtherBody = Sha256("fee 900");

/** One gateway with a store that may fail. */
struct Gateway {
  explicit Gateway(FakeStore& fake, const std::string& process = "lahore-1",
                   ClaimPolicy policy = {})
      : store(fake), book(process, std::move(policy)) {
    book.SetLease(store.Grant(kStart + kClaimLeaseTtl), kStart);
  }

  ClaimId Claim(const std::string& key, const Digest& body = kBody) {
    return book.Claim(now, kTeam, key, body, now + seconds(10));
  }

  /** Steps and executes store calls until the book requests none. */
  std::vector<ClaimAnswer> Step() {
    std::vector<ClaimAnswer> answers;
    for (bool more = true; more;) {
      const ClaimActions actions = book.Step(now);
      answers.insert(answers.end(), actions.answers.begin(),
                     actions.answers.end());
      more = actions.store_call.has_value();
      if (more) {
        ++calls;
        book.OnStoreResult(now, actions.store_call->call,
                           store.Execute(actions.store_call->transaction));
      }
    }
    return answers;
  }

  /** Steps; the call is executed or not, and its answer is lost. */
  void StepWithLostAnswer(bool takes_effect) {
    const ClaimActions actions = book.Step(now);
    REQUIRE(actions.store_call);
    if (takes_effect) {
      REQUIRE(store.Execute(actions.store_call->transaction));
    }
    book.OnStoreResult(now, actions.store_call->call,
                       Fail(ErrorCode::kUnknownOutcome, "lost"));
    REQUIRE(book.Step(now).answers.empty());
    now += milliseconds(500);
  }

  ClaimVerdict VerdictOf(const std::string& key, const Digest& body = kBody) {
    const ClaimId id = Claim(key, body);
    const std::vector<ClaimAnswer> answers = Step();
    REQUIRE(answers.size() == 1);
    REQUIRE(answers[0].claim == id);
    last = answers[0];
    now += seconds(1);
    return last.verdict;
  }

  FakeStore& store;
  ClaimBook book;
  TimePoint now = kStart;
  ClaimAnswer last;
  int calls = 0;
};

TEST_CASE("claim records round-trip and malformed ones fail to decode") {
  testing::CheckSequences(
      300, [](const std::string& owner, const std::string& type,
              const std::string& body, bool kept) {
        ClaimRecord record;
        record.state = ClaimRecord::State::kFinished;
        record.request = Sha256(body);
        record.owner = owner;
        record.answer = {201, type, body, kept};
        const std::string text = EncodeClaim(record);
        const Result<ClaimRecord> read = DecodeClaim(text);
        RC_ASSERT(read.has_value());
        RC_ASSERT(*read == record);
        for (std::size_t length = 0; length < text.size(); ++length) {
          RC_ASSERT_FALSE(DecodeClaim(text.substr(0, length)).has_value());
        }
        RC_ASSERT_FALSE(DecodeClaim(std::string(text).append("x")).has_value());
        std::string damaged = text;
        damaged[*rc::gen::inRange<std::size_t>(0, text.size())] ^= '\x7f';
        static_cast<void>(DecodeClaim(damaged));  // must return, not throw
      });
}

TEST_CASE("a repeat gets the stored answer, an unknown outcome or a conflict") {
  FakeStore store;
  Gateway first(store);
  Gateway second(store, "multan-1");
  CHECK(first.VerdictOf("k") == ClaimVerdict::kDispatch);
  const ClaimId claim = first.last.claim;
  // Repeats while the request runs, here and at another gateway:
  CHECK(first.VerdictOf("k") == ClaimVerdict::kUnknown);
  CHECK(second.VerdictOf("k") == ClaimVerdict::kUnknown);
  CHECK(first.VerdictOf("k", kOtherBody) == ClaimVerdict::kConflict);
  CHECK(second.VerdictOf("k", kOtherBody) == ClaimVerdict::kConflict);

  CHECK(first.book.TryDispatch(first.now, claim));
  CHECK_FALSE(first.book.TryDispatch(first.now, claim));
  bool kept = true;
  SECTION("small answer") {}
  SECTION("large answer") { kept = false; }
  FinishedAnswer answer{201, "text/plain", "van 7", true};
  if (!kept) {
    answer.body.assign(kMaxKeptAnswerBytes + 1, 'x');
  }
  first.book.Finish(claim, answer);
  const FinishedAnswer expected =
      kept ? answer : FinishedAnswer{201, "text/plain", "", false};
  for (int i = 0; i < 2; ++i) {  // before and after the store has it
    CHECK(first.VerdictOf("k") == ClaimVerdict::kReplay);
    CHECK(first.last.answer == expected);
  }
  CHECK(second.VerdictOf("k") == ClaimVerdict::kReplay);
  CHECK(second.last.answer == expected);
  CHECK(second.VerdictOf("k", kOtherBody) == ClaimVerdict::kConflict);
  CHECK(second.book.Claim(second.now, TeamId("clerks"), "k", kBody,
                          second.now + seconds(1)) > 0);
  CHECK(second.Step().front().verdict == ClaimVerdict::kDispatch);
  CHECK(first.book.size() == 0);
}

TEST_CASE("after a lost store answer the record is read before dispatch") {
  FakeStore store;
  Gateway gateway(store);
  const ClaimId claim = gateway.Claim("k");
  bool took_effect = true;
  SECTION("the claim is in the store") {}
  SECTION("the claim is not in the store and is sent again") {
    took_effect = false;
  }
  gateway.StepWithLostAnswer(took_effect);
  CHECK_FALSE(gateway.book.TryDispatch(gateway.now, claim));
  const std::vector<ClaimAnswer> answers = gateway.Step();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].verdict == ClaimVerdict::kDispatch);
  CHECK(gateway.book.TryDispatch(gateway.now, claim));
}

TEST_CASE("a claim found after the request was refused is released") {
  FakeStore store;
  Gateway gateway(store);
  gateway.Claim("k");
  gateway.StepWithLostAnswer(true);
  gateway.now += seconds(5);  // past ClaimPolicy::claim_timeout
  CHECK(store.Values().size() == 1);
  const std::vector<ClaimAnswer> answers = gateway.Step();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].verdict == ClaimVerdict::kNotRun);
  CHECK(store.Values().empty());
  CHECK(gateway.book.size() == 0);
  CHECK(gateway.VerdictOf("k") == ClaimVerdict::kDispatch);
}

TEST_CASE("an unreachable store gives not_run, with backoff between calls") {
  FakeStore store;
  Gateway gateway(store);
  gateway.Claim("k");
  int calls = 0;
  std::vector<ClaimAnswer> answers;
  for (int i = 0; i < 300 && answers.empty(); ++i) {
    const ClaimActions actions = gateway.book.Step(gateway.now);
    answers = actions.answers;
    if (actions.store_call) {
      ++calls;
      gateway.book.OnStoreResult(gateway.now, actions.store_call->call,
                                 Fail(ErrorCode::kUnavailable, "down"));
    }
    gateway.now += milliseconds(10);
  }
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].verdict == ClaimVerdict::kNotRun);
  CHECK(calls <= 6);  // backoff of 50, 100, 200 ms ... within 2 s
  CHECK(gateway.book.size() == 0);
}

TEST_CASE("an unused claim is released, an abandoned one kept") {
  FakeStore store;
  Gateway gateway(store);
  CHECK(gateway.VerdictOf("k") == ClaimVerdict::kDispatch);
  const ClaimId claim = gateway.last.claim;
  SECTION("dispatched too late") {
    gateway.now += kClaimDispatchTimeout;
    CHECK_FALSE(gateway.book.TryDispatch(gateway.now, claim));
  }
  SECTION("certainly not run") {
    CHECK(gateway.book.TryDispatch(gateway.now, claim));
    gateway.book.Release(claim);
    CHECK(gateway.VerdictOf("k") == ClaimVerdict::kNotRun);
  }
  SECTION("unsure") {
    CHECK(gateway.book.TryDispatch(gateway.now, claim));
    gateway.book.Abandon(claim);
    gateway.book.Finish(claim, {});
    CHECK(gateway.VerdictOf("k") == ClaimVerdict::kUnknown);
    store.Expire(kStart + kClaimLeaseTtl);
    gateway.now = kStart + kClaimLeaseTtl;
    gateway.book.SetLease(store.Grant(gateway.now + kClaimLeaseTtl),
                          gateway.now);
  }
  gateway.Step();
  gateway.now += seconds(1);
  CHECK(gateway.VerdictOf("k") == ClaimVerdict::kDispatch);
}

TEST_CASE("claims and finishes are batched in few store calls") {
  FakeStore store;
  ClaimPolicy policy;
  policy.calls_per_second = 10;
  policy.call_burst = 1;
  Gateway gateway(store, "lahore-1", policy);
  constexpr int kClaims = 1000;
  int granted = 0;
  std::vector<ClaimId> waiting;
  for (int i = 0; i < kClaims; ++i) {
    gateway.Claim(std::to_string(i));
  }
  for (int i = 0; i < 400; ++i) {
    for (const ClaimAnswer& answer : gateway.Step()) {
      granted += answer.verdict == ClaimVerdict::kDispatch ? 1 : 0;
      if (gateway.book.TryDispatch(gateway.now, answer.claim)) {
        gateway.book.Finish(answer.claim, {200, "", "ok", true});
      }
    }
    gateway.now += milliseconds(10);
  }
  CHECK(granted == kClaims);
  CHECK(gateway.book.size() == 0);
  CHECK(gateway.calls >= 2 * kClaims / static_cast<int>(kMaxClaimsPerCall));
  CHECK(gateway.calls <= 40);  // 10 per second for 4 s
}

TEST_CASE("a new claim needs a lease that is recent and known to the store") {
  FakeStore store;
  Gateway gateway(store);
  gateway.now += kClaimLeaseTtl - kMinClaimLifetime;
  gateway.Claim("k");
  ClaimActions actions = gateway.book.Step(gateway.now);
  CHECK(actions.needs_lease);
  CHECK_FALSE(actions.store_call);
  gateway.book.SetLease(77, gateway.now);  // unknown to the store
  CHECK(gateway.Step().empty());
  gateway.now += milliseconds(100);
  CHECK(gateway.book.Step(gateway.now).needs_lease);
  gateway.book.SetLease(store.Grant(gateway.now + kClaimLeaseTtl), gateway.now);
  std::vector<ClaimAnswer> answers;
  while (answers.empty()) {
    answers = gateway.Step();
    gateway.now += milliseconds(100);
  }
  CHECK(answers[0].verdict == ClaimVerdict::kDispatch);
}

}  // namespace
}  // namespace figwell::routing
