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
constexpr double kLoadFactor = 0.45;

void Add(Outcome& sum, const Outcome& one) {
  sum.asked += one.asked;
  sum.served += one.served;
  sum.accelerator_seconds += one.accelerator_seconds;
  sum.moves += one.moves;
  sum.bytes_moved += one.bytes_moved;
  sum.worst_team += one.worst_team;
  sum.unreachable_seconds += one.unreachable_seconds;
  sum.unreachable_in_domain += one.unreachable_in_domain;
  sum.refused += one.refused;
}

void Print(PolicyKind kind, double fairness, const Outcome& sum) {
  fmt::print(
      "{:<16} {:>8.1f} {:>9.2f} {:>10.2f} {:>7} {:>9.1f} {:>9.4f} {:>11} "
      "{:>11}\n",
      Name(kind), fairness, 100 * sum.served / sum.asked,
      sum.served / sum.accelerator_seconds, sum.moves / kSeeds,
      static_cast<double>(sum.bytes_moved) / 1e12 / kSeeds,
      sum.worst_team / kSeeds, sum.unreachable_seconds / kSeeds,
      sum.unreachable_in_domain / kSeeds);
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
      sum.worst_team = 0;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        Add(sum, Replay(size, MakeFleet(size, seed, fairness), kind,
                        kLoadFactor, seed));
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
  const std::vector<std::string_view> wanted(argv + 1, argv + argc);
  const auto is_wanted = [&](std::string_view part) {
    return wanted.empty() ||
           std::find(wanted.begin(), wanted.end(), part) != wanted.end();
  };
  if (is_wanted("rahnuma")) {
    Compare(RahnumaSize());
  }
  if (is_wanted("karaca")) {
    Compare(KaracaSize());
  }
  if (is_wanted("scale")) {
    CompareScale();
  }
  if (is_wanted("numbering")) {
    CompareNumbering();
  }
  return 0;
}
