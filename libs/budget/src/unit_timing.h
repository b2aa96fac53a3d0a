#ifndef FIGWELL_BUDGET_UNIT_TIMING_H_
#define FIGWELL_BUDGET_UNIT_TIMING_H_

#include <chrono>
#include <cstddef>

#include "figwell/core.h"

namespace figwell::budget {

/** How often a renewer writes its domain's table. */
inline constexpr Duration kRenewInterval = std::chrono::seconds(4);

/**
 * A member whose last renewal is older than this writes the table itself,
 * because its renewer may be unavailable.
 */
inline constexpr Duration kSelfRenewalTimeout = std::chrono::seconds(11);

/** The heartbeat interval grows with the number of members. */
inline constexpr Duration kMinHeartbeatInterval = std::chrono::seconds(1);
inline constexpr Duration kHeartbeatIntervalPerMember =
    std::chrono::milliseconds(50);
inline constexpr Duration kMaxHeartbeatInterval =
    std::chrono::milliseconds(2500);

/** A heartbeat or echo older than this many intervals is stale. */
inline constexpr int kMaxMissedHeartbeats = 3;

/** Members per renewer; bounds the heartbeats that a renewer receives. */
inline constexpr std::size_t kMembersPerRenewer = 32;

/** Backoff after a failed store call. */
inline constexpr Duration kStoreRetryBackoff = std::chrono::seconds(1);

/** Upper bound of the random backoff after a conflicting write. */
inline constexpr Duration kMaxConflictBackoff = std::chrono::milliseconds(500);

/**
 * Sent heartbeats whose time is kept; a renewal by an older one does not extend
 * the lease.
 */
inline constexpr std::size_t kMaxSentHeartbeats = 64;

/** Entries are freed only based on a table that was read more recently. */
inline constexpr Duration kTableMaxAge = std::chrono::seconds(2);

/** Only this many members, the first of the table, free expired entries. */
inline constexpr std::ptrdiff_t kMaxFreeingMembers = 8;

}  // namespace figwell::budget

#endif  // FIGWELL_BUDGET_UNIT_TIMING_H_
