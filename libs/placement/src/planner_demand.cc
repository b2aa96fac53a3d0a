#include <algorithm>

#include "planner.h"

namespace figwell::placement {
namespace {

/** Weight of tokens of fully served teams; above 0 so that they count. */
constexpr double kMinUrgency = 0.05;
/** Maximum fraction by which fairness reduces the minimum gain. */
constexpr double kMaxFairnessDiscount = 0.75;

double SpareCapacity(const ServerState& server) {
  return std::max(0.0, server.capacity - server.load);
}

}  // namespace

/**
 * The minimum gain that makes up for a load within the payback time. Fairness
 * lowers it for models of badly served teams.
 */
double Planner::MinGain(const BundleState& bundle) const {
  const PlanOptions& options = input_.options;
  const auto load = static_cast<double>(options.load_time.count());
  const auto payback = static_cast<double>(options.payback.count());
  const double per_load = load / std::max(payback - load, 1.0);
  const double fairness = input_.configuration.policy.fairness;
  return options.accelerator_rate * std::max(options.min_gain, per_load) *
         (1 - kMaxFairnessDiscount * fairness * bundle.deficit);
}

/** Tokens per second that the bundle's other replicas could not serve. */
double Planner::EvictionLoss(Index bundle, Index server) {
  const BundleState& bundle_state = state_.bundles()[bundle];
  const auto flow = bundle_state.flow.find(server);
  const double current_flow =
      flow == bundle_state.flow.end() ? 0 : flow->second;
  double spare = 0;
  for (const Index other : bundle_state.ready) {
    if (other != server) {
      spare += SpareCapacity(state_.servers()[other]);
    }
  }
  return std::max(0.0, current_flow - spare);
}

std::optional<Planner::Candidate> Planner::Evaluate(Index bundle,
                                                    Index server) {
  const BundleState& bundle_state = state_.bundles()[bundle];
  if (!state_.IsEligible(bundle_state, server)) {
    return std::nullopt;
  }
  const ServerState& server_state = state_.servers()[server];
  Candidate candidate{bundle, server, {}, 0, 0};
  if (server_state.free_after_unloads <
      state_.BytesToAdd(bundle_state, server)) {
    candidate.evicted = RedundantToEvict(bundle, server);
    if (candidate.evicted.empty()) {
      return std::nullopt;
    }
  }
  double available = SpareCapacity(server_state);
  double loss = 0;
  for (const Index other : candidate.evicted) {
    const auto& flow = state_.bundles()[other].flow;
    const auto current_flow = flow.find(server);
    available += current_flow == flow.end() ? 0 : current_flow->second;
    loss += EvictionLoss(other, server) * Urgency(state_.bundles()[other]);
  }
  const double gained = std::min(bundle_state.Unmet(), available);
  candidate.score = gained * Urgency(bundle_state) - loss;
  candidate.gain = std::min(gained, candidate.score / Urgency(bundle_state));
  return candidate;
}

/** Bundles whose unmet demand justifies a load, most urgent first. */
std::vector<std::pair<double, Index>> Planner::BundlesWithUnmetDemand() const {
  std::vector<std::pair<double, Index>> unmet;
  for (Index bundle = 0; bundle < state_.bundles().size(); ++bundle) {
    const BundleState& bundle_state = state_.bundles()[bundle];
    if (!bundle_state.replaced &&
        bundle_state.Unmet() >= MinGain(bundle_state)) {
      unmet.emplace_back(bundle_state.Unmet() * Urgency(bundle_state), bundle);
    }
  }
  std::sort(unmet.rbegin(), unmet.rend());
  return unmet;
}

double Planner::Urgency(const BundleState& bundle) const {
  const double fairness = input_.configuration.policy.fairness;
  return std::max(kMinUrgency, 1 - fairness + fairness * bundle.deficit);
}

std::optional<Planner::Candidate> Planner::BestCandidate() {
  std::optional<Candidate> best;
  for (const auto& [max_score, bundle] : BundlesWithUnmetDemand()) {
    if (best && best->score >= max_score) {
      break;  // No later bundle can score higher.
    }
    const double required_gain = MinGain(state_.bundles()[bundle]);
    for (Index server = 0; server < state_.servers().size(); ++server) {
      std::optional<Candidate> candidate = Evaluate(bundle, server);
      if (candidate && candidate->gain >= required_gain &&
          (!best || candidate->score > best->score)) {
        best = std::move(candidate);
      }
    }
  }
  return best;
}

void Planner::ApplyCandidate(const Candidate& candidate) {
  const ServerState& server_state = state_.servers()[candidate.server];
  const BundleState& bundle_state = state_.bundles()[candidate.bundle];
  for (const Index other : candidate.evicted) {
    EmitUnload(other, candidate.server, Reason::kMakeRoom);
  }
  state_.AssignUnmetDemand(candidate.bundle, candidate.server);
  if (server_state.free_now >=
      state_.BytesToAdd(bundle_state, candidate.server)) {
    EmitLoad(candidate.bundle, candidate.server, Reason::kDemand);
    return;
  }
  // A later plan loads it once memory is free; reserve that memory.
  state_.AddReplica(candidate.bundle, candidate.server);
  --loads_left_;
}

void Planner::AddReplicasForDemand() {
  state_.SpreadDemand(false);
  while (loads_left_ > 0) {
    const std::optional<Candidate> best = BestCandidate();
    if (!best) {
      return;
    }
    ApplyCandidate(*best);
  }
}

}  // namespace figwell::placement
