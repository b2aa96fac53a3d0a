#ifndef FIGWELL_APPS_EDGE_EDGE_H_
#define FIGWELL_APPS_EDGE_EDGE_H_

#include <boost/asio.hpp>
#include <filesystem>
#include <optional>
#include <string>

#include "peer_group.h"
#include "placement_host.h"
#include "registrar.h"
#include "request.h"
#include "state.h"
#include "store_follower.h"

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
  void OnServersListing(const std::vector<store::KeyValue>& items);
  void OnServersEvent(const store::WatchEvent& event);
  void OnServerChange(const ServerId& id, serving::ServerChange change);
  void OnOwnListing(const std::vector<store::KeyValue>& items);
  void OnOwnEvent(const store::WatchEvent& event);
  void NoteInstance(const std::string& key,
                    const std::optional<std::string>& address);
  void OnMessage(const InstanceId& from, MessageKind kind,
                 std::string_view bytes);
  void OnStatus(const InstanceId& from, const StatusMessage& status);
  void OnDomainStatus(const InstanceId& from,
                      const DomainStatusMessage& message);
  std::map<ServerId, serving::PeerLoad> LoadsOf(
      const StatusMessage& status) const;
  /** The name under which another domain's sums are kept. */
  static InstanceId StandInFor(const DomainId& domain);
  /** Reads the registry again if a peer has known more for some time. */
  void CompareRevision(const InstanceId& from, std::int64_t revision);
  void TickStatus();
  void TickDemand();
  void NotePeers(TimePoint now);
  StatusMessage MakeStatus(std::uint64_t incarnation,
                           const std::map<ServerId, serving::PeerLoad>& loads,
                           std::vector<serving::TeamSpending> spending) const;
  void SendDomainStatus(TimePoint now,
                        const std::map<ServerId, serving::PeerLoad>& loads,
                        const std::vector<serving::TeamSpending>& spending);
  void SendStatus(TimePoint now);
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
  PlacementHost placement_;
  StoreFollower configuration_follower_;
  StoreFollower servers_follower_;
  StoreFollower own_follower_;
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
  std::optional<store::KeyValue> holder_;
  std::map<std::uint64_t, ServerId> server_of_hash_;
  std::map<InstanceId, TimePoint> behind_since_;
  TimePoint status_sent_;
  std::optional<TimePoint> stopping_;
  bool accepting_ = true;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_EDGE_H_
