#ifndef FIGWELL_SERVING_LEADERSHIP_H_
#define FIGWELL_SERVING_LEADERSHIP_H_

/** Elects the instance that orders the backend servers; see serving.h. */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figwell/core.h"
#include "figwell/store.h"

namespace figwell::serving {

/** The key's value: which process holds the key. */
struct LeaderRecord {
  InstanceId instance;
  /** `IP:PORT` for peers; identifies a machine, together with the name. */
  std::string address;
  /** Distinguishes the process from earlier ones on the machine. */
  std::uint64_t incarnation = 0;
  /** Its waiting time is over, so it may have sent orders. */
  bool has_led = false;

  std::string ToText() const;
  /** Missing fields stay empty; such a record is of another machine. */
  static LeaderRecord FromText(const std::string& text);

  friend bool operator==(const LeaderRecord&, const LeaderRecord&) = default;
};

/** Time bounds that the deployment sets for leadership. */
struct LeadershipBounds {
  /** Minimum time between orders of two instances. */
  Duration separation = std::chrono::milliseconds(3'000);
  /** How long after a machine or link resumes its late orders may arrive. */
  Duration resume_grace = std::chrono::milliseconds(300);
  /** The shortest lease that the store grants. */
  Duration min_lease = std::chrono::milliseconds(1'000);

  friend bool operator==(const LeadershipBounds&,
                         const LeadershipBounds&) = default;
};

struct GrantLease {
  Duration ttl{0};
  friend bool operator==(const GrantLease&, const GrantLease&) = default;
};

struct RenewLease {
  store::LeaseId lease = 0;
  friend bool operator==(const RenewLease&, const RenewLease&) = default;
};

/**
 * Writes `key` with the lease if its last write has the revision `expected`; 0
 * requires that the key does not exist.
 */
struct AcquireKey {
  std::string key;
  std::string value;
  store::LeaseId lease = 0;
  store::Revision expected = 0;
  /** `value` says that this process has led. */
  bool has_led = false;
  friend bool operator==(const AcquireKey&, const AcquireKey&) = default;
};

/** Reads who holds the key, after a write with an unknown outcome. */
struct ReadKey {
  std::string key;
  friend bool operator==(const ReadKey&, const ReadKey&) = default;
};

using LeadershipAction =
    std::variant<GrantLease, RenewLease, AcquireKey, ReadKey>;

/**
 * Acquires the key that makes this process the only instance that orders
 * servers, under a lease that exists only while the process tries to acquire
 * the key or holds it. The process leads from `separation + thaw` after it
 * acquired the key until its lease could have expired by its own clock, counted
 * from when the last successful renewal was sent. At most one call is in flight
 * at a time.
 *
 * Once the process leads it marks that in the key. A process that finds such a
 * key of an earlier process of its own machine overwrites it and leads
 * immediately: the two cannot have run at the same time, since both listen on
 * the same address, and no other process can have sent orders while the key
 * existed. This avoids the wait if all processes, or only the leader, restart
 * while replicas are missing.
 *
 * After a restore of the store the key says nothing about who led last: a
 * process that the copy does not know may still lead by a lease from before. A
 * process waits until such a lease must have ended, too, unless another one has
 * led since the restore. The process that led when it learned of the restore
 * leads again at once if it has the key before its former lease could have
 * ended: any other process still waits then.
 */
class PlacementLease {
 public:
  static constexpr Duration kLeaseTtl = std::chrono::milliseconds(3'000);
  static constexpr Duration kRenewInterval = std::chrono::milliseconds(900);
  /** Leadership ends this long before the lease could expire. */
  static constexpr Duration kLeaseSafetyMargin = std::chrono::milliseconds(600);
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(500);

  PlacementLease(std::string key, LeaderRecord self, LeadershipBounds bounds)
      : key_(std::move(key)), self_(std::move(self)), bounds_(bounds) {}

  /** The next call to make, if any; its result goes to an On... function. */
  std::optional<LeadershipAction> Tick(TimePoint now);

  void OnGranted(TimePoint now, const Result<store::LeaseId>& lease);
  void OnRenewed(TimePoint now, const Result<void>& renewed);
  /**
   * Receives the revision at which the key was written, or nullopt if the key's
   * last write is not the expected one. With kUnknownOutcome either is
   * possible.
   */
  void OnAcquired(TimePoint now,
                  const Result<std::optional<store::Revision>>& acquired);
  void OnRead(TimePoint now,
              const Result<std::optional<store::KeyValue>>& value);

  /** Receives the key's state from the watch; nullopt: it does not exist. */
  void OnLeaderRecord(TimePoint now,
                      const std::optional<store::KeyValue>& record);
  /** The store was restored from an older copy, so the lease has ended. */
  void OnNewEra(TimePoint now);
  /**
   * Whether a process is known to have led since the store was last restored,
   * or it never was. True by default.
   */
  void SetLedSinceRestore(bool led) { led_since_restore_ = led; }
  /** How long this process lets others try first when the key is removed. */
  void SetTakeoverDelay(Duration delay) { takeover_delay_ = delay; }
  /** Ends leadership; the process does not acquire the key again. */
  void Resign();

  /** Whether an order may be sent now. */
  bool Leads(TimePoint now) const;
  /** Whether this process holds the key: it leads or waits to lead. */
  bool HoldsKey() const { return leads_from_.has_value(); }
  /**
   * Whether the key was taken over from an earlier process of the machine, or
   * from this one before a restore.
   */
  bool TookOver() const { return took_over_; }
  /**
   * The fencing token of orders: grows with each acquisition of the key, by any
   * process.
   */
  store::Revision fence() const { return fence_; }
  /** The lease of the key; 0 if none. */
  store::LeaseId lease() const { return lease_; }

 private:
  enum class Call { kNone, kGrant, kRenew, kAcquire, kMarkLed, kRead };

  bool IsLeaseValid(TimePoint now) const;
  void OnLeaseLost(TimePoint now);
  bool ShouldAcquireKey() const;
  AcquireKey MakeAcquireKey(store::Revision expected);
  /** Whether the former lease, from before a restore, cannot have ended yet. */
  bool CanResume(TimePoint now) const;
  /** @param took_over whether this machine was the last one that led */
  void RecordAcquisition(TimePoint now, store::Revision revision,
                         bool took_over);
  void OnMarkedLed(TimePoint now,
                   const Result<std::optional<store::Revision>>& marked);
  /** Whether the record is of this process or an earlier one of its machine. */
  bool IsThisMachine(const LeaderRecord& record) const;

  std::string key_;
  LeaderRecord self_;
  LeadershipBounds bounds_;
  Call call_ = Call::kNone;
  TimePoint call_sent_;
  TimePoint next_call_;
  Duration takeover_delay_{0};
  store::LeaseId lease_ = 0;
  TimePoint renewed_;
  /** When orders may first be sent; only while this process holds the key. */
  std::optional<TimePoint> leads_from_;
  bool took_over_ = false;
  bool led_since_restore_ = true;
  /** When the lease ends by which this process led before a restore. */
  std::optional<TimePoint> resumes_until_;
  /** The lease with which this process last wrote the key, or tried to. */
  store::LeaseId key_lease_ = 0;
  store::Revision fence_ = 0;
  /** The revision of this process's last known write of the key. */
  store::Revision last_write_ = 0;
  /**
   * The key's revision, while it names an earlier process of this machine that
   * has led, or this process under a lease that has ended.
   */
  std::optional<store::Revision> predecessor_revision_;
  bool predecessor_has_led_ = false;
  /** Whether the key is known not to exist; set by the watch. */
  bool key_absent_ = false;
  /** Whether the key has to be read: it may not be as this process assumes. */
  bool must_read_key_ = false;
  bool resigned_ = false;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_LEADERSHIP_H_
