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

/** What an instance registers in the store. */
struct Registration {
  std::string address;  ///< `IP:PORT` for peers
  DomainId domain;

  std::string ToText() const { return address + " " + domain.value(); }
  static Registration FromText(const std::string& text);
};

struct PeerCallbacks {
  std::function<void(const InstanceId&, MessageKind, std::string_view)>
      on_message;
  /** A peer had a newer configuration; its document. */
  std::function<void(std::int64_t number, const std::string& document)>
      on_configuration;
  std::function<void()> on_members;
};

/**
 * This process among its peers. Its secret comes from the store, where the
 * first process puts it; until it is known, there are no peers.
 */
class PeerGroup {
 public:
  PeerGroup(boost::asio::io_context& context, adapter::StoreClient& store,
            const config::EdgeSettings& settings, std::uint64_t incarnation,
            PeerCallbacks callbacks);

  void Start();
  /** The instances that are registered in the store. */
  void SetRegistered(const std::map<InstanceId, Registration>& instances);
  /** What is in force here, for peers that are behind. */
  void SetConfiguration(std::int64_t number, const std::string& document);
  /** Whether the store answered. */
  void NoteStore(bool reached);

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
  template <typename Message>
  void SendToOwnDomain(MessageKind kind, const Message& message) {
    const std::string bytes = peers::Pack(message);
    for (const auto& [peer, domain] : Reachable()) {
      if (domain == settings_.failure_domain) {
        SendBytes(peer, kind, bytes);
      }
    }
  }

  /** Peers that have not left or been given up, with their domains. */
  const std::map<InstanceId, DomainId>& Reachable() const;
  /** Those of the own domain that are not under suspicion, but for this one. */
  std::set<InstanceId> LiveInOwnDomain() const;
  /**
   * The one instance of each domain that speaks for it, by name the first of
   * those not under suspicion; the own domain's may be this one.
   */
  std::map<DomainId, InstanceId> Delegates() const;
  /** All others that may be serving: registered, or not long out of sight. */
  std::map<InstanceId, DomainId> PossiblyServing(TimePoint now) const;

  void Leave();

 private:
  void ReadSecret();
  void WriteSecret();
  void OnSecret(const std::string& secret);
  void RetryLater();
  void SendBytes(const InstanceId& to, MessageKind kind,
                 const std::string& bytes);
  std::string SecretKey() const;
  /** Members as they were at most kMembersAge ago. */
  struct Snapshot {
    TimePoint taken;
    std::vector<peers::Member> members;
    /** Neither left nor given up, with their domains. */
    std::map<InstanceId, DomainId> reachable;
    /** Not under suspicion either. */
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
  std::map<InstanceId, Registration> registered_;
  std::int64_t number_ = 0;
  std::string document_;
  /** When a member was first seen dead. */
  mutable std::map<InstanceId, TimePoint> dead_since_;
  mutable Snapshot snapshot_;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_PEER_GROUP_H_
