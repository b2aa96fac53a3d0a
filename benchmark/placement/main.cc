#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <vector>

#include "faults.h"
#include "replay.h"
#include "scale.h"

namespace figwell::placement::benchmark {
namespace {

constexpr std::uint64_t kSeeds = 3;
/** Mean demand as a fraction of the fleet's capacity. */
constexpr double kLoadFraction = 0.45;

void Add(Outcome& sum, const Outcome& one) {
  sum.requested += one.requested;
  sum.served += one.served;
  sum.accelerator_seconds += one.accelerator_seconds;
  sum.moves += one.moves;
  sum.bytes_moved += one.bytes_moved;
  sum.min_team_ratio += one.min_team_ratio;
  sum.unreachable_model_seconds += one.unreachable_model_seconds;
  sum.unreachable_domain_seconds += one.unreachable_domain_seconds;
  sum.dropped_moves += one.dropped_moves;
}

void Print(PolicyKind kind, double fairness, const Outcome& sum) {
  fmt::print(
      "{:<16} {:>8.1f} {:>9.2f} {:>10.2f} {:>7} {:>9.1f} {:>9.4f} {:>11} "
      "{:>11}\n",
      Name(kind), fairness, 100 * sum.served / sum.requested,
      sum.served / sum.accelerator_seconds, sum.moves / kSeeds,
      static_cast<double>(sum.bytes_moved) / 1e12 / kSeeds,
      sum.min_team_ratio / kSeeds, sum.unreachable_model_seconds / kSeeds,
      sum.unreachable_domain_seconds / kSeeds);
}

void Compare(const FleetSize& size) {
  fmt::print(
      "\n{}: {} servers, {} domains, {} models, {} adapters; 2 virtual hours, "
      "mean of {} seeds\n",
      size.name, size.servers, size.domains, size.models, size.adapters,
      kSeeds);
  fmt::print("{:<16} {:>8} {:>9} {:>10} {:>7} {:>9} {:>9} {:>11} {:>11}\n",
             "policy", "fairness", "served %", "tok/acc/s", "moves", "TB moved",
             "worst team", "unreach s", "in domain s");
  for (const PolicyKind kind :
       {PolicyKind::kFigwell, PolicyKind::kStatic,
        PolicyKind::kLeastRecentlyUsed, PolicyKind::kGreedy}) {
    for (const double fairness : {0.0, 1.0}) {
      if (kind != PolicyKind::kFigwell && fairness > 0) {
        continue;  // The baselines ignore fairness.
      }
      Outcome sum;
      sum.min_team_ratio = 0;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        Add(sum, Replay(size, MakeFleet(size, seed, fairness), kind,
                        kLoadFraction, seed));
      }
      Print(kind, fairness, sum);
    }
  }
}

}  // namespace
}  // namespace figwell::placement::benchmark

// Runs everything, or only the parts given: rahnuma, karaca, scale, numbering.
int main(int argc, char** argv) {
  using namespace figwell::placement::benchmark;  // NOLINT
  const std::vector<std::string_view> selected(argv + 1, argv + argc);
  const auto is_selected = [&](std::string_view part) {
    return selected.empty() ||
           std::find(selected.begin(), selected.end(), part) != selected.end();
  };
  if (is_selected("rahnuma")) {
    Compare(RahnumaSize());
  }
  if (is_selected("karaca")) {
    Compare(KaracaSize());
  }
  if (is_selected("scale")) {
    CompareScale();
  }
  if (is_selected("numbering")) {
    CompareFencingNumbers();
  }
  return 0;
}
