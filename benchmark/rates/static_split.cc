#include <queue>

#include "runs.h"

namespace figwell::bench {

using std::chrono::hours;

namespace {

struct Settlement {
  TimePoint when;
  std::size_t request = 0;
  std::size_t number = 0;
  bool operator<(const Settlement& other) const { return other.when < when; }
};

bool IsDown(int gateway, int gateways, Arrivals arrivals, Duration since) {
  if (arrivals != Arrivals::kDying || since < kFirstDeath) {
    return false;
  }
  const auto death = (since - kFirstDeath) / kDeathInterval;
  return (since - kFirstDeath) % kDeathInterval < kDownTime &&
         death % gateways == gateway;
}

int GatewayCount(const Size& size) {
  int count = 0;
  for (const int gateways : size.gateways_per_domain) {
    count += gateways;
  }
  return count;
}

bool IsCutOff(const Size& size, Arrivals arrivals, int gateway,
              Duration since) {
  return arrivals == Arrivals::kCutOff && since >= kCutOffStart &&
         since < kCutOffStart + kCutOffTime &&
         gateway >= GatewayCount(size) - size.gateways_per_domain.back();
}

/**
 * Runs a baseline. `bucket_of` returns the index of the bucket that a gateway's
 * request spends from; negative if that bucket is unreachable.
 */
template <typename BucketOf>
Outcome RunBaseline(const Size& size, Arrivals arrivals, int buckets,
                    const BucketOf& bucket_of) {
  const TimePoint start{hours(1000)};
  const auto requests =
      MakeRequests(size, arrivals, start, size.measured, kSeed);
  Account account(size, start, arrivals == Arrivals::kOverRate);
  std::vector<std::vector<budget::TokenBucket>> all(buckets);
  for (auto& teams : all) {
    for (const budget::Limit& limit : size.teams) {
      teams.emplace_back();
      teams.back().SetValidUntil(start - hours(1), TimePoint::max());
      teams.back().Configure(start - hours(1), limit, {1, buckets});
    }
  }
  std::priority_queue<Settlement> unsettled;
  std::priority_queue<Settlement> ideal_unsettled;
  const int gateways = GatewayCount(size);
  const auto settle = [&](TimePoint until) {
    for (; !unsettled.empty() && unsettled.top().when <= until;
         unsettled.pop()) {
      const Settlement& done = unsettled.top();
      const Request& request = requests[done.request];
      const int bucket =
          bucket_of(request.gateway, request.when - start, gateways);
      if (bucket >= 0) {
        all[bucket][request.team].Refund(done.when, request.when,
                                         request.estimate - request.used);
      }
      account.RecordSettled(done.when, request.when, request, done.number);
    }
    for (; !ideal_unsettled.empty() && ideal_unsettled.top().when <= until;
         ideal_unsettled.pop()) {
      const Request& request = requests[ideal_unsettled.top().request];
      account.RecordIdealSettled(ideal_unsettled.top().when, request.when,
                                 request);
    }
  };
  std::int64_t received = 0;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const Request& request = requests[i];
    const Duration since = request.when - start;
    settle(request.when);
    if (IsDown(request.gateway, gateways, arrivals, since)) {
      continue;  // the load balancer avoids the gateway; no bucket is charged
    }
    ++received;
    if (account.IdealAdmits(request.when, request)) {
      ideal_unsettled.push({request.when + request.service_time, i, 0});
    }
    const bool within_rate = account.IsWithinRate(request.when, request);
    const int bucket = bucket_of(request.gateway, since, gateways);
    if (bucket >= 0 &&
        all[bucket][request.team].Spend(request.when, request.estimate)) {
      unsettled.push({request.when + request.service_time, i,
                      account.RecordAdmitted(request.when, request)});
    } else {
      account.RecordRefused(request, within_rate);
    }
  }
  Outcome outcome = account.Result();
  const double seconds = static_cast<double>(size.measured.count()) / 1e6;
  outcome.messages = static_cast<double>(received) / seconds / gateways;
  return outcome;
}

}  // namespace

Outcome RunStaticSplit(const Size& size, Arrivals arrivals) {
  Outcome outcome =
      RunBaseline(size, arrivals, GatewayCount(size),
                  [](int gateway, Duration, int) { return gateway; });
  outcome.messages = 0;
  return outcome;
}

Outcome RunCentral(const Size& size, Arrivals arrivals) {
  // A spend and a refund; each is a request and its answer.
  constexpr double kMessagesPerRequest = 4;
  constexpr double kBytesPerMessage = 110;
  Outcome outcome = RunBaseline(
      size, arrivals, 1, [&](int gateway, Duration since, int gateways) {
        const bool is_reachable = !IsDown(0, gateways, arrivals, since) &&
                                  !IsCutOff(size, arrivals, gateway, since);
        return is_reachable ? 0 : -1;
      });
  const int gateways = GatewayCount(size);
  const double requests = outcome.messages;
  outcome.messages = requests * kMessagesPerRequest;
  outcome.bytes = 2 * outcome.messages * kBytesPerMessage;
  outcome.max_bytes =
      requests * gateways * kMessagesPerRequest * kBytesPerMessage;
  return outcome;
}

}  // namespace figwell::bench
