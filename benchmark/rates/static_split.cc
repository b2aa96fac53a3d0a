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

bool Down(int gateway, int gateways, Arrivals arrivals, Duration since) {
  if (arrivals != Arrivals::kDying || since < kFirstDeath) {
    return false;
  }
  const auto death = (since - kFirstDeath) / kDeathEvery;
  return (since - kFirstDeath) % kDeathEvery < kDownFor &&
         death % gateways == gateway;
}

int Count(const Size& size) {
  int count = 0;
  for (const int gateways : size.gateways_per_domain) {
    count += gateways;
  }
  return count;
}

bool CutOff(const Size& size, Arrivals arrivals, int gateway, Duration since) {
  return arrivals == Arrivals::kCutOff && since >= kCutFrom &&
         since < kCutFrom + kCutFor &&
         gateway >= Count(size) - size.gateways_per_domain.back();
}

/**
 * Runs a baseline. `bucket_of` returns the index of the bucket that a gateway's
 * request spends from; negative if that bucket is unreachable.
 */
template <typename BucketOf>
Outcome Run(const Size& size, Arrivals arrivals, int buckets,
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
  std::priority_queue<Settlement> open;
  std::priority_queue<Settlement> ideal;
  const int gateways = Count(size);
  const auto settle = [&](TimePoint until) {
    for (; !open.empty() && open.top().when <= until; open.pop()) {
      const Settlement& done = open.top();
      const Request& request = requests[done.request];
      const int bucket =
          bucket_of(request.gateway, request.when - start, gateways);
      if (bucket >= 0) {
        all[bucket][request.team].Refund(done.when, request.when,
                                         request.estimate - request.used);
      }
      account.Settled(done.when, request.when, request, done.number);
    }
    for (; !ideal.empty() && ideal.top().when <= until; ideal.pop()) {
      const Request& request = requests[ideal.top().request];
      account.IdealSettled(ideal.top().when, request.when, request);
    }
  };
  std::int64_t asked = 0;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const Request& request = requests[i];
    const Duration since = request.when - start;
    settle(request.when);
    if (Down(request.gateway, gateways, arrivals, since)) {
      continue;  // the load balancer avoids the gateway; no bucket is charged
    }
    ++asked;
    if (account.IdealAdmits(request.when, request)) {
      ideal.push({request.when + request.service, i, 0});
    }
    const bool inside = account.Inside(request.when, request);
    const int bucket = bucket_of(request.gateway, since, gateways);
    if (bucket >= 0 &&
        all[bucket][request.team].Spend(request.when, request.estimate)) {
      open.push({request.when + request.service, i,
                 account.Admitted(request.when, request)});
    } else {
      account.Refused(request, inside);
    }
  }
  Outcome outcome = account.Result();
  const double seconds = static_cast<double>(size.measured.count()) / 1e6;
  outcome.messages = static_cast<double>(asked) / seconds / gateways;
  return outcome;
}

}  // namespace

Outcome RunStaticSplit(const Size& size, Arrivals arrivals) {
  Outcome outcome = Run(size, arrivals, Count(size),
                        [](int gateway, Duration, int) { return gateway; });
  outcome.messages = 0;
  return outcome;
}

Outcome RunCentral(const Size& size, Arrivals arrivals) {
  // A spend and a refund; each is a request and its answer.
  constexpr double kMessages = 4;
  constexpr double kBytes = 110;
  Outcome outcome =
      Run(size, arrivals, 1, [&](int gateway, Duration since, int gateways) {
        const bool reached = !Down(0, gateways, arrivals, since) &&
                             !CutOff(size, arrivals, gateway, since);
        return reached ? 0 : -1;
      });
  const int gateways = Count(size);
  const double requests = outcome.messages;
  outcome.messages = requests * kMessages;
  outcome.bytes = 2 * outcome.messages * kBytes;
  outcome.most_bytes = requests * gateways * kMessages * kBytes;
  return outcome;
}

}  // namespace figwell::bench
