#include <algorithm>

#include "balancer_times.h"
#include "figwell/serving/balancer.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

// Smoothing factors for measured prefill times per token that are below and
// above the current value, and the maximum ratio of a sample to that value.
constexpr double kSpeedSmoothingDown = 0.3;
constexpr double kSpeedSmoothingUp = 0.03;
constexpr double kMaxSampleRatio = 2.0;
// A first event measures the prefill speed only if the estimate had next to
// nothing ahead of the request.
constexpr Duration kMaxSampledWait = milliseconds(20);
constexpr int kMaxSampledInFlight = 4;
// Backoff after a broken attempt or a failed connection; it doubles with each
// consecutive failure.
constexpr Duration kInitialBackoff = milliseconds(500);
constexpr int kMaxBackoffDoublings = 3;
constexpr double kFailureRatioSmoothing = 0.1;
// What a server whose entry was removed has asked for is kept for this long:
// the entry may have lapsed, and return.
constexpr Duration kGoneServerRetention = std::chrono::minutes(10);
// Instances resume sending to a server at a random time after its pause: within
// this fraction of the pause, and within the maximum.
constexpr double kPauseJitterFraction = 0.1;
constexpr Duration kMaxPauseJitter = milliseconds(500);

}  // namespace

std::string_view Name(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kShed:
      return "shed";
    case AttemptEnd::kBroken:
      return "broken";
    case AttemptEnd::kUnreachable:
      return "unreachable";
    case AttemptEnd::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

void Balancer::UpdateReachability(TimePoint now, const Attempt& attempt,
                                  AttemptEnd end) {
  if (end == AttemptEnd::kAbandoned) {
    return;
  }
  DomainReachability& domain = domains_[attempt.domain];
  if (end == AttemptEnd::kUnreachable) {
    domain.unreachable_servers.insert(attempt.server);
    domain.last_failure = now;
  } else if (end != AttemptEnd::kBroken) {
    domain.unreachable_servers.clear();
  }
}

AttemptNumber Balancer::OnSent(TimePoint now, const Choice& choice,
                               const RequestNeeds& needs) {
  const AttemptNumber number = next_attempt_++;
  ServerState& state = servers_[choice.server];
  ++state.in_flight;
  ++state.sent_since_report;
  state.prefill_backlog += choice.work;
  Attempt attempt;
  attempt.server = choice.server;
  attempt.domain = choice.domain;
  attempt.target = needs.target;
  attempt.work = choice.work;
  attempt.service = needs.service;
  attempt.wait_at_send = choice.wait;
  attempt.backlog_at_send = choice.prefill_backlog;
  attempt.in_flight_at_send = choice.in_flight;
  attempt.uncached_tokens =
      std::max<Tokens>(0, needs.prompt_tokens - choice.cached_tokens);
  attempt.pace = choice.pace;
  attempt.sent = now;
  attempt.prefixes = needs.prefixes;
  if (state.prompt_cache) {
    state.prompt_cache->RecordPrefill(needs.prefixes);
  }
  attempts_.emplace(number, std::move(attempt));
  return number;
}

void Balancer::UpdatePrefillSpeed(TimePoint now, const Attempt& attempt) {
  constexpr Tokens kMinSampledTokens = 300;
  if (attempt.target.model.empty() || attempt.wait_at_send > kMaxSampledWait ||
      attempt.in_flight_at_send > kMaxSampledInFlight ||
      attempt.uncached_tokens < kMinSampledTokens) {
    return;
  }
  const double sample = std::max(0.0, ToMs(now - attempt.sent) / attempt.pace -
                                          ToMs(kFirstEventLatency)) /
                        static_cast<double>(attempt.uncached_tokens);
  double& ms_per_token =
      ms_per_token_.try_emplace(attempt.target.model, kDefaultPrefillMsPerToken)
          .first->second;
  // Load that this instance does not know of only makes samples larger, so
  // larger samples have less weight.
  const double bounded = std::min(sample, ms_per_token * kMaxSampleRatio);
  ms_per_token +=
      (bounded < ms_per_token ? kSpeedSmoothingDown : kSpeedSmoothingUp) *
      (bounded - ms_per_token);
}

void Balancer::OnFirstByte(TimePoint now, AttemptNumber number) {
  const auto found = attempts_.find(number);
  if (found == attempts_.end() || !found->second.awaiting_first_event) {
    return;
  }
  Attempt& attempt = found->second;
  attempt.awaiting_first_event = false;
  domains_[attempt.domain].unreachable_servers.clear();
  ServerState& state = servers_[attempt.server];
  state.prefill_backlog =
      std::max(Duration{0}, state.prefill_backlog - attempt.work);
  state.consecutive_failures = 0;
  state.backoff_until = TimePoint{};
  state.resuming = state.resuming && state.paused_until > now;
  wait_estimators_[attempt.service].OnFirstEvent(
      attempt.backlog_at_send, now - attempt.sent - attempt.work);
  UpdatePrefillSpeed(now, attempt);
}

void Balancer::OnEnd(TimePoint now, AttemptNumber number, AttemptEnd end) {
  const auto found = attempts_.find(number);
  if (found == attempts_.end()) {
    return;
  }
  const Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  UpdateReachability(now, attempt, end);
  const auto server = servers_.find(attempt.server);
  if (server == servers_.end()) {
    return;
  }
  ServerState& state = server->second;
  state.in_flight = std::max(0, state.in_flight - 1);
  if (attempt.awaiting_first_event) {
    state.prefill_backlog =
        std::max(Duration{0}, state.prefill_backlog - attempt.work);
  }
  if (end == AttemptEnd::kAbandoned) {
    return;
  }
  const bool failed = end != AttemptEnd::kAnswered;
  state.failure_ratio +=
      kFailureRatioSmoothing * ((failed ? 1.0 : 0.0) - state.failure_ratio);
  if (end == AttemptEnd::kBroken || end == AttemptEnd::kUnreachable) {
    const int doublings =
        std::min(state.consecutive_failures, kMaxBackoffDoublings);
    state.backoff_until = now + kInitialBackoff * (1 << doublings);
    ++state.consecutive_failures;
    return;
  }
  state.consecutive_failures = 0;
  if (end == AttemptEnd::kAnswered) {
    state.resuming = state.resuming && state.paused_until > now;
    state.answer_time.OnAnswer(
        now,
        Duration(static_cast<std::int64_t>(
            static_cast<double>((now - attempt.sent).count()) / attempt.pace)));
  }
}

void Balancer::OnPauseRequested(TimePoint now, const ServerId& server,
                                Duration pause) {
  const Duration max_jitter =
      std::min(kMaxPauseJitter,
               Duration(static_cast<std::int64_t>(
                   kPauseJitterFraction * static_cast<double>(pause.count()))));
  const Duration jitter(static_cast<std::int64_t>(
      random_.Unit() * static_cast<double>(max_jitter.count())));
  ServerState& state = servers_[server];
  state.paused_until = std::max(state.paused_until, now + pause + jitter);
  state.resuming = true;
}

std::optional<double> Balancer::OnReportedLoad(TimePoint now,
                                               const ServiceId& service,
                                               const ServerId& server,
                                               const ReportedLoad& load) {
  ServerState& state = servers_[server];
  state.reported_load = load;
  state.reported_at = now;
  state.sent_since_report = 0;
  return load.pace ? paces_.OnStated(now, service, server, *load.pace)
                   : std::nullopt;
}

void Balancer::OnPeerLoads(TimePoint now, const InstanceId& peer,
                           const std::map<ServerId, PeerLoad>& loads,
                           bool replace) {
  PeerState& state = peers_[peer];
  state.received_at = now;
  if (replace) {
    state.loads = loads;
    return;
  }
  for (const auto& [server, load] : loads) {
    state.loads[server] = load;
  }
}

void Balancer::OnPlacementAnnounced(TimePoint now, const ServerId& server,
                                    const ModelTarget& target, bool present) {
  ServerState& state = servers_[server];
  state.announcements[target] = {present, now};
  std::erase_if(state.announcements, [&](const auto& item) {
    return now - item.second.announced_at >= kAnnouncementMaxAge;
  });
}

void Balancer::OnRegistryUpdate(TimePoint now, const ServerId& server) {
  const auto found = servers_.find(server);
  if (found != servers_.end()) {
    found->second.registry_updated_at = now;
  }
}

void Balancer::OnServerGone(TimePoint now, const ServerId& server) {
  std::vector<ServerId> forgotten;
  for (const auto& [id, gone_at] : gone_) {
    if (now - gone_at >= kGoneServerRetention) {
      forgotten.push_back(id);
    }
  }
  for (const ServerId& id : forgotten) {
    RemoveServer(id);
  }
  const auto found = servers_.find(server);
  const bool paused = found != servers_.end() && found->second.resuming;
  if (!paused && !limits_.Find(server)) {
    RemoveServer(server);
    return;
  }
  ServerState kept;
  if (paused) {
    kept.paused_until = found->second.paused_until;
    kept.resuming = true;
  }
  servers_[server] = kept;
  gone_[server] = now;
  RemoveAttempts(server);
}

void Balancer::RemoveServer(const ServerId& server) {
  gone_.erase(server);
  servers_.erase(server);
  limits_.RemoveServer(server);
  paces_.RemoveServer(server);
  RemoveAttempts(server);
}

void Balancer::RemoveAttempts(const ServerId& server) {
  std::erase_if(attempts_,
                [&](const auto& item) { return item.second.server == server; });
}

std::map<ServerId, PeerLoad> Balancer::OwnLoads() const {
  std::map<ServerId, PeerLoad> loads;
  for (const auto& [id, state] : servers_) {
    if (state.in_flight > 0) {
      loads.emplace(id, PeerLoad{state.in_flight, state.prefill_backlog});
    }
  }
  return loads;
}

}  // namespace figwell::serving
