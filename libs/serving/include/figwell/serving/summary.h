#ifndef FIGWELL_SERVING_SUMMARY_H_
#define FIGWELL_SERVING_SUMMARY_H_

/** Sums of loads and charges over a failure domain; see serving.h. */

#include <cstdint>
#include <map>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/balancer.h"
#include "figwell/serving/team_rate_limiter.h"

namespace figwell::serving {

/**
 * Adds up the reports of the instances of one failure domain, so that its
 * delegate can report to the other domains. Each instance reports within its
 * own domain and only one summary goes to each other domain, so the traffic
 * between domains does not grow with the square of the fleet.
 *
 * The sums of charges never decrease. After a restart of a member, its new
 * counts are added to the old ones; charges of a member that stopped reporting
 * stay in the sums. Charges from before a member's first report are left out,
 * since they may be of any age. Charges from a time without reports count when
 * the member reports again: the receivers regain its share of the limit.
 */
class DomainSummary {
 public:
  void OnMemberReport(TimePoint now, const InstanceId& member,
                      std::uint64_t incarnation,
                      const std::map<ServerId, PeerLoad>& loads,
                      const std::vector<TeamSpending>& spending);

  /** The sums over this instance and the members with a recent report. */
  std::map<ServerId, PeerLoad> Loads(
      TimePoint now, const std::map<ServerId, PeerLoad>& own) const;
  std::vector<TeamSpending> Spending(
      const std::vector<TeamSpending>& own) const;
  /** Instances with a recent report, including this one. */
  int Instances(TimePoint now) const;

 private:
  struct Member {
    std::uint64_t incarnation = 0;
    TimePoint last_report;
    /**
     * Until then, the first count of a team is only a baseline, since the
     * member may have been running for long. Later, a team that is reported for
     * the first time is new, and its counts began at 0.
     */
    TimePoint baseline_until;
    std::map<ServerId, PeerLoad> loads;
    std::map<std::uint64_t, Tokens> spent;
  };

  std::map<InstanceId, Member> members_;
  std::map<std::uint64_t, Tokens> members_spent_;  // by team, over all members
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_SUMMARY_H_
