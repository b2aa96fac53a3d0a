#ifndef FIGWELL_SERVING_TESTS_PLAYED_LEASES_H_
#define FIGWELL_SERVING_TESTS_PLAYED_LEASES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "figwell/serving/leadership.h"
#include "figwell/testing.h"

namespace figwell::serving {

inline TimePoint At(std::int64_t ms) {
  return TimePoint(std::chrono::milliseconds(ms));
}

inline const LeadershipBounds kBounds;

/**
 * A store with one key, which may be restored from an older copy, and processes
 * that freeze, restart or lose the connection to the store, and whose calls
 * fail, are late or lose their responses.
 */
class PlayedLeases {
 public:
  explicit PlayedLeases(std::size_t processes) {
    for (std::size_t i = 0; i < processes; ++i) {
      processes_.push_back(NewProcess(i));
    }
    known_eras_.resize(processes);
    frozen_until_.resize(processes);
    disconnected_.resize(processes);
    watch_delays_.resize(processes);
  }

  /** Ends the process and starts another on its machine. */
  void Restart(std::size_t i) {
    responses_[i].clear();
    processes_[i] = NewProcess(i);
    known_eras_[i] = 0;
  }
  /** How long processes let others try first when the key is removed. */
  void SetTakeoverDelay(std::int64_t delay) {
    for (PlacementLease& process : processes_) {
      process.SetTakeoverDelay(std::chrono::milliseconds(delay));
    }
  }
  /** The store's answers state its era from now on; for Restore. */
  void StateEra() { store_.era = 1; }
  /** The store is as it was `age` ago, but for its era. */
  void Restore(std::int64_t age) {
    const store::Era era = store_.era + 1;
    const auto copy = history_.upper_bound(now_ - age);
    const std::int64_t copied_at =
        copy == history_.begin() ? now_ : std::prev(copy)->first;
    store_ = copy == history_.begin() ? Store{} : std::prev(copy)->second;
    store_.era = era;
    for (auto& [id, lease] : store_.leases) {
      lease.expires_at += now_ - copied_at;
    }
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
    history_[now_] = store_;
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
        orders_.push_back({now_, i, processes_[i].fence()});
      }
    }
  }

  // Whether orders of two processes were ever closer together than the
  // separation.
  bool ViolatedSeparation() const {
    for (std::size_t i = 1; i < orders_.size(); ++i) {
      if (orders_[i].process != orders_[i - 1].process &&
          At(orders_[i].at) - At(orders_[i - 1].at) < kBounds.separation) {
        return true;
      }
    }
    return false;
  }
  // Whether a fencing token was lower than one before, or that of two
  // processes.
  bool ViolatedFencing() const {
    for (std::size_t i = 1; i < orders_.size(); ++i) {
      const Order& former = orders_[i - 1];
      const Order& order = orders_[i];
      if (order.fence < former.fence ||
          (order.fence == former.fence && order.process != former.process)) {
        return true;
      }
    }
    return false;
  }
  std::size_t last_leader() const { return orders_.back().process; }
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
  // What a copy of the store contains; numbers are without eras.
  struct Store {
    store::Era era = 0;
    std::map<store::LeaseId, Lease> leases;
    store::LeaseId last_lease = 0;
    store::Revision revision = 0;
    std::optional<store::KeyValue> record;
    /** The era in which a process is known to have led. */
    store::Era led_in = 0;
  };
  struct Response {
    std::int64_t at = 0;
    store::Era era = 0;
    /** The bool tells whether the response is to be dropped. */
    std::function<void(PlacementLease&, TimePoint, bool)> callback;
  };
  struct Order {
    std::int64_t at = 0;
    std::size_t process = 0;
    store::Revision fence = 0;
  };

  void ExpireLeases() {
    std::erase_if(store_.leases, [&](const auto& item) {
      return item.second.expires_at <= now_;
    });
    if (store_.record && !store_.leases.contains(store_.record->lease)) {
      store_.record.reset();
    }
  }

  // The process hears from the store in this era.
  void ObserveEra(std::size_t i, store::Era era) {
    const bool restored = known_eras_[i] != 0 && era > known_eras_[i];
    known_eras_[i] = std::max(known_eras_[i], era);
    if (restored) {
      processes_[i].OnNewEra(At(now_));
    }
  }

  bool IsOutdated(std::size_t i, std::int64_t with_era) const {
    return with_era != 0 && store::EraOf(with_era) < known_eras_[i];
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
      if (response.era != 0) {
        ObserveEra(i, response.era);
      }
      response.callback(processes_[i], At(now_), response.era < known_eras_[i]);
    }
  }

  // The watch reports the key, unless the process is disconnected.
  void DeliverWatchUpdate(std::size_t i) {
    if (disconnected_[i]) {
      return;
    }
    const auto reported = history_.upper_bound(now_ - watch_delays_[i]);
    const Store& store = reported == history_.begin()
                             ? history_.begin()->second
                             : std::prev(reported)->second;
    if (store.era < known_eras_[i]) {
      return;  // the view does not go back
    }
    ObserveEra(i, store.era);
    processes_[i].SetLedSinceRestore(store.led_in == store.era);
    std::optional<store::KeyValue> record = store.record;
    if (record) {
      record->mod_revision = store::WithEra(store.era, record->mod_revision);
    }
    processes_[i].OnLeaderRecord(At(now_), record);
  }

  template <typename Callback>
  void RespondLater(std::size_t i, Callback callback) {
    const store::Era era = disconnected_[i] ? known_eras_[i] : store_.era;
    responses_[i].push_back({now_ + 8, era, std::move(callback)});
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
      lease = ++store_.last_lease;
      store_.leases[lease] = {i,
                              now_ + call.ttl / std::chrono::milliseconds(1)};
      lease = store::WithEra(store_.era, lease);
    }
    const bool lost = IsResponseLost(i);
    RespondLater(
        i, [lease, lost](PlacementLease& process, TimePoint now, bool dropped) {
          process.OnGranted(now, lost || dropped
                                     ? Result<store::LeaseId>(UnknownOutcome())
                                     : lease);
        });
  }

  void ExecuteCall(std::size_t i, const RenewLease& call) {
    if (IsOutdated(i, call.lease)) {
      processes_[i].OnRenewed(At(now_), Fail(ErrorCode::kNotFound, "ended"));
      return;
    }
    const auto lease = store_.leases.find(store::WithoutEra(call.lease));
    bool lease_exists = !disconnected_[i] && lease != store_.leases.end();
    if (lease_exists) {
      lease->second.expires_at =
          now_ + PlacementLease::kLeaseTtl / std::chrono::milliseconds(1);
    }
    // The lease that was renewed may be another one with the same number.
    lease_exists = lease_exists && store::EraOf(call.lease) == store_.era;
    const bool lost = IsResponseLost(i);
    RespondLater(i, [lease_exists, lost](PlacementLease& process, TimePoint now,
                                         bool dropped) {
      if (lost || dropped) {
        process.OnRenewed(now, UnknownOutcome());
      } else if (lease_exists) {
        process.OnRenewed(now, {});
      } else {
        process.OnRenewed(now, Fail(ErrorCode::kNotFound, "ended"));
      }
    });
  }

  void ExecuteCall(std::size_t i, const AcquireKey& call) {
    using AcquireResult = Result<std::optional<store::Revision>>;
    if (IsOutdated(i, call.expected)) {
      processes_[i].OnAcquired(At(now_), std::optional<store::Revision>());
      return;
    }
    if (IsOutdated(i, call.lease)) {
      processes_[i].OnAcquired(At(now_), Fail(ErrorCode::kNotFound, "ended"));
      return;
    }
    const store::LeaseId lease = store::WithoutEra(call.lease);
    const bool lease_exists =
        !disconnected_[i] && store_.leases.contains(lease);
    std::optional<store::Revision> acquired;
    bool unknown = IsResponseLost(i);
    if (lease_exists && (store_.record ? store_.record->mod_revision : 0) ==
                            store::WithoutEra(call.expected)) {
      ++store_.revision;
      store_.record = store::KeyValue{call.key, call.value, store_.revision,
                                      store_.revision, lease};
      if (call.has_led) {
        store_.led_in = store::EraOf(call.lease);
      }
      acquired = store::WithEra(store_.era, store_.revision);
      unknown = unknown || store::EraOf(call.lease) != store_.era;
    }
    RespondLater(i, [lease_exists, acquired, unknown](
                        PlacementLease& process, TimePoint now, bool dropped) {
      process.OnAcquired(
          now, unknown || dropped ? AcquireResult(UnknownOutcome())
               : !lease_exists ? AcquireResult(Fail(ErrorCode::kNotFound, ""))
                               : AcquireResult(acquired));
    });
  }

  void ExecuteCall(std::size_t i, const ReadKey&) {
    const bool lost = IsResponseLost(i);
    std::optional<store::KeyValue> record = store_.record;
    if (record) {
      record->mod_revision = store::WithEra(store_.era, record->mod_revision);
    }
    RespondLater(i, [record, lost](PlacementLease& process, TimePoint now,
                                   bool dropped) {
      using ReadResult = Result<std::optional<store::KeyValue>>;
      process.OnRead(now, lost || dropped ? ReadResult(UnknownOutcome())
                                          : ReadResult(record));
    });
  }

  std::int64_t now_ = 0;
  std::uint64_t incarnations_ = 0;
  std::vector<PlacementLease> processes_;
  std::vector<std::int64_t> watch_delays_;
  std::map<std::int64_t, Store> history_;
  std::vector<store::Era> known_eras_;
  std::vector<std::int64_t> frozen_until_;
  std::vector<bool> disconnected_;
  bool lose_responses_ = false;
  Store store_;
  std::map<std::size_t, std::vector<Response>> responses_;
  std::vector<Order> orders_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_TESTS_PLAYED_LEASES_H_
