#ifndef FIGWELL_PEERS_REACHABILITY_H_
#define FIGWELL_PEERS_REACHABILITY_H_

/**
 * Which parts of the fleet and whether the store is reachable. Every member
 * records when it last reached the store and another domain. Heartbeats carry
 * the age of the most recent such evidence that their sender has, its own or
 * reported by others.
 */

#include <optional>

#include "messages.h"

namespace figwell::peers {

/** Older evidence is ignored. */
inline constexpr Duration kEvidenceMaxAge = std::chrono::seconds(10);
/**
 * Added to an age with each hop. It exceeds the transit time of a message, so
 * that evidence still ages while members pass it to each other in a loop.
 */
inline constexpr Duration kTransitAllowance = std::chrono::milliseconds(250);

class Reachability {
 public:
  explicit Reachability(TimePoint start) : start_(start) {}

  void OnStoreAnswer(TimePoint now, bool reached);
  /** A member's heartbeat to this incarnation of this process. */
  void RecordHeartbeat(TimePoint now, const Heartbeat& heartbeat,
                       bool own_domain);

  std::uint32_t StoreAge(TimePoint now) const {
    return Age(now, store_evidence_);
  }
  std::uint32_t OtherDomainAge(TimePoint now) const {
    return Age(now, other_domain_evidence_);
  }
  StoreAccess store_access() const { return store_access_; }
  /** Whether there is evidence after `since` that this process is connected. */
  bool HasEvidenceSince(TimePoint since, bool own_domain_counts) const {
    return store_evidence_ > since || other_domain_evidence_ > since ||
           (own_domain_counts && own_domain_evidence_ > since);
  }
  /** Whether any member reached the store, or another domain, recently. */
  bool StoreReachedRecently(TimePoint now) const {
    return IsRecent(now, store_evidence_);
  }
  bool OtherDomainReachedRecently(TimePoint now) const {
    return IsRecent(now, other_domain_evidence_);
  }
  std::optional<TimePoint> store_last_reached() const {
    return store_evidence_;
  }
  bool OwnDomainReachedRecently(TimePoint now) const {
    return IsRecent(now, own_domain_evidence_);
  }

  /**
   * @param own_members live and recently dead members of the own domain,
   *     without this one
   * @param other_domains whether live members of other domains are known
   */
  ReachabilityLevel Evaluate(TimePoint now, std::size_t own_members,
                             bool other_domains) const;

 private:
  using Evidence = std::optional<TimePoint>;
  bool IsRecent(TimePoint now, const Evidence& evidence) const;
  static std::uint32_t Age(TimePoint now, const Evidence& evidence);
  static void MergeAge(TimePoint now, std::uint32_t age_ms, Evidence& evidence);

  TimePoint start_;
  StoreAccess store_access_ = StoreAccess::kUntried;
  Evidence store_evidence_;
  Evidence other_domain_evidence_;
  Evidence own_domain_evidence_;
};

}  // namespace figwell::peers

#endif  // FIGWELL_PEERS_REACHABILITY_H_
