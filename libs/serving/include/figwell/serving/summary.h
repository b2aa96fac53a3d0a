#ifndef FIGWELL_SERVING_SUMMARY_H_
#define FIGWELL_SERVING_SUMMARY_H_

/** What a failure domain's instances do together; see serving.h. */

#include <cstdint>
#include <map>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/balancer.h"
#include "figwell/serving/team_rate_limiter.h"

namespace figwell::serving {

/**
 * Adds up what the instances of one failure domain report, so that one of them
 * can tell the other domains. Instances then send to their own domain and one
 * summary to each other one, and the traffic between domains does not grow
 * with the square of the fleet.
 *
 * The sums of charges only grow: an instance that restarted counts from 0
 * again, and one that fell silent keeps what it had charged. What an instance
 * charged before it was first heard, or while it was silent, is not in them: it
 * is of any age, or was charged to the silent one's own part.
 */
class DomainSummary {
 public:
  void OnMember(TimePoint now, const InstanceId& member,
                std::uint64_t incarnation,
                const std::map<ServerId, PeerLoad>& loads,
                const std::vector<TeamSpending>& spending);

  /** The sums over this instance and the members that were heard lately. */
  std::map<ServerId, PeerLoad> Loads(
      TimePoint now, const std::map<ServerId, PeerLoad>& own) const;
  std::vector<TeamSpending> Spending(
      const std::vector<TeamSpending>& own) const;
  /** Instances whose charges are in the sums now, with this one. */
  int Instances(TimePoint now) const;

 private:
  struct Member {
    std::uint64_t incarnation = 0;
    TimePoint heard;
    /** From then on, teams that are told of for the first time began at 0. */
    TimePoint settled;
    std::map<ServerId, PeerLoad> loads;
    std::map<std::uint64_t, Tokens> spent;
  };

  std::map<InstanceId, Member> members_;
  std::map<std::uint64_t, Tokens> spent_;  // by team, over all members
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_SUMMARY_H_
