#ifndef FIGWELL_SERVING_FOLLOWER_SELECTION_H_
#define FIGWELL_SERVING_FOLLOWER_SELECTION_H_

/** Which instances follow the store themselves; see serving.h. */

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "figwell/core.h"

namespace figwell::serving {

/** A follower that was not heard for so long is not relied on. */
inline constexpr Duration kFollowerTimeout = std::chrono::milliseconds(700);

/**
 * Decides whether this instance follows the store or leaves that to others of
 * its failure domain, which pass changes on. Each change wakes all that follow
 * the store, and each wake-up is a call: in a large fleet a few in each domain
 * are enough. All follow it in a small domain, where one that hears nothing
 * would be missed late, and everybody does that hears no follower.
 */
class FollowerSelection {
 public:
  explicit FollowerSelection(InstanceId self) : self_(std::move(self)) {}

  /** What a member of the own domain says of itself. */
  void OnMember(TimePoint now, const InstanceId& member, bool follows);
  /** A peer has known of newer changes for too long. */
  void OnStaleView(TimePoint now);

  /** @param members those of the own domain that live, but for this one */
  bool ShouldFollow(TimePoint now, const std::set<InstanceId>& members);

  /** How many of a domain of that size follow the store. */
  static std::size_t Followers(std::size_t domain_size);

 private:
  struct Member {
    TimePoint heard;
    /** Since when it has said so without a break. */
    std::optional<TimePoint> follows_since;
  };

  bool IsChosen(const std::set<InstanceId>& members) const;
  bool HearsFollower(TimePoint now) const;

  InstanceId self_;
  std::map<InstanceId, Member> heard_;
  bool follows_ = true;
  TimePoint behind_until_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_FOLLOWER_SELECTION_H_
