#include <algorithm>
#include <mutex>
#include <utility>

#include "server_scan.h"
#include "server_states.h"

namespace figwell::routing {
namespace {

constexpr int kServerFailureThreshold = 2;
constexpr int kCircuitFailureThreshold = 3;
constexpr std::size_t kMaxCircuits = 4096;
constexpr Duration kOverloadCooldown = std::chrono::milliseconds(500);

/** The key of the circuit of a server and a target. */
std::uint64_t CircuitKey(std::uint64_t server_hash, const Target& target) {
  return MixBits(server_hash ^ TargetHash{}(target));
}

/** Values that one scan computes once for all servers. */
struct ScanContext {
  /** Mean of other gateways' tokens per accelerator, over the candidates. */
  double mean = 0;
  PrefixTable::Slots holders{};
};

}  // namespace

struct Balancer::State {
  State(DomainId domain, std::uint64_t seed, BalancerPolicy chosen_policy)
      : own_domain(std::move(domain)), policy(chosen_policy), random(seed) {}

  bool IsUsable(ServerIndex index, std::span<const ServerId> excluded) const;
  double MeanOthersLoad(std::span<const ServerIndex> candidates,
                        std::span<const ServerId> excluded) const;
  double EstimateOthersTokens(TimePoint now, const FleetServer& server,
                              const ServerState& state, double mean) const;
  ServerCandidate MakeCandidate(TimePoint now, ServerIndex index,
                                const RequestFacts& request,
                                const ScanContext& context) const;
  bool IsSuspect(TimePoint now, const FleetServer& server,
                 const ServerState& state, const Target& target) const;
  Scan ScanCandidates(TimePoint now, const RequestFacts& request,
                      std::span<const ServerIndex> candidates,
                      std::span<const ServerId> excluded);
  Choice Reserve(TimePoint now, const RequestFacts& request, ServerIndex index);
  void RecordOutcome(TimePoint now, const Choice& choice,
                     AttemptOutcome outcome);
  void RecordServerFailure(TimePoint now, ServerState& state);
  void RecordCircuitFailure(TimePoint now, std::uint64_t circuit);

  const DomainId own_domain;
  const BalancerPolicy policy;
  mutable std::mutex mutex;
  Random random;
  FleetViewPtr view = std::make_shared<const FleetView>();
  ServerStates servers;
  /** Contains only pairs of server and target that failed recently. */
  std::unordered_map<std::uint64_t, Breaker> circuits;
  BalancerCounts counts;
};

bool Balancer::State::IsSuspect(TimePoint now, const FleetServer& server,
                                const ServerState& state,
                                const Target& target) const {
  if (state.breaker.Blocks(now) || now < state.overloaded_until) {
    return true;
  }
  if (server.reported && now - server.measured_at > kReportLifetime) {
    return true;
  }
  if (circuits.empty()) {
    return false;
  }
  const auto circuit = circuits.find(CircuitKey(server.hash, target));
  return circuit != circuits.end() && circuit->second.Blocks(now);
}

bool Balancer::State::IsUsable(ServerIndex index,
                               std::span<const ServerId> excluded) const {
  const FleetServer& server = view->Servers()[index];
  return !server.leaving && !servers.At(servers.SlotOf(index)).marked_leaving &&
         std::find(excluded.begin(), excluded.end(), server.id) ==
             excluded.end();
}

double Balancer::State::MeanOthersLoad(
    std::span<const ServerIndex> candidates,
    std::span<const ServerId> excluded) const {
  double tokens = 0;
  int accelerators = 0;
  for (const ServerIndex index : candidates) {
    if (IsUsable(index, excluded)) {
      tokens +=
          static_cast<double>(servers.At(servers.SlotOf(index)).others_tokens);
      accelerators += view->Servers()[index].accelerators;
    }
  }
  return accelerators == 0 ? 0 : tokens / accelerators;
}

double Balancer::State::EstimateOthersTokens(TimePoint now,
                                             const FleetServer& server,
                                             const ServerState& state,
                                             double mean) const {
  const auto reported = static_cast<double>(state.others_tokens);
  if (policy.report_half_weight_age == Duration(0)) {
    return reported;
  }
  // Reported work finishes and is replaced by newer work of other gateways.
  // The older the report, the better the mean predicts that work.
  const double age = static_cast<double>((now - server.measured_at).count()) /
                     static_cast<double>(policy.report_half_weight_age.count());
  const double report_weight = 1 / (1 + age * age);
  return report_weight * reported +
         (1 - report_weight) * mean * server.accelerators;
}

ServerCandidate Balancer::State::MakeCandidate(
    TimePoint now, ServerIndex index, const RequestFacts& request,
    const ScanContext& context) const {
  const FleetServer& server = view->Servers()[index];
  const std::uint32_t slot = servers.SlotOf(index);
  const ServerState& state = servers.At(slot);
  ServerCandidate candidate;
  candidate.index = index;
  if (IsSuspect(now, server, state, request.target)) {
    candidate.tier = Tier::kSuspect;
  } else {
    candidate.tier =
        server.domain == own_domain ? Tier::kOwnDomain : Tier::kOtherDomain;
  }
  const std::int64_t own =
      policy.correct_reports ? state.own_load.Current() : 0;
  candidate.load =
      EffectiveLoad(EstimateOthersTokens(now, server, state, context.mean) +
                        static_cast<double>(own + request.tokens),
                    server.accelerators, now - state.slow_start_at);
  if (policy.use_affinity && request.prefix != 0) {
    candidate.rendezvous_weight = MixBits(request.prefix ^ server.hash);
    candidate.holds_prefix =
        std::find(context.holders.begin(), context.holders.end(), slot) !=
        context.holders.end();
  }
  return candidate;
}

Scan Balancer::State::ScanCandidates(TimePoint now, const RequestFacts& request,
                                     std::span<const ServerIndex> candidates,
                                     std::span<const ServerId> excluded) {
  const ScanContext context{
      MeanOthersLoad(candidates, excluded),
      servers.Prefixes().HoldersOf(policy.use_affinity ? request.prefix : 0)};
  Scan scan;
  for (const ServerIndex index : candidates) {
    if (IsUsable(index, excluded)) {
      scan.Add(MakeCandidate(now, index, request, context), random);
    } else if (IsUsable(index, {})) {
      ++scan.excluded;
    }
  }
  return scan;
}

Choice Balancer::State::Reserve(TimePoint now, const RequestFacts& request,
                                ServerIndex index) {
  const std::uint32_t slot = servers.SlotOf(index);
  ServerState& state = servers.At(slot);
  state.own_load.Add(now, request.tokens);
  ++state.attempts;
  state.breaker.OnAttemptStarted();
  Choice choice;
  choice.view = view;
  choice.index = index;
  choice.slot = slot;
  choice.circuit = CircuitKey(view->Servers()[index].hash, request.target);
  choice.tokens = request.tokens;
  choice.begun_at = now;
  const auto circuit = circuits.find(choice.circuit);
  if (circuit != circuits.end()) {
    circuit->second.OnAttemptStarted();
  }
  return choice;
}

void Balancer::State::RecordServerFailure(TimePoint now, ServerState& state) {
  if (state.breaker.OnFailure(now, kServerFailureThreshold)) {
    ++counts.ejections;
  }
}

void Balancer::State::RecordCircuitFailure(TimePoint now,
                                           std::uint64_t circuit) {
  if (circuits[circuit].OnFailure(now, kCircuitFailureThreshold)) {
    ++counts.circuits_opened;
  }
}

void Balancer::State::RecordOutcome(TimePoint now, const Choice& choice,
                                    AttemptOutcome outcome) {
  ServerState& state = servers.At(choice.slot);
  const auto circuit = circuits.find(choice.circuit);
  if (circuit != circuits.end()) {
    circuit->second.OnInconclusive();  // frees the probe; cases below override
  }
  switch (outcome) {
    case AttemptOutcome::kSuccess:
      if (state.breaker.HasOpened()) {
        state.slow_start_at = now;
      }
      state.breaker.OnSuccess();
      circuits.erase(choice.circuit);
      return;
    case AttemptOutcome::kConnectFailed:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kTimedOut:
      RecordServerFailure(now, state);
      return;
    case AttemptOutcome::kServerError:
      // The server answered, so only the target's circuit records a failure.
      state.breaker.OnSuccess();
      RecordCircuitFailure(now, choice.circuit);
      return;
    case AttemptOutcome::kOverloaded:
      state.overloaded_until = now + kOverloadCooldown;
      state.breaker.OnInconclusive();
      return;
    case AttemptOutcome::kCancelled:
      state.breaker.OnInconclusive();
      return;
  }
}

Balancer::Balancer(DomainId own_domain, std::uint64_t seed,
                   BalancerPolicy policy)
    : state_(std::make_unique<State>(std::move(own_domain), seed, policy)) {}

Balancer::~Balancer() = default;

void Balancer::SetFleet(TimePoint now, FleetViewPtr view) {
  const std::lock_guard lock(state_->mutex);
  state_->servers.ApplyView(now, *view, state_->policy.correct_reports);
  state_->view = std::move(view);
  if (state_->circuits.size() > kMaxCircuits) {
    state_->circuits.clear();  // removed servers' circuits never close
  }
}

void Balancer::MarkLeaving(const ServerId& server) {
  const std::lock_guard lock(state_->mutex);
  state_->servers.MarkLeaving(server);
}

tl::expected<Choice, NoServerReason> Balancer::Choose(
    TimePoint now, const RequestFacts& request,
    std::span<const ServerId> excluded) {
  const std::lock_guard lock(state_->mutex);
  State& state = *state_;
  const auto candidates = state.view->CandidatesFor(request.target);
  if (candidates.empty()) {
    return tl::unexpected(NoServerReason::kNotResident);
  }
  Scan scan = state.ScanCandidates(now, request, candidates, excluded);
  const std::optional<ServerIndex> index =
      Select(scan, state.policy, state.random, state.counts);
  if (!index) {
    return tl::unexpected(scan.excluded == 0 ? NoServerReason::kAllLeaving
                                             : NoServerReason::kAllExcluded);
  }
  ++state.counts.choices;
  return state.Reserve(now, request, *index);
}

void Balancer::Progress(TimePoint now, Choice& choice, std::int64_t tokens) {
  const std::lock_guard lock(state_->mutex);
  const std::int64_t done = std::clamp<std::int64_t>(tokens, 0, choice.tokens);
  choice.tokens -= done;
  state_->servers.At(choice.slot).own_load.Add(now, -done);
}

void Balancer::End(TimePoint now, const Choice& choice,
                   AttemptOutcome outcome) {
  const std::lock_guard lock(state_->mutex);
  ServerState& state = state_->servers.At(choice.slot);
  state.own_load.Add(now, -choice.tokens);
  --state.attempts;
  state_->RecordOutcome(now, choice, outcome);
}

void Balancer::OnCacheEvents(const ServerId& server,
                             std::span<const CacheEvent> events) {
  const std::lock_guard lock(state_->mutex);
  const std::uint32_t* slot = state_->servers.FindSlot(server);
  if (slot != nullptr) {
    state_->servers.Prefixes().ApplyEvents(*slot, events);
  }
}

BalancerCounts Balancer::Counts() const {
  const std::lock_guard lock(state_->mutex);
  return state_->counts;
}

std::int64_t Balancer::InFlightTokens(const ServerId& server) const {
  const std::lock_guard lock(state_->mutex);
  const std::uint32_t* slot = state_->servers.FindSlot(server);
  return slot == nullptr ? 0 : state_->servers.At(*slot).own_load.Current();
}

}  // namespace figwell::routing
