#include "edge.h"

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

constexpr milliseconds kStatusInterval{200};
// A burst of charges is told sooner, but not more often than this.
constexpr Duration kShortestStatusInterval = milliseconds(40);
constexpr milliseconds kDemandInterval{500};
// Servers change in groups; at most this part of the time in which a server's
// leaving has to be known.
constexpr milliseconds kChangesPause{400};
constexpr milliseconds kPausePerInstance{15};
constexpr int kPausePartOfNotice = 2;
// A peer that knows newer entries for so long shows that the watch here hears
// nothing.
constexpr Duration kBehindFor = milliseconds(2'000);
// Fits into a datagram beside the spending of some teams.
constexpr std::size_t kMostLoads = 44;
constexpr std::size_t kMostTeams = 16;

template <typename T>
T Clamp(std::int64_t value) {
  return static_cast<T>(
      std::clamp<std::int64_t>(value, 0, std::numeric_limits<T>::max()));
}

// The server that an entry of the registry names, if it can be read.
std::optional<serving::BackendServer> ReadServer(const store::KeyValue& item) {
  const ServerId id = adapter::ServerOfKey(item.key);
  auto server = adapter::DecodeServer(id, item.value);
  if (server) {
    return std::move(*server);
  }
  telemetry::Log(Event::kEntryUnreadable, server.error().message,
                 {{"server", id.value()},
                  {"findings", FormatFindings(server.error().findings)}});
  return std::nullopt;
}

}  // namespace

// ------------------------------------------------------------ configuration

void Edge::OnConfigurationItem(const store::KeyValue& item) {
  if (item.key == adapter::kConfigurationKey) {
    TakeConfiguration(item.value, "store");
  }
}

void Edge::TakeConfiguration(const std::string& document,
                             std::string_view source) {
  auto catalog = adapter::DecodeConfiguration(document);
  if (!catalog) {
    telemetry::Log(Event::kConfigRejected, catalog.error().message,
                   {{"source", std::string(source)},
                    {"findings", FormatFindings(catalog.error().findings)}});
    return;
  }
  const std::int64_t number = (*catalog)->number();
  if (state_.catalog && number <= state_.catalog->number()) {
    return;
  }
  telemetry::Log(
      Event::kConfigInForce, {},
      {{"number", std::to_string(number)},
       {"former",
        std::to_string(state_.catalog ? state_.catalog->number() : 0)},
       {"source", std::string(source)}});
  state_.catalog = std::move(*catalog);
  state_.allowances.Configure(MonotonicNow(), state_.catalog->teams());
  ApplyLimits(state_.catalog->limits());
  peers_.SetConfiguration(number, document);
}

// ------------------------------------------------------------------ servers

void Edge::OnServersListing(const std::vector<store::KeyValue>& items) {
  std::vector<serving::BackendServer> servers;
  for (const store::KeyValue& item : items) {
    if (auto server = ReadServer(item)) {
      servers.push_back(std::move(*server));
    }
  }
  for (const auto& [id, change] :
       state_.directory.Replace(MonotonicNow(), servers)) {
    OnServerChange(id, change);
  }
}

void Edge::OnServersEvent(const store::WatchEvent& event) {
  const ServerId id = adapter::ServerOfKey(event.entry.key);
  const TimePoint now = MonotonicNow();
  if (event.type == store::WatchEvent::Type::kDelete) {
    OnServerChange(id, state_.directory.Remove(now, id));
    return;
  }
  const auto server = ReadServer(event.entry);
  if (!server) {
    OnServerChange(id, state_.directory.Remove(now, id));
    return;
  }
  OnServerChange(id, state_.directory.Put(*server));
}

void Edge::OnServerChange(const ServerId& id, serving::ServerChange change) {
  using serving::ServerChange;
  if (change == ServerChange::kUnchanged || id.empty()) {
    return;
  }
  if (change == ServerChange::kRestarted || change == ServerChange::kGone) {
    state_.balancer.Forget(id);
  }
  if (change == ServerChange::kAppeared || change == ServerChange::kRestarted) {
    server_of_hash_[StableHash(id.value())] = id;
  }
  placement_.OnServerChange(id, change);
  if (change != ServerChange::kUpdated) {
    const serving::BackendServer* server = state_.directory.Find(id);
    telemetry::Log(
        Event::kServerChanged, serving::Name(change),
        {{"server", id.value()},
         {"service", server == nullptr ? "" : server->service.value()},
         {"address", server == nullptr ? "" : server->address},
         {"revision", std::to_string(servers_follower_.newest())}});
  }
}

// ------------------------------------------------------- own keys and peers

void Edge::OnOwnListing(const std::vector<store::KeyValue>& items) {
  instances_.clear();
  holder_.reset();
  for (const store::KeyValue& item : items) {
    if (item.key == placement_.HolderKey()) {
      holder_ = item;
    }
    NoteInstance(item.key, item.value);
  }
  placement_.OnHolder(holder_);
  peers_.SetRegistered(instances_);
  NotePeers(MonotonicNow());
}

void Edge::OnOwnEvent(const store::WatchEvent& event) {
  const bool present = event.type == store::WatchEvent::Type::kPut;
  if (event.entry.key == placement_.HolderKey()) {
    holder_ = present ? std::optional(event.entry) : std::nullopt;
    placement_.OnHolder(holder_);
  }
  NoteInstance(event.entry.key,
               present ? std::optional(event.entry.value) : std::nullopt);
  peers_.SetRegistered(instances_);
}

void Edge::NoteInstance(const std::string& key,
                        const std::optional<std::string>& address) {
  const std::string prefix = registrar_.InstancesPrefix();
  if (!key.starts_with(prefix)) {
    return;
  }
  const InstanceId id(key.substr(prefix.size()));
  if (address) {
    instances_[id] = Registration::FromText(*address);
  } else {
    instances_.erase(id);
  }
}

void Edge::OnMessage(const InstanceId& from, MessageKind kind,
                     std::string_view bytes) {
  switch (kind) {
    case MessageKind::kStatus:
      if (const auto status = peers::Unpack<StatusMessage>(bytes)) {
        OnStatus(from, *status);
      }
      return;
    case MessageKind::kDomainStatus:
      if (const auto status = peers::Unpack<DomainStatusMessage>(bytes)) {
        OnDomainStatus(from, *status);
      }
      return;
    case MessageKind::kDemand:
      if (const auto demand = peers::Unpack<DemandMessage>(bytes)) {
        placement_.OnDemand(from, *demand);
      }
      return;
    case MessageKind::kPlacement:
      if (const auto placed = peers::Unpack<PlacementMessage>(bytes)) {
        state_.balancer.OnPlacement(MonotonicNow(), ServerId(placed->server),
                                    {ModelId(placed->model), placed->adapter},
                                    placed->present);
      }
      return;
    case MessageKind::kAdapterWanted:
      if (const auto wanted = peers::Unpack<AdapterWantedMessage>(bytes)) {
        placement_.OnAdapterWanted(*wanted);
      }
      return;
  }
}

std::map<ServerId, serving::PeerLoad> Edge::LoadsOf(
    const StatusMessage& status) const {
  std::map<ServerId, serving::PeerLoad> loads;
  for (const ServerLoadItem& item : status.loads) {
    const auto server = server_of_hash_.find(item.server);
    if (server != server_of_hash_.end()) {
      loads.emplace(
          server->second,
          serving::PeerLoad{item.in_flight, milliseconds(item.unread_ms)});
    }
  }
  return loads;
}

void Edge::OnStatus(const InstanceId& from, const StatusMessage& status) {
  const TimePoint now = MonotonicNow();
  const auto loads = LoadsOf(status);
  state_.balancer.OnPeerLoads(now, from, loads);
  state_.allowances.OnPeer(now, from, {status.incarnation, 1, status.spending});
  summary_.OnMember(now, from, status.incarnation, loads, status.spending);
  CompareRevision(from, status.servers_revision);
}

void Edge::OnDomainStatus(const InstanceId& from,
                          const DomainStatusMessage& message) {
  if (DomainId(message.domain) == state_.settings.failure_domain) {
    return;  // an echo of the own domain's sums
  }
  const TimePoint now = MonotonicNow();
  const InstanceId standin = StandInFor(DomainId(message.domain));
  state_.balancer.OnPeerLoads(now, standin, LoadsOf(message.sums));
  state_.allowances.OnPeer(
      now, standin,
      {message.sums.incarnation, message.instances, message.sums.spending});
  CompareRevision(standin, message.sums.servers_revision);
  const auto reachable = peers_.Reachable();
  const auto sender = reachable.find(from);
  if (sender != reachable.end() &&
      sender->second != state_.settings.failure_domain) {
    peers_.SendToOwnDomain(MessageKind::kDomainStatus, message);
  }
}

InstanceId Edge::StandInFor(const DomainId& domain) {
  // No instance has a space in its name.
  return InstanceId("domain " + domain.value());
}

void Edge::CompareRevision(const InstanceId& from, std::int64_t revision) {
  const TimePoint now = MonotonicNow();
  if (revision <= servers_follower_.newest()) {
    behind_since_.erase(from);
    return;
  }
  const TimePoint since = behind_since_.try_emplace(from, now).first->second;
  if (now - since >= kBehindFor && !servers_follower_.away()) {
    behind_since_.clear();
    telemetry::Log(Event::kDependencyLost,
                   "a peer knows newer entries; reading them again",
                   {{"dependency", "store"},
                    {"peer", from.value()},
                    {"revision", std::to_string(servers_follower_.newest())},
                    {"peer_revision", std::to_string(revision)}});
    servers_follower_.Refresh();
    own_follower_.Refresh();
    configuration_follower_.Refresh();
  }
}

StatusMessage Edge::MakeStatus(
    std::uint64_t incarnation,
    const std::map<ServerId, serving::PeerLoad>& loads,
    std::vector<serving::TeamSpending> spending) const {
  StatusMessage status;
  status.incarnation = incarnation;
  status.servers_revision = servers_follower_.newest();
  for (const auto& [server, load] : loads) {
    if (status.loads.size() == kMostLoads) {
      break;
    }
    status.loads.push_back(
        {StableHash(server.value()), Clamp<std::uint16_t>(load.in_flight),
         Clamp<std::uint16_t>(load.unread / milliseconds(1))});
  }
  if (spending.size() > kMostTeams) {
    spending.resize(kMostTeams);
  }
  status.spending = std::move(spending);
  return status;
}

void Edge::TickStatus() {
  const TimePoint now = MonotonicNow();
  for (const ServerId& gone : state_.directory.Expire(now)) {
    OnServerChange(gone, serving::ServerChange::kGone);
  }
  if (own_follower_.listed()) {
    NotePeers(now);
  }
  SendStatus(now);
}

void Edge::NotePeers(TimePoint now) {
  const auto serving = peers_.PossiblyServing(now);
  std::map<InstanceId, int> standins;
  for (const auto& [instance, domain] : serving) {
    if (domain == state_.settings.failure_domain) {
      standins[instance] = 1;
    } else {
      ++standins[StandInFor(domain)];
    }
  }
  state_.allowances.SetPeers(now, standins);
  const std::size_t fleet = serving.size() + 1;
  state_.retries.SetInstances(fleet);
  // Each change wakes all instances, so that calls grow with the square of the
  // fleet unless each waits longer in a larger one.
  const milliseconds pause = std::min<milliseconds>(
      state_.settings.bounds.drain_notice / kPausePartOfNotice,
      kChangesPause + kPausePerInstance * static_cast<std::int64_t>(fleet));
  servers_follower_.SetPause(pause);
  own_follower_.SetPause(pause);
  placement_.SetFleetSize(fleet);
}

void Edge::SendStatusSoon() {
  const TimePoint now = MonotonicNow();
  if (now - status_sent_ >= kShortestStatusInterval) {
    SendStatus(now);
  }
}

void Edge::SendStatus(TimePoint now) {
  status_sent_ = now;
  const auto loads = state_.balancer.OwnLoads();
  const auto spending = state_.allowances.Own(now);
  peers_.SendToOwnDomain(MessageKind::kStatus,
                         MakeStatus(incarnation_, loads, spending));
  SendDomainStatus(now, loads, spending);
  status_timer_.expires_after(kStatusInterval);
  status_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      TickStatus();
    }
  });
}

void Edge::SendDomainStatus(
    TimePoint now, const std::map<ServerId, serving::PeerLoad>& loads,
    const std::vector<serving::TeamSpending>& spending) {
  const auto delegates = peers_.Delegates();
  const DomainId& own = state_.settings.failure_domain;
  if (delegates.at(own) != state_.settings.instance) {
    return;
  }
  const DomainStatusMessage message{
      own.value(), Clamp<std::uint16_t>(summary_.Instances(now)),
      MakeStatus(StableHash(state_.settings.instance.value(), incarnation_),
                 summary_.Loads(now, loads), summary_.Spending(spending))};
  for (const auto& [domain, delegate] : delegates) {
    if (domain != own) {
      peers_.Send(delegate, MessageKind::kDomainStatus, message);
    }
  }
}

void Edge::TickDemand() {
  const TimePoint now = MonotonicNow();
  const std::optional<InstanceId>& leader = placement_.leader();
  if (leader && *leader != state_.settings.instance) {
    for (const DemandMessage& message : ToMessages(state_.demand.Rates(now))) {
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
