#include "choosers.h"

#include <algorithm>

namespace figwell::bench {

std::optional<Pick> BaselineChooser::Choose(TimePoint,
                                            const routing::RequestFacts& facts,
                                            std::span<const ServerId> tried) {
  std::vector<routing::ServerIndex> usable;
  for (const routing::ServerIndex index : view_->CandidatesFor(facts.target)) {
    const routing::FleetServer& server = view_->Servers()[index];
    if (!server.leaving &&
        std::find(tried.begin(), tried.end(), server.id) == tried.end()) {
      usable.push_back(index);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  return Pick{Select(usable), std::nullopt};
}

routing::ServerIndex BaselineChooser::Select(
    const std::vector<routing::ServerIndex>& usable) {
  switch (kind_) {
    case Baseline::kRandom:
      return usable[random_.Below(usable.size())];
    case Baseline::kRoundRobin:
      return usable[next_turn_++ % usable.size()];
    case Baseline::kLeastReported:
      return *std::min_element(
          usable.begin(), usable.end(),
          [&](auto left, auto right) { return LoadOf(left) < LoadOf(right); });
    case Baseline::kTwoChoices: {
      const routing::ServerIndex one = usable[random_.Below(usable.size())];
      const routing::ServerIndex other = usable[random_.Below(usable.size())];
      return LoadOf(other) < LoadOf(one) ? other : one;
    }
  }
  return usable.front();
}

std::optional<Pick> FigwellChooser::Choose(TimePoint now,
                                           const routing::RequestFacts& facts,
                                           std::span<const ServerId> tried) {
  const auto choice = balancer_->Choose(now, facts, tried);
  if (!choice) {
    return std::nullopt;
  }
  return Pick{choice->index, *choice};
}

}  // namespace figwell::bench
