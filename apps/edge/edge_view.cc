#include <fmt/format.h>

#include "edge.h"
#include "log_text.h"
#include "run_after.h"
#include "server_state.h"

namespace figwell::edge {
namespace {

using telemetry::Event;

// A caller waits for this at most until its stream is taken up.
constexpr Duration kCatchUpTimeout = std::chrono::milliseconds(300);
constexpr Duration kCatchUpRetryInterval = std::chrono::milliseconds(30);

// Decodes a registry entry; logs one that is invalid and returns nullopt.
std::optional<serving::BackendServer> ReadServer(const store::KeyValue& item) {
  const ServerId id = adapter::ServerIdFromKey(item.key);
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
    ApplyConfiguration(item.value, "store");
  }
}

void Edge::ApplyConfiguration(const std::string& document,
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
  const bool first = !state_.catalog;
  state_.catalog = std::move(*catalog);
  if (first) {
    ApplyColdStatements();
  }
  state_.rate_limiter.Configure(MonotonicNow(), state_.catalog->teams());
  ApplyLimits(state_.catalog->limits());
  peers_.SetConfiguration(number, document);
}

void Edge::OnConfigurationListing(const adapter::Listing& listing) {
  std::vector<serving::EvacuationRecord> evacuations;
  for (const store::KeyValue& item : listing.items) {
    OnConfigurationItem(item);
    if (DomainId domain = adapter::EvacuatedDomainFromKey(item.key);
        !domain.empty()) {
      evacuations.push_back({std::move(domain), item.mod_revision, true});
    }
  }
  state_.evacuations.OnListing(MonotonicNow(), evacuations, listing.revision);
  ApplyEvacuations("store");
}

void Edge::OnConfigurationEvent(const store::WatchEvent& event) {
  const bool written = event.type == store::WatchEvent::Type::kPut;
  if (written) {
    OnConfigurationItem(event.entry);
  }
  if (DomainId domain = adapter::EvacuatedDomainFromKey(event.entry.key);
      !domain.empty()) {
    state_.evacuations.OnRecord(
        MonotonicNow(), {std::move(domain), event.entry.mod_revision, written});
    ApplyEvacuations("store");
  }
}

// ------------------------------------------------------------------ servers

SharedViewCallbacks Edge::ServersCallbacks() {
  SharedViewCallbacks callbacks;
  callbacks.encode =
      [this](const store::KeyValue& item) -> std::optional<std::string> {
    const auto server = ReadServer(item);
    if (!server) {
      return std::nullopt;
    }
    cold_statements_[server->id] = {server->started_ms,
                                    MonotonicNow() + server->cold_remaining};
    return PackServer(*server);
  };
  callbacks.on_gap = [this] { state_.past.OnRegistryGap(MonotonicNow()); };
  callbacks.on_changes =
      [this](const std::vector<serving::LoggedEntry>& entries) {
        OnServerEntries(entries);
      };
  callbacks.on_store_unreachable = [this] { state_.directory.OnStoreLost(); };
  callbacks.on_store_recovered = [this] {
    state_.directory.OnStoreRecovered(MonotonicNow());
  };
  callbacks.request_changes = [this](const InstanceId& peer,
                                     store::Revision after) {
    RequestChanges(peer, ViewId::kServers, after);
  };
  callbacks.on_stale_view = [this] { OnStaleView(servers_view_); };
  return callbacks;
}

SharedViewCallbacks Edge::InstancesCallbacks() {
  SharedViewCallbacks callbacks;
  callbacks.encode = [](const store::KeyValue& item) {
    return std::optional(item.value);
  };
  callbacks.on_gap = [] {};
  callbacks.on_changes =
      [this](const std::vector<serving::LoggedEntry>& entries) {
        OnInstanceEntries(entries);
      };
  callbacks.on_store_unreachable = [] {};
  callbacks.on_store_recovered = [] {};
  callbacks.request_changes = [this](const InstanceId& peer,
                                     store::Revision after) {
    RequestChanges(peer, ViewId::kInstances, after);
  };
  callbacks.on_stale_view = [this] { OnStaleView(instances_view_); };
  return callbacks;
}

SharedView& Edge::ViewOf(ViewId view) {
  return view == ViewId::kServers ? servers_view_ : instances_view_;
}

void Edge::RequestChanges(const InstanceId& peer, ViewId view,
                          store::Revision after) {
  peers_.SendRevisions({peer}, MessageKind::kChangesRequest,
                       ChangesRequestMessage{view, after});
}

void Edge::OnChangesRequest(const InstanceId& from, MessageKind kind,
                            const ChangesRequestMessage& request) {
  for (serving::ChangeSet& set :
       ViewOf(request.view)
           .ChangesSince(MonotonicNow(), RevisionIn(kind, request.after))) {
    peers_.SendRevisions({from}, MessageKind::kChanges,
                         ChangesMessage{request.view, std::move(set)});
  }
}

void Edge::OnChanges(MessageKind kind, const ChangesMessage& message) {
  if (!CanUseChanges(kind)) {
    return;
  }
  ViewOf(message.view)
      .OnChanges(HasEras(kind) ? message.changes
                               : WithEra(store_.era(), message).changes);
}

store::Revision Edge::RevisionIn(MessageKind kind,
                                 store::Revision stated) const {
  return HasEras(kind) ? stated : store::WithEra(store_.era(), stated);
}

bool Edge::CanUseChanges(MessageKind kind) const {
  return HasEras(kind) || !store_.restored();
}

void Edge::CatchUpWithServers(std::function<void(bool)> on_done) {
  const auto done = std::make_shared<bool>(false);
  // Calls back once, whichever comes first.
  const std::function<void(bool)> finish =
      [done, on_done = std::move(on_done)](bool caught_up) {
        if (!std::exchange(*done, true)) {
          on_done(caught_up);
        }
      };
  // After a freeze, statuses from before it arrive first.
  const TimePoint heard_since = MonotonicNow() + kCatchUpTimeout / 2;
  RunAfter(context_, kCatchUpTimeout, [this, finish, heard_since] {
    finish(follower_heard_ >= heard_since && !servers_view_.IsBehindPeers());
  });
  ReadServers(done, finish);
}

void Edge::ReadServers(const std::shared_ptr<bool>& done,
                       const std::function<void(bool)>& on_done) {
  servers_view_.CatchUp([this, done, on_done](bool caught_up) {
    if (caught_up) {
      on_done(true);
    } else if (!*done) {
      RunAfter(context_, kCatchUpRetryInterval, [this, done, on_done] {
        if (!*done) {
          ReadServers(done, on_done);
        }
      });
    }
  });
}

void Edge::OnStaleView(const SharedView& view) {
  telemetry::Log(Event::kDependencyLost,
                 "peers have newer entries; reading from the store",
                 {{"dependency", "store"},
                  {"follows", view.IsActiveFollower() ? "true" : "false"},
                  {"revision", std::to_string(view.newest())}});
  if (view.IsActiveFollower()) {
    servers_view_.Refresh();
    instances_view_.Refresh();
    configuration_follower_.Refresh();
    return;
  }
  const TimePoint now = MonotonicNow();
  follower_selection_.OnStaleView(now);
  UpdateFollowing(now);
}

void Edge::OnServerEntries(const std::vector<serving::LoggedEntry>& entries) {
  const TimePoint now = MonotonicNow();
  std::set<ServerId> appeared;
  for (const serving::LoggedEntry& entry : entries) {
    const ServerId id = adapter::ServerIdFromKey(entry.key);
    const store::Era era = store::EraOf(entry.revision);
    if (entry.removed) {
      OnServerChange(id, state_.directory.Remove(now, id, era));
      if (state_.directory.Find(id) != nullptr) {
        telemetry::Log(Event::kServerChanged, "lapsed",
                       {{"server", id.value()},
                        {"revision", std::to_string(entry.revision)}});
      }
    } else if (const auto server = UnpackServer(entry.value)) {
      state_.balancer.OnRegistryUpdate(now, id);
      const auto change = state_.directory.Put(*server, {now, era});
      OnServerChange(id, change);
      if (change == serving::ServerChange::kAppeared ||
          change == serving::ServerChange::kRestarted) {
        appeared.insert(id);
      }
    } else {
      telemetry::Log(Event::kEntryUnreadable, server.error().message,
                     {{"server", id.value()}});
      OnServerChange(id, state_.directory.Remove(now, id, era));
    }
  }
  if (servers_listed_) {
    // What the store says of it, if this instance reads it, applies below.
    for (const ServerId& id : appeared) {
      if (const auto* server = state_.directory.Find(id)) {
        SuspectColdServer(state_, *server);
      }
    }
    if (servers_view_.IsActiveFollower()) {
      AnnounceColdServers(appeared);
    }
  }
  servers_listed_ = servers_view_.listed();
  ApplyColdStatements();
  if (servers_view_.IsActiveFollower() && !entries.empty()) {
    SendInterimStatus();  // instances that do not follow the store need it
  }
}

void Edge::OnServerChange(const ServerId& id, serving::ServerChange change) {
  using serving::ServerChange;
  if (change == ServerChange::kUnchanged || id.empty()) {
    return;
  }
  if (change == ServerChange::kGone) {
    state_.balancer.OnServerGone(MonotonicNow(), id);
    if (!state_.balancer.limits().Find(id)) {
      permits_.RemoveServer(id);
    }
  } else if (change == ServerChange::kRestarted) {
    state_.balancer.RemoveServer(id);
    permits_.RemoveServer(id);
  } else if (change == ServerChange::kAppeared) {
    state_.balancer.OnServerAppeared(id);
  }
  if (change == ServerChange::kAppeared || change == ServerChange::kRestarted) {
    server_of_hash_[StableHash(id.value())] = id;
  }
  if (const auto* server = state_.directory.Find(id); server != nullptr) {
    versions_.OnServer(*server);
  }
  placement_.OnServerChange(id, change);
  if (change != ServerChange::kUpdated) {
    const serving::BackendServer* server = state_.directory.Find(id);
    telemetry::Log(
        Event::kServerChanged, serving::Name(change),
        {{"server", id.value()},
         {"service", server == nullptr ? "" : server->service.value()},
         {"address", server == nullptr ? "" : server->address},
         {"revision", std::to_string(servers_view_.newest())}});
  }
}

void Edge::OnServerLeaving(const ServerId& id, std::int64_t started_ms,
                           const std::optional<InstanceId>& from) {
  const serving::ServerChange change =
      state_.directory.MarkLeaving(MonotonicNow(), id, started_ms);
  if (change == serving::ServerChange::kUnchanged) {
    return;
  }
  state_.metrics.GetCounter("figwell_servers_leaving_total").Add();
  telemetry::Log(Event::kServerLeaving,
                 from ? "announced by a peer" : "announced by the server",
                 {{"server", id.value()},
                  {"from", from ? from->value() : ""},
                  {"started_ms", std::to_string(started_ms)}});
  OnServerChange(id, change);
  peers_.Announce(MessageKind::kServerLeaving,
                  ServerLeavingMessage{id.value(), started_ms}, from);
}

void Edge::OnServerLimitMessage(const InstanceId& from,
                                const ServerLimitMessage& message) {
  const ServerId id(message.server);
  if (!state_.directory.IsSameStart(id, message.started_ms)) {
    return;
  }
  const auto change = state_.balancer.limits().OnPeerStatement(
      MonotonicNow(), id,
      message.limited ? std::optional(message.per_second) : std::nullopt);
  OnLimitStated(id, message.started_ms, change, from);
}

void Edge::OnLimitStated(const ServerId& id, std::int64_t started_ms,
                         serving::LimitChange change,
                         const std::optional<InstanceId>& from) {
  const auto limit = state_.balancer.limits().FindStated(id);
  if (change != serving::LimitChange::kNone &&
      change != serving::LimitChange::kConfirmed) {
    state_.metrics
        .GetCounter("figwell_server_limit_changes_total",
                    telemetry::Label("change", serving::Name(change)))
        .Add();
    telemetry::Log(Event::kServerLimitChanged, serving::Name(change),
                   {{"server", id.value()},
                    {"per_second", LimitText(limit)},
                    {"from", from ? from->value() : ""}});
  }
  if (!state_.balancer.limits().Find(id)) {
    permits_.RemoveServer(id);
  }
  peers_.Announce(MessageKind::kServerLimit,
                  ServerLimitMessage{id.value(), started_ms, limit.has_value(),
                                     limit.value_or(0)},
                  from);
}

void Edge::OnPaceLearned(const ServerId& id, std::int64_t started_ms,
                         double usual, const std::optional<InstanceId>& from) {
  if (!state_.directory.IsSameStart(id, started_ms)) {
    return;
  }
  if (from) {
    state_.balancer.paces().OnPeerUsual(
        MonotonicNow(), state_.directory.Find(id)->service, id, usual);
  } else {
    state_.metrics.GetCounter("figwell_pace_changes_total").Add();
    telemetry::Log(
        Event::kServerPaceChanged, {},
        {{"server", id.value()}, {"usual", fmt::format("{:.2f}", usual)}});
  }
  peers_.Announce(
      MessageKind::kServerPace,
      ServerPaceMessage{id.value(), started_ms, static_cast<float>(usual)},
      from);
}

// ---------------------------------------------------------------- instances

void Edge::OnInstanceEntries(const std::vector<serving::LoggedEntry>& entries) {
  // Until the store has listed all instances, entries from peers may be
  // incomplete.
  const bool first = instances_view_.listed() && !instances_listed_;
  instances_listed_ = instances_view_.listed();
  bool changed = first;  // the first listing may show that no leader exists
  for (const serving::LoggedEntry& entry : entries) {
    if (entry.key == placement_.LeaderKey()) {
      changed = true;
      leader_record_.reset();
      if (!entry.removed) {
        leader_record_ = {entry.key, entry.value, 0, entry.revision, 0};
      }
    }
    if (entry.key == placement_.EraKey()) {
      placement_.OnEraRecord(entry.removed ? "" : entry.value);
    }
    ApplyInstanceEntry(entry);
  }
  if (changed) {
    placement_.OnLeaderRecord(leader_record_);
  }
  peers_.SetRegistered(instances_);
  if (first) {
    placement_.OnRecordsListed();
    past_.OnRecordsListed();
    versions_.OnRecordsListed();
    UpdateFleetSize(MonotonicNow());  // later changes are applied at each tick
  }
}

void Edge::ApplyInstanceEntry(const serving::LoggedEntry& entry) {
  if (entry.key.starts_with(quarantine_.EntriesPrefix())) {
    quarantine_.OnStoreEntry(entry);
    return;
  }
  if (entry.key.starts_with(versions_.RecordsPrefix())) {
    versions_.OnStoreEntry(entry);
    return;
  }
  if (entry.key == past_.Key()) {
    past_.OnStoreEntry(entry);
    return;
  }
  const std::string prefix = registrar_.InstancesPrefix();
  if (!entry.key.starts_with(prefix)) {
    return;
  }
  const InstanceId id(entry.key.substr(prefix.size()));
  if (entry.removed) {
    instances_.erase(id);
  } else {
    instances_[id] = Registration::FromText(entry.value);
  }
}

}  // namespace figwell::edge
