#ifndef FIGWELL_BENCHMARK_RATES_WORKLOAD_H_
#define FIGWELL_BENCHMARK_RATES_WORKLOAD_H_

/** Seeded arrivals, the same for every rate limiter. */

#include <string>
#include <vector>

#include "figwell/budget.h"

namespace figwell::bench {

/** A fleet and its teams. */
struct Size {
  std::string name;
  std::vector<int> gateways_per_domain;
  std::vector<budget::Limit> teams;
  Duration measured;
};

enum class Arrivals { kEven, kSkewed, kBursty, kOverRate, kDying, kCutOff };

inline constexpr Arrivals kAllArrivals[] = {
    Arrivals::kEven,     Arrivals::kSkewed, Arrivals::kBursty,
    Arrivals::kOverRate, Arrivals::kDying,  Arrivals::kCutOff};

std::string Name(Arrivals arrivals);

/** The team that sends at five times its rate under kOverRate. */
inline constexpr std::size_t kOverRateTeam = 1;
inline constexpr double kOverRateFactor = 5;

/** The fraction of its rate at which every other team sends. */
inline constexpr double kLoadFraction = 0.7;

struct Request {
  TimePoint when;
  int gateway = 0;
  std::size_t team = 0;
  /** Tokens charged at admission, and those that the request really uses. */
  budget::Tokens estimate = 0;
  budget::Tokens used = 0;
  Duration service_time{0};
};

/** The users' present fleets, and a large one that figwell has to support. */
Size Rahnuma();
Size Karaca();
Size Large();

/** Returns the requests from `start` for `duration`, in order of time. */
std::vector<Request> MakeRequests(const Size& size, Arrivals arrivals,
                                  TimePoint start, Duration duration,
                                  std::uint64_t seed);

}  // namespace figwell::bench

#endif  // FIGWELL_BENCHMARK_RATES_WORKLOAD_H_
