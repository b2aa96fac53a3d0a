#include "figwell/serving/leadership.h"

#include <map>

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

TimePoint At(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

const LeadershipBounds kBounds;
const LeaderRecord kSelf{InstanceId("me"), "10.0.0.9:7600", 7};

// A store with one key, and processes that freeze, restart or lose the
// connection to the store, and whose calls fail, are late or lose their
// responses.
class World {
 public:
  explicit World(std::size_t processes) {
    for (std::size_t i = 0; i < processes; ++i) {
      processes_.push_back(NewProcess(i));
    }
    frozen_until_.resize(processes);
    cut_.resize(processes);
    lag_.resize(processes);
  }

  /** Ends the process and starts another on its machine. */
  void Restart(std::size_t i) {
    answers_[i].clear();
    processes_[i] = NewProcess(i);
  }
  /** The process's watch reports the key this much later. */
  void Lag(std::size_t i, std::int64_t lag) { lag_[i] = lag; }

  void Freeze(std::size_t i, std::int64_t until) { frozen_until_[i] = until; }
  void Cut(std::size_t i, bool cut) { cut_[i] = cut; }
  /** Responses are lost although the calls are executed. */
  void LoseAnswers(bool lose) { lose_answers_ = lose; }

  void Step() {
    now_ += 20;
    ExpireLeases();
    history_[now_] = holder_;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (now_ < frozen_until_[i]) {
        continue;
      }
      Deliver(i);
      TellHolder(i);
      if (const auto action = processes_[i].Tick(At(now_))) {
        Carry(i, *action);
      }
      if (processes_[i].Leads(At(now_))) {
        ordered_.push_back({now_, i});
      }
    }
  }

  // Whether orders of two processes were ever closer together than the
  // separation.
  bool TookTurns() const {
    for (std::size_t i = 1; i < ordered_.size(); ++i) {
      if (ordered_[i].second != ordered_[i - 1].second &&
          At(ordered_[i].first) - At(ordered_[i - 1].first) <
              kBounds.separation) {
        return true;
      }
    }
    return false;
  }
  std::size_t orders() const { return ordered_.size(); }
  std::int64_t now() const { return now_; }

 private:
  PlacementLease NewProcess(std::size_t i) {
    const std::string number = std::to_string(i);
    return {"key",
            {InstanceId("p" + number), "10.0.0." + number + ":7600",
             ++incarnations_},
            kBounds};
  }

  struct Lease {
    std::size_t owner = 0;
    std::int64_t ends = 0;
  };
  struct Answer {
    std::int64_t at = 0;
    std::function<void(PlacementLease&, TimePoint)> give;
  };

  void ExpireLeases() {
    std::erase_if(leases_,
                  [&](const auto& item) { return item.second.ends <= now_; });
    if (holder_ && !leases_.contains(holder_->lease)) {
      holder_.reset();
    }
  }

  void Deliver(std::size_t i) {
    auto& queue = answers_[i];
    std::vector<Answer> due;
    for (auto answer = queue.begin(); answer != queue.end();) {
      if (answer->at <= now_) {
        due.push_back(std::move(*answer));
        answer = queue.erase(answer);
      } else {
        ++answer;
      }
    }
    for (const Answer& answer : due) {
      answer.give(processes_[i], At(now_));
    }
  }

  // The watch reports the key, unless the process is disconnected.
  void TellHolder(std::size_t i) {
    if (cut_[i]) {
      return;
    }
    const auto told = history_.upper_bound(now_ - lag_[i]);
    processes_[i].OnLeaderRecord(At(now_), told == history_.begin()
                                               ? std::nullopt
                                               : std::prev(told)->second);
  }

  template <typename Give>
  void AnswerLater(std::size_t i, Give give) {
    answers_[i].push_back({now_ + 8, std::move(give)});
  }

  bool Lost(std::size_t i) const { return cut_[i] || lose_answers_; }
  static tl::unexpected<Error> Unknown() {
    return Fail(ErrorCode::kUnknownOutcome, "no answer");
  }

  void Carry(std::size_t i, const LeadershipAction& action) {
    std::visit([&](const auto& call) { CarryOne(i, call); }, action);
  }

  void CarryOne(std::size_t i, const GrantLease& call) {
    store::LeaseId lease = 0;
    if (!cut_[i]) {
      lease = ++last_lease_;
      leases_[lease] = {i, now_ + call.ttl / milliseconds(1)};
    }
    const bool lost = Lost(i);
    AnswerLater(i, [lease, lost](PlacementLease& process, TimePoint now) {
      process.OnGranted(now, lost ? Result<store::LeaseId>(Unknown()) : lease);
    });
  }

  void CarryOne(std::size_t i, const RenewLease& call) {
    const auto lease = leases_.find(call.lease);
    const bool there = !cut_[i] && lease != leases_.end();
    if (there) {
      lease->second.ends = now_ + PlacementLease::kTtl / milliseconds(1);
    }
    const bool lost = Lost(i);
    AnswerLater(i, [there, lost](PlacementLease& process, TimePoint now) {
      if (lost) {
        process.OnRenewed(now, Unknown());
      } else if (there) {
        process.OnRenewed(now, {});
      } else {
        process.OnRenewed(now, Fail(ErrorCode::kNotFound, "ended"));
      }
    });
  }

  void CarryOne(std::size_t i, const AcquireKey& call) {
    const bool there = !cut_[i] && leases_.contains(call.lease);
    std::optional<store::Revision> taken;
    if (there && (holder_ ? holder_->mod_revision : 0) == call.expected) {
      holder_ = store::KeyValue{call.key, call.value, ++revision_, revision_,
                                call.lease};
      taken = revision_;
    }
    const bool lost = Lost(i);
    AnswerLater(i, [there, taken, lost](PlacementLease& process,
                                        TimePoint now) {
      using Taken = Result<std::optional<store::Revision>>;
      process.OnAcquired(now, lost     ? Taken(Unknown())
                              : !there ? Taken(Fail(ErrorCode::kNotFound, ""))
                                       : Taken(taken));
    });
  }

  void CarryOne(std::size_t i, const ReadKey&) {
    const bool lost = Lost(i);
    AnswerLater(
        i, [holder = holder_, lost](PlacementLease& process, TimePoint now) {
          using Read = Result<std::optional<store::KeyValue>>;
          process.OnRead(now, lost ? Read(Unknown()) : Read(holder));
        });
  }

  std::int64_t now_ = 0;
  std::uint64_t incarnations_ = 0;
  std::vector<PlacementLease> processes_;
  std::vector<std::int64_t> lag_;
  std::map<std::int64_t, std::optional<store::KeyValue>> history_;
  std::vector<std::int64_t> frozen_until_;
  std::vector<bool> cut_;
  bool lose_answers_ = false;
  std::map<store::LeaseId, Lease> leases_;
  store::LeaseId last_lease_ = 0;
  store::Revision revision_ = 0;
  std::optional<store::KeyValue> holder_;
  std::map<std::size_t, std::vector<Answer>> answers_;
  std::vector<std::pair<std::int64_t, std::size_t>> ordered_;
};

TEST_CASE("one process leads once the separation has passed") {
  World world(3);
  while (world.now() < 3'000) {
    world.Step();
  }
  CHECK(world.orders() == 0);
  while (world.now() < 6'000) {
    world.Step();
  }
  CHECK(world.orders() > 0);
}

TEST_CASE(
    "orders of two processes are never closer together than the separation") {
  testing::CheckSequences(60, [] {
    World world(3);
    for (int phase = 0; phase < 8; ++phase) {
      const auto victim = *rc::gen::inRange<std::size_t>(0, 3);
      const auto kind = *rc::gen::inRange(0, 7);
      const auto length = *rc::gen::inRange<std::int64_t>(100, 9'000);
      if (kind == 0) {
        world.Freeze(victim, world.now() + length);
      } else if (kind == 1) {
        world.Cut(victim, true);
      } else if (kind == 2) {
        world.LoseAnswers(true);
      } else if (kind == 3) {
        world.Restart(victim);
      } else if (kind == 4) {
        for (std::size_t i = 0; i < 3; ++i) {
          world.Restart(i);
        }
      } else if (kind == 5) {
        world.Lag(victim, length / 4);
      }
      const std::int64_t until = world.now() + length;
      while (world.now() < until) {
        world.Step();
      }
      world.Cut(victim, false);
      world.LoseAnswers(false);
      world.Lag(victim, 0);
    }
    RC_ASSERT_FALSE(world.TookTurns());
  });
}

TEST_CASE("a leader that cannot renew stops before its lease ends") {
  World world(2);
  while (world.orders() == 0) {
    world.Step();
  }
  world.Cut(0, true);
  world.Cut(1, true);
  const std::int64_t cut = world.now();
  std::size_t before = world.orders();
  while (world.now() < cut + 4'000) {
    world.Step();
  }
  before = world.orders();
  while (world.now() < cut + 20'000) {
    world.Step();
  }
  CHECK(world.orders() == before);
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
  World world(3);
  while (world.orders() == 0) {
    world.Step();
  }
  while (world.now() < 6'000) {
    world.Step();
  }
  for (std::size_t i = 0; i < 3; ++i) {
    world.Restart(i);
  }
  const std::size_t before = world.orders();
  const std::int64_t restarted = world.now();
  // A few calls to the store take place; no lease has to expire, and the
  // separation does not have to pass.
  while (world.now() < restarted + 200) {
    world.Step();
  }
  CHECK(world.orders() > before);
  // The expiry of the earlier process's lease does not remove the key.
  while (world.now() < restarted + 10'000) {
    world.Step();
  }
  CHECK(world.orders() >= before + 400);
  CHECK_FALSE(world.TookTurns());
}

TEST_CASE(
    "the successor of a process that has not led waits for the separation") {
  World world(1);
  while (world.now() < 2'000) {
    world.Step();
  }
  world.Restart(0);
  while (world.now() < 5'000) {
    world.Step();
  }
  CHECK(world.orders() == 0);
}

TEST_CASE("another machine with the same name is not a successor") {
  PlacementLease lease("key", kSelf, kBounds);
  LeaderRecord former = kSelf;
  former.incarnation = 3;
  former.has_led = true;
  former.address = "10.0.0.8:7600";
  lease.OnLeaderRecord(At(0), store::KeyValue{"key", former.ToText(), 1, 1, 9});
  CHECK_FALSE(lease.Tick(At(100)));
  former.address = kSelf.address;
  lease.OnLeaderRecord(At(200),
                       store::KeyValue{"key", former.ToText(), 1, 1, 9});
  CHECK(lease.Tick(At(200)));
}

TEST_CASE("a leader record is read back as it was written") {
  const LeaderRecord holder{InstanceId("edge-1"), "10.0.0.1:7600", 18, true};
  CHECK(LeaderRecord::FromText(holder.ToText()) == holder);
  CHECK(LeaderRecord::FromText("edge-1 18").instance == InstanceId("edge-1"));
  CHECK(LeaderRecord::FromText("") == LeaderRecord{});
}

}  // namespace
}  // namespace figwell::serving
