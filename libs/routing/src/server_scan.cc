#include "server_scan.h"

#include <algorithm>

namespace figwell::routing {
namespace {

constexpr double kMinRampFraction = 0.1;

const TierScan& At(const Scan& scan, Tier tier) {
  return scan.tiers[static_cast<std::size_t>(tier)];
}

/** The prefix's server, unless its load is far above the tier's mean. */
std::optional<ServerCandidate> SelectByPrefix(const TierScan& tier,
                                              const BalancerPolicy& policy) {
  const double mean = tier.load_sum / static_cast<double>(tier.count);
  const double bound =
      std::max(policy.affinity_max_load_ratio * mean, policy.affinity_min_load);
  if (tier.prefix_holder && tier.prefix_holder->load <= bound) {
    return tier.prefix_holder;
  }
  if (tier.preferred_server.rendezvous_weight != 0 &&
      tier.preferred_server.load <= bound) {
    return tier.preferred_server;
  }
  return std::nullopt;
}

ServerCandidate LessLoadedOfTwo(const TierScan& tier, Random& random) {
  if (tier.count == 1) {
    return tier.picks[0];
  }
  const std::uint64_t first = random.Below(2);
  const ServerCandidate& one = tier.picks[first];
  const ServerCandidate& other = tier.picks[1 - first];
  return other.load < one.load ? other : one;
}

ServerCandidate BestOfTier(const TierScan& tier, const BalancerPolicy& policy,
                           Random& random, BalancerCounts& counts) {
  if (policy.use_affinity) {
    if (const auto selected = SelectByPrefix(tier, policy)) {
      ++counts.affinity;
      return *selected;
    }
  }
  return LessLoadedOfTwo(tier, random);
}

}  // namespace

double EffectiveLoad(double tokens, int accelerators, Duration age) {
  const double ramp =
      std::clamp(static_cast<double>(age.count()) /
                     static_cast<double>(Duration(kSlowStartDuration).count()),
                 kMinRampFraction, 1.0);
  return tokens / (accelerators * ramp);
}

void TierScan::Add(const ServerCandidate& candidate, Random& random) {
  // Reservoir sampling: every pair of servers has the same probability.
  const std::uint64_t position = count < 2 ? count : random.Below(count + 1);
  if (position < 2) {
    picks[position] = candidate;
  }
  ++count;
  load_sum += candidate.load;
  if (count == 1 ||
      candidate.rendezvous_weight > preferred_server.rendezvous_weight) {
    preferred_server = candidate;
  }
  if (candidate.holds_prefix &&
      (!prefix_holder || candidate.load < prefix_holder->load)) {
    prefix_holder = candidate;
  }
}

void Scan::Add(const ServerCandidate& candidate, Random& random) {
  tiers[static_cast<std::size_t>(candidate.tier)].Add(candidate, random);
}

std::optional<ServerIndex> Select(const Scan& scan,
                                  const BalancerPolicy& policy, Random& random,
                                  BalancerCounts& counts) {
  const TierScan& own = At(scan, Tier::kOwnDomain);
  const TierScan& other = At(scan, Tier::kOtherDomain);
  const TierScan& suspect = At(scan, Tier::kSuspect);
  if (own.count > 0) {
    const ServerCandidate best = BestOfTier(own, policy, random, counts);
    if (other.count > 0 && best.load > policy.spill_min_load) {
      const ServerCandidate remote = LessLoadedOfTwo(other, random);
      if (remote.load < policy.spill_max_load_ratio * best.load) {
        ++counts.spilled;
        return remote.index;
      }
    }
    return best.index;
  }
  if (other.count > 0) {
    return BestOfTier(other, policy, random, counts).index;
  }
  if (suspect.count > 0) {
    ++counts.last_resort;
    return LessLoadedOfTwo(suspect, random).index;
  }
  return std::nullopt;
}

}  // namespace figwell::routing
