#ifndef FIGWELL_APPS_GATEWAY_CONTROL_H_
#define FIGWELL_APPS_GATEWAY_CONTROL_H_

#include <boost/asio.hpp>
#include <memory>
#include <set>
#include <vector>

#include "budget_driver.h"
#include "claim_driver.h"
#include "demand.h"
#include "figwell/platform.h"
#include "figwell/versions.h"
#include "peer_link.h"
#include "report_poller.h"
#include "shared.h"
#include "traffic_thread.h"

namespace figwell::gateway {

/** Objects that all of a gateway uses; owned by main, outlive all threads. */
struct GatewayResources {
  boost::asio::io_context& context;
  const config::Settings& settings;
  telemetry::Registry& registry;
  Metrics& metrics;
  routing::Balancer& balancer;
  /** Unique id of this run: the instance name and a random suffix. */
  std::string process;
  std::uint64_t incarnation = 0;
};

/**
 * The control state of a gateway, on one thread: configuration, reports,
 * budgets, claims. Traffic threads read snapshots of it and send requests
 * through ControlPort.
 */
class Control : public ControlPort {
 public:
  explicit Control(const GatewayResources& resources);

  /** Opens the peers' listener. @return its address */
  Result<std::string> Listen(const std::string& admin_address);
  void Start(std::vector<TrafficThread*> threads);

  /** Makes /readyz fail, so that the load balancer in front sends no more. */
  void StopReadiness() { readiness_stopped_ = true; }
  /** Refuses new requests as `draining` and releases units and leases. */
  void Drain();
  /** Whether the units are released and no claim is pending. */
  bool left() const;
  /** Announces to the peers that this process leaves, and closes sockets. */
  void Stop();

  /** Denies a key on all instances, through the peers and not the store. */
  Result<void> Deny(const Digest& digest) { return peers_.Deny(digest); }
  const daemon::PeerLink& peers() const { return peers_; }

  /** Whether a configuration is in force and requests can be served. */
  bool ready() const;
  const versions::VersionLog& log() const { return log_; }
  const ReportPoller& reports() const { return reports_; }
  const BudgetDriver& budgets() const { return budgets_; }
  SnapshotPtr MakeSnapshot() const;

  void Claim(ClaimRequest request, OnClaim on_answer) override;
  void FinishClaim(routing::ClaimId claim,
                   routing::FinishedAnswer answer) override;
  void ReleaseClaim(routing::ClaimId claim) override;
  void AbandonClaim(routing::ClaimId claim) override;
  void RequestTokens(TeamId team, budget::Tokens missing) override;
  void SettleCharge(TeamId team, TimePoint admitted,
                    budget::Tokens unused) override;
  void RecordDemand(config::ModelTarget target, std::uint64_t tokens) override;
  void OnServerFailure(ServerId server) override;

 private:
  daemon::PeerLinkCallbacks MakePeerCallbacks();
  void OnAdvanced();
  void OnMembers();
  void OnMessage(const InstanceId& from, daemon::MessageKind kind,
                 std::string_view bytes);
  void SendBudgetMessage(const InstanceId& to, const BudgetMessage& message);
  void CheckIsolation();
  bool IsInOwnDomain(const InstanceId& member) const;
  void SendDemand();
  void Publish();

  const GatewayResources& resources_;
  platform::EtcdStore store_;
  versions::VersionLog log_;
  daemon::PeerLink peers_;
  ReportPoller reports_;
  ClaimDriver claims_;
  BudgetDriver budgets_;
  Demand demand_;
  boost::asio::steady_timer demand_timer_;
  std::optional<InstanceId> planner_;
  std::vector<TrafficThread*> threads_;
  std::shared_ptr<const config::KeyIndex> keys_;
  std::shared_ptr<const std::set<Digest>> denied_;
  boost::asio::steady_timer isolation_timer_;
  bool readiness_stopped_ = false;
  bool draining_ = false;
  bool isolated_ = false;
};

}  // namespace figwell::gateway

#endif  // FIGWELL_APPS_GATEWAY_CONTROL_H_
