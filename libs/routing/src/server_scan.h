#ifndef FIGWELL_ROUTING_SRC_SERVER_SCAN_H_
#define FIGWELL_ROUTING_SRC_SERVER_SCAN_H_

#include <array>
#include <cstdint>
#include <optional>

#include "figwell/routing.h"

namespace figwell::routing {

/** Groups of servers in the order in which they are used. */
enum class Tier : std::uint8_t { kOwnDomain, kOtherDomain, kSuspect };

inline constexpr std::size_t kTiers = 3;

/** What the selection compares of one server for one request. */
struct ServerCandidate {
  ServerIndex index = 0;
  Tier tier = Tier::kSuspect;
  /** Outstanding tokens per accelerator, including this request's. */
  double load = 0;
  std::uint64_t rendezvous_weight = 0;  ///< for the request's prefix
  bool holds_prefix = false;
};

/**
 * Tokens per accelerator. The result is scaled up for a server that started
 * less than kSlowStartDuration ago, so that its share of requests grows slowly.
 */
double EffectiveLoad(double tokens, int accelerators, Duration age);

/** A running summary of one tier, with all that the selection needs. */
struct TierScan {
  std::uint64_t count = 0;
  double load_sum = 0;
  std::array<ServerCandidate, 2> picks;  ///< two different servers, at random
  ServerCandidate preferred_server;      ///< highest rendezvous weight
  /** The least loaded server with the prefix cached. */
  std::optional<ServerCandidate> prefix_holder;

  void Add(const ServerCandidate& candidate, Random& random);
};

/** One pass over a target's servers. */
struct Scan {
  std::array<TierScan, kTiers> tiers;
  std::size_t excluded = 0;

  void Add(const ServerCandidate& candidate, Random& random);
};

/** Selects a server from a scan; nullopt if every tier is empty. */
std::optional<ServerIndex> Select(const Scan& scan,
                                  const BalancerPolicy& policy, Random& random,
                                  BalancerCounts& counts);

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_SRC_SERVER_SCAN_H_
