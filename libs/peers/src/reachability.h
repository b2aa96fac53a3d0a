#ifndef FIGWELL_PEERS_REACHABILITY_H_
#define FIGWELL_PEERS_REACHABILITY_H_

/**
 * What of the fleet and the store can be reached. Every member notes when it
 * last reached the store and another domain, and heartbeats carry the ages of
 * the freshest such evidence that their sender knows of, its own or heard.
 */

#include <optional>

#include "messages.h"

namespace figwell::peers {

/** Evidence older than this counts as gone. */
inline constexpr Duration kEvidenceTimeout = std::chrono::seconds(10);
/**
 * Added to an age with each hop. Above the time a message takes, so that
 * evidence does not stay young by going in circles.
 */
inline constexpr Duration kTransitAllowance = std::chrono::milliseconds(250);

class Reachability {
 public:
  explicit Reachability(TimePoint start) : start_(start) {}

  void StoreAnswered(TimePoint now, bool reached);
  /** A message of a member, meant for this incarnation of this process. */
  void Heard(TimePoint now, const Heartbeat& heartbeat, bool own_domain);

  std::uint32_t StoreAge(TimePoint now) const { return Age(now, store_); }
  std::uint32_t OtherDomainAge(TimePoint now) const {
    return Age(now, other_domain_);
  }
  StoreAccess store_access() const { return access_; }
  /** Whether anything beyond this process was heard after `since`. */
  bool HeardSince(TimePoint since, bool own_domain_counts) const {
    return store_ > since || other_domain_ > since ||
           (own_domain_counts && own_domain_ > since);
  }
  /** Whether anyone reached the store, or heard another domain, of late. */
  bool StoreSeen(TimePoint now) const { return Fresh(now, store_); }
  bool OtherDomainSeen(TimePoint now) const {
    return Fresh(now, other_domain_);
  }
  std::optional<TimePoint> store_seen() const { return store_; }
  bool OwnDomainHeard(TimePoint now) const { return Fresh(now, own_domain_); }

  /**
   * @param own_members live or silent members of the own domain but oneself
   * @param other_domains whether members of other domains are known at all
   */
  ReachabilityLevel Judge(TimePoint now, std::size_t own_members,
                          bool other_domains) const;

 private:
  using Evidence = std::optional<TimePoint>;
  bool Fresh(TimePoint now, const Evidence& evidence) const;
  static std::uint32_t Age(TimePoint now, const Evidence& evidence);
  static void Learn(TimePoint now, std::uint32_t age_ms, Evidence& evidence);

  TimePoint start_;
  StoreAccess access_ = StoreAccess::kUntried;
  Evidence store_;
  Evidence other_domain_;
  Evidence own_domain_;
};

}  // namespace figwell::peers

#endif  // FIGWELL_PEERS_REACHABILITY_H_
