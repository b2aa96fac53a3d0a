#ifndef FIGWELL_SERVING_FOLLOWER_SELECTION_H_
#define FIGWELL_SERVING_FOLLOWER_SELECTION_H_

/** Selects the instances that follow the store themselves; see serving.h. */

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "figwell/core.h"

namespace figwell::serving {

/** A follower without a report for longer than this is not relied on. */
inline constexpr Duration kFollowerTimeout = std::chrono::milliseconds(700);

/**
 * Decides whether this instance watches the store or relies on followers in
 * its failure domain, which forward changes. Each change completes the watch
 * call of every follower, so in a large fleet a few followers per domain save
 * calls. In a small domain all instances follow the store, because a follower
 * that receives no changes would be detected late. An instance that has no
 * report of a follower follows the store as well.
 */
class FollowerSelection {
 public:
  explicit FollowerSelection(InstanceId self) : self_(std::move(self)) {}

  /** A member of the own domain reports whether it follows the store. */
  void OnMemberReport(TimePoint now, const InstanceId& member, bool follows);
  /** This instance's view has been older than a peer's for too long. */
  void OnStaleView(TimePoint now);

  /** @param members the other live instances of the own domain */
  bool ShouldFollow(TimePoint now, const std::set<InstanceId>& members);

  /** Number of followers in a domain of that size. */
  static std::size_t FollowerCount(std::size_t domain_size);

 private:
  struct Member {
    TimePoint last_report;
    /** Start of its uninterrupted reports that it follows the store. */
    std::optional<TimePoint> follows_since;
  };

  bool IsDesignated(const std::set<InstanceId>& members) const;
  bool HasActiveFollower(TimePoint now) const;

  InstanceId self_;
  std::map<InstanceId, Member> members_;
  bool follows_ = true;
  TimePoint stale_until_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_FOLLOWER_SELECTION_H_
