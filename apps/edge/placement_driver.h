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
 * Orders the servers while this process holds the key of placement. The
 * decisions are in libs/serving; this makes their calls:
 *
 *   placement_driver.cc    the lease, demand, reports and plans
 *   placement_orders.cc  moves, orders and announcements
 */
class PlacementDriver {
 public:
  PlacementDriver(State& state, adapter::StoreClient& store,
                  http::Client& client, PeerGroup& peers, Registrar& registrar,
                  std::uint64_t incarnation);

  void Start();
  /** The key that the leader holds, as the watch says. */
  void OnLeaderRecord(const std::optional<store::KeyValue>& holder);
  void OnDemand(const InstanceId& from, const DemandMessage& message);
  void OnAdapterWanted(const AdapterWantedMessage& message);
  void OnServerChange(const ServerId& server, serving::ServerChange change);
  /** A request waits for an adapter: tells the leader. */
  void RequestAdapter(const serving::ModelTarget& target);
  /** Ends the lease: another process may lead at once. */
  void Resign();
  void SetCandidates(std::size_t instances, bool first_choice);

  std::string HolderKey() const;
  /** The instance that has the key, as the watch says. */
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
  /** How far ahead demand is forecast: until a load has ended. */
  Duration ForecastTime(const serving::ServiceSpec& service) const;
  void LogState(TimePoint now,
                const std::map<ServerId, serving::EngineState>& servers,
                const serving::Demand& demand);
  serving::Demand TotalDemand(TimePoint now);
  void Carry(TimePoint now, const serving::ReplicaMove& move);
  void SendDueUnloads(TimePoint now);
  /** @return whether the order left; it may not while this one cannot lead */
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
  /** One for all services: they load from the same weight store. */
  serving::LoadRateLimiter pacer_;
  std::map<InstanceId, serving::Demand> demand_of_peers_;
  std::map<InstanceId, TimePoint> demand_heard_;
  std::map<serving::ModelTarget, TimePoint> wanted_;
  std::map<serving::ModelTarget, TimePoint> asked_;
  std::map<ServerId, PendingUnload> unloads_;
  PlacementMessage announced_;  // still to be sent
  std::size_t reports_under_way_ = 0;
  TimePoint last_rebalance_;
  TimePoint state_logged_;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_PLACEMENT_DRIVER_H_
