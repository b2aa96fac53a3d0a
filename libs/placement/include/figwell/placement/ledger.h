#ifndef FIGWELL_PLACEMENT_LEDGER_H_
#define FIGWELL_PLACEMENT_LEDGER_H_

/** What a server holds, and every order to it that may still arrive. */

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "figwell/config.h"
#include "figwell/core.h"

namespace figwell::placement {

/** A unit of memory use: a version of a model, or an adapter of one. */
using Item = config::ModelTarget;

/** The number of an order; engines that check it reject an older one. */
struct Fencing {
  std::uint64_t epoch = 0;
  std::uint64_t order = 0;

  friend auto operator<=>(const Fencing&, const Fencing&) = default;
  friend bool operator==(const Fencing&, const Fencing&) = default;
};

enum class Action { kLoad, kUnload };

/** The reason for a move; shown to operators. */
enum class Reason {
  kReachability,   ///< the domain has no replica
  kVersionChange,  ///< loads a new version or unloads a replaced one
  kReplacement,    ///< replaces a replica on a dead or draining server
  kDemand,         ///< another replica, for measured demand
  kMakeRoom,       ///< frees memory for a more valuable move
  kRelocation,     ///< moves a sole replica to free memory on its server
  kAdapter,        ///< an adapter of a model that the server holds
  kWithdrawn,      ///< no longer in the configuration
  kCancel,         ///< keeps an obsolete load from taking effect later
  kRetry,          ///< an earlier order had no effect within its timeout
};

inline constexpr int kReasonCount = 10;

std::string_view Name(Action action);
std::string_view Name(Reason reason);

/** An order to a server: one message, which is never sent twice. */
struct Order {
  Fencing fencing;
  Action action = Action::kLoad;
  Item item;
  std::int64_t bytes = 0;
  Reason reason = Reason::kReachability;
  /**
   * No other order for the item has been unsettled since this one was written,
   * so the item's presence or absence shows whether this one was executed.
   */
  bool sole = true;

  friend bool operator==(const Order&, const Order&) = default;
};

enum class ItemState { kLoading, kReady, kUnloading };

struct Resident {
  std::int64_t bytes = 0;
  ItemState state = ItemState::kLoading;

  friend bool operator==(const Resident&, const Resident&) = default;
};

/**
 * An upper bound of one server's memory: it holds nothing beyond `resident`,
 * what `unsettled` may still load, and `other_bytes`.
 */
struct ServerLedger {
  /** The engine process that the ledger describes; empty if not yet known. */
  std::string incarnation;
  /** The number of the next order, unique within an epoch. */
  std::uint64_t next_order = 1;
  /** Memory in use that no resident item accounts for. */
  std::int64_t other_bytes = 0;
  std::map<Item, Resident> resident;
  /** Orders that may still arrive, oldest first. */
  std::vector<Order> unsettled;

  friend bool operator==(const ServerLedger&, const ServerLedger&) = default;
};

/** Limit of unsettled orders for one item; no more are written beyond it. */
inline constexpr int kMaxOrdersPerItem = 3;

/** Memory that is or may come into use. Each item counts once. */
std::int64_t ReservedBytes(const ServerLedger& ledger);

/** Whether an order of this kind for the item may still arrive. */
bool IsUnsettled(const ServerLedger& ledger, Action action, const Item& item);

/** A planned order that has no number yet. */
struct Move {
  ServerId server;
  Action action = Action::kLoad;
  Item item;
  std::int64_t bytes = 0;
  Reason reason = Reason::kReachability;

  friend bool operator==(const Move&, const Move&) = default;
};

/**
 * The ledger with the move appended to `unsettled` as an order.
 *
 * Fails with kTooLarge if a load could overcommit `memory_bytes`, with
 * kConflict if the item is already resident (load), cannot be on the server
 * (unload), or has kMaxOrdersPerItem unsettled orders.
 */
Result<ServerLedger> WithOrder(ServerLedger ledger, std::uint64_t epoch,
                               std::int64_t memory_bytes, const Move& move);

/** The stored form; below store::kMaxValueBytes for 2,000 items. */
std::string ToText(const ServerLedger& ledger);

/** Parses the output of ToText; kInvalid for any other text. */
Result<ServerLedger> LedgerFromText(std::string_view text);

}  // namespace figwell::placement

#endif  // FIGWELL_PLACEMENT_LEDGER_H_
