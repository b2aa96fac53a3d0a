#ifndef FIGWELL_BENCHMARK_RATES_ACCOUNT_H_
#define FIGWELL_BENCHMARK_RATES_ACCOUNT_H_

/** Compares the decisions of a rate limiter with those of an exact bucket. */

#include <algorithm>
#include <vector>

#include "exact_bucket.h"
#include "workload.h"

namespace figwell::bench {

struct Outcome {
  std::int64_t admitted = 0;
  std::int64_t refused = 0;
  /** Refused although the exact bucket had the tokens. */
  std::int64_t wrongly_refused = 0;
  /** The same for the team over its rate; not in `wrongly_refused`. */
  std::int64_t wrongly_refused_over_rate = 0;
  std::int64_t overspent_teams = 0;
  /**
   * Least ratio, over teams, of tokens served to tokens that the exact
   * bucket would serve; without the team over its rate.
   */
  double min_served_ratio = 1;
  /** The same ratio for the team over its rate. */
  double over_rate_served_ratio = 1;
  double messages = 0;     ///< per second and gateway
  double bytes = 0;        ///< per second and gateway, sent and received
  double max_bytes = 0;    ///< per second, at the busiest gateway
  double store_calls = 0;  ///< per second, all gateways together
};

class Account {
 public:
  Account(const Size& size, TimePoint start, bool has_over_rate_team)
      : has_over_rate_team_(has_over_rate_team) {
    for (const budget::Limit& limit : size.teams) {
      charged_.push_back(FullBucket(limit, start));
      ideal_.push_back(FullBucket(limit, start));
      oracles_.emplace_back(limit);
    }
    served_.resize(size.teams.size());
    ideal_served_.resize(size.teams.size());
  }

  /** @return the request's number, for RecordSettled */
  std::size_t RecordAdmitted(TimePoint when, const Request& request) {
    ++outcome_.admitted;
    served_[request.team] += request.estimate;
    charged_[request.team].Spend(when, request.estimate);
    return oracles_[request.team].Charge(when, request.estimate);
  }

  void RecordSettled(TimePoint now, TimePoint admitted, const Request& request,
                     std::size_t number) {
    oracles_[request.team].Settle(number, request.used);
    charged_[request.team].Refund(now, admitted,
                                  request.estimate - request.used);
  }

  /**
   * Whether an exact bucket, charged with the requests admitted so far, has the
   * tokens.
   */
  bool IsWithinRate(TimePoint now, const Request& request) {
    return charged_[request.team].Available(now) >= request.estimate;
  }

  void RecordRefused(const Request& request, bool within_rate) {
    ++outcome_.refused;
    if (within_rate) {
      const bool is_over_rate =
          has_over_rate_team_ && request.team == kOverRateTeam;
      ++(is_over_rate ? outcome_.wrongly_refused_over_rate
                      : outcome_.wrongly_refused);
    }
  }

  /** Offers a request to an ideal fleet with one exact bucket per team. */
  bool IdealAdmits(TimePoint now, const Request& request) {
    const bool admits = ideal_[request.team].Spend(now, request.estimate);
    ideal_served_[request.team] += admits ? request.estimate : 0;
    return admits;
  }
  void RecordIdealSettled(TimePoint now, TimePoint admitted,
                          const Request& request) {
    ideal_[request.team].Refund(now, admitted, request.estimate - request.used);
  }

  Outcome Result() {
    for (std::size_t team = 0; team < oracles_.size(); ++team) {
      outcome_.overspent_teams += oracles_[team].Lowest() < 0 ? 1 : 0;
      const double share =
          static_cast<double>(served_[team]) /
          static_cast<double>(std::max<budget::Tokens>(1, ideal_served_[team]));
      const bool is_over_rate = has_over_rate_team_ && team == kOverRateTeam;
      double& min_ratio = is_over_rate ? outcome_.over_rate_served_ratio
                                       : outcome_.min_served_ratio;
      min_ratio = std::min(min_ratio, share);
    }
    return outcome_;
  }

 private:
  static budget::TokenBucket FullBucket(budget::Limit limit, TimePoint start) {
    budget::TokenBucket bucket;
    const TimePoint long_before = start - std::chrono::hours(1);
    bucket.SetValidUntil(long_before, TimePoint::max());
    bucket.Configure(long_before, limit, {1, 1});
    return bucket;
  }

  bool has_over_rate_team_;
  Outcome outcome_;
  std::vector<budget::TokenBucket> charged_;
  std::vector<budget::TokenBucket> ideal_;
  std::vector<budget::simulation::ExactBucket> oracles_;
  std::vector<budget::Tokens> served_;
  std::vector<budget::Tokens> ideal_served_;
};

}  // namespace figwell::bench

#endif  // FIGWELL_BENCHMARK_RATES_ACCOUNT_H_
