#ifndef FIGWELL_SERVING_LEADERSHIP_H_
#define FIGWELL_SERVING_LEADERSHIP_H_

/** Which instance gives orders to the backend servers; see serving.h. */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figwell/core.h"
#include "figwell/store.h"

namespace figwell::serving {

/** What the key's value says of the process that has it. */
struct LeaderRecord {
  InstanceId instance;
  /** `IP:PORT` for peers: with the name it stands for one machine. */
  std::string address;
  /** Tells the process from those before it on the machine. */
  std::uint64_t incarnation = 0;
  /** It has led: its wait is over, and orders may have been given. */
  bool has_led = false;

  std::string ToText() const;
  /** Parts that are missing stay empty: such a holder is another machine. */
  static LeaderRecord FromText(const std::string& text);

  friend bool operator==(const LeaderRecord&, const LeaderRecord&) = default;
};

/** Bounds of leadership. */
struct LeadershipBounds {
  /** Orders of two instances have to be this far apart. */
  Duration separation = std::chrono::milliseconds(3'000);
  /** Orders may be under way for so long after a machine or link comes back.
   */
  Duration thaw = std::chrono::milliseconds(300);
  /** The shortest lease that the store grants. */
  Duration shortest_lease = std::chrono::milliseconds(1'000);

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
 * Writes `key` with the lease if its last write has the revision `expected`;
 * 0: if it does not exist.
 */
struct AcquireKey {
  std::string key;
  std::string value;
  store::LeaseId lease = 0;
  store::Revision expected = 0;
  friend bool operator==(const AcquireKey&, const AcquireKey&) = default;
};

/** Reads who has the key, after a write whose outcome is not known. */
struct ReadKey {
  std::string key;
  friend bool operator==(const ReadKey&, const ReadKey&) = default;
};

using LeadershipAction =
    std::variant<GrantLease, RenewLease, AcquireKey, ReadKey>;

/**
 * Takes the key that makes this process the one instance that orders servers,
 * under a lease that it has only while it wants or has the key. It leads from
 * `separation + thaw` after it took the key until its lease could have ended
 * by the clock of this process, counted from the moment the last renewal that
 * succeeded was sent. At most one call is under way at a time.
 *
 * Once it leads it says so in the key. A process that finds such a key of a
 * former process of its own machine writes it anew and leads at once: the two
 * cannot have run side by side, since both listen on the same address, and
 * nobody else can have given orders while the key was there. Answers a restart
 * of all processes, or of the one that leads, while copies are missing.
 */
class PlacementLease {
 public:
  static constexpr Duration kTtl = std::chrono::milliseconds(3'000);
  static constexpr Duration kRenewEvery = std::chrono::milliseconds(900);
  /** Leadership ends this long before the lease could. */
  static constexpr Duration kMargin = std::chrono::milliseconds(600);
  static constexpr Duration kRetryEvery = std::chrono::milliseconds(500);

  PlacementLease(std::string key, LeaderRecord self, LeadershipBounds bounds)
      : key_(std::move(key)), self_(std::move(self)), bounds_(bounds) {}

  /** The next call to make, if any; its outcome goes to one of the below. */
  std::optional<LeadershipAction> Tick(TimePoint now);

  void OnGranted(TimePoint now, const Result<store::LeaseId>& lease);
  void OnRenewed(TimePoint now, const Result<void>& kept);
  /**
   * The revision at which the key was written, or nullopt if its last write is
   * not the one that was expected. kUnknownOutcome leaves that open.
   */
  void OnAcquired(TimePoint now,
                  const Result<std::optional<store::Revision>>& taken);
  void OnRead(TimePoint now,
              const Result<std::optional<store::KeyValue>>& value);

  /** What the watch says of the key; nullopt: it does not exist. */
  void OnLeaderRecord(TimePoint now,
                      const std::optional<store::KeyValue>& holder);
  /** How long this process lets others try first when the key is free. */
  void SetTakeoverDelay(Duration delay) { takeover_delay_ = delay; }
  /** Takes the key no more; a leader stops leading. */
  void Resign();

  /** Whether an order may leave at this moment. */
  bool Leads(TimePoint now) const;
  /** Whether this process has the key, and may lead soon. */
  bool HoldsKey() const { return leads_from_.has_value(); }
  /** Whether the key was taken over from a former process of this machine. */
  bool TookOver() const { return succeeded_; }
  /**
   * Grows with each taking of the key, by whomever: the fencing token of
   * orders.
   */
  store::Revision fence() const { return fence_; }
  /** The lease of the key; 0 if none. */
  store::LeaseId lease() const { return lease_; }

 private:
  enum class Call { kNone, kGrant, kKeep, kTake, kMark, kRead };

  bool LeaseHolds(TimePoint now) const;
  void LoseLease(TimePoint now);
  bool WantsKey() const;
  AcquireKey MakeTakeKey(store::Revision expected) const;
  /** @param succeeded whether a former process of this machine has led */
  void NoteTaken(TimePoint now, store::Revision revision, bool succeeded);
  void OnMarked(TimePoint now,
                const Result<std::optional<store::Revision>>& marked);
  /** Whether the holder is this machine, with this process or a former one. */
  bool IsThisMachine(const LeaderRecord& holder) const;

  std::string key_;
  LeaderRecord self_;
  LeadershipBounds bounds_;
  Call call_ = Call::kNone;
  TimePoint call_sent_;
  TimePoint next_call_;
  Duration takeover_delay_{0};
  store::LeaseId lease_ = 0;
  TimePoint renewed_;
  /** When orders may leave; only while this process has the key. */
  std::optional<TimePoint> leads_from_;
  bool succeeded_ = false;
  store::Revision fence_ = 0;
  /** The last write of the key by this process, as far as known. */
  store::Revision written_ = 0;
  /** The key's revision, while a former process of this machine has it. */
  std::optional<store::Revision> former_;
  /** Whether the key is known to be free; set by the watch. */
  bool vacant_ = false;
  bool unsure_ = false;
  bool resigned_ = false;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_LEADERSHIP_H_
