#ifndef FIGWELL_APPS_COMMON_PEER_LINK_H_
#define FIGWELL_APPS_COMMON_PEER_LINK_H_

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "configuration_feed.h"
#include "figwell/config.h"
#include "figwell/peers.h"
#include "figwell/platform.h"
#include "figwell/telemetry.h"
#include "figwell/versions.h"

namespace figwell::daemon {

/** Kinds of application messages between daemons. */
enum class MessageKind : std::uint16_t {
  kTransferRequest = 1,
  kTransferAnswer = 2,
  kLevelReport = 3,
  kUnitHeartbeat = 4,
  kUnitEcho = 5,
  kDemand = 6,
  kTransferReturn = 7,
  kLoanRequest = 8,
  kLoanAnswer = 9,
};

/**
 * The member id of an instance's controller. The member id of its gateway is
 * the instance id itself.
 */
InstanceId ControllerMember(const InstanceId& instance);
bool IsControllerMember(const InstanceId& member);

/** The heartbeat payload of the controller that plans its domain's placement.
 */
inline constexpr std::string_view kPlacementLeaderPayload = "placement";

struct PeerLinkCallbacks {
  /** A newer version of the configuration is in force. */
  std::function<void()> on_advanced;
  /** The members or the reachability may have changed. */
  std::function<void()> on_members;
  std::function<void(const std::set<Digest>&)> on_denials;
  std::function<void(const InstanceId&, MessageKind, std::string_view)>
      on_message;
  /** The payload of a peer's heartbeat. */
  std::function<void(const InstanceId&, std::string_view)> on_payload;
};

/**
 * A daemon's connection to its peers: it takes part in their membership and
 * applies configuration from the store and from peers to one VersionLog.
 * Belongs to the control thread.
 */
class PeerLink {
 public:
  PeerLink(boost::asio::io_context& context, const config::Settings& settings,
           config::Role role, std::uint64_t incarnation,
           platform::EtcdStore& store, versions::VersionLog& log,
           telemetry::Registry& metrics, PeerLinkCallbacks callbacks);

  /** Opens the sockets. @return the bound address of the peers' listener */
  Result<std::string> Start(const std::string& admin_address);

  /** Must be called after the log may have advanced other than by PeerLink. */
  void OnLogAdvanced();

  void Send(const InstanceId& to, MessageKind kind, std::string_view bytes);
  void SetPayload(std::string payload);
  Result<void> Deny(const Digest& digest);
  /** Announces to peers and in the instance list that this process leaves. */
  void Drain();
  /** Announces to peers that this process has left, and closes the sockets. */
  void Stop();

  std::vector<peers::Member> Members() const;
  /** This process as a member. */
  peers::Member Self() const;
  /** Requests the state of all members, to update their numbers in force. */
  void RefreshMembers() { node_->RefreshMembers(); }
  peers::ReachabilityStatus GetReachability() const;
  /**
   * Whether the configuration in force is as new as any version that the store
   * or the peers have reported.
   */
  bool IsCaughtUp() const;
  const InstanceId& self() const { return self_; }

 private:
  peers::PeerCallbacks MakeCallbacks();
  void Apply(const peers::ConfigurationUpdate& update);
  void PutInForce();
  void Register(bool leaving);
  void ReadInstances();
  void ScheduleInstanceRead();
  void PublishCounters();

  boost::asio::io_context& context_;
  const config::Settings& settings_;
  InstanceId self_;
  std::uint64_t incarnation_;
  platform::EtcdStore& store_;
  versions::VersionLog& log_;
  telemetry::Registry& metrics_;
  PeerLinkCallbacks callbacks_;
  ConfigurationFeed feed_;
  boost::asio::steady_timer instance_read_timer_;
  std::unique_ptr<peers::PeerNode> node_;
  std::string peers_address_;
  std::string admin_address_;
  config::VersionNumber number_in_force_ = 0;
  peers::ReachabilityLevel reachability_level_ =
      peers::ReachabilityLevel::kConnected;
};

}  // namespace figwell::daemon

#endif  // FIGWELL_APPS_COMMON_PEER_LINK_H_
