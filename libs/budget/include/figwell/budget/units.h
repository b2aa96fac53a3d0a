#ifndef FIGWELL_BUDGET_UNITS_H_
#define FIGWELL_BUDGET_UNITS_H_

/** The units that determine each gateway's share of limits; see budget.h. */

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "figwell/budget/buckets.h"
#include "figwell/budget/transfers.h"
#include "figwell/core.h"
#include "figwell/store.h"

namespace figwell::budget {

// -------------------------------------------------------------------- units

/** One gateway's entry in its domain's table. */
struct UnitEntry {
  InstanceId holder;
  std::uint64_t incarnation = 0;
  /** Units held, which may be 0: a member without units. */
  std::int64_t units = 0;
  /** The fleet's total of which the holder's share is `units`. */
  std::int64_t total = 1;
  /** Number of the holder's latest heartbeat that a renewal has recorded. */
  std::uint64_t renewed_heartbeat = 0;
  /** The table's change number that the holder had read at that heartbeat. */
  std::uint64_t known_change = 0;

  friend bool operator==(const UnitEntry&, const UnitEntry&) = default;
};

/**
 * The holders of a domain's units: one store value with about 50 bytes per
 * gateway.
 */
struct UnitTable {
  /** Number of changes of members and units; renewals do not count. */
  std::uint64_t change = 0;
  /** Sorted by holder and incarnation. */
  std::vector<UnitEntry> entries;

  friend bool operator==(const UnitTable&, const UnitTable&) = default;

  const UnitEntry* Find(const InstanceId& holder,
                        std::uint64_t incarnation) const;
  UnitEntry* Find(const InstanceId& holder, std::uint64_t incarnation);
  std::int64_t HeldUnits() const;
};

std::string FormatUnitTable(const UnitTable& table);

/** Parses the text of FormatUnitTable; kInvalid if it is malformed. */
Result<UnitTable> ParseUnitTable(std::string_view text);

/**
 * Whether the shares of all entries of all domains, each with the total that
 * its entry records, add up to at most 1, that is, to the full limit.
 */
bool WithinFullLimit(const std::vector<const UnitTable*>& tables);

/**
 * Another member may free a holder's units if it has seen no renewal of them
 * for this time.
 */
inline constexpr Duration kUnitLeaseLifetime = std::chrono::seconds(20);

/**
 * A holder uses its units for this time after it sent the heartbeat of its last
 * recorded renewal. The difference to kUnitLeaseLifetime covers transfers in
 * flight and clocks whose rates differ.
 */
inline constexpr Duration kUnitLeaseUsableLifetime = std::chrono::seconds(16);

/**
 * How long a member that cannot reach the store promises not to free a holder's
 * units; the holder relies on the promise for a tenth less.
 */
inline constexpr Duration kPromiseLifetime = std::chrono::minutes(60);
inline constexpr Duration kPromiseUsableLifetime = std::chrono::minutes(54);

/**
 * How long a member waits before it frees the units of a holder that may not
 * know this member and so does not need its promise; a holder uses its units on
 * promises for a tenth less after its last renewal.
 */
inline constexpr Duration kExtendedLeaseLifetime = std::chrono::minutes(240);
inline constexpr Duration kExtendedLeaseUsableLifetime =
    std::chrono::minutes(216);

/** Sent by a holder to members of its own domain. */
struct UnitHeartbeat {
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  /** The latest change of the table that the sender has read. */
  std::uint64_t known_change = 0;
  /** Requests the promise not to free the sender's units. */
  bool requests_promise = false;
  /** The sender releases its units and must not be assigned any. */
  bool leaving = false;

  friend bool operator==(const UnitHeartbeat&, const UnitHeartbeat&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, number, known_change, requests_promise, leaving);
  }
};

/** Answers a heartbeat. */
struct UnitEcho {
  /** The receiver's incarnation, as its heartbeat named it. */
  std::uint64_t incarnation = 0;
  std::uint64_t sender_incarnation = 0;
  /**
   * The latest of the receiver's heartbeats that the store's table has
   * recorded; 0: none.
   */
  std::uint64_t renewed_heartbeat = 0;
  /** The latest change of the table that the sender of the echo has read. */
  std::uint64_t change = 0;
  /** The heartbeat for which the promise is given; 0: no promise. */
  std::uint64_t promised_heartbeat = 0;

  friend bool operator==(const UnitEcho&, const UnitEcho&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, sender_incarnation, renewed_heartbeat, change,
            promised_heartbeat);
  }
};

/** Actions that a UnitHolder requests of its caller. */
struct UnitActions {
  /** Store call to execute; pass its result to OnStoreResult exactly once. */
  std::optional<store::Transaction> call;
  std::vector<Outgoing<UnitHeartbeat>> heartbeats;
  std::vector<Outgoing<UnitEcho>> echoes;
};

struct UnitSettings {
  InstanceId instance;
  /** Different at each start of the process. */
  std::uint64_t incarnation = 0;
  DomainId domain;
  /** The store's prefix of all tables, for example `/figwell/units/`. */
  std::string prefix;
};

/**
 * Maintains this gateway's entry in its domain's table of units, and renews the
 * entries of other members for which it is the renewer. At most one store call
 * is in flight at a time. After each call to a member function, pass share()
 * and valid_until() on to TeamBudgets::SetShare.
 */
class UnitHolder {
 public:
  UnitHolder(UnitSettings settings, TimePoint now);

  /** The configured units of the own domain and of all domains together. */
  void Configure(TimePoint now, std::int64_t units, std::int64_t total);

  /** The live gateways of the own domain according to the membership. */
  void SetMembers(const std::vector<InstanceId>& members);

  /** Call it every kUnitTick. */
  UnitActions Tick(TimePoint now);

  void OnStoreResult(TimePoint now,
                     const Result<store::TransactionResult>& result);
  UnitActions OnHeartbeat(TimePoint now, const InstanceId& from,
                          const UnitHeartbeat& heartbeat);
  void OnEcho(TimePoint now, const InstanceId& from, const UnitEcho& echo);

  /** Starts to release all units; later calls of Tick complete it. */
  void Leave(TimePoint now);

  /** Whether the store has no entry of this gateway any more after Leave. */
  bool left() const {
    return leaving_ && table_known_ && OwnEntry() == nullptr;
  }

  /** The share that this gateway may use before valid_until(). */
  Share share() const { return used_share_; }
  TimePoint valid_until() const;
  bool store_reachable() const { return store_ok_; }
  const UnitTable& table() const { return table_; }

 private:
  using Holder = std::pair<InstanceId, std::uint64_t>;

  struct Observed {
    std::uint64_t renewed_heartbeat = 0;
    TimePoint since;
  };
  struct ReceivedHeartbeat {
    UnitHeartbeat heartbeat;
    TimePoint at;
  };
  /** A store call in flight. */
  struct Call {
    bool reads = false;
    bool grows = false;
    UnitTable table;
  };
  /**
   * Effects of writes on top of `revision` whose outcome is unknown: the store
   * may still execute them.
   */
  struct UnresolvedWrites {
    store::Revision revision = 0;
    std::set<Holder> freed;
    std::optional<Share> released;
  };

  const UnitEntry* OwnEntry() const;
  std::string OwnKey() const;
  std::string GrowthKey() const;
  std::int64_t TargetUnits(const UnitTable& table,
                           const UnitEntry& entry) const;
  void UpdateShare(TimePoint now);

  // Heartbeats.
  Duration HeartbeatInterval() const;
  std::optional<InstanceId> Renewer() const;
  void SendHeartbeats(TimePoint now, UnitActions& actions);
  bool NeedsPromise(TimePoint now) const;
  bool MayPromise(const Holder& holder) const;
  std::optional<TimePoint> HeartbeatSentAt(std::uint64_t number) const;

  // Changes of the table.
  const ReceivedHeartbeat* RecentHeartbeat(TimePoint now,
                                           const InstanceId& member) const;
  bool IsRenewer(TimePoint now) const;
  bool RenewsOwnEntry(TimePoint now) const;
  bool RenewalDue(TimePoint now) const;
  bool IsExpired(TimePoint now, const UnitEntry& entry) const;
  bool FreeExpired(TimePoint now, UnitTable& table);
  bool Join(TimePoint now, UnitTable& table) const;
  bool Release(TimePoint now, UnitTable& table) const;
  bool Grow(TimePoint now, UnitTable& table, bool& blocked) const;
  bool GrowEntry(UnitTable& table, UnitEntry& entry, bool& blocked) const;
  void RenewEntries(TimePoint now, UnitTable& table) const;

  // Store calls.
  std::optional<store::Transaction> NextCall(TimePoint now);
  store::Transaction StartRead();
  store::Transaction StartWrite(const UnitTable& table, bool grows);
  void RecordUnresolvedWrite(const UnitTable& next);
  void ApplyRead(TimePoint now, const store::TransactionResult& result);
  void UpdateDerivedState(TimePoint now);
  void ConfirmRenewal(std::uint64_t renewed_heartbeat);

  UnitSettings settings_;
  TimePoint started_;
  std::int64_t configured_units_ = 0;
  std::int64_t configured_total_ = 1;
  std::vector<InstanceId> members_;  // without this gateway
  bool leaving_ = false;

  // The store as last read or written.
  bool table_known_ = false;
  bool store_ok_ = false;
  TimePoint retry_at_;
  TimePoint table_updated_at_;
  store::Revision revision_ = 0;
  store::Revision growth_revision_ = 0;
  UnitTable table_;
  std::vector<UnitTable> other_tables_;
  std::map<Holder, Observed> observed_;
  std::optional<std::uint64_t> joined_at_change_;
  std::optional<Call> call_;
  UnresolvedWrites unresolved_writes_;

  // This gateway's lease.
  std::uint64_t heartbeat_number_ = 0;
  TimePoint next_heartbeat_;
  std::deque<std::pair<std::uint64_t, TimePoint>> sent_heartbeats_;
  std::size_t renewer_attempt_ = 0;
  TimePoint renewer_last_echo_;
  std::uint64_t confirmed_heartbeat_ = 0;
  TimePoint confirmed_sent_at_;
  TimePoint last_write_;
  Share used_share_;     // never above the share recorded in the store
  TimePoint shrunk_at_;  // when used_share_ was last lowered

  // Promises, used while the store is unreachable.
  bool requesting_promises_ = false;
  std::uint64_t first_requesting_heartbeat_ = 0;
  std::map<Holder, TimePoint> promised_to_us_;  // when we requested it
  std::map<Holder, TimePoint> promised_by_us_;  // when it expires
  std::map<InstanceId, ReceivedHeartbeat> received_heartbeats_;
};

/** How often UnitHolder::Tick is to be called. */
inline constexpr Duration kUnitTick = std::chrono::milliseconds(250);

}  // namespace figwell::budget

#endif  // FIGWELL_BUDGET_UNITS_H_
