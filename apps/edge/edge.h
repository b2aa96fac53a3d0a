#ifndef FIGWELL_APPS_EDGE_EDGE_H_
#define FIGWELL_APPS_EDGE_EDGE_H_

#include <boost/asio.hpp>
#include <filesystem>
#include <optional>
#include <string>

#include "peer_group.h"
#include "placement_driver.h"
#include "registrar.h"
#include "request.h"
#include "shared_view.h"
#include "state.h"

namespace figwell::edge {

/** The running process: listeners, the view of the store, peers, the end. */
class Edge {
 public:
  Edge(std::string settings_file, const config::EdgeSettings& settings);

  /** Runs until a signal ends it. @return the exit status */
  int Run();

 private:
  // edge.cc
  Result<void> Listen();
  /** Runs the event loop; an exception ends only what threw it. */
  void RunUntilStopped();
  void OnCallerRequest(http::ExchangePtr exchange);
  void ApplyLimits(const serving::CallerLimits& configured);
  void OnReadyRequest(const http::ExchangePtr& exchange);
  void OnMetricsRequest(const http::ExchangePtr& exchange);
  bool Ready() const;
  void WaitForSignal();
  void OnSignal(int signal);
  void CheckSettingsFile();
  void ReloadSettings();
  void Stop();
  void CheckStopped();

  // edge_view.cc
  void OnConfigurationItem(const store::KeyValue& item);
  void TakeConfiguration(const std::string& document, std::string_view source);
  SharedViewCallbacks ServersCallbacks();
  SharedViewCallbacks InstancesCallbacks();
  SharedView& ViewOf(ViewId view);
  void Ask(const InstanceId& peer, ViewId view, store::Revision after);
  void OnChangesWanted(const InstanceId& from,
                       const ChangesWantedMessage& wanted);
  /** Reads everything in the store again: peers have known more for long. */
  void OnStaleView(const SharedView& view);
  void OnServerEntries(const std::vector<serving::LoggedEntry>& entries);
  void OnServerChange(const ServerId& id, serving::ServerChange change);
  /** A server said that it leaves, here or to the peer named `from`. */
  void OnServerLeaving(const ServerId& id, std::int64_t started_ms,
                       const std::optional<InstanceId>& from);
  void OnInstanceEntries(const std::vector<serving::LoggedEntry>& entries);
  void NoteInstance(const serving::LoggedEntry& entry);

  // edge_peers.cc
  void OnMessage(const InstanceId& from, MessageKind kind,
                 std::string_view bytes);
  void OnStatus(const InstanceId& from, const StatusMessage& status);
  void OnDomainStatus(const InstanceId& from,
                      const DomainStatusMessage& message);
  void OnPlacements(const InstanceId& from, const PlacementMessage& message);
  void TellOfLeaving(const ServerLeavingMessage& message,
                     const std::optional<InstanceId>& from);
  /** The loads in this part of a message, of servers that are known. */
  std::map<ServerId, serving::PeerLoad> ReadLoads(
      const StatusMessage& status) const;
  /** The loads that a member told of, with this part of its message. */
  const std::map<ServerId, serving::PeerLoad>& TakeLoads(
      const InstanceId& from, const StatusMessage& status);
  /** The name under which another domain's sums are kept. */
  static InstanceId StandInFor(const DomainId& domain);
  void CompareRevisions(const InstanceId& from, const StatusMessage& status);
  /** Whether this instance or others follow the store for its domain. */
  void DecideFollowing(TimePoint now);
  void TickStatus();
  void TickDemand();
  void NotePeers(TimePoint now);
  /** Whether other domains need to know of the load. */
  bool IsWorthTelling(const ServerId& server,
                      const serving::PeerLoad& load) const;
  /** In parts that fit into datagrams. */
  std::vector<StatusMessage> MakeStatus(
      std::uint64_t incarnation,
      const std::map<ServerId, serving::PeerLoad>& loads,
      const std::vector<serving::TeamSpending>& spending) const;
  /** The loads of the domain's instances that others need to know of. */
  std::map<ServerId, serving::PeerLoad> DomainLoads(
      TimePoint now, const std::map<ServerId, serving::PeerLoad>& own) const;
  /** @param loads null: those that were told before still hold */
  void SendDomainStatus(TimePoint now,
                        const std::map<ServerId, serving::PeerLoad>* loads,
                        const std::vector<serving::TeamSpending>& spending);
  void SendStatus(TimePoint now);
  /** Tells what teams spent and which changes are known, without loads. */
  void SendStatusSoon();

  boost::asio::io_context context_;
  std::string settings_file_;
  std::filesystem::file_time_type settings_time_;
  State state_;
  std::uint64_t incarnation_;
  http::Client store_http_;
  http::Client server_http_;
  adapter::StoreClient store_;
  PeerGroup peers_;
  Registrar registrar_;
  PlacementDriver placement_;
  StoreFollower configuration_follower_;
  SharedView servers_view_;
  SharedView instances_view_;
  http::Server callers_;
  http::Server ready_;
  http::Server metrics_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer status_timer_;
  boost::asio::steady_timer demand_timer_;
  boost::asio::steady_timer settings_timer_;
  boost::asio::steady_timer stop_timer_;
  serving::DomainSummary summary_;
  std::map<InstanceId, Registration> instances_;
  std::map<std::uint64_t, ServerId> server_of_hash_;
  std::map<InstanceId, std::map<ServerId, serving::PeerLoad>> told_loads_;
  serving::FollowerSelection follower_selection_;
  std::optional<store::KeyValue> holder_;
  bool listed_instances_ = false;
  TimePoint status_sent_;
  std::optional<TimePoint> stopping_;
  bool accepting_ = true;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_EDGE_H_
