#ifndef FIGWELL_PEERS_MEMBERSHIP_H_
#define FIGWELL_PEERS_MEMBERSHIP_H_

/**
 * Who is there. Each interval a member pings one peer of its own domain and
 * one of another, in shuffled rounds, so that the cost does not grow with the
 * fleet. Changes ride on the heartbeats; digests of the tables find what was
 * missed. A silent member is pinged through others, then suspected, and given
 * up only if it does not object in time.
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
inline constexpr Duration kIndirectPingAfter = std::chrono::milliseconds(500);
inline constexpr Duration kSuspectAfter = std::chrono::seconds(2);
inline constexpr Duration kSuspicionTime = std::chrono::seconds(5);
/** A process that was not run for this long blames itself, not its peers. */
inline constexpr Duration kPauseThreshold = std::chrono::seconds(1);

/** A message to send. For heartbeats the payload is made on sending. */
struct Outgoing {
  MessageKind kind = MessageKind::kPing;
  std::string address{};
  /** Empty: whoever has the address. */
  InstanceId to{};
  Recipient recipient = kAnyone;
  /** The recipient may not know this process's record. */
  bool introduce = false;
  std::string payload{};
};

using OutgoingList = std::vector<Outgoing>;

class Membership {
 public:
  Membership(TimePoint now, const MemberRecord& self,
             std::vector<std::string> seeds, std::uint64_t random_seed);

  /** Call at least every 100 ms. */
  void Tick(TimePoint now, OutgoingList& out);

  /** A heartbeat; `envelope` has passed the replay filter. */
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

  /** Tells a sender with an outdated idea of this process who it is. */
  void Introduce(const Envelope& envelope, const std::string& from,
                 OutgoingList& out) const;
  /** Tells a sender about its own successor's record. */
  void TellKnownIncarnation(const Envelope& envelope, const std::string& from,
                            OutgoingList& out) const;

  /** The membership's part of a heartbeat to `outgoing.to`. */
  void Fill(TimePoint now, const Outgoing& outgoing, Heartbeat& heartbeat);

  /** The same message at once to a few random live members. */
  void SendNews(MessageKind kind, const std::string& payload,
                OutgoingList& out);
  void PingAll(OutgoingList& out);
  void Drain(TimePoint now, OutgoingList& out);
  void Leave(TimePoint now, OutgoingList& out);
  void SetHints(std::vector<std::string> addresses);

  const MemberRecord& self() const;
  const MemberTable& table() const { return table_; }
  std::vector<Member> Members() const;
  ReachabilityStatus JudgeCutOff(TimePoint now);
  bool StoreSeen(TimePoint now) const { return reachability_.StoreSeen(now); }
  StoreAccess store_access() const { return reachability_.store_access(); }
  /** Instances of the own domain that take new work, this one included. */
  const std::vector<InstanceId>& DomainCandidates();
  std::uint64_t suspicions() const { return suspicions_; }
  std::uint64_t deaths() const { return deaths_; }
  std::uint64_t incarnation_conflicts() const { return conflicts_; }

  /** A message to a known member; null if it is not known. */
  std::optional<Outgoing> To(const InstanceId& instance,
                             MessageKind kind) const;

 private:
  struct Probe {
    TimePoint sent;
    bool indirect = false;
  };
  /** What is asked of the table often. */
  struct Summary {
    std::vector<InstanceId> candidates;  ///< of the own domain, alive
    std::size_t live = 0;                ///< of the own domain, but this one
    std::size_t suspects = 0;
    std::vector<TimePoint> dead_since;
    bool other_domains = false;
  };
  struct Round {
    std::vector<InstanceId> order;
    std::size_t next = 0;
  };

  /** Whether the record was news. */
  bool Merge(TimePoint now, const MemberRecord& record);
  void MergeSelf(TimePoint now, const MemberRecord& record);
  void ChangeSelf(TimePoint now, MemberRecord record);
  void Queue(const InstanceId& instance);
  void Ping(TimePoint now, Round& round, OutgoingList& out);
  void RefreshRounds();
  void RefreshSummary();
  void PingContacts(std::size_t most, OutgoingList& out);
  void CheckProbes(TimePoint now, OutgoingList& out);
  void AskOthersToPing(const InstanceId& target, OutgoingList& out);
  void Suspect(TimePoint now, const InstanceId& instance);
  void CheckSuspects(TimePoint now);
  bool MayGiveUp(const MemberTable::Entry& entry) const;
  void ForgivePause(TimePoint now);
  void SendSyncRequest(TimePoint now, Outgoing request, OutgoingList& out);
  void MaybeSync(TimePoint now, const Envelope& envelope,
                 const std::string& from, OutgoingList& out);
  std::vector<InstanceId> RandomLive(std::size_t count);
  std::vector<std::string> Contacts() const;
  bool IsOwnDomain(const MemberRecord& record) const;

  InstanceId instance_;
  DomainId domain_;
  std::vector<std::string> seeds_;
  std::vector<std::string> hints_;
  Random random_;
  MemberTable table_;
  Reachability reachability_;
  ReachabilityStatus cut_off_;
  Round own_round_;
  Round other_round_;
  std::uint64_t rounds_generation_ = 0;
  Summary summary_;
  std::uint64_t summary_changes_ = 0;
  std::map<InstanceId, Probe> probes_;
  std::set<InstanceId> suspects_;
  /** Records to spread, with the number of messages that still carry them. */
  std::map<InstanceId, int> queue_;
  /** Who asked this member to ping whom. */
  std::multimap<InstanceId, Outgoing> asked_;
  TimePoint start_;
  TimePoint last_tick_;
  TimePoint next_round_;
  TimePoint next_contact_;
  TimePoint next_expiry_;
  TimePoint last_change_;
  TimePoint last_sync_;
  /** Set when the last exchange brought much: the same peer is asked again. */
  std::optional<Outgoing> sync_again_;
  std::uint64_t suspicions_ = 0;
  std::uint64_t deaths_ = 0;
  std::uint64_t conflicts_ = 0;
};

}  // namespace figwell::peers

#endif  // FIGWELL_PEERS_MEMBERSHIP_H_
