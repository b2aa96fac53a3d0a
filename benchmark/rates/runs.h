#ifndef FIGWELL_BENCHMARK_RATES_RUNS_H_
#define FIGWELL_BENCHMARK_RATES_RUNS_H_

#include "account.h"
#include "workload.h"

namespace figwell::bench {

/** Baseline: every gateway has an even, fixed share of each limit. */
Outcome RunStaticSplit(const Size& size, Arrivals arrivals);

/** Baseline: every request spends from a central bucket at gateway 0. */
Outcome RunCentral(const Size& size, Arrivals arrivals);

/** figwell: units, transfers between gateways, and waiting requests. */
Outcome RunFigwell(const Size& size, Arrivals arrivals);

/**
 * Times of the faults. In kDying runs the gateways go down one after the other,
 * each for a while; in kCutOff runs the last domain is cut off once.
 */
inline constexpr Duration kDeathInterval = std::chrono::seconds(60);
inline constexpr Duration kDownTime = std::chrono::seconds(40);
inline constexpr Duration kCutOffStart = std::chrono::seconds(60);
inline constexpr Duration kCutOffTime = std::chrono::seconds(60);

/** When the first gateway goes down, from the start of the arrivals. */
inline constexpr Duration kFirstDeath = std::chrono::seconds(5);

/** A network round trip to a peer. */
inline constexpr Duration kRoundTrip = std::chrono::milliseconds(2);

inline constexpr std::uint64_t kSeed = 20261203;

}  // namespace figwell::bench

#endif  // FIGWELL_BENCHMARK_RATES_RUNS_H_
