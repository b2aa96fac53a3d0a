#ifndef FIGWELL_STORE_H_
#define FIGWELL_STORE_H_

/**
 * Interface of the platform's key-value store: values, transactions with
 * compare-and-swap, leases and watches. There is no I/O here: the client is in
 * libs/platform, and decision code only builds and reads these values.
 */

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "figwell/core.h"

namespace figwell::store {

/**
 * Counts the writes of the entire store; 0 means "does not exist". Revisions of
 * a store that states its era contain it; see WithEra.
 */
using Revision = std::int64_t;

/** Identifies a lease; 0 means "no lease". */
using LeaseId = std::int64_t;

/**
 * How often the store has come back from an older copy of its data, counted by
 * the store; 0 if it does not state that. After such a restore, revisions and
 * lease ids of the previous era are given out again.
 */
using Era = std::int64_t;

/**
 * Bits of a revision below its era. The store's count of writes stays far below
 * 2^40: it grows by some thousands a second at most.
 */
inline constexpr int kRevisionBits = 40;
inline constexpr Era kMaxEra = (Era{1} << (63 - kRevisionBits)) - 1;

/**
 * A revision that is unique over restores: each one of an era is greater than
 * all of the eras before it. 0 has no era.
 */
constexpr Revision WithEra(Era era, Revision stated) {
  return stated == 0 ? 0 : (era << kRevisionBits) + stated;
}
constexpr Era EraOf(Revision with_era) { return with_era >> kRevisionBits; }
/** The revision as the store states it. */
constexpr Revision WithoutEra(Revision with_era) {
  return with_era & ((Revision{1} << kRevisionBits) - 1);
}

/** The maximum size of a value that the platform accepts, in bytes. */
inline constexpr std::size_t kMaxValueBytes = 1'000'000;

/** A key with its value, as read from the store. */
struct KeyValue {
  std::string key;
  std::string value;
  Revision create_revision = 0;
  Revision mod_revision = 0;
  LeaseId lease = 0;

  friend bool operator==(const KeyValue&, const KeyValue&) = default;
};

/**
 * A condition of a transaction: the key's last write has exactly this
 * revision. Revision 0 requires that the key does not exist.
 */
struct Compare {
  std::string key;
  Revision mod_revision = 0;

  friend bool operator==(const Compare&, const Compare&) = default;
};

struct Put {
  std::string key;
  std::string value;
  LeaseId lease = 0;

  friend bool operator==(const Put&, const Put&) = default;
};

/** Deletes one key, or with `range_end` all keys in [key, range_end). */
struct Delete {
  std::string key;
  std::string range_end;

  friend bool operator==(const Delete&, const Delete&) = default;
};

/** Reads one key, or with `range_end` all keys in [key, range_end). */
struct Range {
  std::string key;
  std::string range_end;

  friend bool operator==(const Range&, const Range&) = default;
};

struct Transaction;

/**
 * A step of a transaction. A nested transaction has conditions of its own, so
 * that one store call can make many independent claims.
 */
using Operation = std::variant<Put, Delete, Range, Transaction>;

/** Executed atomically: `success` if every compare holds, else `failure`. */
struct Transaction {
  std::vector<Compare> compares;
  std::vector<Operation> success;
  std::vector<Operation> failure;

  friend bool operator==(const Transaction&, const Transaction&);
};

/** The result of a transaction. */
struct TransactionResult {
  bool succeeded = false;
  Revision revision = 0;
  /** Results of the executed branch's Range steps, in their order. */
  std::vector<std::vector<KeyValue>> ranges;
  /** Results of the executed branch's nested transactions, in their order. */
  std::vector<TransactionResult> nested;

  friend bool operator==(const TransactionResult&,
                         const TransactionResult&) = default;
};

/** The exclusive end of the range of all keys that start with `prefix`. */
std::string PrefixEnd(std::string prefix);

/** One change that a watch reports. */
struct WatchEvent {
  enum class Type { kPut, kDelete };
  Type type = Type::kPut;
  KeyValue entry;

  friend bool operator==(const WatchEvent&, const WatchEvent&) = default;
};

/** Changes in order. With this batch, all up to `revision` are reported. */
struct WatchBatch {
  Revision revision = 0;
  std::vector<WatchEvent> events;
};

/**
 * An asynchronous connection to the store. Callbacks run on the caller's
 * control thread, exactly once (a watch: many times, then once with an error).
 *
 * Errors: kUnavailable if the call was certainly not executed, kUnknownOutcome
 * if it may have been, kConflict for a watch whose start revision has been
 * compacted.
 */
template <typename S>
concept Store =
    requires(S store, Transaction transaction, std::chrono::seconds ttl,
             LeaseId lease, std::string key, Revision revision,
             std::function<void(Result<TransactionResult>)> on_result,
             std::function<void(Result<LeaseId>)> on_lease,
             std::function<void(Result<std::chrono::seconds>)> on_ttl,
             std::function<void(Result<WatchBatch>)> on_watch) {
  store.Execute(transaction, on_result);
  store.GrantLease(ttl, on_lease);
  store.KeepLeaseAlive(lease, on_ttl);
  store.RevokeLease(lease, on_lease);
  { store.Watch(key, key, revision, on_watch) } -> std::same_as<std::uint64_t>;
  store.CancelWatch(std::uint64_t{});
};

}  // namespace figwell::store

#endif  // FIGWELL_STORE_H_
