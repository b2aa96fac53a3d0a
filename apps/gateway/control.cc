#include "control.h"

#include <algorithm>

namespace figwell::gateway {

namespace {

constexpr std::chrono::seconds kIsolationCheckInterval{1};
constexpr std::chrono::seconds kDemandInterval{5};

platform::EtcdOptions StoreOptions(const config::Settings& settings) {
  platform::EtcdOptions options;
  options.endpoints = settings.platform_endpoints;
  return options;
}

budget::UnitSettings UnitSettingsFor(const GatewayResources& resources) {
  budget::UnitSettings settings;
  settings.instance = resources.settings.instance;
  settings.incarnation = resources.incarnation;
  settings.domain = resources.settings.failure_domain;
  settings.prefix = resources.settings.platform_prefix + "units/";
  return settings;
}

}  // namespace

Control::Control(const GatewayResources& resources)
    : resources_(resources),
      store_(resources.context, StoreOptions(resources.settings)),
      log_(resources.settings.platform_prefix),
      peers_(resources.context, resources.settings, config::Role::kGateway,
             resources.incarnation, store_, log_, resources.registry,
             MakePeerCallbacks()),
      reports_(resources.context, resources.balancer,
               [this](const routing::FleetViewPtr& fleet) {
                 for (TrafficThread* thread : threads_) {
                   thread->PublishFleet(fleet);
                 }
               }),
      claims_(resources.context, store_, resources.process,
              resources.settings.platform_prefix),
      budgets_(resources.context, store_, UnitSettingsFor(resources),
               resources.registry,
               [this](const InstanceId& to, const BudgetMessage& message) {
                 SendBudgetMessage(to, message);
               }),
      demand_timer_(resources.context),
      keys_(std::make_shared<config::KeyIndex>(*log_.InForce())),
      denied_(std::make_shared<std::set<Digest>>()),
      isolation_timer_(resources.context) {}

daemon::PeerLinkCallbacks Control::MakePeerCallbacks() {
  daemon::PeerLinkCallbacks callbacks;
  callbacks.on_advanced = [this] { OnAdvanced(); };
  callbacks.on_members = [this] { OnMembers(); };
  callbacks.on_denials = [this](const std::set<Digest>& denied) {
    denied_ = std::make_shared<std::set<Digest>>(denied);
    Publish();
  };
  callbacks.on_message =
      [this](const InstanceId& from, daemon::MessageKind kind,
             std::string_view bytes) { OnMessage(from, kind, bytes); };
  callbacks.on_payload = [this](const InstanceId& from,
                                std::string_view payload) {
    if (payload == daemon::kPlacementLeaderPayload && IsInOwnDomain(from)) {
      planner_ = from;
    }
  };
  return callbacks;
}

Result<std::string> Control::Listen(const std::string& admin_address) {
  return peers_.Start(admin_address);
}

void Control::Start(std::vector<TrafficThread*> threads) {
  threads_ = std::move(threads);
  reports_.Start();
  budgets_.Start();
  CheckIsolation();
  SendDemand();
  // Publishes the state that peers sent before the threads started.
  Publish();
}

void Control::OnMembers() {
  std::vector<budget::TransferPeer> gateways = {
      {peers_.self(), resources_.settings.failure_domain}};
  for (const peers::Member& member : peers_.Members()) {
    const bool live = member.record.state == peers::MemberState::kAlive ||
                      member.record.state == peers::MemberState::kSuspect;
    if (live && !daemon::IsControllerMember(member.record.instance)) {
      gateways.push_back({member.record.instance, member.record.domain});
    }
  }
  budgets_.SetPeers(gateways);
}

namespace {

template <typename Message>
void Deliver(BudgetDriver& budgets, const InstanceId& from,
             std::string_view bytes) {
  if (const auto message = peers::Unpack<Message>(bytes)) {
    budgets.OnMessage(from, *message);
  }
}

// The message kinds of BudgetMessage's alternatives, indexed like the variant.
constexpr std::array kBudgetKinds = {
    daemon::MessageKind::kTransferRequest, daemon::MessageKind::kTransferAnswer,
    daemon::MessageKind::kLevelReport,     daemon::MessageKind::kUnitHeartbeat,
    daemon::MessageKind::kUnitEcho,        daemon::MessageKind::kTransferReturn,
    daemon::MessageKind::kLoanRequest,     daemon::MessageKind::kLoanAnswer};
static_assert(kBudgetKinds.size() == std::variant_size_v<BudgetMessage>);

}  // namespace

void Control::OnMessage(const InstanceId& from, daemon::MessageKind kind,
                        std::string_view bytes) {
  switch (kind) {
    case daemon::MessageKind::kTransferRequest:
      return Deliver<budget::TransferRequest>(budgets_, from, bytes);
    case daemon::MessageKind::kTransferAnswer:
      return Deliver<budget::TransferAnswer>(budgets_, from, bytes);
    case daemon::MessageKind::kLevelReport:
      return Deliver<budget::LevelReport>(budgets_, from, bytes);
    case daemon::MessageKind::kUnitHeartbeat:
      return Deliver<budget::UnitHeartbeat>(budgets_, from, bytes);
    case daemon::MessageKind::kUnitEcho:
      return Deliver<budget::UnitEcho>(budgets_, from, bytes);
    case daemon::MessageKind::kTransferReturn:
      return Deliver<budget::TransferReturn>(budgets_, from, bytes);
    case daemon::MessageKind::kLoanRequest:
      return Deliver<budget::LoanRequest>(budgets_, from, bytes);
    case daemon::MessageKind::kLoanAnswer:
      return Deliver<budget::LoanAnswer>(budgets_, from, bytes);
    case daemon::MessageKind::kDemand:
      return;  // for controllers only
  }
}

void Control::SendBudgetMessage(const InstanceId& to,
                                const BudgetMessage& message) {
  const std::string bytes = std::visit(
      [](const auto& content) { return peers::Pack(content); }, message);
  peers_.Send(to, kBudgetKinds[message.index()], bytes);
}

void Control::CheckIsolation() {
  const peers::ReachabilityStatus state = peers_.GetReachability();
  const config::Policy& policy = log_.InForce()->policy;
  const bool currently_isolated =
      state.reach == peers::ReachabilityLevel::kDomainIsolated ||
      state.reach == peers::ReachabilityLevel::kInstanceIsolated;
  const bool isolated = policy.isolation == config::IsolationRule::kRefuse &&
                        currently_isolated &&
                        MonotonicNow() - state.since >=
                            std::chrono::seconds(policy.isolation_seconds);
  if (isolated != isolated_) {
    isolated_ = isolated;
    Publish();
  }
  isolation_timer_.expires_after(kIsolationCheckInterval);
  isolation_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      CheckIsolation();
    }
  });
}

bool Control::IsInOwnDomain(const InstanceId& member) const {
  const auto members = peers_.Members();
  return std::any_of(members.begin(), members.end(), [&](const auto& known) {
    return known.record.instance == member &&
           known.record.domain == resources_.settings.failure_domain;
  });
}

void Control::SendDemand() {
  for (const placement::DemandReport& report :
       demand_.TakeReports(resources_.settings.instance, kDemandInterval)) {
    if (planner_) {
      peers_.Send(*planner_, daemon::MessageKind::kDemand, peers::Pack(report));
    }
  }
  demand_timer_.expires_after(kDemandInterval);
  demand_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      SendDemand();
    }
  });
}

void Control::RecordDemand(config::ModelTarget target, std::uint64_t tokens) {
  demand_.Record(std::move(target), tokens);
}

void Control::Stop() { peers_.Stop(); }

void Control::OnAdvanced() {
  const config::ConfigurationPtr& configuration = log_.InForce();
  keys_ = std::make_shared<config::KeyIndex>(*configuration);
  resources_.metrics.config_number.Set(
      static_cast<std::int64_t>(configuration->number));
  reports_.SetConfiguration(configuration);
  budgets_.SetConfiguration(*configuration);
  Publish();
}

SnapshotPtr Control::MakeSnapshot() const {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->configuration = log_.InForce();
  snapshot->keys = keys_;
  snapshot->denied = denied_;
  snapshot->budgets = budgets_.table();
  snapshot->draining = draining_;
  snapshot->isolated = isolated_;
  return snapshot;
}

void Control::Publish() {
  const SnapshotPtr snapshot = MakeSnapshot();
  for (TrafficThread* thread : threads_) {
    thread->Publish(snapshot);
  }
}

void Control::Drain() {
  draining_ = true;
  Publish();
  budgets_.Leave();
  peers_.Drain();
}

bool Control::left() const { return budgets_.left() && claims_.idle(); }

bool Control::ready() const {
  return !readiness_stopped_ && log_.Number() > 0 && peers_.IsCaughtUp();
}

void Control::Claim(ClaimRequest request, OnClaim on_answer) {
  TrafficThread* requesting_thread = TrafficThread::Current();
  boost::asio::post(
      resources_.context,
      [this, requesting_thread, request = std::move(request),
       on_answer = std::move(on_answer)]() mutable {
        claims_.Claim(request, [requesting_thread,
                                on_answer = std::move(on_answer)](
                                   const routing::ClaimAnswer& answer) {
          requesting_thread->Post([on_answer, answer] { on_answer(answer); });
        });
      });
}

void Control::FinishClaim(routing::ClaimId claim,
                          routing::FinishedAnswer answer) {
  boost::asio::post(resources_.context,
                    [this, claim, answer = std::move(answer)]() mutable {
                      claims_.Finish(claim, std::move(answer));
                    });
}

void Control::ReleaseClaim(routing::ClaimId claim) {
  boost::asio::post(resources_.context,
                    [this, claim] { claims_.Release(claim); });
}

void Control::AbandonClaim(routing::ClaimId claim) {
  boost::asio::post(resources_.context,
                    [this, claim] { claims_.Abandon(claim); });
}

void Control::RequestTokens(TeamId team, budget::Tokens missing) {
  boost::asio::post(resources_.context,
                    [this, team = std::move(team), missing] {
                      budgets_.RequestTokens(team, missing);
                    });
}

void Control::SettleCharge(TeamId team, TimePoint admitted,
                           budget::Tokens unused) {
  boost::asio::post(resources_.context,
                    [this, team = std::move(team), admitted, unused] {
                      budgets_.Settle(team, admitted, unused);
                    });
}

void Control::OnServerFailure(ServerId server) {
  boost::asio::post(resources_.context, [this, server = std::move(server)] {
    reports_.PollNow(server);
  });
}

}  // namespace figwell::gateway
