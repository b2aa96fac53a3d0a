#include "figwell/serving/follower_selection.h"

#include <algorithm>

namespace figwell::serving {
namespace {

// More than one, since a follower may lose the store without noticing.
constexpr std::size_t kFollowersPerDomain = 2;
// In a domain of at most this size, fewer followers would hardly save calls.
constexpr std::size_t kSmallDomainMaxInstances = 4;
// A follower that is not designated stops only after another instance has
// followed the store for this long.
constexpr Duration kHandoverDelay = std::chrono::milliseconds(1'500);
// An instance whose view was stale follows the store itself for this long.
constexpr Duration kStaleViewFollowTime = std::chrono::seconds(8);

}  // namespace

void FollowerSelection::OnMemberReport(TimePoint now, const InstanceId& id,
                                       bool follows) {
  Member& member = members_[id];
  const bool uninterrupted =
      member.follows_since && member.last_report + kFollowerTimeout >= now;
  member.last_report = now;
  if (!follows) {
    member.follows_since.reset();
  } else if (!uninterrupted) {
    member.follows_since = now;
  }
}

void FollowerSelection::OnStaleView(TimePoint now) {
  stale_until_ = now + kStaleViewFollowTime;
}

std::size_t FollowerSelection::FollowerCount(std::size_t domain_size) {
  return domain_size <= kSmallDomainMaxInstances ? domain_size
                                                 : kFollowersPerDomain;
}

bool FollowerSelection::IsDesignated(
    const std::set<InstanceId>& members) const {
  const auto lower_ids =
      std::count_if(members.begin(), members.end(),
                    [&](const InstanceId& member) { return member < self_; });
  return static_cast<std::size_t>(lower_ids) <
         FollowerCount(members.size() + 1);
}

bool FollowerSelection::HasActiveFollower(TimePoint now) const {
  return std::any_of(members_.begin(), members_.end(), [&](const auto& item) {
    const Member& member = item.second;
    return member.follows_since &&
           member.last_report + kFollowerTimeout >= now &&
           (!follows_ || *member.follows_since + kHandoverDelay <= now);
  });
}

bool FollowerSelection::ShouldFollow(TimePoint now,
                                     const std::set<InstanceId>& members) {
  follows_ =
      IsDesignated(members) || now < stale_until_ || !HasActiveFollower(now);
  return follows_;
}

}  // namespace figwell::serving
