#ifndef FIGWELL_PLACEMENT_LEADERSHIP_H_
#define FIGWELL_PLACEMENT_LEADERSHIP_H_

/** The domain's lease and its epoch, and the actions for the caller. */

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figwell/core.h"
#include "figwell/placement/ledger.h"
#include "figwell/store.h"

namespace figwell::placement {

struct GrantLease {
  std::chrono::seconds ttl{};
  friend bool operator==(const GrantLease&, const GrantLease&) = default;
};

struct RenewLease {
  store::LeaseId lease = 0;
  friend bool operator==(const RenewLease&, const RenewLease&) = default;
};

/** The caller passes `id` back with the result. */
struct ExecuteTransaction {
  std::uint64_t id = 0;
  store::Transaction transaction;
  friend bool operator==(const ExecuteTransaction&,
                         const ExecuteTransaction&) = default;
};

struct FetchReport {
  ServerId server;
  std::string address;
  friend bool operator==(const FetchReport&, const FetchReport&) = default;
};

/**
 * Sends one order once. Only a connection on which the engine reported this
 * incarnation may be used, since an order must not reach an engine process
 * that was started later.
 */
struct SendOrder {
  ServerId server;
  std::string address;
  std::string incarnation;
  Order order;
  /** The engine ignores order numbers: check its incarnation before sending. */
  bool confirm_incarnation = false;
  friend bool operator==(const SendOrder&, const SendOrder&) = default;
};

using ControllerAction =
    std::variant<GrantLease, RenewLease, ExecuteTransaction, FetchReport,
                 SendOrder>;
using Actions = std::vector<ControllerAction>;

/** The keys of a domain in the store. */
struct StoreKeys {
  std::string holder;   ///< exists while a controller holds the lease
  std::string epoch;    ///< counts acquisitions; never removed
  std::string ledgers;  ///< prefix, followed by the server's id

  StoreKeys(std::string_view prefix, const DomainId& domain);
};

/**
 * Acquires and renews the domain's lease. Each acquisition gets a unique
 * epoch. A controller that has lost the lease cannot write: every write
 * compares the revision of the holder's key, which is removed with the lease.
 */
class Leadership {
 public:
  static constexpr std::chrono::seconds kTtl{9};
  static constexpr Duration kRenewInterval = std::chrono::seconds(3);
  /**
   * Leadership ends this long before the earliest possible expiry of the lease,
   * by the local clock.
   */
  static constexpr Duration kExpiryMargin = std::chrono::seconds(2);
  static constexpr Duration kRetryInterval = std::chrono::seconds(2);
  /**
   * Followers check for a vacant lease at a fixed interval of one to two times
   * this, which depends on the instance.
   */
  static constexpr Duration kFollowerCheckInterval = std::chrono::seconds(10);

  Leadership(InstanceId instance, StoreKeys keys);

  /** The request to grant or renew a lease that is due, if any. */
  Actions OnTick(TimePoint now);
  void OnLeaseGranted(TimePoint now, const Result<store::LeaseId>& lease);
  void OnLeaseRenewed(TimePoint now, store::LeaseId lease,
                      const Result<std::chrono::seconds>& remaining);

  /**
   * The next transaction of the acquisition, or nullopt if none is due. It
   * reads the holder's key, puts it if it is vacant, or, after an attempt of
   * unknown outcome, checks whether the key is already held. Once the key is
   * held, it also reads the ledgers.
   */
  std::optional<store::Transaction> NextAcquisition(TimePoint now);

  /**
   * @return the domain's ledgers as stored, if the lease is now held
   */
  std::optional<std::vector<store::KeyValue>> OnAcquisitionResult(
      TimePoint now, const Result<store::TransactionResult>& result);

  /** Ends leadership: the holder's key is gone or belongs to another. */
  void Resign(TimePoint now);

  /** Whether orders may be written and sent at `now`. */
  bool Holds(TimePoint now) const;
  std::uint64_t epoch() const { return epoch_; }

  /** The condition of every write in this epoch. */
  store::Compare HolderCompare() const;
  const StoreKeys& keys() const { return keys_; }

 private:
  enum class State {
    kFollowing,  // follower: reads the holder's key periodically
    kVacant,     // the holder's key does not exist
    kGranting,   // waits for a new lease
    kAcquiring,  // has a lease and is putting the holder's key
    kHolding,
  };

  std::string HolderValue() const;
  bool HasLease() const;
  Duration JitteredCheckInterval() const;
  void ApplyHolder(TimePoint now, const store::TransactionResult& result);

  InstanceId instance_;
  StoreKeys keys_;
  State state_ = State::kFollowing;
  TimePoint next_attempt_;
  TimePoint lease_requested_at_;
  TimePoint renewal_sent_at_;
  bool renewing_ = false;
  TimePoint valid_until_;
  store::LeaseId lease_ = 0;
  std::uint64_t epoch_ = 0;
  std::uint64_t stored_epoch_ = 0;
  store::Revision stored_epoch_revision_ = 0;
  store::Revision holder_revision_ = 0;
};

}  // namespace figwell::placement

#endif  // FIGWELL_PLACEMENT_LEADERSHIP_H_
