#include "figwell/serving/balancer.h"

#include <algorithm>
#include <cmath>

#include "balancer_times.h"
#include "figwell/serving/spreading.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

// Engines generate tokens for running requests between the chunks of a prefill.
// This adds a fixed fraction to the prefill time, and a little for each
// request.
constexpr double kGenerationOverhead = 0.1;
constexpr double kGenerationOverheadPerRequest = 0.001;
// Assumed for a server without an engine until its first answer.
constexpr Duration kDefaultServiceTime = milliseconds(40);
// Traffic between failure domains is billed by the byte and adds a round trip.
constexpr Duration kCrossDomainCost = milliseconds(50);
// How long a server's report of its own load is used.
constexpr Duration kReportedLoadLifetime = milliseconds(1'000);
// How long a peer's load report is used: several gossip intervals.
constexpr Duration kPeerLoadLifetime = milliseconds(1'500);
// A server is penalized if its failure ratio exceeds twice the service's median
// by more than this.
constexpr double kFailureRatioMargin = 0.1;
// Cost of a server in backoff or in an unreachable domain, and cost per unit of
// a failure ratio that is too high.
constexpr double kBackoffCostMs = 60'000;
constexpr double kExcessFailureCostMs = 2'000;
// A domain counts as partitioned if this many of its servers cannot be reached
// and none of its servers has answered since the first of them. When no attempt
// has failed for the interval, a request may be sent there to find out whether
// the partition has ended.
constexpr std::size_t kMinServersOfPartition = 3;
constexpr Duration kPartitionProbeInterval = milliseconds(1'000);

// Average age of other instances' load reports: half a reporting interval
// within a domain, more between domains.
constexpr double kLoadReportAgeSeconds = 0.15;

Duration FromMs(double ms) {
  return Duration(static_cast<std::int64_t>(ms * 1000.0));
}

// The lower median; `fallback` if there are no values.
template <typename T>
T Median(std::vector<T> values, T fallback) {
  if (values.empty()) {
    return fallback;
  }
  const auto median =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), median, values.end());
  return *median;
}

// Whether the time of the request depends on an engine's prefill.
bool NeedsEngine(const Catalog& catalog, const RequestNeeds& needs) {
  const ServiceSpec* service = catalog.FindService(needs.service);
  return service != nullptr && service->engine && !needs.target.model.empty();
}

}  // namespace

Duration UnreportedWork(double own_ms_per_second, std::size_t instances) {
  const auto others = static_cast<double>(instances - 1);
  return FromMs(own_ms_per_second * others * kLoadReportAgeSeconds);
}

bool Balancer::Holds(TimePoint now, const BackendServer& server,
                     const ModelTarget& target) const {
  if (target.model.empty()) {
    return true;
  }
  const auto state = servers_.find(server.id);
  const auto announced_presence =
      [&](const ModelTarget& which) -> std::optional<bool> {
    if (state == servers_.end()) {
      return std::nullopt;
    }
    const auto found = state->second.announcements.find(which);
    if (found == state->second.announcements.end() ||
        !OverridesRegistry(now, state->second, found->second)) {
      return std::nullopt;
    }
    return found->second.present;
  };
  const ModelTarget base{target.model, {}};
  if (!announced_presence(base).value_or(server.Holds(base))) {
    return false;
  }
  return target.adapter.empty() ||
         announced_presence(target).value_or(server.Holds(target));
}

bool Balancer::OverridesRegistry(TimePoint now, const ServerState& state,
                                 const Announcement& announcement) const {
  const Duration age = now - announcement.announced_at;
  if (age < registry_lag_ * kAnnouncementRegistryLags) {
    return true;
  }
  // While the store is unreachable, the registry shows an older state.
  const bool confirmed_by_registry =
      state.registry_updated_at >= announcement.announced_at + registry_lag_;
  return !confirmed_by_registry && age < kAnnouncementMaxAge;
}

bool Balancer::AnyServerHolds(TimePoint now, const Directory& directory,
                              const ServiceId& service,
                              const ModelTarget& target,
                              LimitedServers limited_servers) const {
  return std::any_of(directory.entries().begin(), directory.entries().end(),
                     [&](const auto& item) {
                       return (limited_servers == LimitedServers::kInclude ||
                               !limits_.Find(item.first)) &&
                              CanServe(now, directory, item.second.server,
                                       service, target);
                     });
}

double Balancer::MillisecondsPerToken(const ModelId& model) const {
  const auto found = ms_per_token_.find(model);
  return found == ms_per_token_.end() ? kDefaultPrefillMsPerToken
                                      : found->second;
}

PeerLoad Balancer::SumPeerLoads(TimePoint now, const ServerId& server) const {
  PeerLoad sum;
  for (const auto& [peer, state] : peers_) {
    if (state.received_at + kPeerLoadLifetime < now) {
      continue;
    }
    const auto load = state.loads.find(server);
    if (load != state.loads.end()) {
      sum.in_flight += load->second.in_flight;
      sum.prefill_backlog += load->second.prefill_backlog;
    }
  }
  return sum;
}

Choice Balancer::Estimate(TimePoint now, const Catalog& catalog,
                          const BackendServer& server,
                          const RequestNeeds& needs, bool is_preferred,
                          Duration typical_time) {
  ServerState& state = servers_[server.id];
  const PeerLoad peers = SumPeerLoads(now, server.id);
  Choice choice;
  choice.server = server.id;
  choice.started_ms = server.started_ms;
  choice.version = server.version;
  choice.domain = server.domain;
  choice.address = server.address;
  choice.in_flight = state.in_flight + peers.in_flight;
  if (state.reported_load && state.reported_at + kReportedLoadLifetime > now) {
    choice.in_flight =
        std::max(choice.in_flight, state.reported_load->running +
                                       state.reported_load->waiting +
                                       state.sent_since_report);
  }
  choice.pace = paces_.Pace(now, server.id);
  if (NeedsEngine(catalog, needs)) {
    const EngineSpec& engine = *catalog.FindService(needs.service)->engine;
    if (!state.prompt_cache) {
      state.prompt_cache.emplace(engine.cache_tokens);
    }
    choice.cached_tokens = state.prompt_cache->CachedTokens(needs.prefixes);
    if (is_preferred && choice.cached_tokens == 0 &&
        needs.prefixes.size() > 1) {
      // Other instances send this prefix here too, so it counts as cached.
      choice.cached_tokens = needs.prefixes[needs.prefixes.size() - 2].tokens;
    }
    const auto uncached_tokens = static_cast<double>(
        std::max<Tokens>(0, needs.prompt_tokens - choice.cached_tokens));
    const double work_ms =
        choice.pace *
        (uncached_tokens * MillisecondsPerToken(needs.target.model) +
         ToMs(kFirstEventLatency));
    choice.work =
        FromMs(work_ms * (1.0 + kGenerationOverhead +
                          kGenerationOverheadPerRequest * choice.in_flight));
    choice.prefill_backlog = state.prefill_backlog + peers.prefill_backlog;
    choice.wait =
        wait_estimators_[server.service].EstimateWait(choice.prefill_backlog);
    const int excess_requests = choice.in_flight - engine.slots;
    if (excess_requests >= 0) {
      // The batch is full: running requests have to end first.
      choice.wait +=
          (excess_requests + 1) *
          std::max(state.answer_time.learned().value_or(kFirstEventLatency),
                   kFirstEventLatency);
    }
  } else {
    const Duration answer_time =
        FromMs(ToMs(state.answer_time.Expect(now, typical_time)) * choice.pace);
    choice.work = answer_time;
    const int slots = std::max(1, server.slots);
    const int excess_requests = choice.in_flight - slots + 1;
    choice.wait = excess_requests > 0 ? answer_time * excess_requests / slots
                                      : Duration{0};
    // Adds a little for each busy slot, to prefer the less busy of equal
    // servers.
    choice.wait +=
        answer_time * std::min(choice.in_flight, slots) / (10 * slots);
  }
  choice.expected = choice.wait + choice.work;
  return choice;
}

Duration Balancer::TypicalAnswerTime(
    const std::vector<const BackendServer*>& servers) const {
  std::vector<Duration> times;
  for (const BackendServer* server : servers) {
    const auto state = servers_.find(server->id);
    if (state != servers_.end() && state->second.answer_time.learned()) {
      times.push_back(*state->second.answer_time.learned());
    }
  }
  return Median(std::move(times), kDefaultServiceTime);
}

double Balancer::MedianFailureRatio(const Directory& directory,
                                    const ServiceId& service) const {
  std::vector<double> ratios;
  for (const auto& [id, entry] : directory.entries()) {
    const auto state = servers_.find(id);
    if (entry.server.service == service && state != servers_.end()) {
      ratios.push_back(state->second.failure_ratio);
    }
  }
  return Median(std::move(ratios), 0.0);
}

bool Balancer::IsUnreachable(TimePoint now, const DomainId& domain) const {
  const auto found = domains_.find(domain);
  return domain != own_domain_ && found != domains_.end() &&
         found->second.unreachable_servers.size() >= kMinServersOfPartition &&
         now < found->second.last_failure + kPartitionProbeInterval;
}

double Balancer::Penalty(TimePoint now, const ServerState& state,
                         const BackendServer& server,
                         double median_failure_ratio) const {
  double cost = server.domain == own_domain_ ? 0 : ToMs(kCrossDomainCost);
  if (state.backoff_until > now || IsUnreachable(now, server.domain)) {
    cost += kBackoffCostMs;
  }
  const double excess =
      state.failure_ratio - 2 * median_failure_ratio - kFailureRatioMargin;
  if (excess > 0) {
    cost += excess * kExcessFailureCostMs;
  }
  return cost + ToMs(limits_.PermitDelay(now, server.id));
}

const BackendServer* Balancer::PreferredServer(
    const std::vector<const BackendServer*>& candidates,
    const RequestNeeds& needs) const {
  if (needs.prefixes.size() <= 1) {
    return nullptr;
  }
  const std::string key =
      std::to_string(needs.prefixes[needs.prefixes.size() - 2].key);
  const auto is_limited = [&](const BackendServer* server) {
    return limits_.Find(server->id).has_value();
  };
  const bool has_local = std::any_of(
      candidates.begin(), candidates.end(), [&](const auto* server) {
        return server->domain == own_domain_ && !is_limited(server);
      });
  const BackendServer* preferred = nullptr;
  std::uint64_t max_weight = 0;
  for (const BackendServer* server : candidates) {
    if (is_limited(server) || (has_local && server->domain != own_domain_)) {
      continue;
    }
    const std::uint64_t weight = RendezvousWeight(key, server->id.value());
    if (preferred == nullptr || weight > max_weight) {
      preferred = server;
      max_weight = weight;
    }
  }
  return preferred;
}

bool Balancer::CanServe(TimePoint now, const Directory& directory,
                        const BackendServer& server, const ServiceId& service,
                        const ModelTarget& target) const {
  return server.service == service && directory.IsUsable(server) &&
         Holds(now, server, target);
}

bool Balancer::CanTake(TimePoint now, const Directory& directory,
                       const BackendServer& server,
                       const RequestNeeds& needs) const {
  return (!needs.version || server.version == *needs.version) &&
         CanServe(now, directory, server, needs.service, needs.target);
}

bool Balancer::IsSkipped(TimePoint now, const ServerId& server) const {
  const auto state = servers_.find(server);
  if (state == servers_.end()) {
    return false;
  }
  return state->second.paused_until > now ||
         (state->second.resuming && state->second.in_flight > 0);
}

bool Balancer::IsPaused(TimePoint now, const ServerId& server) const {
  const auto state = servers_.find(server);
  return state != servers_.end() && state->second.paused_until > now;
}

std::optional<TimePoint> Balancer::EarliestPauseEnd(
    TimePoint now, const Directory& directory,
    const RequestNeeds& needs) const {
  std::optional<TimePoint> earliest;
  for (const auto& [id, entry] : directory.entries()) {
    // Servers in `needs.tried` count too: a caller that retries may be sent to
    // them.
    if (!CanTake(now, directory, entry.server, needs)) {
      continue;
    }
    if (!IsSkipped(now, id)) {
      return std::nullopt;
    }
    const TimePoint pause_end = std::max(now, servers_.at(id).paused_until);
    earliest = std::min(earliest.value_or(pause_end), pause_end);
  }
  return earliest;
}

std::optional<Choice> Balancer::Choose(TimePoint now, const Catalog& catalog,
                                       const Directory& directory,
                                       const RequestNeeds& needs) {
  std::vector<const BackendServer*> candidates;
  for (const auto& [id, entry] : directory.entries()) {
    const BackendServer& server = entry.server;
    if (!needs.tried.contains(id) && !needs.at_limit.contains(id) &&
        CanTake(now, directory, server, needs) && !IsSkipped(now, id)) {
      candidates.push_back(&server);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const BackendServer* preferred = PreferredServer(candidates, needs);
  const double median_failure_ratio =
      MedianFailureRatio(directory, needs.service);
  const Duration typical_time =
      NeedsEngine(catalog, needs) ? Duration{0} : TypicalAnswerTime(candidates);
  std::vector<Choice> choices;
  std::vector<double> costs;
  choices.reserve(candidates.size());
  costs.reserve(candidates.size());
  for (const BackendServer* server : candidates) {
    choices.push_back(Estimate(now, catalog, *server, needs,
                               server == preferred, typical_time));
    costs.push_back(
        ToMs(choices.back().expected) +
        Penalty(now, servers_[server->id], *server, median_failure_ratio));
  }
  const std::size_t drawn =
      DrawServer(costs, ToMs(needs.unreported_work), random_.Unit());
  Choice& choice = choices[drawn];
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!limits_.Find(candidates[i]->id)) {
      const Duration excess = FromMs(std::max(0.0, costs[i] - costs[drawn]));
      choice.unlimited_excess =
          std::min(choice.unlimited_excess.value_or(excess), excess);
    }
  }
  return choice;
}

}  // namespace figwell::serving
