#ifndef FIGWELL_APPS_EDGE_PLACEMENT_DRIVER_H_
#define FIGWELL_APPS_EDGE_PLACEMENT_DRIVER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "messages.h"
#include "peer_group.h"
#include "permit_client.h"
#include "registrar.h"
#include "state.h"

namespace figwell::edge {

/**
 * Sends load and unload orders to the servers while this process is the leader,
 * that is, holds the placement key in the store. Decisions are made in
 * libs/serving; this class makes the calls:
 *
 *   placement_driver.cc  the lease, demand, reports and plans
 *   placement_orders.cc  moves, orders and announcements
 */
class PlacementDriver {
 public:
  PlacementDriver(State& state, adapter::StoreClient& store,
                  http::Client& client, PeerGroup& peers, PermitClient& permits,
                  Registrar& registrar, std::uint64_t incarnation);

  void Start();
  /** The leader's key changed in the store; nullopt: it does not exist. */
  void OnLeaderRecord(const std::optional<store::KeyValue>& record);
  /** The record of the era in which an instance has led; empty if removed. */
  void OnEraRecord(const std::string& record);
  /** All records of the store have been read once. */
  void OnRecordsListed();
  void OnDemand(const InstanceId& from, const DemandMessage& message);
  void OnAdapterRequest(const AdapterRequestMessage& message);
  void OnServerChange(const ServerId& server, serving::ServerChange change);
  /** A request is waiting for an adapter: requests it from the leader. */
  void RequestAdapter(const serving::ModelTarget& target);
  /** Revokes the lease, so that another process can lead without delay. */
  void Resign();
  /**
   * Sets the delay before this instance takes a free leader key.
   * @param instances number of instances that follow the store
   * @param follows_store whether this instance follows the store
   */
  void UpdateTakeoverDelay(std::size_t instances, bool follows_store);

  std::string LeaderKey() const;
  /** Where a leader records the store's era; see SetLedSinceRestore. */
  std::string EraKey() const;
  /** The instance that holds the leader key, as last seen in the store. */
  const std::optional<InstanceId>& leader() const { return leader_; }

 private:
  struct PendingUnload {
    TimePoint due;
    serving::ReplicaMove move;
  };

  // placement_driver.cc
  void Tick();
  void TickLease(TimePoint now);
  void Execute(const serving::GrantLease& action);
  void Execute(const serving::RenewLease& action);
  void Execute(const serving::AcquireKey& action);
  void Execute(const serving::ReadKey& action);
  void OnNewEra();
  /** Whether an instance is recorded to have led in the store's era. */
  bool IsEraRecorded() const;
  void UpdateLedSinceRestore();
  void UpdateLeadership(TimePoint now);

  /** Keeps room for orders of others to a former start of the server. */
  void ExpectLateLoad(TimePoint now, const ServerId& server,
                      serving::ServerChange change);
  void Plan(TimePoint now, const serving::ServiceSpec& service);
  /** How far ahead demand is forecast: the longest load time of a model. */
  Duration ForecastHorizon(const serving::ServiceSpec& service) const;
  void LogState(TimePoint now,
                const std::map<ServerId, serving::EngineState>& servers,
                const serving::Demand& demand);
  serving::Demand TotalDemand(TimePoint now);

  // placement_reports.cc
  void ReadReports(TimePoint now, const ServiceId& service);
  void ReadReport(const serving::BackendServer& server);

  // placement_orders.cc
  void Execute(TimePoint now, const serving::ReplicaMove& move);
  void SendDueUnloads(TimePoint now);
  /** @return whether the order was sent; false if it may not be sent now */
  bool SendOrder(TimePoint now, const serving::ReplicaMove& move);
  void OnOrderResponse(
      const serving::Order& order,
      const tl::expected<http::Response, http::ClientError>& response);
  void Announce(const ServerId& server, const serving::ModelTarget& target,
                bool present);
  void SendAnnouncements();
  Duration LoadTime(const serving::Order& order) const;

  State& state_;
  adapter::StoreClient& store_;
  http::Client& client_;
  PeerGroup& peers_;
  PermitClient& permits_;
  Registrar& registrar_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer announce_timer_;
  serving::PlacementLease lease_;
  bool was_leading_ = false;
  TimePoint leads_since_;
  std::optional<InstanceId> leader_;
  std::optional<store::Era> led_in_era_;  ///< as recorded in the store

  serving::OrderTracker order_tracker_;
  serving::DemandForecast forecast_;
  std::map<ServiceId, serving::ReplicaHistory> histories_;
  /** Shared by all services, which load from the same weight store. */
  serving::LoadRateLimiter load_rate_limiter_;
  std::map<InstanceId, serving::Demand> peer_demand_;
  std::map<InstanceId, TimePoint> peer_demand_received_;
  std::map<serving::ModelTarget, TimePoint> requested_adapters_;
  std::map<serving::ModelTarget, TimePoint> sent_adapter_requests_;
  std::map<ServerId, PendingUnload> pending_unloads_;
  PlacementMessage pending_announcements_;  // not sent yet
  std::size_t reports_in_flight_ = 0;
  TimePoint last_rebalance_;
  TimePoint last_state_log_;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_PLACEMENT_DRIVER_H_
