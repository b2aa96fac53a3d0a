#ifndef FIGWELL_BENCHMARK_ROUTING_SIMULATION_H_
#define FIGWELL_BENCHMARK_ROUTING_SIMULATION_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

#include "choosers.h"
#include "engine_model.h"
#include "workload.h"

namespace figwell::bench {

struct Plan {
  UserSize size;
  /** The age of reports in use is between half of this and all of it. */
  Duration max_report_age = std::chrono::seconds(1);
  Duration length = std::chrono::seconds(60);
  std::uint64_t seed = 1;
  /** Every other server dies at this time. */
  std::optional<Duration> half_dies_at;
  double retry_fraction = routing::RetryBudget::kDefaultFraction;
  std::int64_t retry_reserve = routing::RetryBudget::kDefaultReserve;
};

struct Tally {
  std::uint64_t requests = 0;
  std::uint64_t attained = 0;

  double AttainedFraction() const {
    return requests == 0
               ? 0
               : static_cast<double>(attained) / static_cast<double>(requests);
  }
};

/** Counts in one second of a run. */
struct Second {
  std::uint64_t new_requests = 0;
  std::uint64_t attempts = 0;
  std::uint64_t failed = 0;
};

struct Outcome {
  Tally all;
  std::vector<Tally> teams;
  std::uint64_t lookups = 0;
  std::uint64_t hits = 0;
  std::vector<Second> seconds;
  std::vector<Duration> first_tokens;
  double accelerator_seconds = 0;

  double MinTeamAttainedFraction() const;
  double HitRate() const;
  double AttainedPerAcceleratorSecond() const;
  /** The 95th percentile of the time to the first token. */
  Duration FirstTokenP95();
};

/** One run in virtual time of gateways with choosers and engine models. */
template <Chooser C>
class Simulation {
 public:
  Simulation(const Plan& plan, std::vector<C> choosers);

  Outcome Run();

 private:
  struct Event {
    enum class Type { kStepEnd, kReports, kHalfDies };
    TimePoint at;
    Type type = Type::kStepEnd;
    std::size_t index = 0;
    bool operator>(const Event& other) const { return at > other.at; }
  };

  struct LiveRequest {
    Request request;
    routing::Exchange exchange;
    std::optional<Pick> pick;
    std::optional<TimePoint> first_token;
  };

  /**
   * A gateway's retry budget, and the reports and cache events that it has
   * requested but not received yet.
   */
  struct Gateway {
    explicit Gateway(const Plan& plan)
        : budget(plan.retry_fraction, plan.retry_reserve) {}
    routing::FleetViewPtr pending_view;
    std::vector<std::size_t> feed_begin;
    std::vector<std::size_t> pending_feed_end;
    routing::RetryBudget budget;
  };

  void Handle(const Event& event);
  void DeliverReports(std::size_t gateway);
  routing::FleetViewPtr CollectReports();
  void Arrive(const Request& request);
  void Send(std::uint32_t id);
  void OnAttemptBroken(std::uint32_t id, routing::ExchangeStage stage);
  void StartEngineStep(std::size_t server);
  void OnStepEnd(std::size_t server);
  void Finish(LiveRequest& live, bool complete);
  void HalfDies();
  bool IsMeasured(const LiveRequest& live) const {
    return live.request.arrived_at >= start_ + kWarmUp;
  }
  Second& SecondOf(TimePoint when) {
    const auto index = static_cast<std::size_t>(
        std::max<std::int64_t>(0, (when - start_) / std::chrono::seconds(1)));
    outcome_.seconds.resize(std::max(outcome_.seconds.size(), index + 1));
    return outcome_.seconds[index];
  }

  static constexpr Duration kWarmUp = std::chrono::seconds(10);
  static constexpr Duration kDeadline = std::chrono::seconds(30);
  static constexpr Duration kMaxTimeToFirstToken = std::chrono::seconds(1);
  static constexpr Duration kMaxMeanTokenInterval =
      std::chrono::milliseconds(45);
  /** Percentage of the batches of cache events that are lost. */
  static constexpr std::uint64_t kLostFeedsPercent = 5;

  Plan plan_;
  Workload workload_;
  Random random_;
  std::vector<C> choosers_;
  std::deque<Gateway> gateways_;
  std::vector<EngineModel> engines_;
  std::vector<bool> dead_;
  std::vector<ServerId> server_ids_;
  std::vector<std::vector<routing::CacheEvent>> cache_feeds_;
  routing::FleetStatus updates_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<std::uint32_t, LiveRequest> live_requests_;
  std::uint32_t last_id_ = 0;
  TimePoint start_;
  TimePoint now_;
  Outcome outcome_;
};

template <Chooser C>
Simulation<C>::Simulation(const Plan& plan, std::vector<C> choosers)
    : plan_(plan),
      workload_(plan.size, plan.seed),
      random_(plan.seed),
      choosers_(std::move(choosers)),
      engines_(workload_.Servers(), EngineModel(EngineParameters())),
      dead_(workload_.Servers()),
      cache_feeds_(workload_.Servers()),
      start_(std::chrono::seconds(1000)),
      now_(start_) {
  for (const auto& [id, server] : workload_.Configuration().servers) {
    server_ids_.push_back(id);
  }
  outcome_.teams.resize(static_cast<std::size_t>(plan.size.teams));
  outcome_.accelerator_seconds =
      static_cast<double>(workload_.Servers()) *
      EngineParameters().accelerators *
      static_cast<double>((plan.length - kWarmUp) / std::chrono::seconds(1));
}

template <Chooser C>
Outcome Simulation<C>::Run() {
  const Duration interval = plan_.max_report_age / 2;
  for (std::size_t i = 0; i < choosers_.size(); ++i) {
    gateways_.emplace_back(plan_);
    gateways_[i].feed_begin.resize(engines_.size());
    gateways_[i].pending_feed_end.resize(engines_.size());
    DeliverReports(i);
    events_.push(
        {start_ + interval * i / choosers_.size(), Event::Type::kReports, i});
  }
  if (plan_.half_dies_at) {
    events_.push({start_ + *plan_.half_dies_at, Event::Type::kHalfDies, 0});
  }
  Request next = workload_.Next();
  while (next.arrived_at < start_ + plan_.length || !live_requests_.empty()) {
    const bool arrives = next.arrived_at < start_ + plan_.length &&
                         next.arrived_at <= events_.top().at;
    if (arrives) {
      now_ = next.arrived_at;
      Arrive(next);
      next = workload_.Next();
    } else {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      Handle(event);
    }
  }
  for (const EngineModel& engine : engines_) {
    outcome_.lookups += engine.Lookups();
    outcome_.hits += engine.Hits();
  }
  return outcome_;
}

template <Chooser C>
void Simulation<C>::Handle(const Event& event) {
  switch (event.type) {
    case Event::Type::kStepEnd:
      OnStepEnd(event.index);
      return;
    case Event::Type::kReports:
      DeliverReports(event.index);
      events_.push({now_ + plan_.max_report_age / 2, event.type, event.index});
      return;
    case Event::Type::kHalfDies:
      HalfDies();
      return;
  }
}

template <Chooser C>
routing::FleetViewPtr Simulation<C>::CollectReports() {
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (dead_[i]) {
      continue;  // the last report stays in use
    }
    routing::ServerReport& report = updates_.reports[server_ids_[i]];
    report.incarnation = std::string(1, '1');
    report.measured_at = now_;
    report.outstanding_tokens = engines_[i].OutstandingTokens();
    report.ready = workload_.ReadyAt(i);
    const auto events = engines_[i].TakeCacheEvents();
    cache_feeds_[i].insert(cache_feeds_[i].end(), events.begin(), events.end());
  }
  return std::make_shared<const routing::FleetView>(workload_.Configuration(),
                                                    updates_);
}

template <Chooser C>
void Simulation<C>::DeliverReports(std::size_t index) {
  Gateway& gateway = gateways_[index];
  if (gateway.pending_view == nullptr) {
    gateway.pending_view = CollectReports();
  }
  choosers_[index].SetFleet(now_, gateway.pending_view);
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    const std::span<const routing::CacheEvent> feed(cache_feeds_[i]);
    const std::size_t from = gateway.feed_begin[i];
    if (random_.Below(100) >= kLostFeedsPercent) {
      choosers_[index].OnCacheEvents(
          server_ids_[i],
          feed.subspan(from, gateway.pending_feed_end[i] - from));
    }
    gateway.feed_begin[i] = gateway.pending_feed_end[i];
  }
  gateway.pending_view = CollectReports();
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    gateway.pending_feed_end[i] = cache_feeds_[i].size();
  }
}

template <Chooser C>
void Simulation<C>::Arrive(const Request& request) {
  const std::uint32_t id = ++last_id_;
  const routing::RouteTraits traits{true, request.streamed, request.streamed,
                                    true};
  live_requests_.emplace(
      id, LiveRequest{request,
                      routing::Exchange(RequestId{std::to_string(id)}, traits,
                                        now_ + kDeadline),
                      std::nullopt, std::nullopt});
  gateways_[request.gateway].budget.OnFreshRequest();
  ++SecondOf(now_).new_requests;
  Send(id);
}

template <Chooser C>
void Simulation<C>::Send(std::uint32_t id) {
  LiveRequest& live = live_requests_.at(id);
  C& chooser = choosers_[live.request.gateway];
  live.pick =
      chooser.Choose(now_, live.request.facts, live.exchange.TriedServers());
  if (!live.pick) {
    Finish(live, false);
    live_requests_.erase(id);
    return;
  }
  const std::size_t server = live.pick->server;
  live.exchange.Begin(server_ids_[server]);
  ++SecondOf(now_).attempts;
  if (dead_[server]) {
    OnAttemptBroken(id, routing::ExchangeStage::kConnect);
    return;
  }
  live.exchange.OnWriteStarted();
  const Request& request = live.request;
  engines_[server].Add({id, request.facts.prefix, request.prefix_tokens,
                        request.prompt_tokens, request.output_tokens,
                        request.max_output_tokens});
  StartEngineStep(server);
}

template <Chooser C>
void Simulation<C>::OnAttemptBroken(std::uint32_t id,
                                    routing::ExchangeStage stage) {
  LiveRequest& live = live_requests_.at(id);
  const bool connected = stage != routing::ExchangeStage::kConnect;
  choosers_[live.request.gateway].End(
      now_, *live.pick,
      connected ? routing::AttemptOutcome::kBroken
                : routing::AttemptOutcome::kConnectFailed);
  routing::RetryBudget& budget = gateways_[live.request.gateway].budget;
  routing::RetryReason reason = connected
                                    ? routing::RetryReason::kConnectionLost
                                    : routing::RetryReason::kConnectFailed;
  routing::ExchangeDecision decision =
      live.exchange.OnBreak(now_, stage, reason, budget);
  while (decision.action == routing::ExchangeAction::kResume) {
    // The server is dead: each attempt to resume fails to connect.
    live.exchange.Begin(server_ids_[live.pick->server]);
    ++SecondOf(now_).attempts;
    decision =
        live.exchange.OnBreak(now_, routing::ExchangeStage::kConnect,
                              routing::RetryReason::kConnectFailed, budget);
  }
  if (decision.action == routing::ExchangeAction::kRetry) {
    Send(id);
    return;
  }
  Finish(live, false);
  live_requests_.erase(id);
}

template <Chooser C>
void Simulation<C>::StartEngineStep(std::size_t server) {
  if (const auto end = engines_[server].StartStep(now_)) {
    events_.push({*end, Event::Type::kStepEnd, server});
  }
}

template <Chooser C>
void Simulation<C>::OnStepEnd(std::size_t server) {
  if (dead_[server]) {
    return;
  }
  for (const JobEvent& event : engines_[server].EndStep()) {
    const auto found = live_requests_.find(event.request);
    LiveRequest& live = found->second;
    C& chooser = choosers_[live.request.gateway];
    if (event.type == JobEvent::Type::kFirstToken) {
      live.first_token = now_;
      if (live.request.streamed) {
        live.exchange.OnRelayStarted();
      }
      chooser.Progress(now_, *live.pick, live.request.prompt_tokens);
    } else {
      chooser.End(now_, *live.pick, routing::AttemptOutcome::kSuccess);
      Finish(live, true);
      live_requests_.erase(found);
    }
  }
  StartEngineStep(server);
}

template <Chooser C>
void Simulation<C>::Finish(LiveRequest& live, bool complete) {
  if (!complete) {
    ++SecondOf(now_).failed;
  }
  if (!IsMeasured(live)) {
    return;
  }
  Tally& team = outcome_.teams[live.request.team];
  ++team.requests;
  ++outcome_.all.requests;
  if (!complete) {
    return;
  }
  const Duration first = *live.first_token - live.request.arrived_at;
  const Duration rest = now_ - *live.first_token;
  outcome_.first_tokens.push_back(first);
  const bool attained =
      first <= kMaxTimeToFirstToken &&
      rest <= kMaxMeanTokenInterval * (live.request.output_tokens - 1);
  team.attained += attained ? 1 : 0;
  outcome_.all.attained += attained ? 1 : 0;
}

template <Chooser C>
void Simulation<C>::HalfDies() {
  for (std::size_t i = 0; i < engines_.size(); i += 2) {
    dead_[i] = true;
  }
  for (std::size_t i = 0; i < engines_.size(); i += 2) {
    for (const std::uint32_t id : engines_[i].DropAll()) {
      OnAttemptBroken(id, live_requests_.at(id).first_token
                              ? routing::ExchangeStage::kMidAnswer
                              : routing::ExchangeStage::kWritten);
    }
  }
}

}  // namespace figwell::bench

#endif  // FIGWELL_BENCHMARK_ROUTING_SIMULATION_H_
