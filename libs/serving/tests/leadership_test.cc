#include "figwell/serving/leadership.h"

#include "figwell/testing.h"
#include "played_leases.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

const LeaderRecord kSelf{InstanceId("me"), "10.0.0.9:7600", 7};

// A fault of one process, or of all, for some time.
struct Fault {
  std::size_t affected = 0;
  int kind = 0;
  std::int64_t length = 0;
};

Fault DrawFault() {
  constexpr int kKinds = 7;  // the last one is no fault
  return {*rc::gen::inRange<std::size_t>(0, 3), *rc::gen::inRange(0, kKinds),
          *rc::gen::inRange<std::int64_t>(100, 9'000)};
}

void Inject(PlayedLeases& leases, const Fault& fault) {
  if (fault.kind == 0) {
    leases.Freeze(fault.affected, leases.now() + fault.length);
  } else if (fault.kind == 1) {
    leases.SetDisconnected(fault.affected, true);
  } else if (fault.kind == 2) {
    leases.LoseResponses(true);
  } else if (fault.kind == 3) {
    leases.Restart(fault.affected);
  } else if (fault.kind == 4) {
    for (std::size_t i = 0; i < 3; ++i) {
      leases.Restart(i);
    }
  } else if (fault.kind == 5) {
    leases.SetWatchDelay(fault.affected, fault.length / 4);
  }
}

void Heal(PlayedLeases& leases, const Fault& fault) {
  leases.SetDisconnected(fault.affected, false);
  leases.LoseResponses(false);
  leases.SetWatchDelay(fault.affected, 0);
}

TEST_CASE("one process leads once the separation has passed") {
  PlayedLeases leases(3);
  while (leases.now() < 3'000) {
    leases.Step();
  }
  CHECK(leases.orders() == 0);
  while (leases.now() < 6'000) {
    leases.Step();
  }
  CHECK(leases.orders() > 0);
}

TEST_CASE(
    "orders of two processes are never closer together than the separation") {
  testing::CheckSequences(60, [] {
    PlayedLeases leases(3);
    for (int phase = 0; phase < 8; ++phase) {
      const Fault fault = DrawFault();
      Inject(leases, fault);
      const std::int64_t until = leases.now() + fault.length;
      while (leases.now() < until) {
        leases.Step();
      }
      Heal(leases, fault);
    }
    RC_ASSERT_FALSE(leases.ViolatedSeparation());
  });
}

TEST_CASE("restores of the store never let two processes order servers") {
  testing::CheckSequences(60, [] {
    PlayedLeases leases(3);
    leases.StateEra();
    for (int phase = 0; phase < 8; ++phase) {
      const Fault fault = DrawFault();
      Inject(leases, fault);
      const int restores = *rc::gen::inRange(0, 3);
      for (int restore = 0; restore < restores; ++restore) {
        leases.Restore(*rc::gen::inRange<std::int64_t>(0, 12'000));
        const std::int64_t next =
            leases.now() + *rc::gen::inRange<std::int64_t>(20, 3'000);
        while (leases.now() < next) {
          leases.Step();
        }
      }
      const std::int64_t until = leases.now() + fault.length;
      while (leases.now() < until) {
        leases.Step();
      }
      Heal(leases, fault);
    }
    RC_ASSERT_FALSE(leases.ViolatedSeparation());
    RC_ASSERT_FALSE(leases.ViolatedFencing());
    const std::size_t before = leases.orders();
    const std::int64_t until = leases.now() + 30'000;
    while (leases.now() < until) {
      leases.Step();
    }
    RC_ASSERT(leases.orders() > before);
  });
}

TEST_CASE("a leader leads again soon after a restore of the store") {
  for (const std::int64_t age : {1'000, 4'000, 60'000}) {
    PlayedLeases leases(3);
    leases.StateEra();
    leases.SetTakeoverDelay(200);
    while (leases.orders() < 200) {
      leases.Step();
    }
    const std::size_t leader = leases.last_leader();
    leases.Restore(age);
    const std::size_t before = leases.orders();
    const std::int64_t restored_at = leases.now();
    while (leases.orders() < before + 100 &&
           leases.now() < restored_at + 20'000) {
      leases.Step();
    }
    INFO(age);
    CHECK(leases.last_leader() == leader);
    CHECK(leases.now() < restored_at + 3'000);
    CHECK_FALSE(leases.ViolatedSeparation());
    CHECK_FALSE(leases.ViolatedFencing());
  }
}

TEST_CASE(
    "after a restore a process waits for leaders that do not know of it") {
  for (const std::int64_t renewed_before : {0, 300, 600, 860}) {
    PlayedLeases leases(3);
    leases.StateEra();
    while (leases.orders() < 200) {
      leases.Step();
    }
    const std::size_t leader = leases.last_leader();
    const std::int64_t until = leases.now() + renewed_before;
    while (leases.now() < until) {
      leases.Step();
    }
    // The copy is from before the leader had the key, so the key is free.
    leases.SetDisconnected(leader, true);
    leases.Restore(60'000);
    const std::int64_t restored_at = leases.now();
    while (leases.now() < restored_at + 12'000) {
      leases.Step();
    }
    CHECK(leases.last_leader() != leader);
    CHECK_FALSE(leases.ViolatedSeparation());
    CHECK_FALSE(leases.ViolatedFencing());
  }
}

TEST_CASE("a leader that cannot renew stops before its lease ends") {
  PlayedLeases leases(2);
  while (leases.orders() == 0) {
    leases.Step();
  }
  leases.SetDisconnected(0, true);
  leases.SetDisconnected(1, true);
  const std::int64_t disconnected_at = leases.now();
  std::size_t before = leases.orders();
  while (leases.now() < disconnected_at + 4'000) {
    leases.Step();
  }
  before = leases.orders();
  while (leases.now() < disconnected_at + 20'000) {
    leases.Step();
  }
  CHECK(leases.orders() == before);
}

TEST_CASE(
    "a leader whose lease outlives an outage of the store continues to lead") {
  PlacementLease lease("key", kSelf, kBounds);
  lease.OnLeaderRecord(At(0), std::nullopt);
  REQUIRE(lease.Tick(At(0)));
  lease.OnGranted(At(0), store::LeaseId{7});
  REQUIRE(lease.Tick(At(0)));
  lease.OnAcquired(At(0), std::optional<store::Revision>(5));
  std::int64_t ms = 0;
  for (; ms < 6'000; ms += 100) {
    if (lease.Tick(At(ms))) {
      lease.OnRenewed(At(ms), {});
    }
  }
  REQUIRE(lease.Leads(At(ms)));
  for (; ms < 16'000; ms += 100) {
    if (const auto call = lease.Tick(At(ms))) {
      CHECK(*call == LeadershipAction(RenewLease{7}));
      lease.OnRenewed(At(ms), Fail(ErrorCode::kUnavailable, "away"));
    }
  }
  CHECK_FALSE(lease.Leads(At(ms)));
  // The next call follows within the retry interval.
  const auto next_call = [&] {
    const std::int64_t latest = ms + 1'000;
    while (ms < latest && !lease.Tick(At(ms))) {
      ms += 100;
    }
    return ms < latest;
  };
  REQUIRE(next_call());
  lease.OnRenewed(At(ms), {});
  CHECK(lease.Leads(At(ms + 10)));
  // After an outage in which the lease expired the process no longer leads.
  ms += 5'000;
  REQUIRE(next_call());
  lease.OnRenewed(At(ms), Fail(ErrorCode::kNotFound, "ended"));
  CHECK_FALSE(lease.Leads(At(ms)));
  CHECK_FALSE(lease.HoldsKey());
}

TEST_CASE("a process makes no store calls while another holds the key") {
  PlacementLease lease("key", kSelf, kBounds);
  lease.OnLeaderRecord(At(0), store::KeyValue{"key", "other", 1, 1, 9});
  for (int ms = 0; ms < 60'000; ms += 50) {
    CHECK_FALSE(lease.Tick(At(ms)));
  }
}

TEST_CASE("the takeover delay defers the attempt to acquire a removed key") {
  PlacementLease lease("key", kSelf, kBounds);
  lease.SetTakeoverDelay(milliseconds(200));
  lease.OnLeaderRecord(At(1'000), store::KeyValue{"key", "other", 1, 1, 9});
  lease.OnLeaderRecord(At(2'000), std::nullopt);
  CHECK_FALSE(lease.Tick(At(2'100)));
  CHECK(lease.Tick(At(2'200)));
}

TEST_CASE("a process that resigned no longer leads") {
  PlacementLease lease("key", kSelf, kBounds);
  CHECK_FALSE(lease.Tick(At(0)));
  lease.OnLeaderRecord(At(0), std::nullopt);
  REQUIRE(lease.Tick(At(0)));
  lease.OnGranted(At(1), store::LeaseId{7});
  REQUIRE(lease.Tick(At(2)));
  lease.OnAcquired(At(3), std::optional<store::Revision>(5));
  CHECK_FALSE(lease.Leads(At(3'000)));
  for (int ms = 1'400; ms <= 2'800; ms += 1'400) {
    REQUIRE(lease.Tick(At(ms)));
    lease.OnRenewed(At(ms), {});
  }
  CHECK(lease.Leads(At(3'400)));
  CHECK(lease.fence() == 5);
  lease.Resign();
  CHECK_FALSE(lease.Leads(At(3'400)));
}

TEST_CASE(
    "after a restart of all processes the machine that led leads immediately") {
  PlayedLeases leases(3);
  while (leases.orders() == 0) {
    leases.Step();
  }
  while (leases.now() < 6'000) {
    leases.Step();
  }
  for (std::size_t i = 0; i < 3; ++i) {
    leases.Restart(i);
  }
  const std::size_t before = leases.orders();
  const std::int64_t restarted_at = leases.now();
  // A few calls to the store take place; no lease has to expire, and the
  // separation does not have to pass.
  while (leases.now() < restarted_at + 200) {
    leases.Step();
  }
  CHECK(leases.orders() > before);
  // The expiry of the earlier process's lease does not remove the key.
  while (leases.now() < restarted_at + 10'000) {
    leases.Step();
  }
  CHECK(leases.orders() >= before + 400);
  CHECK_FALSE(leases.ViolatedSeparation());
}

TEST_CASE(
    "the successor of a process that has not led waits for the separation") {
  PlayedLeases leases(1);
  while (leases.now() < 2'000) {
    leases.Step();
  }
  leases.Restart(0);
  while (leases.now() < 5'000) {
    leases.Step();
  }
  CHECK(leases.orders() == 0);
}

TEST_CASE("another machine with the same name is not a successor") {
  PlacementLease lease("key", kSelf, kBounds);
  LeaderRecord predecessor = kSelf;
  predecessor.incarnation = 3;
  predecessor.has_led = true;
  predecessor.address = "10.0.0.8:7600";
  lease.OnLeaderRecord(At(0),
                       store::KeyValue{"key", predecessor.ToText(), 1, 1, 9});
  CHECK_FALSE(lease.Tick(At(100)));
  predecessor.address = kSelf.address;
  lease.OnLeaderRecord(At(200),
                       store::KeyValue{"key", predecessor.ToText(), 1, 1, 9});
  CHECK(lease.Tick(At(200)));
}

TEST_CASE("a leader record is read back as it was written") {
  const LeaderRecord record{InstanceId("edge-1"), "10.0.0.1:7600", 18, true};
  CHECK(LeaderRecord::FromText(record.ToText()) == record);
  CHECK(LeaderRecord::FromText("edge-1 18").instance == InstanceId("edge-1"));
  CHECK(LeaderRecord::FromText("") == LeaderRecord{});
}

}  // namespace
}  // namespace figwell::serving
