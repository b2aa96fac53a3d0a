#include "peer_group.h"

namespace figwell::edge {
namespace {

using telemetry::Event;

constexpr std::size_t kSecretBytes = 32;
constexpr std::chrono::milliseconds kSecretRetryInterval{300};
// Sending a message needs the list of members. In a large fleet copying the
// list costs more than sending the message, so a copy is reused for this long.
constexpr Duration kMaxSnapshotAge = std::chrono::milliseconds(100);
// A dead member may still serve on the other side of a network partition. After
// this long it no longer counts as serving.
constexpr Duration kDeadMemberRetention = std::chrono::seconds(60);
// Builds with eras send several messages a second to each other. A peer that
// has sent none for this long may have been replaced by an earlier build.
constexpr Duration kErasUnderstoodTimeout = std::chrono::seconds(3);

config::VersionNumber VersionOf(std::int64_t number) {
  return static_cast<config::VersionNumber>(number);
}

}  // namespace

PeerGroup::PeerGroup(boost::asio::io_context& context,
                     adapter::StoreClient& store,
                     const config::EdgeSettings& settings,
                     std::uint64_t incarnation, PeerCallbacks callbacks)
    : context_(context),
      store_(store),
      settings_(settings),
      incarnation_(incarnation),
      callbacks_(std::move(callbacks)),
      timer_(context) {
  store_.OnNewEra([this](store::Era) { ReadSecret(); });
}

std::string PeerGroup::SecretKey() const {
  return settings_.store_prefix + "secret";
}

void PeerGroup::Start() { ReadSecret(); }

void PeerGroup::ReadSecret() {
  store_.Read(SecretKey(),
              [this](const Result<std::optional<store::KeyValue>>& item) {
                if (!item) {
                  ScheduleSecretRetry();
                } else if (*item) {
                  OnSecret((*item)->value);
                } else {
                  WriteSecret();
                }
              });
}

void PeerGroup::WriteSecret() {
  adapter::Change change;
  change.conditions.push_back({SecretKey(), 0});
  change.writes.push_back(
      {SecretKey(), secret_.empty() ? RandomHex(kSecretBytes) : secret_, 0});
  // Another process may have written the secret first, and the outcome of the
  // write may be unknown, so the secret is always read back.
  store_.Commit(change, [this](const Result<adapter::ChangeResult>&) {
    ScheduleSecretRetry();
  });
}

void PeerGroup::ScheduleSecretRetry() {
  timer_.expires_after(kSecretRetryInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      ReadSecret();
    }
  });
}

void PeerGroup::OnSecret(const std::string& secret) {
  if (node_ && secret != secret_) {
    telemetry::Log(Event::kSecretAdded,
                   "the store has another peers' secret since it was restored; "
                   "accepting both");
    node_->AddSecret(secret);
  }
  secret_ = secret;
  if (!node_) {
    StartNode();
  }
}

void PeerGroup::StartNode() {
  peers::PeerSettings settings;
  settings.instance = settings_.instance;
  settings.domain = settings_.failure_domain;
  settings.listen = settings_.listen_peers;
  settings.admin_address = settings_.listen_metrics;
  settings.secrets = {secret_};
  settings.incarnation = incarnation_;
  settings.random_seed = StableHash(settings_.instance.value(), incarnation_);
  peers::PeerCallbacks callbacks;
  callbacks.watch = [](bool) {};
  callbacks.read_store = [] {};
  callbacks.apply = [this](const peers::ConfigurationUpdate& update) {
    if (update.snapshot.number > 0) {
      callbacks_.on_configuration(
          static_cast<std::int64_t>(update.snapshot.number),
          update.snapshot.bytes);
    }
  };
  callbacks.snapshot = [this] {
    return peers::Patch{VersionOf(configuration_number_), configuration_};
  };
  callbacks.message = [this](const InstanceId& from, std::uint16_t kind,
                             std::string_view bytes) {
    OnMessage(from, static_cast<MessageKind>(kind), bytes);
  };
  callbacks.payload = [](const InstanceId&, std::string_view) {};
  callbacks.denials = [](const std::set<Digest>&) {};
  callbacks.members = [this] { callbacks_.on_members(); };
  node_ = std::make_unique<peers::PeerNode>(context_, std::move(settings),
                                            std::move(callbacks));
  if (const auto bound = node_->Start(); !bound) {
    telemetry::Log(
        Event::kStartFailed,
        "peer listener did not start; will retry: " + bound.error().message);
    node_.reset();
    ScheduleSecretRetry();
    return;
  }
  SetRegistered(registered_);
  if (configuration_number_ > 0) {
    SetConfiguration(configuration_number_, configuration_);
  }
}

void PeerGroup::OnMessage(const InstanceId& from, MessageKind kind,
                          std::string_view bytes) {
  if (HasEras(kind) || kind == MessageKind::kBuild) {
    understood_eras_at_[from] = MonotonicNow();
  }
  callbacks_.on_message(from, kind, bytes);
}

bool PeerGroup::UnderstandsEras(const InstanceId& peer) const {
  const auto understood_at = understood_eras_at_.find(peer);
  return understood_at != understood_eras_at_.end() &&
         MonotonicNow() - understood_at->second < kErasUnderstoodTimeout;
}

void PeerGroup::AnnounceBuild() {
  std::vector<InstanceId> to = ReachableInOwnDomain();
  for (const auto& [domain, delegate] : Delegates()) {
    if (domain != settings_.failure_domain) {
      to.push_back(delegate);
    }
  }
  for (const InstanceId& peer : to) {
    if (!UnderstandsEras(peer)) {
      Send(peer, MessageKind::kBuild, BuildMessage{});
    }
  }
}

Registration Registration::FromText(const std::string& text) {
  const std::size_t space = text.find(' ');
  Registration registration{text.substr(0, space), {}};
  if (space != std::string::npos) {
    registration.domain = DomainId(text.substr(space + 1));
  }
  return registration;
}

void PeerGroup::SetRegistered(
    const std::map<InstanceId, Registration>& instances) {
  registered_ = instances;
  if (!node_) {
    return;
  }
  std::vector<std::string> addresses;
  for (const auto& [instance, registration] : registered_) {
    if (instance != settings_.instance) {
      addresses.push_back(registration.address);
    }
  }
  node_->SetInstanceHints(std::move(addresses));
}

void PeerGroup::SetConfiguration(std::int64_t number,
                                 const std::string& document) {
  configuration_number_ = number;
  configuration_ = document;
  if (!node_) {
    return;
  }
  node_->OfferUpdate({{VersionOf(number), document}, {}});
  node_->SetInForce(VersionOf(number), [](const Digest&) { return false; });
}

void PeerGroup::OnStoreResult(bool reached) {
  if (node_) {
    node_->OnStoreAnswer(reached,
                         reached && configuration_number_ > 0
                             ? std::optional(VersionOf(configuration_number_))
                             : std::nullopt);
  }
}

void PeerGroup::SendBytes(const InstanceId& to, MessageKind kind,
                          const std::string& bytes) {
  if (node_) {
    // Fails for a peer that has just left. Senders tolerate lost messages.
    (void)node_->Send(to, static_cast<std::uint16_t>(kind), bytes);
  }
}

const PeerGroup::Snapshot& PeerGroup::Members() const {
  const TimePoint now = MonotonicNow();
  if (!node_ || now - snapshot_.taken_at < kMaxSnapshotAge) {
    return snapshot_;
  }
  snapshot_ = {now, node_->Members(), {}, {}};
  for (const peers::Member& member : snapshot_.members) {
    const peers::MemberRecord& record = member.record;
    if (record.state != peers::MemberState::kDead &&
        record.state != peers::MemberState::kLeft) {
      snapshot_.reachable.emplace(record.instance, record.domain);
    }
    if (record.state == peers::MemberState::kAlive) {
      snapshot_.live.emplace(record.instance, record.domain);
    }
  }
  return snapshot_;
}

const std::map<InstanceId, DomainId>& PeerGroup::Reachable() const {
  return Members().reachable;
}

std::vector<InstanceId> PeerGroup::ReachableInOwnDomain() const {
  std::vector<InstanceId> reachable;
  for (const auto& [instance, domain] : Reachable()) {
    if (domain == settings_.failure_domain) {
      reachable.push_back(instance);
    }
  }
  return reachable;
}

std::set<InstanceId> PeerGroup::LiveInOwnDomain() const {
  std::set<InstanceId> live;
  for (const auto& [instance, domain] : Members().live) {
    if (domain == settings_.failure_domain) {
      live.insert(instance);
    }
  }
  return live;
}

std::map<DomainId, InstanceId> PeerGroup::Delegates() const {
  auto live = Members().live;
  live.emplace(settings_.instance, settings_.failure_domain);
  std::map<DomainId, InstanceId> delegates;
  for (const auto& [instance, domain] : live) {
    delegates.emplace(domain, instance);  // keeps the first by name
  }
  return delegates;
}

std::map<InstanceId, DomainId> PeerGroup::PossiblyServing(TimePoint now) const {
  std::map<InstanceId, DomainId> serving;
  for (const auto& [instance, registration] : registered_) {
    serving.emplace(instance, registration.domain);
  }
  if (node_) {
    for (const peers::Member& member : Members().members) {
      const InstanceId& id = member.record.instance;
      if (member.record.state == peers::MemberState::kLeft) {
        serving.erase(id);
        continue;
      }
      if (member.record.state != peers::MemberState::kDead) {
        dead_since_.erase(id);
        serving.emplace(id, member.record.domain);
      } else if (now - dead_since_.try_emplace(id, now).first->second <
                 kDeadMemberRetention) {
        serving.emplace(id, member.record.domain);
      }
    }
  }
  serving.erase(settings_.instance);
  return serving;
}

void PeerGroup::Leave() {
  if (node_) {
    node_->Leave();
  }
}

}  // namespace figwell::edge
