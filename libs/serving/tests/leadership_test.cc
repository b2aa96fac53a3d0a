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
class Simulation {
 public:
  explicit Simulation(std::size_t processes) {
    for (std::size_t i = 0; i < processes; ++i) {
      processes_.push_back(NewProcess(i));
    }
    frozen_until_.resize(processes);
    disconnected_.resize(processes);
    watch_delays_.resize(processes);
  }

  /** Ends the process and starts another on its machine. */
  void Restart(std::size_t i) {
    responses_[i].clear();
    processes_[i] = NewProcess(i);
  }
  /** The process's watch reports the key this much later. */
  void SetWatchDelay(std::size_t i, std::int64_t delay) {
    watch_delays_[i] = delay;
  }

  void Freeze(std::size_t i, std::int64_t until) { frozen_until_[i] = until; }
  void SetDisconnected(std::size_t i, bool disconnected) {
    disconnected_[i] = disconnected;
  }
  /** Responses are lost although the calls are executed. */
  void LoseResponses(bool lose) { lose_responses_ = lose; }

  void Step() {
    now_ += 20;
    ExpireLeases();
    record_history_[now_] = record_;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (now_ < frozen_until_[i]) {
        continue;
      }
      DeliverResponses(i);
      DeliverWatchUpdate(i);
      if (const auto action = processes_[i].Tick(At(now_))) {
        Execute(i, *action);
      }
      if (processes_[i].Leads(At(now_))) {
        orders_.push_back({now_, i});
      }
    }
  }

  // Whether orders of two processes were ever closer together than the
  // separation.
  bool ViolatedSeparation() const {
    for (std::size_t i = 1; i < orders_.size(); ++i) {
      if (orders_[i].second != orders_[i - 1].second &&
          At(orders_[i].first) - At(orders_[i - 1].first) <
              kBounds.separation) {
        return true;
      }
    }
    return false;
  }
  std::size_t orders() const { return orders_.size(); }
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
    std::int64_t expires_at = 0;
  };
  struct Response {
    std::int64_t at = 0;
    std::function<void(PlacementLease&, TimePoint)> callback;
  };

  void ExpireLeases() {
    std::erase_if(leases_, [&](const auto& item) {
      return item.second.expires_at <= now_;
    });
    if (record_ && !leases_.contains(record_->lease)) {
      record_.reset();
    }
  }

  void DeliverResponses(std::size_t i) {
    auto& queue = responses_[i];
    std::vector<Response> due;
    for (auto response = queue.begin(); response != queue.end();) {
      if (response->at <= now_) {
        due.push_back(std::move(*response));
        response = queue.erase(response);
      } else {
        ++response;
      }
    }
    for (const Response& response : due) {
      response.callback(processes_[i], At(now_));
    }
  }

  // The watch reports the key, unless the process is disconnected.
  void DeliverWatchUpdate(std::size_t i) {
    if (disconnected_[i]) {
      return;
    }
    const auto reported = record_history_.upper_bound(now_ - watch_delays_[i]);
    processes_[i].OnLeaderRecord(At(now_), reported == record_history_.begin()
                                               ? std::nullopt
                                               : std::prev(reported)->second);
  }

  template <typename Callback>
  void RespondLater(std::size_t i, Callback callback) {
    responses_[i].push_back({now_ + 8, std::move(callback)});
  }

  bool IsResponseLost(std::size_t i) const {
    return disconnected_[i] || lose_responses_;
  }
  static tl::unexpected<Error> UnknownOutcome() {
    return Fail(ErrorCode::kUnknownOutcome, "no answer");
  }

  void Execute(std::size_t i, const LeadershipAction& action) {
    std::visit([&](const auto& call) { ExecuteCall(i, call); }, action);
  }

  void ExecuteCall(std::size_t i, const GrantLease& call) {
    store::LeaseId lease = 0;
    if (!disconnected_[i]) {
      lease = ++last_lease_;
      leases_[lease] = {i, now_ + call.ttl / milliseconds(1)};
    }
    const bool lost = IsResponseLost(i);
    RespondLater(i, [lease, lost](PlacementLease& process, TimePoint now) {
      process.OnGranted(
          now, lost ? Result<store::LeaseId>(UnknownOutcome()) : lease);
    });
  }

  void ExecuteCall(std::size_t i, const RenewLease& call) {
    const auto lease = leases_.find(call.lease);
    const bool lease_exists = !disconnected_[i] && lease != leases_.end();
    if (lease_exists) {
      lease->second.expires_at =
          now_ + PlacementLease::kLeaseTtl / milliseconds(1);
    }
    const bool lost = IsResponseLost(i);
    RespondLater(
        i, [lease_exists, lost](PlacementLease& process, TimePoint now) {
          if (lost) {
            process.OnRenewed(now, UnknownOutcome());
          } else if (lease_exists) {
            process.OnRenewed(now, {});
          } else {
            process.OnRenewed(now, Fail(ErrorCode::kNotFound, "ended"));
          }
        });
  }

  void ExecuteCall(std::size_t i, const AcquireKey& call) {
    const bool lease_exists = !disconnected_[i] && leases_.contains(call.lease);
    std::optional<store::Revision> acquired;
    if (lease_exists &&
        (record_ ? record_->mod_revision : 0) == call.expected) {
      record_ = store::KeyValue{call.key, call.value, ++revision_, revision_,
                                call.lease};
      acquired = revision_;
    }
    const bool lost = IsResponseLost(i);
    RespondLater(i, [lease_exists, acquired, lost](PlacementLease& process,
                                                   TimePoint now) {
      using AcquireResult = Result<std::optional<store::Revision>>;
      process.OnAcquired(
          now, lost            ? AcquireResult(UnknownOutcome())
               : !lease_exists ? AcquireResult(Fail(ErrorCode::kNotFound, ""))
                               : AcquireResult(acquired));
    });
  }

  void ExecuteCall(std::size_t i, const ReadKey&) {
    const bool lost = IsResponseLost(i);
    RespondLater(
        i, [record = record_, lost](PlacementLease& process, TimePoint now) {
          using ReadResult = Result<std::optional<store::KeyValue>>;
          process.OnRead(
              now, lost ? ReadResult(UnknownOutcome()) : ReadResult(record));
        });
  }

  std::int64_t now_ = 0;
  std::uint64_t incarnations_ = 0;
  std::vector<PlacementLease> processes_;
  std::vector<std::int64_t> watch_delays_;
  std::map<std::int64_t, std::optional<store::KeyValue>> record_history_;
  std::vector<std::int64_t> frozen_until_;
  std::vector<bool> disconnected_;
  bool lose_responses_ = false;
  std::map<store::LeaseId, Lease> leases_;
  store::LeaseId last_lease_ = 0;
  store::Revision revision_ = 0;
  std::optional<store::KeyValue> record_;
  std::map<std::size_t, std::vector<Response>> responses_;
  std::vector<std::pair<std::int64_t, std::size_t>> orders_;
};

TEST_CASE("one process leads once the separation has passed") {
  Simulation simulation(3);
  while (simulation.now() < 3'000) {
    simulation.Step();
  }
  CHECK(simulation.orders() == 0);
  while (simulation.now() < 6'000) {
    simulation.Step();
  }
  CHECK(simulation.orders() > 0);
}

TEST_CASE(
    "orders of two processes are never closer together than the separation") {
  testing::CheckSequences(60, [] {
    Simulation simulation(3);
    for (int phase = 0; phase < 8; ++phase) {
      const auto affected = *rc::gen::inRange<std::size_t>(0, 3);
      const auto fault = *rc::gen::inRange(0, 7);
      const auto length = *rc::gen::inRange<std::int64_t>(100, 9'000);
      if (fault == 0) {
        simulation.Freeze(affected, simulation.now() + length);
      } else if (fault == 1) {
        simulation.SetDisconnected(affected, true);
      } else if (fault == 2) {
        simulation.LoseResponses(true);
      } else if (fault == 3) {
        simulation.Restart(affected);
      } else if (fault == 4) {
        for (std::size_t i = 0; i < 3; ++i) {
          simulation.Restart(i);
        }
      } else if (fault == 5) {
        simulation.SetWatchDelay(affected, length / 4);
      }
      const std::int64_t until = simulation.now() + length;
      while (simulation.now() < until) {
        simulation.Step();
      }
      simulation.SetDisconnected(affected, false);
      simulation.LoseResponses(false);
      simulation.SetWatchDelay(affected, 0);
    }
    RC_ASSERT_FALSE(simulation.ViolatedSeparation());
  });
}

TEST_CASE("a leader that cannot renew stops before its lease ends") {
  Simulation simulation(2);
  while (simulation.orders() == 0) {
    simulation.Step();
  }
  simulation.SetDisconnected(0, true);
  simulation.SetDisconnected(1, true);
  const std::int64_t disconnected_at = simulation.now();
  std::size_t before = simulation.orders();
  while (simulation.now() < disconnected_at + 4'000) {
    simulation.Step();
  }
  before = simulation.orders();
  while (simulation.now() < disconnected_at + 20'000) {
    simulation.Step();
  }
  CHECK(simulation.orders() == before);
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
  Simulation simulation(3);
  while (simulation.orders() == 0) {
    simulation.Step();
  }
  while (simulation.now() < 6'000) {
    simulation.Step();
  }
  for (std::size_t i = 0; i < 3; ++i) {
    simulation.Restart(i);
  }
  const std::size_t before = simulation.orders();
  const std::int64_t restarted_at = simulation.now();
  // A few calls to the store take place; no lease has to expire, and the
  // separation does not have to pass.
  while (simulation.now() < restarted_at + 200) {
    simulation.Step();
  }
  CHECK(simulation.orders() > before);
  // The expiry of the earlier process's lease does not remove the key.
  while (simulation.now() < restarted_at + 10'000) {
    simulation.Step();
  }
  CHECK(simulation.orders() >= before + 400);
  CHECK_FALSE(simulation.ViolatedSeparation());
}

TEST_CASE(
    "the successor of a process that has not led waits for the separation") {
  Simulation simulation(1);
  while (simulation.now() < 2'000) {
    simulation.Step();
  }
  simulation.Restart(0);
  while (simulation.now() < 5'000) {
    simulation.Step();
  }
  CHECK(simulation.orders() == 0);
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
