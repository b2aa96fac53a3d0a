#ifndef FIGWELL_ROUTING_SRC_CLAIM_ENTRY_H_
#define FIGWELL_ROUTING_SRC_CLAIM_ENTRY_H_

#include <cstdint>
#include <string>

#include "figwell/routing.h"

namespace figwell::routing {

/** The progress of a claim of this gateway. */
enum class ClaimPhase : std::uint8_t {
  kToClaim,     ///< awaits a store call
  kClaiming,    ///< the call is in flight
  kToRead,      ///< the call's outcome is unknown: awaits a read of the record
  kReading,     ///< the read is in flight
  kGranted,     ///< answered kDispatch; not dispatched yet
  kDispatched,  ///< the request may be running
  kToFinish,    ///< the request ran; its answer awaits a store call
  kFinishing,
  kToRelease,  ///< the request certainly did not run; frees the key next
  kReleasing,
};

struct ClaimEntry {
  ClaimId id = 0;
  std::string key;
  Digest request;
  std::string owner;
  TimePoint deadline;
  ClaimPhase phase = ClaimPhase::kToClaim;
  /** The verdict was returned; a claim found later is released. */
  bool answered = false;
  /** When the store call with the claim was sent. */
  TimePoint claim_sent_at;
  store::LeaseId lease = 0;
  store::Revision revision = 0;
  FinishedAnswer answer;
};

/** Whether an entry in this phase awaits a store call. */
bool NeedsCall(ClaimPhase phase);

/** Whether a caller awaits the verdict, so that it is sent first. */
bool IsUrgent(ClaimPhase phase);

/** The phase while the store call for `phase` is in flight. */
ClaimPhase InFlightPhase(ClaimPhase phase);

/** The store operation for the entry's phase. */
store::Transaction MakeOperation(const ClaimEntry& entry);

/** The verdict on a request whose key has the record of another claim. */
ClaimAnswer EvaluateRecord(const ClaimEntry& entry, const ClaimRecord& record);

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_SRC_CLAIM_ENTRY_H_
