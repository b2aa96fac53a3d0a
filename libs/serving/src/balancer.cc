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
constexpr double kGenerationShare = 0.1;
constexpr double kCrowding = 0.001;
// Assumed for a server without an engine until its first answer.
constexpr Duration kDefaultServiceTime = milliseconds(40);
// Traffic between failure domains is billed by the byte and adds a round trip.
constexpr Duration kOtherDomainCost = milliseconds(50);
// How long a server's report of its own load is used.
constexpr Duration kReportLifetime = milliseconds(1'000);
// How long a peer's load report is used: several gossip intervals.
constexpr Duration kPeerLifetime = milliseconds(1'500);
// A server is penalized if its failure ratio exceeds twice the service's median
// by more than this.
constexpr double kFailureMargin = 0.1;
// Cost of a server in backoff or in an unreachable domain, and cost per unit of
// a failure ratio that is too high.
constexpr double kAvoidedCostMs = 60'000;
constexpr double kFailureCostMs = 2'000;
// A domain counts as partitioned if this many of its servers cannot be reached
// and none of its servers has answered since the first of them. When no attempt
// has failed for the interval, a request may be sent there to find out whether
// the partition has ended.
constexpr std::size_t kUnreachedServers = 3;
constexpr Duration kPartitionDoubt = milliseconds(1'000);

// Average age of other instances' load reports: half a reporting interval
// within a domain, more between domains.
constexpr double kNewsAgeSeconds = 0.15;

Duration FromMs(double ms) {
  return Duration(static_cast<std::int64_t>(ms * 1000.0));
}

}  // namespace

Duration UnreportedWork(double own_ms_per_second, std::size_t instances) {
  const auto others = static_cast<double>(instances - 1);
  return FromMs(own_ms_per_second * others * kNewsAgeSeconds);
}

bool Balancer::Holds(TimePoint now, const BackendServer& server,
                     const ModelTarget& target) const {
  if (target.model.empty()) {
    return true;
  }
  const auto state = servers_.find(server.id);
  const auto announced = [&](const ModelTarget& which) -> std::optional<bool> {
    if (state == servers_.end()) {
      return std::nullopt;
    }
    const auto found = state->second.announced.find(which);
    if (found == state->second.announced.end() ||
        !Prevails(now, state->second, found->second)) {
      return std::nullopt;
    }
    return found->second.present;
  };
  const ModelTarget base{target.model, {}};
  if (!announced(base).value_or(server.Holds(base))) {
    return false;
  }
  return target.adapter.empty() ||
         announced(target).value_or(server.Holds(target));
}

bool Balancer::Prevails(TimePoint now, const ServerState& state,
                        const Announced& announced) const {
  const Duration age = now - announced.since;
  if (age < registry_lag_ * kAnnouncementLags) {
    return true;
  }
  // While the store is unreachable, the registry shows an older state.
  const bool registered_since =
      state.registered >= announced.since + registry_lag_;
  return !registered_since && age < kLongestAnnouncement;
}

bool Balancer::AnyServerHolds(TimePoint now, const Directory& directory,
                              const ServiceId& service,
                              const ModelTarget& target) const {
  return std::any_of(directory.entries().begin(), directory.entries().end(),
                     [&](const auto& item) {
                       return Serves(now, item.second.server, service, target);
                     });
}

double Balancer::MillisecondsPerToken(const ModelId& model) const {
  const auto found = ms_per_token_.find(model);
  return found == ms_per_token_.end() ? kDefaultMsPerToken : found->second;
}

PeerLoad Balancer::LoadOfPeers(TimePoint now, const ServerId& server) const {
  PeerLoad sum;
  for (const auto& [peer, state] : peers_) {
    if (state.heard + kPeerLifetime < now) {
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
                          const RequestNeeds& needs, bool home) {
  ServerState& state = servers_[server.id];
  const PeerLoad peers = LoadOfPeers(now, server.id);
  Choice choice;
  choice.server = server.id;
  choice.started_ms = server.started_ms;
  choice.domain = server.domain;
  choice.address = server.address;
  choice.in_flight = state.in_flight + peers.in_flight;
  if (state.reported && state.reported_at + kReportLifetime > now) {
    choice.in_flight = std::max(choice.in_flight, state.reported->running +
                                                      state.reported->waiting +
                                                      state.sent_since_report);
  }
  const ServiceSpec* service = catalog.FindService(server.service);
  if (service != nullptr && service->engine && !needs.target.model.empty()) {
    if (!state.cached) {
      state.cached.emplace(service->engine->cache_tokens);
    }
    choice.cached_tokens = state.cached->CachedTokens(needs.prefixes);
    if (home && choice.cached_tokens == 0 && needs.prefixes.size() > 1) {
      // Other instances send this prefix here too, so it counts as cached.
      choice.cached_tokens = needs.prefixes[needs.prefixes.size() - 2].tokens;
    }
    const auto prefill_backlog = static_cast<double>(
        std::max<Tokens>(0, needs.prompt_tokens - choice.cached_tokens));
    const double work =
        prefill_backlog * MillisecondsPerToken(needs.target.model) +
        ToMs(kFirstEventBase);
    choice.work =
        FromMs(work * (1.0 + kGenerationShare + kCrowding * choice.in_flight));
    choice.prefill_backlog = state.prefill_backlog + peers.prefill_backlog;
    choice.wait = wait_scales_[server.service].Wait(choice.prefill_backlog);
    const int over = choice.in_flight - service->engine->slots;
    if (over >= 0) {
      // The batch is full: running requests have to end first.
      choice.wait += (over + 1) * std::max(state.service_time, kFirstEventBase);
    }
  } else {
    const Duration usual = state.service_time.count() > 0 ? state.service_time
                                                          : kDefaultServiceTime;
    choice.work = usual;
    const int slots = std::max(1, server.slots);
    const int over = choice.in_flight - slots + 1;
    choice.wait = over > 0 ? usual * over / slots : Duration{0};
    // Adds a little for each busy slot, to prefer the less busy of equal
    // servers.
    choice.wait += usual * std::min(choice.in_flight, slots) / (10 * slots);
  }
  choice.expected = choice.wait + choice.work;
  return choice;
}

double Balancer::UsualFailures(const Directory& directory,
                               const ServiceId& service) const {
  std::vector<double> shares;
  for (const auto& [id, entry] : directory.entries()) {
    const auto state = servers_.find(id);
    if (entry.server.service == service && state != servers_.end()) {
      shares.push_back(state->second.failure_share);
    }
  }
  if (shares.empty()) {
    return 0;
  }
  const auto middle =
      shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
  std::nth_element(shares.begin(), middle, shares.end());
  return *middle;
}

bool Balancer::IsCutOff(TimePoint now, const DomainId& domain) const {
  const auto found = domains_.find(domain);
  return domain != own_domain_ && found != domains_.end() &&
         found->second.unreached.size() >= kUnreachedServers &&
         now < found->second.last_failure + kPartitionDoubt;
}

double Balancer::Penalty(TimePoint now, const ServerState& state,
                         const BackendServer& server,
                         double usual_failures) const {
  double cost = server.domain == own_domain_ ? 0 : ToMs(kOtherDomainCost);
  if (state.avoid_until > now || IsCutOff(now, server.domain)) {
    cost += kAvoidedCostMs;
  }
  const double excess =
      state.failure_share - 2 * usual_failures - kFailureMargin;
  if (excess > 0) {
    cost += excess * kFailureCostMs;
  }
  return cost;
}

const BackendServer* Balancer::Home(
    const std::vector<const BackendServer*>& candidates,
    const RequestNeeds& needs) const {
  if (needs.prefixes.size() <= 1) {
    return nullptr;
  }
  const std::string key =
      std::to_string(needs.prefixes[needs.prefixes.size() - 2].key);
  const bool near = std::any_of(
      candidates.begin(), candidates.end(),
      [&](const auto* server) { return server->domain == own_domain_; });
  const BackendServer* home = nullptr;
  std::uint64_t heaviest = 0;
  for (const BackendServer* server : candidates) {
    if (near && server->domain != own_domain_) {
      continue;
    }
    const std::uint64_t weight = RendezvousWeight(key, server->id.value());
    if (home == nullptr || weight > heaviest) {
      home = server;
      heaviest = weight;
    }
  }
  return home;
}

bool Balancer::Serves(TimePoint now, const BackendServer& server,
                      const ServiceId& service,
                      const ModelTarget& target) const {
  return server.service == service && !server.draining &&
         Holds(now, server, target);
}

bool Balancer::IsPassedBy(TimePoint now, const ServerId& server) const {
  const auto state = servers_.find(server);
  if (state == servers_.end()) {
    return false;
  }
  return state->second.paused_until > now ||
         (state->second.returning && state->second.in_flight > 0);
}

bool Balancer::IsPaused(TimePoint now, const ServerId& server) const {
  const auto state = servers_.find(server);
  return state != servers_.end() && state->second.paused_until > now;
}

std::optional<TimePoint> Balancer::EarliestPauseEnd(
    TimePoint now, const Directory& directory,
    const RequestNeeds& needs) const {
  std::optional<TimePoint> first;
  for (const auto& [id, entry] : directory.entries()) {
    // Servers in `needs.tried` count too: a caller that retries may be sent to
    // them.
    if (!Serves(now, entry.server, needs.service, needs.target)) {
      continue;
    }
    if (!IsPassedBy(now, id)) {
      return std::nullopt;
    }
    const TimePoint free = std::max(now, servers_.at(id).paused_until);
    first = std::min(first.value_or(free), free);
  }
  return first;
}

std::optional<Choice> Balancer::Choose(TimePoint now, const Catalog& catalog,
                                       const Directory& directory,
                                       const RequestNeeds& needs) {
  std::vector<const BackendServer*> candidates;
  for (const auto& [id, entry] : directory.entries()) {
    const BackendServer& server = entry.server;
    if (!needs.tried.contains(id) &&
        Serves(now, server, needs.service, needs.target) &&
        !IsPassedBy(now, id)) {
      candidates.push_back(&server);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const BackendServer* home = Home(candidates, needs);
  const double usual = UsualFailures(directory, needs.service);
  std::vector<Choice> choices;
  std::vector<double> costs;
  choices.reserve(candidates.size());
  costs.reserve(candidates.size());
  for (const BackendServer* server : candidates) {
    choices.push_back(Estimate(now, catalog, *server, needs, server == home));
    costs.push_back(ToMs(choices.back().expected) +
                    Penalty(now, servers_[server->id], *server, usual));
  }
  return choices[DrawServer(costs, ToMs(needs.unreported_work),
                            random_.Unit())];
}

}  // namespace figwell::serving
