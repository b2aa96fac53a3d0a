#ifndef FIGWELL_APPS_EDGE_PEER_GROUP_H_
#define FIGWELL_APPS_EDGE_PEER_GROUP_H_

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "figwell/adapter.h"
#include "figwell/config.h"
#include "figwell/peers.h"
#include "messages.h"

namespace figwell::edge {

/** The entry of an instance in the store. */
struct Registration {
  std::string address;  ///< `IP:PORT` of its listener for peers
  DomainId domain;

  std::string ToText() const { return address + " " + domain.value(); }
  static Registration FromText(const std::string& text);
};

struct PeerCallbacks {
  std::function<void(const InstanceId&, MessageKind, std::string_view)>
      on_message;
  /** A peer sent a newer configuration. */
  std::function<void(std::int64_t number, const std::string& document)>
      on_configuration;
  std::function<void()> on_members;
};

/**
 * Membership of this process in the group of peers, and sending to them. The
 * shared secret is read from the store, where the first process creates it;
 * until it is known, there are no peers. After a restore of the store it may be
 * missing there, or another process may have created a new one: it is written
 * again, or the new one is accepted, too.
 */
class PeerGroup {
 public:
  PeerGroup(boost::asio::io_context& context, adapter::StoreClient& store,
            const config::EdgeSettings& settings, std::uint64_t incarnation,
            PeerCallbacks callbacks);

  void Start();
  /** Sets the instances that are registered in the store. */
  void SetRegistered(const std::map<InstanceId, Registration>& instances);
  /** Sets the configuration in force; peers with an older one receive it. */
  void SetConfiguration(std::int64_t number, const std::string& document);
  /** Records whether the store answered. */
  void OnStoreResult(bool reached);

  template <typename Message>
  void Send(const InstanceId& to, MessageKind kind, const Message& message) {
    SendBytes(to, kind, peers::Pack(message));
  }
  template <typename Message>
  void SendToAll(MessageKind kind, const Message& message) {
    const std::string bytes = peers::Pack(message);
    for (const auto& [peer, domain] : Reachable()) {
      SendBytes(peer, kind, bytes);
    }
  }
  /**
   * Sends a message that contains revisions: with their eras to peers that
   * understand eras, without them to others.
   */
  template <typename Message>
  void SendRevisions(const std::vector<InstanceId>& to, MessageKind kind,
                     const Message& message) {
    const std::string with_eras = peers::Pack(message);
    std::string without_eras;
    for (const InstanceId& peer : to) {
      if (UnderstandsEras(peer)) {
        SendBytes(peer, WithEras(kind), with_eras);
        continue;
      }
      if (without_eras.empty()) {
        without_eras = peers::Pack(WithoutEras(message));
      }
      SendBytes(peer, kind, without_eras);
    }
  }
  /** Whether the peer recently sent a message that only such builds send. */
  bool UnderstandsEras(const InstanceId& peer) const;
  /** Tells peers that are not known to understand eras that this build does. */
  void AnnounceBuild();
  template <typename Message>
  void SendToOwnDomain(MessageKind kind, const Message& message) {
    const std::string bytes = peers::Pack(message);
    for (const InstanceId& peer : ReachableInOwnDomain()) {
      SendBytes(peer, kind, bytes);
    }
  }

  /**
   * Sends a message to the own domain and to the other domains' delegates, or
   * forwards it there.
   * @param from the peer that sent it; nullopt if it is this instance's own
   */
  template <typename Message>
  void Announce(MessageKind kind, const Message& message,
                const std::optional<InstanceId>& from) {
    const auto sender = from ? Reachable().find(*from) : Reachable().end();
    if (sender != Reachable().end() &&
        sender->second == settings_.failure_domain) {
      return;  // it has announced this to the whole domain
    }
    SendToOwnDomain(kind, message);
    if (from) {
      return;
    }
    for (const auto& [domain, delegate] : Delegates()) {
      if (domain != settings_.failure_domain) {
        Send(delegate, kind, message);
      }
    }
  }

  /** Peers that have neither left nor been declared dead; their domains. */
  const std::map<InstanceId, DomainId>& Reachable() const;
  /** Other members that are alive and not suspect, with their domains. */
  const std::map<InstanceId, DomainId>& Live() const { return Members().live; }
  /** Reachable members of the own domain. */
  std::vector<InstanceId> ReachableInOwnDomain() const;
  /** Other members of the own domain that are alive and not suspect. */
  std::set<InstanceId> LiveInOwnDomain() const;
  /**
   * The delegate of each domain: the first by name of its members that are
   * alive and not suspect. The own domain's delegate may be this instance.
   */
  std::map<DomainId, InstanceId> Delegates() const;
  /**
   * All other instances that may be serving: those registered in the store and
   * members that are not dead, or have not been dead for long.
   */
  std::map<InstanceId, DomainId> PossiblyServing(TimePoint now) const;

  void Leave();

 private:
  void StartNode();
  void ReadSecret();
  void WriteSecret();
  void OnSecret(const std::string& secret);
  void ScheduleSecretRetry();
  void OnMessage(const InstanceId& from, MessageKind kind,
                 std::string_view bytes);
  void SendBytes(const InstanceId& to, MessageKind kind,
                 const std::string& bytes);
  std::string SecretKey() const;
  /** Members as they were at most kMaxSnapshotAge ago. */
  struct Snapshot {
    TimePoint taken_at;
    std::vector<peers::Member> members;
    /** Neither left nor dead, with their domains. */
    std::map<InstanceId, DomainId> reachable;
    /** Alive and not suspect, with their domains. */
    std::map<InstanceId, DomainId> live;
  };
  const Snapshot& Members() const;

  boost::asio::io_context& context_;
  adapter::StoreClient& store_;
  const config::EdgeSettings& settings_;
  std::uint64_t incarnation_;
  PeerCallbacks callbacks_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<peers::PeerNode> node_;
  std::string secret_;  ///< the one in the store, once it was read
  std::map<InstanceId, Registration> registered_;
  std::int64_t configuration_number_ = 0;
  std::string configuration_;
  /** When a peer last sent a message that only builds with eras send. */
  std::map<InstanceId, TimePoint> understood_eras_at_;
  /** When a member was first found dead. */
  mutable std::map<InstanceId, TimePoint> dead_since_;
  mutable Snapshot snapshot_;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_PEER_GROUP_H_
