#include "workload.h"

#include <algorithm>
#include <numeric>

namespace figwell::bench {
namespace {

using std::chrono::seconds;

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr budget::Tokens kMinEstimateTokens = 200;
constexpr budget::Tokens kEstimateTokenRange = 1600;
constexpr double kMinUsedFraction = 0.3;
constexpr double kUsedFractionRange = 0.6;
constexpr double kMeanUsedTokens =
    (kMinEstimateTokens + kEstimateTokenRange / 2.0) *
    (kMinUsedFraction + kUsedFractionRange / 2);
constexpr Duration kMinServiceTime = seconds(1);
constexpr Duration kServiceTimeRange = seconds(5);
/** Fraction of kSkewed requests for the first domain; the rest go to all. */
constexpr double kFirstDomainFraction = 0.8;
/** Length of a kBursty team's burst; it sends nothing for three times that. */
constexpr double kBurstSeconds = 4;
constexpr double kBurstFactor = 4;
constexpr budget::Tokens kBurstToRateRatio = 10;

std::vector<budget::Limit> Limits(const std::vector<budget::Tokens>& rates) {
  std::vector<budget::Limit> limits;
  limits.reserve(rates.size());
  for (const budget::Tokens rate : rates) {
    limits.push_back({rate, rate * kBurstToRateRatio});
  }
  return limits;
}

int PickGateway(const Size& size, Arrivals arrivals, Random& random) {
  const int first = size.gateways_per_domain.front();
  const int all = std::accumulate(size.gateways_per_domain.begin(),
                                  size.gateways_per_domain.end(), 0);
  if (arrivals == Arrivals::kSkewed && random.Unit() < kFirstDomainFraction) {
    return static_cast<int>(random.Below(first));
  }
  return static_cast<int>(random.Below(all));
}

/** Requests per second of a team at a time in seconds from the start. */
double RateAt(const Size& size, Arrivals arrivals, std::size_t team,
              double second) {
  const double factor = arrivals == Arrivals::kOverRate && team == kOverRateTeam
                            ? kOverRateFactor
                            : kLoadFraction;
  const double mean =
      factor * static_cast<double>(size.teams[team].rate) / kMeanUsedTokens;
  if (arrivals != Arrivals::kBursty) {
    return mean;
  }
  const double phase = second / kBurstSeconds + static_cast<double>(team);
  return static_cast<int>(phase) % static_cast<int>(kBurstFactor) == 0
             ? mean * kBurstFactor
             : 0;
}

}  // namespace

std::string Name(Arrivals arrivals) {
  switch (arrivals) {
    case Arrivals::kEven:
      return "even";
    case Arrivals::kSkewed:
      return "skewed";
    case Arrivals::kBursty:
      return "bursty";
    case Arrivals::kOverRate:
      return "5x team";
    case Arrivals::kDying:
      return "dying";
    case Arrivals::kCutOff:
      return "cut off";
  }
  return "";
}

Size Rahnuma() {
  return {
      "8 in 3", {3, 3, 2}, Limits({8000, 4000, 2000, 1000, 500}), seconds(300)};
}

Size Karaca() {
  return {"9 in 4",
          {3, 2, 2, 2},
          Limits({6000, 4000, 3000, 1500, 600}),
          seconds(300)};
}

Size Large() {
  // 29,000 requests per second; the smallest of 200 teams sends 45 of them.
  constexpr double kRequestsPerSecond = 29'000;
  std::vector<budget::Tokens> rates;
  double sum = 0;
  for (int i = 0; i < 200; ++i) {
    sum += 1.0 / (i + 10);
  }
  rates.reserve(200);
  for (int i = 0; i < 200; ++i) {
    rates.push_back(static_cast<budget::Tokens>(
        kRequestsPerSecond * kMeanUsedTokens / kLoadFraction / (i + 10) / sum));
  }
  return {"810 in 10", std::vector<int>(10, 81), Limits(rates), seconds(5)};
}

std::vector<Request> MakeRequests(const Size& size, Arrivals arrivals,
                                  TimePoint start, Duration duration,
                                  std::uint64_t seed) {
  std::vector<Request> requests;
  Random random(seed);
  const double end =
      static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
  for (std::size_t team = 0; team < size.teams.size(); ++team) {
    const double max_rate =
        std::max(RateAt(size, arrivals, team, 0),
                 static_cast<double>(size.teams[team].rate) * kLoadFraction *
                     kBurstFactor / kMeanUsedTokens);
    // Thinning: draws candidates at the maximum rate and keeps each with the
    // probability of the present rate over the maximum.
    for (double t = random.Exponential(1 / max_rate); t < end;
         t += random.Exponential(1 / max_rate)) {
      if (random.Unit() * max_rate >= RateAt(size, arrivals, team, t)) {
        continue;
      }
      Request request;
      request.when =
          start +
          Duration(static_cast<Duration::rep>(t * kMicrosecondsPerSecond));
      request.gateway = PickGateway(size, arrivals, random);
      request.team = team;
      request.estimate =
          kMinEstimateTokens +
          static_cast<budget::Tokens>(random.Below(kEstimateTokenRange));
      request.used = static_cast<budget::Tokens>(
          static_cast<double>(request.estimate) *
          (kMinUsedFraction + kUsedFractionRange * random.Unit()));
      request.service_time =
          kMinServiceTime + Duration(random.Below(kServiceTimeRange.count()));
      requests.push_back(request);
    }
  }
  std::sort(requests.begin(), requests.end(),
            [](const Request& a, const Request& b) { return a.when < b.when; });
  return requests;
}

}  // namespace figwell::bench
