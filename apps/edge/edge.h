#ifndef FIGWELL_APPS_EDGE_EDGE_H_
#define FIGWELL_APPS_EDGE_EDGE_H_

#include <boost/asio.hpp>
#include <filesystem>
#include <optional>
#include <string>

#include "past_driver.h"
#include "peer_group.h"
#include "permit_client.h"
#include "placement_driver.h"
#include "quarantine_driver.h"
#include "registrar.h"
#include "request.h"
#include "shared_view.h"
#include "state.h"
#include "version_driver.h"

namespace figwell::edge {

/** The running process: listeners, view of the store, peers and shutdown. */
class Edge {
 public:
  Edge(std::string settings_file, const config::EdgeSettings& settings);

  /** Runs until a signal stops it. @return the exit status */
  int Run();

 private:
  // edge.cc
  /** Refusals and shortages are counted alike for all listeners. */
  http::ServerHandlers ListenerHandlers(
      std::function<void(http::ExchangePtr)> on_request);
  Result<void> Listen();
  /** Runs the event loop; an exception aborts only the handler that threw. */
  void RunUntilStopped();
  void OnCallerRequest(http::ExchangePtr exchange);
  void ApplyLimits(const serving::CallerLimits& configured);
  void OnReadyRequest(const http::ExchangePtr& exchange);
  void OnMetricsRequest(const http::ExchangePtr& exchange);
  bool Ready() const;
  /**
   * A connection could not be accepted or made for lack of descriptors: the
   * oldest idle connection to a server gives its descriptor to the next try.
   */
  void OnDescriptorShortage(std::string_view operation,
                            const std::string& error);
  void WaitForSignal();
  void OnSignal(int signal);
  void CheckSettingsFile();
  void ReloadSettings();
  void Stop();
  void CheckStopped();

  // edge_view.cc
  void OnConfigurationItem(const store::KeyValue& item);
  /** All of the operator's keys, as of a revision. */
  void OnConfigurationListing(const adapter::Listing& listing);
  void OnConfigurationEvent(const store::WatchEvent& event);
  void ApplyConfiguration(const std::string& document, std::string_view source);
  SharedViewCallbacks ServersCallbacks();
  SharedViewCallbacks InstancesCallbacks();
  SharedView& ViewOf(ViewId view);
  void RequestChanges(const InstanceId& peer, ViewId view,
                      store::Revision after);
  void OnChangesRequest(const InstanceId& from, MessageKind kind,
                        const ChangesRequestMessage& request);
  void OnChanges(MessageKind kind, const ChangesMessage& message);
  /**
   * A revision in a message of that kind. A build without eras has what it has
   * in the current era, as far as it knows.
   */
  store::Revision RevisionIn(MessageKind kind, store::Revision stated) const;
  /**
   * Whether changes from the sender of such a message can be used: after a
   * restore, a build without eras may have revisions from before it.
   */
  bool CanUseChanges(MessageKind kind) const;
  /**
   * Reads the newest entries of servers from the store. If it does not answer
   * in time, it has to do that a peer which follows the store has none that are
   * newer.
   */
  void CatchUpWithServers(std::function<void(bool)> on_done);
  /** Reads them, again and again until `done` is set. */
  void ReadServers(const std::shared_ptr<bool>& done,
                   const std::function<void(bool)>& on_done);
  /** Peers have had newer entries for too long: reads from the store. */
  void OnStaleView(const SharedView& view);
  void OnServerEntries(const std::vector<serving::LoggedEntry>& entries);
  void OnServerChange(const ServerId& id, serving::ServerChange change);
  /** A server announced that it is leaving, here or to the peer `from`. */
  void OnServerLeaving(const ServerId& id, std::int64_t started_ms,
                       const std::optional<InstanceId>& from);
  /** A peer announced that a server's limit began, changed or ended. */
  void OnServerLimitMessage(const InstanceId& from,
                            const ServerLimitMessage& message);
  /**
   * A server has stated its limit or its end, here or to the peer `from`: logs
   * a change, and announces or forwards the statement.
   */
  void OnLimitStated(const ServerId& id, std::int64_t started_ms,
                     serving::LimitChange change,
                     const std::optional<InstanceId>& from);
  /** The usual pace of a server was learned, here or by the peer `from`. */
  void OnPaceLearned(const ServerId& id, std::int64_t started_ms, double usual,
                     const std::optional<InstanceId>& from);
  void OnInstanceEntries(const std::vector<serving::LoggedEntry>& entries);
  void ApplyInstanceEntry(const serving::LoggedEntry& entry);

  // edge_evacuations.cc
  /** Applies what changed in `state_.evacuations`. */
  void ApplyEvacuations(std::string_view source);
  void OnEvacuationsMessage(const InstanceId& from,
                            const EvacuationsMessage& message);
  /** Sends the evacuations to the peers if this is the domain's delegate. */
  void AnnounceEvacuations(TimePoint now);

  // edge_cold_servers.cc
  /** Applies how long servers stay cold, as far as their entries are known. */
  void ApplyColdStatements();
  /** Tells the own domain of servers that are cold, or that have appeared. */
  void AnnounceColdServers(const std::set<ServerId>& appeared);
  void OnServersColdMessage(const ServersColdMessage& message);
  /** The server stays cold for this long, or is warm if it is 0. */
  void OnServerCold(const ServerId& id, Duration remaining);
  /** Nothing was sent to the domain's servers for a while: they may be cold. */
  void SuspectColdDomain(const DomainId& domain);
  /** Ends the limits of servers that are warm now. */
  void TickColdServers(TimePoint now);

  // edge_peers.cc
  void OnMessage(const InstanceId& from, MessageKind kind,
                 std::string_view bytes);
  void OnStatus(const InstanceId& from, MessageKind kind,
                const StatusMessage& status);
  void OnDomainStatus(const InstanceId& from, MessageKind kind,
                      const DomainStatusMessage& message);
  void OnPlacements(const InstanceId& from, const PlacementMessage& message);
  /** The loads in one part of a status message, of known servers only. */
  std::map<ServerId, serving::PeerLoad> DecodeLoads(
      const StatusMessage& status) const;
  /** Merges a part of a member's status. @return all loads it reported */
  const std::map<ServerId, serving::PeerLoad>& ApplyLoads(
      const InstanceId& from, const StatusMessage& status);
  /** The id under which the sums of another domain are stored. */
  static InstanceId DomainAggregateId(const DomainId& domain);
  /** @param kind the message's kind, which tells whether it has eras */
  void CompareRevisions(const InstanceId& from, MessageKind kind,
                        const StatusMessage& status);
  /** Starts or stops following the store, as the selection decides. */
  void UpdateFollowing(TimePoint now);
  void TickStatus();
  void TickDemand();
  void UpdateFleetSize(TimePoint now);
  /** Whether the load is high enough to be reported to other domains. */
  bool IsReportableLoad(const ServerId& server,
                        const serving::PeerLoad& load) const;
  /** Splits the status into parts that fit into datagrams. */
  std::vector<StatusMessage> MakeStatus(
      std::uint64_t incarnation,
      const std::map<ServerId, serving::PeerLoad>& loads,
      const std::vector<serving::TeamSpending>& spending) const;
  /** Sums of the own domain's loads that other domains need. */
  std::map<ServerId, serving::PeerLoad> DomainLoads(
      TimePoint now, const std::map<ServerId, serving::PeerLoad>& own) const;
  /** @param loads null: the loads reported before stay valid */
  void SendDomainStatus(TimePoint now,
                        const std::map<ServerId, serving::PeerLoad>* loads,
                        const std::vector<serving::TeamSpending>& spending);
  void SendStatus(TimePoint now);
  /** Sends the teams' spending and the known revisions, without loads. */
  void SendInterimStatus();

  std::string settings_file_;
  std::filesystem::file_time_type settings_time_;
  // Handlers that did not run are destroyed with the context, and requests that
  // they hold use the state then.
  State state_;
  boost::asio::io_context context_;
  std::uint64_t incarnation_;
  http::Client store_http_;
  http::Client server_http_;
  adapter::StoreClient store_;
  PeerGroup peers_;
  PermitClient permits_;
  QuarantineDriver quarantine_;
  VersionDriver versions_;
  PastDriver past_;
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
  serving::DomainSummary domain_summary_;
  std::map<InstanceId, Registration> instances_;
  std::map<std::uint64_t, ServerId> server_of_hash_;
  /** When a start of a server stops being cold, as read or as peers stated. */
  struct ColdStatement {
    std::int64_t started_ms = 0;
    TimePoint until;
  };
  std::map<ServerId, ColdStatement> cold_statements_;
  bool servers_listed_ = false;
  std::map<InstanceId, std::map<ServerId, serving::PeerLoad>> peer_loads_;
  serving::FollowerSelection follower_selection_;
  std::optional<store::KeyValue> leader_record_;
  bool instances_listed_ = false;
  TimePoint last_status_sent_;
  /** When a status of a peer that follows the store last arrived. */
  TimePoint follower_heard_;
  TimePoint last_build_announced_;
  TimePoint last_evacuations_announced_;
  bool accepting_ = true;
  std::optional<TimePoint> descriptors_short_at_;
  std::optional<TimePoint> shortage_logged_at_;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_EDGE_H_
