#include "figwell/testing.h"
#include "simulated_store.h"
#include "world.h"

namespace figwell::placement {
namespace {

/** One candidate for the lease, with a store that answers immediately. */
struct Candidate {
  SimulatedStore& store;
  Leadership leadership;

  Candidate(SimulatedStore& shared, const std::string& name)
      : store(shared),
        leadership(InstanceId(name), StoreKeys("/f/", DomainId("d"))) {}

  /** Executes what is due; optionally loses the result of the transaction. */
  void Step(TimePoint now, bool lose_answer = false) {
    for (const ControllerAction& action : leadership.OnTick(now)) {
      if (const auto* grant = std::get_if<GrantLease>(&action)) {
        leadership.OnLeaseGranted(now, store.Grant(now, grant->ttl));
      } else if (const auto* renew = std::get_if<RenewLease>(&action)) {
        leadership.OnLeaseRenewed(now, renew->lease,
                                  store.Renew(now, renew->lease));
      }
    }
    if (const auto transaction = leadership.NextAcquisition(now)) {
      Result<store::TransactionResult> result =
          store.Execute(now, *transaction);
      if (lose_answer) {
        result = Fail(ErrorCode::kUnknownOutcome, "lost");
      }
      leadership.OnAcquisitionResult(now, result);
    }
  }
};

}  // namespace

TEST_CASE("A lease is acquired, recognized after a lost result, and expires") {
  SimulatedStore store;
  Candidate first(store, "a");
  Candidate second(store, "b");
  TimePoint now{seconds(100)};
  first.Step(now);        // the lease is vacant
  first.Step(now, true);  // acquires it; the result is lost
  CHECK_FALSE(first.leadership.Holds(now));
  second.Step(now);
  now += Leadership::kRetryInterval;
  first.Step(now);  // recognizes its own key
  first.Step(now);  // reads the ledgers
  CHECK(first.leadership.Holds(now));
  CHECK(first.leadership.epoch() == 1);
  for (int i = 0; i < 40; ++i) {
    now += seconds(1);
    first.Step(now);
    second.Step(now);
    REQUIRE(first.leadership.Holds(now));
    REQUIRE_FALSE(second.leadership.Holds(now));
  }
  // The first is paused. By its own clock, its leadership ends before the
  // second acquires the lease.
  const TimePoint paused_at = now;
  CHECK(first.leadership.Holds(paused_at));
  CHECK_FALSE(first.leadership.Holds(paused_at + Leadership::kTtl -
                                     Leadership::kExpiryMargin));
  const store::Compare stale = first.leadership.HolderCompare();
  while (!second.leadership.Holds(now) && now < paused_at + seconds(60)) {
    now += seconds(1);
    second.Step(now);
  }
  CHECK(second.leadership.Holds(now));
  CHECK(second.leadership.epoch() == 2);
  CHECK(now >= paused_at + Leadership::kTtl - Leadership::kRenewInterval);
  CHECK_FALSE(first.leadership.Holds(now));
  CHECK_FALSE(store.Execute(now, {{stale}, {}, {}}).succeeded);
}

}  // namespace figwell::placement
