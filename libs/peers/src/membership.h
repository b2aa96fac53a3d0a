#ifndef FIGWELL_PEERS_MEMBERSHIP_H_
#define FIGWELL_PEERS_MEMBERSHIP_H_

/**
 * SWIM-like gossip membership. Each interval a member pings one peer of its
 * own domain and one of another domain, in shuffled rounds, so that the cost
 * per member does not grow with the fleet. Record updates are piggybacked on
 * heartbeats; members whose table digests differ synchronize (anti-entropy).
 * A member that does not answer is pinged indirectly through others, then
 * suspected, and declared dead unless it refutes the suspicion in time.
 */

#include <map>
#include <set>
#include <string>
#include <vector>

#include "envelope.h"
#include "member_table.h"
#include "reachability.h"

namespace figwell::peers {

inline constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
/** Time without an ack after which other members are asked to ping. */
inline constexpr Duration kPingTimeout = std::chrono::milliseconds(500);
/** Time without any ack after which the member is suspected. */
inline constexpr Duration kProbeTimeout = std::chrono::seconds(2);
/** Time that a suspected member has to refute the suspicion. */
inline constexpr Duration kSuspicionTimeout = std::chrono::seconds(5);
/**
 * A gap between ticks above this means that this process itself was paused,
 * so missing acks are no evidence against its peers.
 */
inline constexpr Duration kPauseThreshold = std::chrono::seconds(1);

/** A message to send. PeerAgent fills in the payload of heartbeats. */
struct Outgoing {
  MessageKind kind = MessageKind::kPing;
  std::string address{};
  /** Empty: whichever process has the address. */
  InstanceId to{};
  Recipient recipient = kAnyRecipient;
  /** Include this process's record, which the recipient may not have. */
  bool include_own_record = false;
  std::string payload{};
};

using OutgoingList = std::vector<Outgoing>;

class Membership {
 public:
  Membership(TimePoint now, const MemberRecord& self,
             std::vector<std::string> seeds, std::uint64_t random_seed);

  /** Call at least every 100 ms. */
  void Tick(TimePoint now, OutgoingList& out);

  /** Handles a heartbeat; the replay filter has accepted `envelope`. */
  void OnHeartbeat(TimePoint now, const Envelope& envelope,
                   const std::string& from, const Heartbeat& heartbeat,
                   OutgoingList& out);
  void OnPingRequest(TimePoint now, const Envelope& envelope,
                     const std::string& from, const PingRequest& request,
                     OutgoingList& out);
  void OnIndirectAck(const IndirectAck& ack);
  void OnSyncRequest(const Envelope& envelope, const std::string& from,
                     const SyncRequest& request, OutgoingList& out);
  void OnSyncReply(TimePoint now, const Envelope& envelope,
                   const std::string& from, const SyncReply& reply,
                   OutgoingList& out);
  void OnStoreAnswered(TimePoint now, bool reached);

  /** Sends this process's record to a sender that used an outdated one. */
  void SendOwnRecord(const Envelope& envelope, const std::string& from,
                     OutgoingList& out) const;
  /**
   * Sends a sender the newer record that this process has of it, so that the
   * sender raises its incarnation or stops using the old one.
   */
  void SendKnownRecord(const Envelope& envelope, const std::string& from,
                       OutgoingList& out) const;

  /** Sets the membership's fields of a heartbeat to `outgoing.to`. */
  void FillHeartbeat(TimePoint now, const Outgoing& outgoing,
                     Heartbeat& heartbeat);

  /** Sends the same message immediately to a few random live members. */
  void SendGossip(MessageKind kind, const std::string& payload,
                  OutgoingList& out);
  void PingAll(OutgoingList& out);
  void Drain(TimePoint now, OutgoingList& out);
  void Leave(TimePoint now, OutgoingList& out);
  void SetHints(std::vector<std::string> addresses);

  const MemberRecord& self() const;
  const MemberTable& table() const { return table_; }
  std::vector<Member> Members() const;
  ReachabilityStatus EvaluateReachability(TimePoint now);
  bool StoreReachedRecently(TimePoint now) const {
    return reachability_.StoreReachedRecently(now);
  }
  StoreAccess store_access() const { return reachability_.store_access(); }
  /** Alive members of the own domain, this one included. */
  const std::vector<InstanceId>& DomainCandidates();
  std::uint64_t suspicions() const { return suspicions_; }
  std::uint64_t deaths() const { return deaths_; }
  std::uint64_t incarnation_conflicts() const { return incarnation_conflicts_; }

  /** A message to a member; null if the member is not known. */
  std::optional<Outgoing> MessageTo(const InstanceId& instance,
                                    MessageKind kind) const;

 private:
  struct Probe {
    TimePoint sent;
    bool indirect = false;
  };
  /** Values derived from the table, cached until the table changes. */
  struct Summary {
    std::vector<InstanceId> candidates;  ///< of the own domain, alive
    std::size_t live = 0;  ///< of the own domain, without this one
    std::size_t suspects = 0;
    std::vector<TimePoint> dead_since;
    bool other_domains = false;
  };
  struct ProbeRound {
    std::vector<InstanceId> order;
    std::size_t next = 0;
  };

  /** Returns whether the record changed the table. */
  bool Merge(TimePoint now, const MemberRecord& record);
  void MergeSelf(TimePoint now, const MemberRecord& record);
  void UpdateSelf(TimePoint now, MemberRecord record);
  void QueueUpdate(const InstanceId& instance);
  void PingNext(TimePoint now, ProbeRound& round, OutgoingList& out);
  void RefreshRounds();
  void RefreshSummary();
  void PingContacts(std::size_t max_count, OutgoingList& out);
  void CheckProbes(TimePoint now, OutgoingList& out);
  void SendPingRequests(const InstanceId& target, OutgoingList& out);
  void Suspect(TimePoint now, const InstanceId& instance);
  void CheckSuspects(TimePoint now);
  /** Whether a suspect may be declared dead when its timeout ends. */
  bool MayDeclareDead(const MemberTable::Entry& entry) const;
  /** Drops probes and restarts suspicions after a pause of this process. */
  void ResetTimersAfterPause(TimePoint now);
  void SendSyncRequest(TimePoint now, Outgoing request, OutgoingList& out);
  void SyncIfDue(TimePoint now, const Envelope& envelope,
                 const std::string& from, OutgoingList& out);
  std::vector<InstanceId> RandomLiveMembers(std::size_t count);
  std::vector<std::string> ContactAddresses() const;
  bool IsOwnDomain(const MemberRecord& record) const;

  InstanceId instance_;
  DomainId domain_;
  std::vector<std::string> seeds_;
  std::vector<std::string> hints_;
  Random random_;
  MemberTable table_;
  Reachability reachability_;
  ReachabilityStatus reachability_status_;
  ProbeRound own_domain_round_;
  ProbeRound other_domains_round_;
  std::uint64_t rounds_generation_ = 0;
  Summary summary_;
  std::uint64_t summary_changes_ = 0;
  std::map<InstanceId, Probe> probes_;
  std::set<InstanceId> suspects_;
  /** Records to piggyback, with the number of remaining transmissions. */
  std::map<InstanceId, int> update_queue_;
  /** Acks to send to requesters of indirect pings, by the pinged member. */
  std::multimap<InstanceId, Outgoing> pending_indirect_pings_;
  TimePoint start_;
  TimePoint last_tick_;
  TimePoint next_round_;
  TimePoint next_contact_;
  TimePoint next_expiry_;
  TimePoint last_change_;
  TimePoint last_sync_;
  /** Set when a sync changed many records: the next tick repeats it. */
  std::optional<Outgoing> repeated_sync_;
  std::uint64_t suspicions_ = 0;
  std::uint64_t deaths_ = 0;
  std::uint64_t incarnation_conflicts_ = 0;
};

}  // namespace figwell::peers

#endif  // FIGWELL_PEERS_MEMBERSHIP_H_
