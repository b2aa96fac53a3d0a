#include "figwell/serving/balancer.h"

#include <algorithm>
#include <cmath>

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

// Reading speed that is assumed of a model until its first measurement.
constexpr double kDefaultMsPerToken = 0.05;
constexpr double kPaceSmoothing = 0.3;
constexpr double kPaceSmoothingUp = 0.03;
constexpr double kLargestSample = 2.0;
// A first event is a measure of the reading speed only if the estimate had
// next to nothing ahead of the request.
constexpr Duration kIdleWait = milliseconds(20);
constexpr int kIdleInFlight = 4;
// Time from a prompt's last token to the first event, without other work.
constexpr Duration kFirstEventBase = milliseconds(25);
// Tokens of running requests are generated between the pieces of a prompt:
// a fixed part of the reading time, and a little for each of them.
constexpr double kGenerationShare = 0.1;
constexpr double kCrowding = 0.001;
// Assumed of a plain server until its first answer.
constexpr Duration kDefaultServiceTime = milliseconds(40);
constexpr double kServiceTimeSmoothing = 0.1;
// Crossing failure domains costs bytes that are priced and a round trip.
constexpr Duration kOtherDomainCost = milliseconds(50);
// A server's own word on its load holds for so long.
constexpr Duration kReportLifetime = milliseconds(1'000);
// A peer's word holds for some gossip intervals.
constexpr Duration kPeerLifetime = milliseconds(1'500);
// A server that fails is tried again after this, doubled with each failure.
constexpr Duration kFirstAvoidance = milliseconds(500);
constexpr int kMostDoublings = 3;
constexpr double kFailureSmoothing = 0.1;
// Failures beyond twice the service's usual share and this mark a server.
constexpr double kFailureMargin = 0.1;
// Cost of a server that fails at once, and of one that fails often.
constexpr double kAvoidedCostMs = 60'000;
constexpr double kFailureCostMs = 2'000;
// An engine rejects a model that it is about to drop, and everything while its
// memory is full: others are better for a while, if there are any.
constexpr Duration kRejectingFor = milliseconds(400);
constexpr double kRejectingCostMs = 1'500;
// So many servers of one domain that cannot be reached, and none that can, are
// a partition. Every so often a request may find out whether it has ended.
constexpr std::size_t kUnreachedServers = 3;
constexpr Duration kPartitionDoubt = milliseconds(1'000);
// Announcements bridge the time until the registry says the same.
constexpr Duration kAnnouncementLifetime = std::chrono::seconds(6);

Duration FromMs(double ms) {
  return Duration(static_cast<std::int64_t>(ms * 1000.0));
}

double ToMs(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

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
    if (found == state->second.announced.end() || found->second.until <= now) {
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

bool Balancer::SomeoneHolds(TimePoint now, const Directory& directory,
                            const ServiceId& service,
                            const ModelTarget& target) const {
  return std::any_of(directory.entries().begin(), directory.entries().end(),
                     [&](const auto& item) {
                       const BackendServer& server = item.second.server;
                       return server.service == service && !server.draining &&
                              Holds(now, server, target);
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
      sum.unread += load->second.unread;
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
      // Other instances send this prefix here too.
      choice.cached_tokens = needs.prefixes[needs.prefixes.size() - 2].tokens;
    }
    const auto unread = static_cast<double>(
        std::max<Tokens>(0, needs.prompt_tokens - choice.cached_tokens));
    const double work = unread * MillisecondsPerToken(needs.target.model) +
                        ToMs(kFirstEventBase);
    choice.work =
        FromMs(work * (1.0 + kGenerationShare + kCrowding * choice.in_flight));
    choice.wait = state.unread + peers.unread;
    const int over = choice.in_flight - service->engine->slots;
    if (over >= 0) {
      // No place in the batch: what runs has to end first.
      choice.wait += (over + 1) * std::max(state.service_time, kFirstEventBase);
    }
  } else {
    const Duration usual = state.service_time.count() > 0 ? state.service_time
                                                          : kDefaultServiceTime;
    choice.work = usual;
    const int slots = std::max(1, server.slots);
    const int over = choice.in_flight - slots + 1;
    choice.wait = over > 0 ? usual * over / slots : Duration{0};
    // A little for each busy slot: an equal server with fewer is better.
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

void Balancer::NoteReach(TimePoint now, const Attempt& attempt,
                         AttemptEnd end) {
  if (end == AttemptEnd::kAbandoned) {
    return;
  }
  DomainState& domain = domains_[attempt.domain];
  if (end == AttemptEnd::kUnreachable) {
    domain.unreached.insert(attempt.server);
    domain.last_failure = now;
  } else if (end != AttemptEnd::kBroken) {
    domain.unreached.clear();
  }
}

double Balancer::Penalty(TimePoint now, const ServerState& state,
                         const BackendServer& server, const ModelTarget& target,
                         double usual_failures) const {
  double cost = server.domain == own_domain_ ? 0 : ToMs(kOtherDomainCost);
  if (state.avoid_until > now || IsCutOff(now, server.domain)) {
    cost += kAvoidedCostMs;
  }
  const auto rejecting = state.rejecting.find(target);
  if (rejecting != state.rejecting.end() && rejecting->second > now) {
    cost += kRejectingCostMs;
  }
  const double excess =
      state.failure_share - 2 * usual_failures - kFailureMargin;
  if (excess > 0) {
    cost += excess * kFailureCostMs;
  }
  return cost;
}

std::optional<Choice> Balancer::Choose(TimePoint now, const Catalog& catalog,
                                       const Directory& directory,
                                       const RequestNeeds& needs) {
  std::vector<const BackendServer*> candidates;
  for (const auto& [id, entry] : directory.entries()) {
    const BackendServer& server = entry.server;
    if (server.service == needs.service && !server.draining &&
        !needs.tried.contains(id) && Holds(now, server, needs.target)) {
      candidates.push_back(&server);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const BackendServer* home = nullptr;
  if (needs.prefixes.size() > 1) {
    const std::string key =
        std::to_string(needs.prefixes[needs.prefixes.size() - 2].key);
    std::uint64_t heaviest = 0;
    const bool near = std::any_of(
        candidates.begin(), candidates.end(),
        [&](const auto* server) { return server->domain == own_domain_; });
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
  }
  const double usual = UsualFailures(directory, needs.service);
  std::optional<Choice> best;
  double best_cost = 0;
  for (const BackendServer* server : candidates) {
    const Choice choice =
        Estimate(now, catalog, *server, needs, server == home);
    const double cost =
        ToMs(choice.expected) +
        Penalty(now, servers_[server->id], *server, needs.target, usual);
    if (!best || cost < best_cost) {
      best = choice;
      best_cost = cost;
    }
  }
  return best;
}

AttemptNumber Balancer::OnSent(TimePoint now, const Choice& choice,
                               const RequestNeeds& needs) {
  const AttemptNumber number = next_attempt_++;
  ServerState& state = servers_[choice.server];
  ++state.in_flight;
  ++state.sent_since_report;
  state.unread += choice.work;
  Attempt attempt;
  attempt.server = choice.server;
  attempt.domain = choice.domain;
  attempt.target = needs.target;
  attempt.work = choice.work;
  attempt.wait_at_send = choice.wait;
  attempt.in_flight_at_send = choice.in_flight;
  attempt.unread_tokens =
      std::max<Tokens>(0, needs.prompt_tokens - choice.cached_tokens);
  attempt.sent = now;
  attempt.prefixes = needs.prefixes;
  if (state.cached) {
    state.cached->NoteRead(needs.prefixes);
  }
  attempts_.emplace(number, std::move(attempt));
  return number;
}

void Balancer::LearnPace(TimePoint now, const Attempt& attempt) {
  constexpr Tokens kEnoughTokens = 300;
  if (attempt.target.model.empty() || attempt.wait_at_send > kIdleWait ||
      attempt.in_flight_at_send > kIdleInFlight ||
      attempt.unread_tokens < kEnoughTokens) {
    return;
  }
  const double measured =
      std::max(0.0, ToMs(now - attempt.sent - kFirstEventBase)) /
      static_cast<double>(attempt.unread_tokens);
  double& pace =
      ms_per_token_.try_emplace(attempt.target.model, kDefaultMsPerToken)
          .first->second;
  // Work that this instance does not know of only makes samples larger, so
  // they count for less the larger they are.
  const double bounded = std::min(measured, pace * kLargestSample);
  pace +=
      (bounded < pace ? kPaceSmoothing : kPaceSmoothingUp) * (bounded - pace);
}

void Balancer::OnFirstByte(TimePoint now, AttemptNumber number) {
  const auto found = attempts_.find(number);
  if (found == attempts_.end() || !found->second.unread) {
    return;
  }
  Attempt& attempt = found->second;
  attempt.unread = false;
  domains_[attempt.domain].unreached.clear();
  ServerState& state = servers_[attempt.server];
  state.unread = std::max(Duration{0}, state.unread - attempt.work);
  state.failures_in_row = 0;
  state.avoid_until = TimePoint{};
  LearnPace(now, attempt);
}

void Balancer::OnEnd(TimePoint now, AttemptNumber number, AttemptEnd end) {
  const auto found = attempts_.find(number);
  if (found == attempts_.end()) {
    return;
  }
  const Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  NoteReach(now, attempt, end);
  const auto server = servers_.find(attempt.server);
  if (server == servers_.end()) {
    return;
  }
  ServerState& state = server->second;
  state.in_flight = std::max(0, state.in_flight - 1);
  if (attempt.unread) {
    state.unread = std::max(Duration{0}, state.unread - attempt.work);
  }
  if (end == AttemptEnd::kAbandoned) {
    return;
  }
  if (end == AttemptEnd::kShed && !attempt.target.model.empty()) {
    std::erase_if(state.rejecting,
                  [&](const auto& item) { return item.second <= now; });
    state.rejecting[attempt.target] = now + kRejectingFor;
  }
  const bool failed = end != AttemptEnd::kAnswered;
  state.failure_share +=
      kFailureSmoothing * ((failed ? 1.0 : 0.0) - state.failure_share);
  if (end == AttemptEnd::kBroken || end == AttemptEnd::kUnreachable) {
    const int doublings = std::min(state.failures_in_row, kMostDoublings);
    state.avoid_until = now + kFirstAvoidance * (1 << doublings);
    ++state.failures_in_row;
    return;
  }
  state.failures_in_row = 0;
  if (end == AttemptEnd::kAnswered) {
    const Duration took = now - attempt.sent;
    if (state.service_time.count() == 0) {
      state.service_time = took;
    } else {
      state.service_time += Duration(static_cast<std::int64_t>(
          kServiceTimeSmoothing *
          static_cast<double>((took - state.service_time).count())));
    }
  }
}

void Balancer::OnReportedLoad(TimePoint now, const ServerId& server,
                              const ReportedLoad& load) {
  ServerState& state = servers_[server];
  state.reported = load;
  state.reported_at = now;
  state.sent_since_report = 0;
}

void Balancer::OnPeerLoads(TimePoint now, const InstanceId& peer,
                           const std::map<ServerId, PeerLoad>& loads) {
  peers_[peer] = PeerState{now, loads};
}

void Balancer::OnPlacement(TimePoint now, const ServerId& server,
                           const ModelTarget& target, bool present) {
  ServerState& state = servers_[server];
  state.announced[target] = {present, now + kAnnouncementLifetime};
  std::erase_if(state.announced,
                [&](const auto& item) { return item.second.until <= now; });
}

void Balancer::Forget(const ServerId& server) {
  servers_.erase(server);
  std::erase_if(attempts_,
                [&](const auto& item) { return item.second.server == server; });
}

std::map<ServerId, PeerLoad> Balancer::OwnLoads() const {
  std::map<ServerId, PeerLoad> loads;
  for (const auto& [id, state] : servers_) {
    if (state.in_flight > 0) {
      loads.emplace(id, PeerLoad{state.in_flight, state.unread});
    }
  }
  return loads;
}

}  // namespace figwell::serving
