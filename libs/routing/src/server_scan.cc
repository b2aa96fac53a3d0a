#include "server_scan.h"

#include <algorithm>

namespace figwell::routing {
namespace {

constexpr double kLeastRamp = 0.1;

const TierScan& At(const Scan& scan, Tier tier) {
  return scan.tiers[static_cast<std::size_t>(tier)];
}

/** The prefix's server, unless its load is far above the tier's mean. */
std::optional<ServerFacts> Affine(const TierScan& tier,
                                  const BalancerPolicy& policy) {
  const double mean = tier.pressure_sum / static_cast<double>(tier.count);
  const double bound =
      std::max(policy.affinity_bound * mean, policy.affinity_floor);
  if (tier.holder && tier.holder->pressure <= bound) {
    return tier.holder;
  }
  if (tier.owner.weight != 0 && tier.owner.pressure <= bound) {
    return tier.owner;
  }
  return std::nullopt;
}

ServerFacts BestOfTwo(const TierScan& tier, Random& random) {
  if (tier.count == 1) {
    return tier.picks[0];
  }
  const std::uint64_t first = random.Below(2);
  const ServerFacts& one = tier.picks[first];
  const ServerFacts& other = tier.picks[1 - first];
  return other.pressure < one.pressure ? other : one;
}

ServerFacts BestOfTier(const TierScan& tier, const BalancerPolicy& policy,
                       Random& random, BalancerCounts& counts) {
  if (policy.use_affinity) {
    if (const auto affine = Affine(tier, policy)) {
      ++counts.affinity;
      return *affine;
    }
  }
  return BestOfTwo(tier, random);
}

}  // namespace

double Pressure(double tokens, int accelerators, Duration age) {
  const double ramp =
      std::clamp(static_cast<double>(age.count()) /
                     static_cast<double>(Duration(kSlowStart).count()),
                 kLeastRamp, 1.0);
  return tokens / (accelerators * ramp);
}

void TierScan::Add(const ServerFacts& facts, Random& random) {
  // Reservoir sampling: every pair of servers has the same probability.
  const std::uint64_t place = count < 2 ? count : random.Below(count + 1);
  if (place < 2) {
    picks[place] = facts;
  }
  ++count;
  pressure_sum += facts.pressure;
  if (count == 1 || facts.weight > owner.weight) {
    owner = facts;
  }
  if (facts.holds_prefix && (!holder || facts.pressure < holder->pressure)) {
    holder = facts;
  }
}

void Scan::Add(const ServerFacts& facts, Random& random) {
  tiers[static_cast<std::size_t>(facts.tier)].Add(facts, random);
}

std::optional<ServerIndex> Select(const Scan& scan,
                                  const BalancerPolicy& policy, Random& random,
                                  BalancerCounts& counts) {
  const TierScan& own = At(scan, Tier::kOwnDomain);
  const TierScan& other = At(scan, Tier::kOtherDomain);
  const TierScan& suspect = At(scan, Tier::kSuspect);
  if (own.count > 0) {
    const ServerFacts best = BestOfTier(own, policy, random, counts);
    if (other.count > 0 && best.pressure > policy.spill_floor) {
      const ServerFacts away = BestOfTwo(other, random);
      if (away.pressure < policy.spill_ratio * best.pressure) {
        ++counts.spilled;
        return away.index;
      }
    }
    return best.index;
  }
  if (other.count > 0) {
    return BestOfTier(other, policy, random, counts).index;
  }
  if (suspect.count > 0) {
    ++counts.last_resort;
    return BestOfTwo(suspect, random).index;
  }
  return std::nullopt;
}

}  // namespace figwell::routing
