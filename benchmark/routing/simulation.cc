#include "simulation.h"

namespace figwell::bench {

double Outcome::MinTeamAttainedFraction() const {
  double worst = 1;
  for (const Tally& team : teams) {
    worst = std::min(worst, team.AttainedFraction());
  }
  return worst;
}

double Outcome::HitRate() const {
  return lookups == 0
             ? 0
             : static_cast<double>(hits) / static_cast<double>(lookups);
}

double Outcome::AttainedPerAcceleratorSecond() const {
  return static_cast<double>(all.attained) / accelerator_seconds;
}

Duration Outcome::FirstTokenP95() {
  if (first_tokens.empty()) {
    return Duration(0);
  }
  const std::size_t rank = first_tokens.size() * 95 / 100;
  std::nth_element(first_tokens.begin(),
                   first_tokens.begin() + static_cast<std::ptrdiff_t>(rank),
                   first_tokens.end());
  return first_tokens[rank];
}

}  // namespace figwell::bench
