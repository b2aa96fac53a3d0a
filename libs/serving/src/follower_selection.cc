#include "figwell/serving/follower_selection.h"

#include <algorithm>

namespace figwell::serving {
namespace {

// More than one, since a follower may lose the store without noticing.
constexpr std::size_t kFollowers = 2;
// In a domain of at most this size, fewer followers would hardly save calls.
constexpr std::size_t kSmallDomain = 4;
// A follower that is not designated stops only after another instance has
// followed the store for this long.
constexpr Duration kHandOver = std::chrono::milliseconds(1'500);
// An instance whose view was stale follows the store itself for this long.
constexpr Duration kDistrust = std::chrono::seconds(8);

}  // namespace

void FollowerSelection::OnMember(TimePoint now, const InstanceId& id,
                                 bool follows) {
  Member& member = heard_[id];
  const bool went_on =
      member.follows_since && member.heard + kFollowerTimeout >= now;
  member.heard = now;
  if (!follows) {
    member.follows_since.reset();
  } else if (!went_on) {
    member.follows_since = now;
  }
}

void FollowerSelection::OnStaleView(TimePoint now) {
  behind_until_ = now + kDistrust;
}

std::size_t FollowerSelection::Followers(std::size_t domain_size) {
  return domain_size <= kSmallDomain ? domain_size : kFollowers;
}

bool FollowerSelection::IsChosen(const std::set<InstanceId>& members) const {
  const auto before =
      std::count_if(members.begin(), members.end(),
                    [&](const InstanceId& member) { return member < self_; });
  return static_cast<std::size_t>(before) < Followers(members.size() + 1);
}

bool FollowerSelection::HearsFollower(TimePoint now) const {
  return std::any_of(heard_.begin(), heard_.end(), [&](const auto& item) {
    const Member& member = item.second;
    return member.follows_since && member.heard + kFollowerTimeout >= now &&
           (!follows_ || *member.follows_since + kHandOver <= now);
  });
}

bool FollowerSelection::ShouldFollow(TimePoint now,
                                     const std::set<InstanceId>& members) {
  follows_ = IsChosen(members) || now < behind_until_ || !HearsFollower(now);
  return follows_;
}

}  // namespace figwell::serving
