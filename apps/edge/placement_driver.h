#ifndef FIGWELL_APPS_EDGE_PLACEMENT_DRIVER_H_
#define FIGWELL_APPS_EDGE_PLACEMENT_DRIVER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "messages.h"
#include "peer_group.h"
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
                  http::Client& client, PeerGroup& peers, Registrar& registrar,
                  std::uint64_t incarnation);

  void Start();
  /** The leader's key changed in the store; nullopt: it does not exist. */
  void OnLeaderRecord(const std::optional<store::KeyValue>& holder);
  void OnDemand(const InstanceId& from, const DemandMessage& message);
  void OnAdapterWanted(const AdapterWantedMessage& message);
  void OnServerChange(const ServerId& server, serving::ServerChange change);
  /** A request is waiting for an adapter: requests it from the leader. */
  void RequestAdapter(const serving::ModelTarget& target);
  /** Revokes the lease, so that another process can lead without delay. */
  void Resign();
  /**
   * Sets the delay before this instance takes a free leader key.
   * @param instances number of instances that follow the store
   * @param first_choice whether this instance follows the store
   */
  void SetCandidates(std::size_t instances, bool first_choice);

  std::string HolderKey() const;
  /** The instance that holds the leader key, as last seen in the store. */
  const std::optional<InstanceId>& leader() const { return leader_; }

 private:
  struct PendingUnload {
    TimePoint at;
    serving::ReplicaMove move;
  };

  void Tick();
  void TickLease(TimePoint now);
  void Carry(const serving::GrantLease& action);
  void Carry(const serving::RenewLease& action);
  void Carry(const serving::AcquireKey& action);
  void Carry(const serving::ReadKey& action);
  void NoteLeading(TimePoint now);

  void ReadReports(TimePoint now, const ServiceId& service);
  void ReadReport(const serving::BackendServer& server);
  void Plan(TimePoint now, const serving::ServiceSpec& service);
  /** How far ahead demand is forecast: the longest load time of a model. */
  Duration ForecastTime(const serving::ServiceSpec& service) const;
  void LogState(TimePoint now,
                const std::map<ServerId, serving::EngineState>& servers,
                const serving::Demand& demand);
  serving::Demand TotalDemand(TimePoint now);
  void Carry(TimePoint now, const serving::ReplicaMove& move);
  void SendDueUnloads(TimePoint now);
  /** @return whether the order was sent; false if it may not be sent now */
  bool SendOrder(TimePoint now, const serving::ReplicaMove& move);
  void OnOrderAnswer(
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
  Registrar& registrar_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer announce_timer_;
  serving::PlacementLease lease_;
  bool led_ = false;
  std::optional<InstanceId> leader_;

  serving::OrderTracker book_;
  serving::DemandForecast forecast_;
  std::map<ServiceId, serving::ReplicaHistory> histories_;
  /** Shared by all services, which load from the same weight store. */
  serving::LoadRateLimiter pacer_;
  std::map<InstanceId, serving::Demand> demand_of_peers_;
  std::map<InstanceId, TimePoint> demand_heard_;
  std::map<serving::ModelTarget, TimePoint> wanted_;
  std::map<serving::ModelTarget, TimePoint> asked_;
  std::map<ServerId, PendingUnload> unloads_;
  PlacementMessage announced_;  // not sent yet
  std::size_t reports_under_way_ = 0;
  TimePoint last_rebalance_;
  TimePoint state_logged_;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_PLACEMENT_DRIVER_H_
