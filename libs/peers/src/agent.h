#ifndef FIGWELL_PEERS_AGENT_H_
#define FIGWELL_PEERS_AGENT_H_

/**
 * The protocol logic of one member, without any I/O: each call takes the time
 * and an event, and appends to the actions that the caller then executes.
 * Combines membership, relay and denials; seals and opens their messages.
 */

#include <map>
#include <string>
#include <vector>

#include "denials.h"
#include "membership.h"
#include "relay.h"

namespace figwell::peers {

struct Datagram {
  std::string address;
  std::string bytes;
};

/** A frame to send over TCP; its reply goes to PeerAgent::OnFrameAnswer. */
struct Fetch {
  std::uint64_t id = 0;
  std::string address;
  std::string frame;
};

struct ReceivedMessage {
  InstanceId from;
  std::uint16_t kind = 0;
  std::string bytes;
};

struct ReceivedPayload {
  InstanceId from;
  std::string bytes;
};

/** The actions that the caller has to execute, in this order. */
struct AgentActions {
  std::vector<Datagram> datagrams;
  std::vector<Fetch> fetches;
  std::vector<ReceivedMessage> messages;
  std::vector<ReceivedPayload> payloads;
  std::optional<bool> watch;
  bool read_store = false;
  std::optional<ConfigurationUpdate> apply;
  bool denials_changed = false;
  bool members_changed = false;
};

struct AgentSettings {
  MemberRecord self;
  std::vector<std::string> seeds;
  std::vector<std::string> secrets;
  std::uint64_t random_seed = 0;
  /** See PeerCallbacks::snapshot. */
  std::function<Patch()> snapshot;
};

class PeerAgent {
 public:
  PeerAgent(TimePoint now, AgentSettings settings);

  /** Call at least every 100 ms. */
  void Tick(TimePoint now, AgentActions& actions);
  void OnDatagram(TimePoint now, const std::string& from,
                  std::string_view bytes, AgentActions& actions);
  /** Handles a request over TCP; returns the reply frame, empty for none. */
  std::string OnFrame(std::string_view bytes);
  /** The reply to a Fetch; `bytes` is empty if none came. */
  void OnFrameAnswer(TimePoint now, std::uint64_t id, std::string_view bytes,
                     AgentActions& actions);

  void OnStoreAnswered(TimePoint now, bool reached,
                       std::optional<config::VersionNumber> head);
  void OnOffer(const ConfigurationUpdate& update, AgentActions& actions);
  void OnInForce(TimePoint now, config::VersionNumber number,
                 std::function<bool(const Digest&)> has_key,
                 AgentActions& actions);
  void OnUpdateFailed() { relay_.OnUpdateFailed(); }

  Result<void> Deny(TimePoint now, const Digest& digest, AgentActions& actions);
  Result<void> SetPayload(std::string payload);
  Result<void> Send(TimePoint now, const InstanceId& to, std::uint16_t kind,
                    std::string_view bytes, AgentActions& actions);
  std::size_t BroadcastInDomain(TimePoint now, std::uint16_t kind,
                                std::string_view bytes, AgentActions& actions);
  void RefreshMembers(TimePoint now, AgentActions& actions);
  void Drain(TimePoint now, AgentActions& actions);
  void Leave(TimePoint now, AgentActions& actions);
  void AddSecret(std::string secret);
  void SetHints(std::vector<std::string> addresses) {
    membership_.SetHints(std::move(addresses));
  }

  bool caught_up() const { return relay_.caught_up() && denials_synced_; }
  const Membership& membership() const { return membership_; }
  const ConfigurationRelay& relay() const { return relay_; }
  const DenialSet& denials() const { return denials_; }
  /** As of the last Tick. */
  const ReachabilityStatus& reachability_status() const {
    return reachability_status_;
  }
  const Counters& counters() const { return counters_; }

 private:
  struct PendingFetch {
    InstanceId peer;
    MessageKind kind;
    TimePoint deadline;
  };

  std::optional<Envelope> Accept(std::string_view bytes);
  void Drop(DropReason reason);
  /** Drops a message; corrects the sender of a ping with outdated records. */
  void DropAndCorrectSender(const Envelope& envelope, const std::string& from,
                            DropReason reason, TimePoint now,
                            AgentActions& actions);
  void Dispatch(TimePoint now, const Envelope& envelope,
                const std::string& from, AgentActions& actions);
  void OnHeartbeat(TimePoint now, const Envelope& envelope,
                   const std::string& from, AgentActions& actions);
  void OnDenials(TimePoint now, const std::vector<Denial>& denials,
                 AgentActions& actions);
  void CompareDenials(TimePoint now, const Envelope& envelope,
                      const Heartbeat& heartbeat, AgentActions& actions);
  void GossipDenials(TimePoint now, const std::vector<Denial>& denials,
                     AgentActions& actions);
  void AppendMessages(TimePoint now, OutgoingList& out, AgentActions& actions);
  void AppendRelayActions(TimePoint now, RelayActions& relay,
                          AgentActions& actions);
  void StartFetch(TimePoint now, const InstanceId& peer, MessageKind kind,
                  const std::string& payload, AgentActions& actions);
  std::string SealMessage(MessageKind kind, Recipient recipient,
                          std::string_view payload);
  /** The secret that the recipient used last, as far as it is known. */
  const std::string& SecretFor(Recipient recipient) const;
  RelayView MakeView(TimePoint now);
  void CheckDenialsSynced(TimePoint now);

  AgentSettings settings_;
  Membership membership_;
  ConfigurationRelay relay_;
  DenialSet denials_;
  ReplayFilter replays_;
  /** Members that last signed with another secret than the first; its index. */
  std::map<Recipient, std::size_t> secret_of_member_;
  Counters counters_;
  ReachabilityStatus reachability_status_;
  std::string payload_;
  std::uint64_t sequence_ = 0;
  std::uint64_t next_fetch_ = 0;
  std::map<std::uint64_t, PendingFetch> pending_fetches_;
  std::uint64_t reported_generation_ = 0;
  RelayView view_;
  TimePoint start_;
  TimePoint last_denials_fetch_;
  TimePoint next_evaluation_;
  TimePoint next_refresh_;
  bool denials_synced_ = false;
};

}  // namespace figwell::peers

#endif  // FIGWELL_PEERS_AGENT_H_
