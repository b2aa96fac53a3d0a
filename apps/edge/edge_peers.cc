#include "edge.h"

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStatusInterval{200};
// A burst of charges is reported before the next regular status, but not more
// often than this.
constexpr Duration kMinStatusInterval = milliseconds(40);
constexpr milliseconds kDemandInterval{500};
constexpr Duration kBuildAnnouncementInterval = milliseconds(1'000);
// Servers often change in groups, so a pause between a change and the next
// watch saves calls. It grows with the number of instances that follow the
// store, up to drain_notice / kMaxWatchPauseDivisor: a leaving server has to be
// known within drain_notice.
constexpr milliseconds kMinWatchPause{400};
constexpr milliseconds kWatchPausePerFollower{15};
constexpr int kMaxWatchPauseDivisor = 2;
// An engine with a prefill backlog below this, and less than
// 1/kMinReportedSlotsDivisor of its request slots in use, counts as idle and is
// not reported to other domains. Most engines are idle, and reports about them
// hardly affect the choice of a server.
constexpr Duration kMinReportedPrefillBacklog = milliseconds(15);
constexpr int kMinReportedSlotsDivisor = 8;
// Fits into a datagram together with the spending of kMaxTeamsPerMessage teams.
constexpr std::size_t kMaxLoadsPerMessage = 44;
constexpr std::size_t kMaxTeamsPerMessage = 16;

template <typename T>
T Clamp(std::int64_t value) {
  return static_cast<T>(
      std::clamp<std::int64_t>(value, 0, std::numeric_limits<T>::max()));
}

}  // namespace

// ----------------------------------------------------------------- received

void Edge::OnMessage(const InstanceId& from, MessageKind kind,
                     std::string_view bytes) {
  switch (BaseKind(kind)) {
    case MessageKind::kStatus:
      if (const auto status = peers::Unpack<StatusMessage>(bytes)) {
        OnStatus(from, kind, *status);
      }
      return;
    case MessageKind::kDomainStatus:
      if (const auto status = peers::Unpack<DomainStatusMessage>(bytes)) {
        OnDomainStatus(from, kind, *status);
      }
      return;
    case MessageKind::kDemand:
      if (const auto demand = peers::Unpack<DemandMessage>(bytes)) {
        placement_.OnDemand(from, *demand);
      }
      return;
    case MessageKind::kPlacement:
      if (const auto placement = peers::Unpack<PlacementMessage>(bytes)) {
        OnPlacements(from, *placement);
      }
      return;
    case MessageKind::kChangesRequest:
      if (const auto request = peers::Unpack<ChangesRequestMessage>(bytes)) {
        OnChangesRequest(from, kind, *request);
      }
      return;
    case MessageKind::kChanges:
      if (const auto changes = peers::Unpack<ChangesMessage>(bytes)) {
        OnChanges(kind, *changes);
      }
      return;
    case MessageKind::kServerLeaving:
      if (const auto leaving = peers::Unpack<ServerLeavingMessage>(bytes)) {
        OnServerLeaving(ServerId(leaving->server), leaving->started_ms, from);
      }
      return;
    case MessageKind::kServerLimit:
      if (const auto limit = peers::Unpack<ServerLimitMessage>(bytes)) {
        OnServerLimitMessage(from, *limit);
      }
      return;
    case MessageKind::kPermitRequest:
      if (const auto request = peers::Unpack<PermitRequestMessage>(bytes)) {
        permits_.OnRequest(from, *request);
      }
      return;
    case MessageKind::kPermitReply:
      if (const auto reply = peers::Unpack<PermitReplyMessage>(bytes)) {
        permits_.OnReply(*reply);
      }
      return;
    case MessageKind::kServerCrash:
      if (const auto crash = peers::Unpack<ServerCrashMessage>(bytes)) {
        quarantine_.OnCrashMessage(from, *crash);
      }
      return;
    case MessageKind::kSuspectRequest:
      if (const auto suspect = peers::Unpack<SuspectRequestMessage>(bytes)) {
        quarantine_.OnSuspectMessage(from, *suspect);
      }
      return;
    case MessageKind::kSuspectAnswered:
      if (const auto answered = peers::Unpack<SuspectAnsweredMessage>(bytes)) {
        quarantine_.OnAnsweredMessage(from, *answered);
      }
      return;
    case MessageKind::kQuarantine:
      if (const auto quarantine = peers::Unpack<QuarantineMessage>(bytes)) {
        quarantine_.OnQuarantineMessage(from, *quarantine);
      }
      return;
    case MessageKind::kStreamsBegan:
      if (const auto began = peers::Unpack<StreamsBeganMessage>(bytes)) {
        versions_.OnMessage(from, *began);
      }
      return;
    case MessageKind::kEvacuations:
      if (const auto message = peers::Unpack<EvacuationsMessage>(bytes)) {
        OnEvacuationsMessage(from, *message);
      }
      return;
    case MessageKind::kServerPace:
      if (const auto pace = peers::Unpack<ServerPaceMessage>(bytes)) {
        OnPaceLearned(ServerId(pace->server), pace->started_ms, pace->usual,
                      from);
      }
      return;
    case MessageKind::kServersCold:
      if (const auto message = peers::Unpack<ServersColdMessage>(bytes)) {
        OnServersColdMessage(*message);
      }
      return;
    case MessageKind::kBuild:
      return;  // its arrival says it all; see PeerGroup
    case MessageKind::kAdapterRequest:
      if (const auto request = peers::Unpack<AdapterRequestMessage>(bytes)) {
        placement_.OnAdapterRequest(*request);
      }
      return;
  }
}

void Edge::OnPlacements(const InstanceId& from,
                        const PlacementMessage& message) {
  const TimePoint now = MonotonicNow();
  std::string text;
  for (const PlacementItem& item : message.items) {
    const serving::ModelTarget target{ModelId(item.model), item.adapter};
    state_.balancer.OnPlacementAnnounced(now, ServerId(item.server), target,
                                         item.present);
    text += text.empty() ? "" : " ";
    text += item.server + (item.present ? "+" : "-") + item.model;
    text += item.adapter.empty() ? "" : "/" + item.adapter;
  }
  telemetry::Log(telemetry::Event::kPlacementHeard, {},
                 {{"from", from.value()}, {"items", text}});
}

std::map<ServerId, serving::PeerLoad> Edge::DecodeLoads(
    const StatusMessage& status) const {
  std::map<ServerId, serving::PeerLoad> loads;
  for (const ServerLoadItem& item : status.loads) {
    const auto server = server_of_hash_.find(item.server);
    if (server != server_of_hash_.end()) {
      loads[server->second] = {item.in_flight,
                               milliseconds(item.prefill_backlog_ms)};
    }
  }
  return loads;
}

const std::map<ServerId, serving::PeerLoad>& Edge::ApplyLoads(
    const InstanceId& from, const StatusMessage& status) {
  auto& loads = peer_loads_[from];
  if (status.first) {
    loads.clear();
  }
  loads.merge(DecodeLoads(status));
  return loads;
}

void Edge::OnStatus(const InstanceId& from, MessageKind kind,
                    const StatusMessage& status) {
  const TimePoint now = MonotonicNow();
  const auto& loads = ApplyLoads(from, status);
  state_.balancer.OnPeerLoads(now, from, loads);
  state_.rate_limiter.OnPeerReport(now, from,
                                   {status.incarnation, 1, status.spending});
  domain_summary_.OnMemberReport(now, from, status.incarnation, loads,
                                 status.spending);
  follower_selection_.OnMemberReport(now, from, status.follows);
  if (status.follows) {
    follower_heard_ = now;
  }
  CompareRevisions(from, kind, status);
}

void Edge::OnDomainStatus(const InstanceId& from, MessageKind kind,
                          const DomainStatusMessage& message) {
  if (DomainId(message.domain) == state_.settings.failure_domain) {
    return;  // the own domain's sums, sent back
  }
  const TimePoint now = MonotonicNow();
  const InstanceId aggregate = DomainAggregateId(DomainId(message.domain));
  state_.balancer.OnPeerLoads(now, aggregate, DecodeLoads(message.sums),
                              message.sums.first);
  state_.rate_limiter.OnPeerReport(
      now, aggregate,
      {message.sums.incarnation, message.instances, message.sums.spending});
  const auto& reachable = peers_.Reachable();
  const auto sender = reachable.find(from);
  if (sender != reachable.end() &&
      sender->second != state_.settings.failure_domain) {
    // Only the other domain's delegate has these revisions. A member of the own
    // domain that forwards the sums may not have received the changes yet.
    CompareRevisions(from, kind, message.sums);
    peers_.SendToOwnDomain(MessageKind::kDomainStatus, message);
  }
}

InstanceId Edge::DomainAggregateId(const DomainId& domain) {
  // No instance has a space in its name.
  return InstanceId("domain " + domain.value());
}

void Edge::CompareRevisions(const InstanceId& from, MessageKind kind,
                            const StatusMessage& status) {
  const TimePoint now = MonotonicNow();
  if (HasEras(kind)) {
    store_.OnEraKnown(std::max(store::EraOf(status.servers_revision),
                               store::EraOf(status.instances_revision)));
  } else if (peers_.UnderstandsEras(from)) {
    return;  // it states them with their eras as well
  }
  const bool may_request = CanUseChanges(kind);
  servers_view_.OnPeerRevision(
      now, from, RevisionIn(kind, status.servers_revision), may_request);
  instances_view_.OnPeerRevision(
      now, from, RevisionIn(kind, status.instances_revision), may_request);
}

void Edge::UpdateFollowing(TimePoint now) {
  const auto members = peers_.LiveInOwnDomain();
  const bool follow = follower_selection_.ShouldFollow(now, members);
  const bool followed = servers_view_.following();
  servers_view_.SetFollowing(follow);
  instances_view_.SetFollowing(follow);
  if (servers_view_.following() != followed) {
    telemetry::Log(telemetry::Event::kFollowingChanged, {},
                   {{"follows", followed ? "false" : "true"},
                    {"members", std::to_string(members.size())},
                    {"revision", std::to_string(servers_view_.newest())}});
  }
}

// --------------------------------------------------------------------- sent

std::vector<StatusMessage> Edge::MakeStatus(
    std::uint64_t incarnation,
    const std::map<ServerId, serving::PeerLoad>& loads,
    const std::vector<serving::TeamSpending>& spending) const {
  StatusMessage empty_part;
  empty_part.incarnation = incarnation;
  empty_part.follows =
      servers_view_.IsActiveFollower() && instances_view_.IsActiveFollower();
  empty_part.servers_revision = servers_view_.newest();
  empty_part.instances_revision = instances_view_.newest();
  std::vector<StatusMessage> parts(1, empty_part);
  empty_part.first = false;
  for (const auto& [server, load] : loads) {
    if (parts.back().loads.size() == kMaxLoadsPerMessage) {
      parts.push_back(empty_part);
    }
    parts.back().loads.push_back(
        {StableHash(server.value()), Clamp<std::uint16_t>(load.in_flight),
         Clamp<std::uint16_t>(load.prefill_backlog / milliseconds(1))});
  }
  std::size_t part = 0;
  for (const serving::TeamSpending& team : spending) {
    if (parts[part].spending.size() == kMaxTeamsPerMessage &&
        ++part == parts.size()) {
      parts.push_back(empty_part);
    }
    parts[part].spending.push_back(team);
  }
  return parts;
}

bool Edge::IsReportableLoad(const ServerId& server,
                            const serving::PeerLoad& load) const {
  const serving::BackendServer* entry = state_.directory.Find(server);
  const bool engine = entry != nullptr && !entry->models.empty();
  return !engine || load.prefill_backlog >= kMinReportedPrefillBacklog ||
         load.in_flight * kMinReportedSlotsDivisor >= entry->slots;
}

void Edge::TickStatus() {
  const TimePoint now = MonotonicNow();
  for (const ServerId& expired : state_.directory.Expire(now)) {
    OnServerChange(expired, serving::ServerChange::kGone);
  }
  for (const ServerId& accepted : state_.directory.AcceptRestored(now)) {
    OnServerChange(accepted, serving::ServerChange::kAppeared);
  }
  TickColdServers(now);
  state_.evacuations.Tick(now);
  ApplyEvacuations("restore");
  AnnounceEvacuations(now);
  if (instances_view_.listed()) {
    UpdateFleetSize(now);
    UpdateFollowing(now);
    versions_.Tick(now);
    past_.Tick(now, servers_view_.IsActiveFollower() &&
                        instances_view_.IsActiveFollower());
  }
  SendStatus(now);
  if (now - last_build_announced_ >= kBuildAnnouncementInterval) {
    last_build_announced_ = now;
    peers_.AnnounceBuild();
  }
}

void Edge::UpdateFleetSize(TimePoint now) {
  const auto serving = peers_.PossiblyServing(now);
  std::map<InstanceId, int> instances_by_peer;
  std::map<DomainId, std::size_t> sizes{{state_.settings.failure_domain, 1}};
  for (const auto& [instance, domain] : serving) {
    ++sizes[domain];
    if (domain == state_.settings.failure_domain) {
      instances_by_peer[instance] = 1;
    } else {
      ++instances_by_peer[DomainAggregateId(domain)];
    }
  }
  state_.rate_limiter.SetPeers(now, instances_by_peer);
  state_.instances = serving.size() + 1;
  state_.retries.SetInstances(state_.instances);
  std::size_t followers = 0;
  for (const auto& [domain, size] : sizes) {
    followers += serving::FollowerSelection::FollowerCount(size);
  }
  // Each change wakes all instances that follow the store. Unless the pause
  // grows with their number, calls to the store grow with its square.
  const milliseconds watch_pause = std::min<milliseconds>(
      state_.settings.bounds.drain_notice / kMaxWatchPauseDivisor,
      kMinWatchPause +
          kWatchPausePerFollower * static_cast<std::int64_t>(followers));
  servers_view_.SetWatchPause(watch_pause);
  instances_view_.SetWatchPause(watch_pause);
  placement_.UpdateTakeoverDelay(followers, servers_view_.following());
}

void Edge::SendInterimStatus() {
  const TimePoint now = MonotonicNow();
  if (now - last_status_sent_ < kMinStatusInterval) {
    return;
  }
  last_status_sent_ = now;
  const auto spending = state_.rate_limiter.TakeOwnReport(now);
  const auto own_domain = peers_.ReachableInOwnDomain();
  for (StatusMessage& part : MakeStatus(incarnation_, {}, spending)) {
    part.first = false;  // the loads reported before stay valid
    peers_.SendRevisions(own_domain, MessageKind::kStatus, part);
  }
  SendDomainStatus(now, nullptr, spending);
}

void Edge::SendStatus(TimePoint now) {
  last_status_sent_ = now;
  const auto loads = state_.balancer.OwnLoads();
  const auto spending = state_.rate_limiter.TakeOwnReport(now);
  const auto own_domain = peers_.ReachableInOwnDomain();
  for (const StatusMessage& part : MakeStatus(incarnation_, loads, spending)) {
    peers_.SendRevisions(own_domain, MessageKind::kStatus, part);
  }
  SendDomainStatus(now, &loads, spending);
  status_timer_.expires_after(kStatusInterval);
  status_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      TickStatus();
    }
  });
}

std::map<ServerId, serving::PeerLoad> Edge::DomainLoads(
    TimePoint now, const std::map<ServerId, serving::PeerLoad>& own) const {
  auto sums = domain_summary_.Loads(now, own);
  std::erase_if(sums, [&](const auto& item) {
    return !IsReportableLoad(item.first, item.second);
  });
  return sums;
}

void Edge::SendDomainStatus(
    TimePoint now, const std::map<ServerId, serving::PeerLoad>* loads,
    const std::vector<serving::TeamSpending>& spending) {
  const auto delegates = peers_.Delegates();
  const DomainId& own = state_.settings.failure_domain;
  if (delegates.at(own) != state_.settings.instance) {
    return;
  }
  std::vector<InstanceId> other_delegates;
  for (const auto& [domain, delegate] : delegates) {
    if (domain != own) {
      other_delegates.push_back(delegate);
    }
  }
  const auto instances = Clamp<std::uint16_t>(domain_summary_.Instances(now));
  const std::uint64_t delegate_incarnation =
      StableHash(state_.settings.instance.value(), incarnation_);
  auto parts =
      MakeStatus(delegate_incarnation,
                 loads == nullptr ? std::map<ServerId, serving::PeerLoad>{}
                                  : DomainLoads(now, *loads),
                 domain_summary_.Spending(spending));
  for (StatusMessage& part : parts) {
    part.first = part.first && loads != nullptr;
    peers_.SendRevisions(
        other_delegates, MessageKind::kDomainStatus,
        DomainStatusMessage{own.value(), instances, std::move(part)});
  }
}

void Edge::TickDemand() {
  const TimePoint now = MonotonicNow();
  const std::optional<InstanceId>& leader = placement_.leader();
  if (leader && *leader != state_.settings.instance) {
    for (const DemandMessage& message :
         ToDemandMessages(state_.demand.Rates(now))) {
      peers_.Send(*leader, MessageKind::kDemand, message);
    }
  }
  demand_timer_.expires_after(kDemandInterval);
  demand_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      TickDemand();
    }
  });
}

}  // namespace figwell::edge
