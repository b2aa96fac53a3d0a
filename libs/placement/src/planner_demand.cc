#include <algorithm>

#include "planner.h"

namespace figwell::placement {
namespace {

/** Weight of tokens of fully served teams; above 0 so that they count. */
constexpr double kLeastUrgency = 0.05;
/** Maximum fraction by which fairness reduces the minimum gain. */
constexpr double kFairnessDiscount = 0.75;

double SpareOf(const ServerState& server) {
  return std::max(0.0, server.capacity - server.load);
}

}  // namespace

/**
 * The minimum gain that makes up for a load within the payback time. Fairness
 * lowers it for models of badly served teams.
 */
double Planner::LeastGain(const BundleState& bundle) const {
  const PlanOptions& options = input_.options;
  const auto load = static_cast<double>(options.load_time.count());
  const auto payback = static_cast<double>(options.payback.count());
  const double per_load = load / std::max(payback - load, 1.0);
  const double fairness = input_.configuration.policy.fairness;
  return options.accelerator_rate * std::max(options.min_gain, per_load) *
         (1 - kFairnessDiscount * fairness * bundle.deficit);
}

/** Tokens per second that the bundle's other replicas could not serve. */
double Planner::EvictionLoss(Index bundle, Index server) {
  const BundleState& what = state_.bundles()[bundle];
  const auto flow = what.flow.find(server);
  const double carried = flow == what.flow.end() ? 0 : flow->second;
  double spare = 0;
  for (const Index other : what.ready) {
    if (other != server) {
      spare += SpareOf(state_.servers()[other]);
    }
  }
  return std::max(0.0, carried - spare);
}

std::optional<Planner::Candidate> Planner::Evaluate(Index bundle,
                                                    Index server) {
  const BundleState& what = state_.bundles()[bundle];
  if (!state_.MayHold(what, server)) {
    return std::nullopt;
  }
  const ServerState& where = state_.servers()[server];
  Candidate candidate{bundle, server, {}, 0, 0};
  if (where.free_soon < state_.BytesToAdd(what, server)) {
    candidate.evicted = ExtrasToEvict(bundle, server);
    if (candidate.evicted.empty()) {
      return std::nullopt;
    }
  }
  double room = SpareOf(where);
  double loss = 0;
  for (const Index other : candidate.evicted) {
    const auto& flow = state_.bundles()[other].flow;
    const auto carried = flow.find(server);
    room += carried == flow.end() ? 0 : carried->second;
    loss += EvictionLoss(other, server) * Urgency(state_.bundles()[other]);
  }
  const double won = std::min(what.Unmet(), room);
  candidate.score = won * Urgency(what) - loss;
  candidate.gain = std::min(won, candidate.score / Urgency(what));
  return candidate;
}

/** Bundles whose unmet demand justifies a load, most urgent first. */
std::vector<std::pair<double, Index>> Planner::Wanting() const {
  std::vector<std::pair<double, Index>> wanting;
  for (Index bundle = 0; bundle < state_.bundles().size(); ++bundle) {
    const BundleState& what = state_.bundles()[bundle];
    if (!what.stale && what.Unmet() >= LeastGain(what)) {
      wanting.emplace_back(what.Unmet() * Urgency(what), bundle);
    }
  }
  std::sort(wanting.rbegin(), wanting.rend());
  return wanting;
}

double Planner::Urgency(const BundleState& bundle) const {
  const double fairness = input_.configuration.policy.fairness;
  return std::max(kLeastUrgency, 1 - fairness + fairness * bundle.deficit);
}

std::optional<Planner::Candidate> Planner::BestCandidate() {
  std::optional<Candidate> best;
  for (const auto& [most, bundle] : Wanting()) {
    if (best && best->score >= most) {
      break;  // No later bundle can score higher.
    }
    const double least = LeastGain(state_.bundles()[bundle]);
    for (Index server = 0; server < state_.servers().size(); ++server) {
      std::optional<Candidate> candidate = Evaluate(bundle, server);
      if (candidate && candidate->gain >= least &&
          (!best || candidate->score > best->score)) {
        best = std::move(candidate);
      }
    }
  }
  return best;
}

void Planner::Carry(const Candidate& candidate) {
  const ServerState& where = state_.servers()[candidate.server];
  const BundleState& what = state_.bundles()[candidate.bundle];
  for (const Index other : candidate.evicted) {
    EmitUnload(other, candidate.server, Reason::kMakeRoom);
  }
  state_.MoveDemand(candidate.bundle, candidate.server);
  if (where.free_now >= state_.BytesToAdd(what, candidate.server)) {
    EmitLoad(candidate.bundle, candidate.server, Reason::kDemand);
    return;
  }
  // A later plan loads it once memory is free; reserve that memory.
  state_.AddCopy(candidate.bundle, candidate.server);
  --loads_left_;
}

void Planner::FollowDemand() {
  state_.SpreadDemand(false);
  while (loads_left_ > 0) {
    const std::optional<Candidate> best = BestCandidate();
    if (!best) {
      return;
    }
    Carry(*best);
  }
}

}  // namespace figwell::placement
