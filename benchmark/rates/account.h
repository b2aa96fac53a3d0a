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
  std::int64_t wrongful = 0;
  /** The same for the team over its rate, which `wrongful` leaves out. */
  std::int64_t wrongful_over = 0;
  std::int64_t overspent_teams = 0;
  /**
   * Least ratio, over teams, of tokens served to tokens that the exact bucket
   * would serve; without the team over its rate.
   */
  double worst_share = 1;
  /** The same ratio for the team over its rate. */
  double over_share = 1;
  double messages = 0;     ///< per second and gateway
  double bytes = 0;        ///< per second and gateway, sent and received
  double most_bytes = 0;   ///< per second, at the busiest gateway
  double store_calls = 0;  ///< per second, all gateways together
};

class Account {
 public:
  Account(const Size& size, TimePoint start, bool has_over_team)
      : has_over_team_(has_over_team) {
    for (const budget::Limit& limit : size.teams) {
      own_.push_back(Full(limit, start));
      ideal_.push_back(Full(limit, start));
      windows_.emplace_back(limit);
    }
    served_.resize(size.teams.size());
    ideal_served_.resize(size.teams.size());
  }

  /** @return the request's number, for Settled */
  std::size_t Admitted(TimePoint when, const Request& request) {
    ++outcome_.admitted;
    served_[request.team] += request.estimate;
    own_[request.team].Spend(when, request.estimate);
    return windows_[request.team].Charge(when, request.estimate);
  }

  void Settled(TimePoint now, TimePoint admitted, const Request& request,
               std::size_t number) {
    windows_[request.team].Settle(number, request.used);
    own_[request.team].Refund(now, admitted, request.estimate - request.used);
  }

  /**
   * Whether an exact bucket, charged with the requests admitted so far, has the
   * tokens.
   */
  bool Inside(TimePoint now, const Request& request) {
    return own_[request.team].Available(now) >= request.estimate;
  }

  void Refused(const Request& request, bool inside) {
    ++outcome_.refused;
    if (inside) {
      const bool over = has_over_team_ && request.team == kOverTeam;
      ++(over ? outcome_.wrongful_over : outcome_.wrongful);
    }
  }

  /** Offers a request to an ideal fleet with one exact bucket per team. */
  bool IdealAdmits(TimePoint now, const Request& request) {
    const bool admits = ideal_[request.team].Spend(now, request.estimate);
    ideal_served_[request.team] += admits ? request.estimate : 0;
    return admits;
  }
  void IdealSettled(TimePoint now, TimePoint admitted, const Request& request) {
    ideal_[request.team].Refund(now, admitted, request.estimate - request.used);
  }

  Outcome Result() {
    for (std::size_t team = 0; team < windows_.size(); ++team) {
      outcome_.overspent_teams += windows_[team].Lowest() < 0 ? 1 : 0;
      const double share =
          static_cast<double>(served_[team]) /
          static_cast<double>(std::max<budget::Tokens>(1, ideal_served_[team]));
      const bool over = has_over_team_ && team == kOverTeam;
      double& least = over ? outcome_.over_share : outcome_.worst_share;
      least = std::min(least, share);
    }
    return outcome_;
  }

 private:
  static budget::TokenBucket Full(budget::Limit limit, TimePoint start) {
    budget::TokenBucket bucket;
    const TimePoint early = start - std::chrono::hours(1);
    bucket.SetValidUntil(early, TimePoint::max());
    bucket.Configure(early, limit, {1, 1});
    return bucket;
  }

  bool has_over_team_;
  Outcome outcome_;
  std::vector<budget::TokenBucket> own_;
  std::vector<budget::TokenBucket> ideal_;
  std::vector<budget::simulation::ExactBucket> windows_;
  std::vector<budget::Tokens> served_;
  std::vector<budget::Tokens> ideal_served_;
};

}  // namespace figwell::bench

#endif  // FIGWELL_BENCHMARK_RATES_ACCOUNT_H_
