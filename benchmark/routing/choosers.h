#ifndef FIGWELL_BENCHMARK_ROUTING_CHOOSERS_H_
#define FIGWELL_BENCHMARK_ROUTING_CHOOSERS_H_

#include <concepts>
#include <optional>
#include <span>
#include <vector>

#include "figwell/routing.h"

namespace figwell::bench {

/** The server for a request; with the Balancer's choice if figwell made it. */
struct Pick {
  routing::ServerIndex server = 0;
  std::optional<routing::Choice> choice;
};

/** Chooses servers for the requests of one gateway. */
template <typename T>
concept Chooser = requires(T chooser, TimePoint now, routing::FleetViewPtr view,
                           const routing::RequestFacts& facts,
                           std::span<const ServerId> tried, Pick& pick,
                           std::int64_t tokens, routing::AttemptOutcome outcome,
                           const ServerId& server,
                           std::span<const routing::CacheEvent> events) {
  chooser.SetFleet(now, view);
  { chooser.Choose(now, facts, tried) } -> std::same_as<std::optional<Pick>>;
  chooser.Progress(now, pick, tokens);
  chooser.End(now, pick, outcome);
  chooser.OnCacheEvents(server, events);
};

enum class Baseline { kRandom, kRoundRobin, kLeastReported, kTwoChoices };

/** The baselines that figwell is compared with; they use reports only. */
class BaselineChooser {
 public:
  BaselineChooser(Baseline kind, std::uint64_t seed)
      : kind_(kind), random_(seed) {}

  void SetFleet(TimePoint, routing::FleetViewPtr view) {
    view_ = std::move(view);
  }
  std::optional<Pick> Choose(TimePoint, const routing::RequestFacts& facts,
                             std::span<const ServerId> tried);
  void Progress(TimePoint, Pick&, std::int64_t) {}
  void End(TimePoint, const Pick&, routing::AttemptOutcome) {}
  void OnCacheEvents(const ServerId&, std::span<const routing::CacheEvent>) {}

 private:
  routing::ServerIndex Select(const std::vector<routing::ServerIndex>& usable);
  std::int64_t LoadOf(routing::ServerIndex server) const {
    return view_->Servers()[server].outstanding_tokens;
  }

  Baseline kind_;
  Random random_;
  std::uint64_t next_turn_ = 0;
  routing::FleetViewPtr view_;
};

/** figwell's Balancer with its default policy, or with a variant of it. */
class FigwellChooser {
 public:
  FigwellChooser(const DomainId& domain, std::uint64_t seed,
                 const routing::BalancerPolicy& policy)
      : balancer_(std::make_unique<routing::Balancer>(domain, seed, policy)) {}

  void SetFleet(TimePoint now, routing::FleetViewPtr view) {
    balancer_->SetFleet(now, std::move(view));
  }
  std::optional<Pick> Choose(TimePoint now, const routing::RequestFacts& facts,
                             std::span<const ServerId> tried);
  void Progress(TimePoint now, Pick& pick, std::int64_t tokens) {
    balancer_->Progress(now, *pick.choice, tokens);
  }
  void End(TimePoint now, const Pick& pick, routing::AttemptOutcome outcome) {
    balancer_->End(now, *pick.choice, outcome);
  }
  void OnCacheEvents(const ServerId& server,
                     std::span<const routing::CacheEvent> events) {
    balancer_->OnCacheEvents(server, events);
  }

 private:
  std::unique_ptr<routing::Balancer> balancer_;
};

static_assert(Chooser<BaselineChooser>);
static_assert(Chooser<FigwellChooser>);

}  // namespace figwell::bench

#endif  // FIGWELL_BENCHMARK_ROUTING_CHOOSERS_H_
