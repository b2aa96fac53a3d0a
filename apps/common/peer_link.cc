#include "peer_link.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace figwell::daemon {

using telemetry::Event;

namespace {

constexpr std::string_view kControllerSuffix = "/controller";
constexpr std::size_t kMaxOfferedPatchBytes = 524'288;

// The instance list is only needed by a process that knows no peer; otherwise
// peers announce the members, and the list is read rarely.
constexpr std::chrono::seconds kInstanceReadIntervalWithoutPeers{5};
constexpr std::chrono::minutes kInstanceReadIntervalWithPeers{10};
constexpr std::chrono::hours kInstanceLeaseTtl{1};

Result<std::string> ReadSecret(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string secret((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
  while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
    secret.pop_back();
  }
  if (secret.empty()) {
    return Fail(ErrorCode::kNotFound,
                "the peer secret file is missing or empty: " + path);
  }
  return secret;
}

Result<std::vector<std::string>> ReadSecrets(const config::Settings& settings) {
  std::vector<std::string> secrets;
  for (const std::string& path :
       {settings.peer_secret_file, settings.peer_other_secret_file}) {
    if (path.empty()) {
      continue;
    }
    auto secret = ReadSecret(path);
    if (!secret) {
      return tl::unexpected(secret.error());
    }
    secrets.push_back(std::move(*secret));
  }
  return secrets;
}

}  // namespace

InstanceId ControllerMember(const InstanceId& instance) {
  return InstanceId(instance.value() + std::string(kControllerSuffix));
}

bool IsControllerMember(const InstanceId& member) {
  return member.value().ends_with(kControllerSuffix);
}

PeerLink::PeerLink(boost::asio::io_context& context,
                   const config::Settings& settings, config::Role role,
                   std::uint64_t incarnation, platform::EtcdStore& store,
                   versions::VersionLog& log, telemetry::Registry& metrics,
                   PeerLinkCallbacks callbacks)
    : context_(context),
      settings_(settings),
      self_(role == config::Role::kController
                ? ControllerMember(settings.instance)
                : settings.instance),
      incarnation_(incarnation),
      store_(store),
      log_(log),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      feed_(store, log,
            {[this] { OnLogAdvanced(); },
             [this](bool reached, std::optional<config::VersionNumber> head) {
               node_->OnStoreAnswer(reached, head);
             }}),
      instance_read_timer_(context) {}

peers::PeerCallbacks PeerLink::MakeCallbacks() {
  peers::PeerCallbacks callbacks;
  callbacks.watch = [this](bool watch) { feed_.SetWatching(watch); };
  callbacks.read_store = [this] { feed_.ReadStore(); };
  callbacks.apply = [this](const peers::ConfigurationUpdate& update) {
    Apply(update);
  };
  callbacks.snapshot = [this] {
    return peers::Patch{log_.Number(), log_.EncodeFullVersion()};
  };
  callbacks.message = [this](const InstanceId& from, std::uint16_t kind,
                             std::string_view bytes) {
    callbacks_.on_message(from, static_cast<MessageKind>(kind), bytes);
  };
  callbacks.payload = callbacks_.on_payload;
  callbacks.denials = callbacks_.on_denials;
  callbacks.members = [this] {
    const peers::ReachabilityStatus state = node_->GetReachability();
    if (state.reach != reachability_level_) {
      reachability_level_ = state.reach;
      telemetry::Log(Event::kCutOffChanged, Name(reachability_level_));
    }
    PublishCounters();
    callbacks_.on_members();
  };
  return callbacks;
}

Result<std::string> PeerLink::Start(const std::string& admin_address) {
  auto secrets = ReadSecrets(settings_);
  if (!secrets) {
    return tl::unexpected(secrets.error());
  }
  peers::PeerSettings settings;
  settings.instance = self_;
  settings.domain = settings_.failure_domain;
  settings.listen = settings_.listen_peers;
  settings.admin_address = admin_address;
  settings.seeds = settings_.peer_seeds;
  settings.secrets = std::move(*secrets);
  settings.incarnation = incarnation_;
  settings.random_seed = StableHash(self_.value(), incarnation_);
  node_ = std::make_unique<peers::PeerNode>(context_, std::move(settings),
                                            MakeCallbacks());
  auto bound = node_->Start();
  if (!bound) {
    return bound;
  }
  peers_address_ = *bound;
  admin_address_ = admin_address;
  Register(/*leaving=*/false);
  ScheduleInstanceRead();
  return bound;
}

void PeerLink::Apply(const peers::ConfigurationUpdate& update) {
  config::VersionNumber newest = update.snapshot.number;
  if (newest > log_.Number()) {
    log_.ApplyFullVersion(update.snapshot.bytes);
  }
  for (const peers::Patch& patch : update.patches) {
    newest = std::max(newest, patch.number);
    if (patch.number > log_.Number()) {
      log_.ApplyPatchRecord(patch.bytes);
    }
  }
  if (log_.Number() < newest) {
    telemetry::Log(
        Event::kConfigRejected,
        "an update from a peer cannot be applied; requesting a snapshot",
        {{"number", std::to_string(newest)}});
    node_->OnUpdateFailed();
  }
  PutInForce();
}

void PeerLink::OnLogAdvanced() {
  if (log_.Number() == number_in_force_) {
    return;
  }
  // The relay stores the offered update for peers that fetch it.
  peers::ConfigurationUpdate update;
  for (const auto& patch :
       log_.PatchesAfter(number_in_force_, kMaxOfferedPatchBytes)) {
    update.patches.push_back({patch.number, patch.bytes});
  }
  if (update.patches.empty()) {
    update.snapshot = {log_.Number(), log_.EncodeFullVersion()};
  }
  node_->OfferUpdate(update);
  PutInForce();
}

void PeerLink::PutInForce() {
  if (log_.Number() == number_in_force_) {
    return;
  }
  number_in_force_ = log_.Number();
  telemetry::Log(Event::kConfigInForce, "a newer version is in force",
                 {{"number", std::to_string(number_in_force_)}});
  // The node stores this function and calls it for each later denial.
  const auto keys = std::make_shared<const config::KeyIndex>(*log_.InForce());
  node_->SetInForce(number_in_force_, [keys](const Digest& digest) {
    return keys->Find(digest) != nullptr;
  });
  callbacks_.on_advanced();
}

void PeerLink::Send(const InstanceId& to, MessageKind kind,
                    std::string_view bytes) {
  // Errors are ignored: senders tolerate a departed peer and lost datagrams.
  (void)node_->Send(to, static_cast<std::uint16_t>(kind), bytes);
}

void PeerLink::SetPayload(std::string payload) {
  (void)node_->SetPayload(std::move(payload));
}

Result<void> PeerLink::Deny(const Digest& digest) {
  return node_->Deny(digest);
}

void PeerLink::Drain() {
  node_->Drain();
  Register(/*leaving=*/true);
}

void PeerLink::Stop() {
  instance_read_timer_.cancel();
  node_->Leave();
  node_->Stop();
}

std::vector<peers::Member> PeerLink::Members() const {
  return node_->Members();
}

peers::Member PeerLink::Self() const {
  peers::Member self;
  self.record.instance = self_;
  self.record.domain = settings_.failure_domain;
  self.record.admin_address = admin_address_;
  self.number_in_force = log_.Number();
  return self;
}

peers::ReachabilityStatus PeerLink::GetReachability() const {
  return node_->GetReachability();
}

bool PeerLink::IsCaughtUp() const { return node_ && node_->IsCaughtUp(); }

void PeerLink::Register(bool leaving) {
  platform::Instance instance;
  instance.instance = self_;
  instance.failure_domain = settings_.failure_domain;
  instance.region = settings_.region;
  instance.peers_address = peers_address_;
  instance.admin_address = admin_address_;
  instance.leaving = leaving;
  const auto write = [this, instance](const Result<store::LeaseId>& lease) {
    if (lease) {
      store_.Execute(
          platform::InstanceUpdate(settings_.platform_prefix, instance, *lease),
          [](const Result<store::TransactionResult>&) {});
    }
  };
  store_.GrantLease(kInstanceLeaseTtl, write);
}

void PeerLink::ReadInstances() {
  store_.Execute(
      platform::InstanceQuery(settings_.platform_prefix),
      [this](const Result<store::TransactionResult>& result) {
        if (!result) {
          return;
        }
        std::vector<std::string> addresses;
        for (const platform::Instance& instance :
             platform::ReadInstances(settings_.platform_prefix, *result)) {
          if (instance.peers_address != peers_address_) {
            addresses.push_back(instance.peers_address);
          }
        }
        node_->SetInstanceHints(std::move(addresses));
      });
}

void PeerLink::ScheduleInstanceRead() {
  ReadInstances();
  const bool has_no_peers = node_->Members().empty();
  instance_read_timer_.expires_after(
      has_no_peers ? Duration(kInstanceReadIntervalWithoutPeers)
                   : Duration(kInstanceReadIntervalWithPeers));
  instance_read_timer_.async_wait(
      [this](const boost::system::error_code& error) {
        if (error) {
          return;
        }
        if (!node_->Members().empty()) {
          // The entry is removed when its lease expires; rewrite it well
          // before.
          Register(/*leaving=*/false);
        }
        ScheduleInstanceRead();
      });
}

void PeerLink::PublishCounters() {
  const peers::Counters& counters = node_->counters();
  for (std::size_t i = 0; i < peers::kDropReasons; ++i) {
    auto& counter = metrics_.GetCounter(
        "figwell_peer_messages_dropped_total",
        telemetry::Label("reason", Name(static_cast<peers::DropReason>(i))));
    counter.Add(counters.dropped[i] - counter.value());
  }
  const std::pair<std::string_view, std::uint64_t> bytes[] = {
      {"in", counters.bytes_received}, {"out", counters.bytes_sent}};
  for (const auto& [direction, value] : bytes) {
    auto& counter = metrics_.GetCounter(
        "figwell_peer_bytes_total", telemetry::Label("direction", direction));
    counter.Add(value - counter.value());
  }
}

}  // namespace figwell::daemon
