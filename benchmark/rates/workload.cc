#include "workload.h"

#include <algorithm>
#include <numeric>

namespace figwell::bench {
namespace {

using std::chrono::seconds;

constexpr double kMicroseconds = 1e6;
constexpr budget::Tokens kMinEstimate = 200;
constexpr budget::Tokens kEstimateSpan = 1600;
constexpr double kMinUsed = 0.3;
constexpr double kUsedSpan = 0.6;
constexpr double kMeanUsed =
    (kMinEstimate + kEstimateSpan / 2.0) * (kMinUsed + kUsedSpan / 2);
constexpr Duration kMinService = seconds(1);
constexpr Duration kServiceSpan = seconds(5);
constexpr double kSkew = 0.8;        // fraction sent to the first domain
constexpr double kBurstSeconds = 4;  // then three times as long without any
constexpr double kBurstFactor = 4;
constexpr budget::Tokens kBurstPerRate = 10;

std::vector<budget::Limit> Limits(const std::vector<budget::Tokens>& rates) {
  std::vector<budget::Limit> limits;
  limits.reserve(rates.size());
  for (const budget::Tokens rate : rates) {
    limits.push_back({rate, rate * kBurstPerRate});
  }
  return limits;
}

int PickGateway(const Size& size, Arrivals arrivals, Random& random) {
  const int first = size.gateways_per_domain.front();
  const int all = std::accumulate(size.gateways_per_domain.begin(),
                                  size.gateways_per_domain.end(), 0);
  if (arrivals == Arrivals::kSkewed && random.Unit() < kSkew) {
    return static_cast<int>(random.Below(first));
  }
  return static_cast<int>(random.Below(all));
}

/** Requests per second of a team at a time in seconds from the start. */
double RateAt(const Size& size, Arrivals arrivals, std::size_t team,
              double second) {
  const double factor = arrivals == Arrivals::kOverRate && team == kOverTeam
                            ? kOverFactor
                            : kLoad;
  const double mean =
      factor * static_cast<double>(size.teams[team].rate) / kMeanUsed;
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
  constexpr double kRequests = 29'000;
  std::vector<budget::Tokens> rates;
  double sum = 0;
  for (int i = 0; i < 200; ++i) {
    sum += 1.0 / (i + 10);
  }
  rates.reserve(200);
  for (int i = 0; i < 200; ++i) {
    rates.push_back(static_cast<budget::Tokens>(kRequests * kMeanUsed / kLoad /
                                                (i + 10) / sum));
  }
  return {"810 in 10", std::vector<int>(10, 81), Limits(rates), seconds(5)};
}

std::vector<Request> MakeRequests(const Size& size, Arrivals arrivals,
                                  TimePoint start, Duration duration,
                                  std::uint64_t seed) {
  std::vector<Request> requests;
  Random random(seed);
  const double end = static_cast<double>(duration.count()) / kMicroseconds;
  for (std::size_t team = 0; team < size.teams.size(); ++team) {
    const double most = std::max(RateAt(size, arrivals, team, 0),
                                 static_cast<double>(size.teams[team].rate) *
                                     kLoad * kBurstFactor / kMeanUsed);
    // Thinning: draws candidates at the maximum rate and keeps each with the
    // probability of the present rate over the maximum.
    for (double t = random.Exponential(1 / most); t < end;
         t += random.Exponential(1 / most)) {
      if (random.Unit() * most >= RateAt(size, arrivals, team, t)) {
        continue;
      }
      Request request;
      request.when =
          start + Duration(static_cast<Duration::rep>(t * kMicroseconds));
      request.gateway = PickGateway(size, arrivals, random);
      request.team = team;
      request.estimate = kMinEstimate + static_cast<budget::Tokens>(
                                            random.Below(kEstimateSpan));
      request.used =
          static_cast<budget::Tokens>(static_cast<double>(request.estimate) *
                                      (kMinUsed + kUsedSpan * random.Unit()));
      request.service =
          kMinService + Duration(random.Below(kServiceSpan.count()));
      requests.push_back(request);
    }
  }
  std::sort(requests.begin(), requests.end(),
            [](const Request& a, const Request& b) { return a.when < b.when; });
  return requests;
}

}  // namespace figwell::bench
