#ifndef FIGWELL_SERVING_EVACUATIONS_H_
#define FIGWELL_SERVING_EVACUATIONS_H_

/** The failure domains that the operator evacuates; see serving.h. */

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "figwell/core.h"
#include "figwell/store.h"

namespace figwell::serving {

/** What is known of a domain's evacuation as of a revision of the store. */
struct EvacuationRecord {
  DomainId domain;
  store::Revision revision = 0;
  bool evacuated = false;

  friend bool operator==(const EvacuationRecord&,
                         const EvacuationRecord&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, revision, evacuated);
  }
};

/**
 * The domains whose servers are to get nothing, as the operator wrote it to the
 * store and as peers know it. The record with the highest revision counts, so
 * that a request and its withdrawal in quick succession take effect in their
 * order whichever arrives first.
 *
 * After a restore of the store, a request that is missing there may not have
 * been written again yet: it holds for kRestoredRequestGrace.
 */
class Evacuations {
 public:
  static constexpr Duration kRestoredRequestGrace =
      std::chrono::milliseconds(5'000);
  /** How long withdrawals are passed on to peers that may have missed them. */
  static constexpr Duration kWithdrawalRetention =
      std::chrono::milliseconds(30'000);

  /** Applies a record that was read from the store. */
  void OnRecord(TimePoint now, const EvacuationRecord& record);
  /**
   * Applies all requests that are in the store as of a revision: those that are
   * not among them were withdrawn.
   */
  void OnListing(TimePoint now, const std::vector<EvacuationRecord>& requests,
                 store::Revision revision);
  /** Applies what a peer knows; a listing that is newer takes precedence. */
  void OnPeerRecords(TimePoint now,
                     const std::vector<EvacuationRecord>& records);
  /** Ends requests whose grace has ended. Call it periodically. */
  void Tick(TimePoint now);

  /** The domains that are evacuated now. */
  std::set<DomainId> Domains() const;
  /** What to tell peers: requests in force and recent withdrawals. */
  std::vector<EvacuationRecord> RecordsForPeers(TimePoint now) const;

 private:
  struct State {
    EvacuationRecord record;
    TimePoint changed_at;
    /** Ends the request at this time: a restored store does not have it. */
    std::optional<TimePoint> expires_at;
  };

  std::map<DomainId, State> states_;
  store::Revision listed_ = 0;  ///< revision of the newest listing
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_EVACUATIONS_H_
