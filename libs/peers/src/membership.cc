#include "membership.h"

#include <algorithm>
#include <bit>

namespace figwell::peers {
namespace {

constexpr std::size_t kGossipFanoutInDomain = 3;
constexpr Duration kContactInterval = std::chrono::seconds(5);
constexpr Duration kContactIntervalWithoutPeers =
    std::chrono::milliseconds(500);
/** Contact addresses that a joining process pings at a time. */
constexpr std::size_t kContactsWhenJoining = 8;
/**
 * For this time after its start a process pings all known addresses in short
 * intervals: after a simultaneous start of the entire fleet no member knows
 * many others yet.
 */
constexpr Duration kJoinPeriod = std::chrono::seconds(3);
constexpr Duration kContactIntervalWhenJoining = std::chrono::milliseconds(100);
constexpr Duration kExpiryInterval = std::chrono::minutes(1);
/** Limit of records in the queue; a start of the entire fleet has more. */
constexpr std::size_t kMaxQueuedUpdates = 32;
constexpr std::size_t kMaxHints = 4'096;
/** Transmissions of an update, for each doubling of the fleet. */
constexpr int kRetransmitMultiplier = 2;
/**
 * Members declared dead up to this long before the store was last reached still
 * count as unresponsive.
 */
constexpr Duration kUnresponsiveLookback = std::chrono::minutes(1);

void Shuffle(std::vector<InstanceId>& order, Random& random) {
  for (std::size_t i = order.size(); i > 1; --i) {
    std::swap(order[i - 1], order[random.Below(i)]);
  }
}

}  // namespace

Membership::Membership(TimePoint now, const MemberRecord& self,
                       std::vector<std::string> seeds,
                       std::uint64_t random_seed)
    : instance_(self.instance),
      domain_(self.domain),
      seeds_(std::move(seeds)),
      random_(random_seed),
      reachability_(now),
      start_(now),
      last_tick_(now),
      next_round_(now + Duration(static_cast<Duration::rep>(random_.Below(
                            Duration(kHeartbeatInterval).count())))),
      next_contact_(now),
      next_expiry_(now + kExpiryInterval),
      last_change_(now),
      last_sync_(now) {
  reachability_status_.since = now;
  table_.Merge(now, self);
  QueueUpdate(instance_);
}

void Membership::Tick(TimePoint now, OutgoingList& out) {
  if (now - last_tick_ > kPauseThreshold) {
    ResetTimersAfterPause(now);
  }
  last_tick_ = now;
  CheckProbes(now, out);
  CheckSuspects(now);
  if (repeated_sync_) {
    SendSyncRequest(now, *repeated_sync_, out);
  }
  if (now >= next_round_) {
    next_round_ = std::max(next_round_ + kHeartbeatInterval, now);
    RefreshRounds();
    PingNext(now, own_domain_round_, out);
    PingNext(now, other_domains_round_, out);
  }
  if (now >= next_contact_) {
    const bool joining = now - start_ < kJoinPeriod;
    const bool without_peers = table_.live_count() <= 1;
    next_contact_ = now + (joining         ? kContactIntervalWhenJoining
                           : without_peers ? kContactIntervalWithoutPeers
                                           : kContactInterval);
    PingContacts(joining || without_peers ? kContactsWhenJoining : 1, out);
  }
  if (now >= next_expiry_) {
    next_expiry_ = now + kExpiryInterval;
    table_.Expire(now);
  }
}

void Membership::RefreshRounds() {
  if (rounds_generation_ == table_.generation()) {
    return;
  }
  rounds_generation_ = table_.generation();
  own_domain_round_ = {};
  other_domains_round_ = {};
  for (const auto& [instance, entry] : table_.entries()) {
    const MemberRecord& record = entry.member.record;
    if (instance == instance_ || !IsLive(record.state)) {
      continue;
    }
    (IsOwnDomain(record) ? own_domain_round_ : other_domains_round_)
        .order.push_back(instance);
  }
  Shuffle(own_domain_round_.order, random_);
  Shuffle(other_domains_round_.order, random_);
}

void Membership::PingNext(TimePoint now, ProbeRound& round, OutgoingList& out) {
  if (round.order.empty()) {
    return;
  }
  if (round.next >= round.order.size()) {
    round.next = 0;
    Shuffle(round.order, random_);
  }
  const InstanceId target = round.order[round.next++];
  if (auto outgoing = MessageTo(target, MessageKind::kPing)) {
    probes_.try_emplace(target, Probe{.sent = now});
    out.push_back(std::move(*outgoing));
  }
}

std::vector<std::string> Membership::ContactAddresses() const {
  std::vector<std::string> contacts = seeds_;
  contacts.insert(contacts.end(), hints_.begin(), hints_.end());
  std::set<std::string> live;
  for (const auto& [instance, entry] : table_.entries()) {
    const MemberRecord& record = entry.member.record;
    if (IsLive(record.state)) {
      live.insert(record.peers_address);
    } else if (record.state == MemberState::kDead) {
      contacts.push_back(record.peers_address);
    }
  }
  std::erase_if(contacts, [&](const std::string& address) {
    return live.contains(address);
  });
  return contacts;
}

void Membership::PingContacts(std::size_t max_count, OutgoingList& out) {
  std::vector<std::string> contacts = ContactAddresses();
  for (std::size_t i = 0; i < max_count && !contacts.empty(); ++i) {
    std::swap(contacts[random_.Below(contacts.size())], contacts.back());
    out.push_back({.kind = MessageKind::kPing,
                   .address = std::move(contacts.back()),
                   .include_own_record = true});
    contacts.pop_back();
  }
}

bool Membership::Merge(TimePoint now, const MemberRecord& record) {
  if (record.instance == instance_) {
    MergeSelf(now, record);
    return false;
  }
  if (table_.Merge(now, record) == MemberTable::Change::kNone) {
    return false;
  }
  last_change_ = now;
  if (record.state == MemberState::kSuspect) {
    suspects_.insert(record.instance);
  }
  QueueUpdate(record.instance);
  return true;
}

void Membership::MergeSelf(TimePoint now, const MemberRecord& record) {
  MemberRecord mine = self();
  if (!IsValid(record) || !Supersedes(record, mine)) {
    return;
  }
  if (record.incarnation > mine.incarnation) {
    // The clock that provides incarnations went back between two starts.
    ++incarnation_conflicts_;
    mine.incarnation = record.incarnation + 1;
    mine.version = 0;
  } else {
    mine.version = record.version;
  }
  UpdateSelf(now, std::move(mine));
}

void Membership::UpdateSelf(TimePoint now, MemberRecord record) {
  ++record.version;
  table_.Merge(now, record);
  last_change_ = now;
  QueueUpdate(instance_);
}

void Membership::QueueUpdate(const InstanceId& instance) {
  if (update_queue_.size() >= kMaxQueuedUpdates &&
      !update_queue_.contains(instance)) {
    // Drop the record with the fewest transmissions left: syncs deliver it,
    // and recent updates still spread fast.
    update_queue_.erase(std::min_element(
        update_queue_.begin(), update_queue_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  update_queue_[instance] =
      kRetransmitMultiplier *
      static_cast<int>(std::bit_width(table_.live_count()));
}

void Membership::SendGossip(MessageKind kind, const std::string& payload,
                            OutgoingList& out) {
  RefreshRounds();
  const auto send = [&](const std::vector<InstanceId>& from,
                        std::size_t count) {
    const std::size_t begin = from.empty() ? 0 : random_.Below(from.size());
    for (std::size_t i = 0; i < std::min(count, from.size()); ++i) {
      if (auto outgoing = MessageTo(from[(begin + i) % from.size()], kind)) {
        outgoing->payload = payload;
        out.push_back(std::move(*outgoing));
      }
    }
  };
  send(own_domain_round_.order, kGossipFanoutInDomain);
  send(other_domains_round_.order, 1);
}

void Membership::PingAll(OutgoingList& out) {
  for (const auto& [instance, entry] : table_.entries()) {
    if (instance != instance_ && IsLive(entry.member.record.state)) {
      out.push_back(*MessageTo(instance, MessageKind::kPing));
    }
  }
}

void Membership::Drain(TimePoint now, OutgoingList& out) {
  MemberRecord record = self();
  record.state = MemberState::kDraining;
  UpdateSelf(now, std::move(record));
  SendGossip(MessageKind::kGossip, {}, out);
}

void Membership::Leave(TimePoint now, OutgoingList& out) {
  MemberRecord record = self();
  record.state = MemberState::kLeft;
  UpdateSelf(now, std::move(record));
  SendGossip(MessageKind::kGossip, {}, out);
}

void Membership::SetHints(std::vector<std::string> addresses) {
  addresses.resize(std::min(addresses.size(), kMaxHints));
  hints_ = std::move(addresses);
}

const MemberRecord& Membership::self() const {
  return table_.Find(instance_)->member.record;
}

bool Membership::IsOwnDomain(const MemberRecord& record) const {
  return record.domain == domain_;
}

std::vector<Member> Membership::Members() const {
  std::vector<Member> members;
  members.reserve(table_.entries().size());
  for (const auto& [instance, entry] : table_.entries()) {
    if (instance != instance_) {
      members.push_back(entry.member);
    }
  }
  return members;
}

void Membership::RefreshSummary() {
  if (summary_changes_ == table_.changes()) {
    return;
  }
  summary_changes_ = table_.changes();
  summary_ = {};
  for (const auto& [instance, entry] : table_.entries()) {
    const MemberRecord& record = entry.member.record;
    if (!IsOwnDomain(record)) {
      summary_.other_domains |= IsLive(record.state);
      continue;
    }
    if (record.state == MemberState::kAlive) {
      summary_.candidates.push_back(instance);
    }
    if (instance == instance_) {
      continue;
    }
    summary_.live += IsLive(record.state) ? 1 : 0;
    summary_.suspects += record.state == MemberState::kSuspect ? 1 : 0;
    if (record.state == MemberState::kDead) {
      summary_.dead_since.push_back(entry.state_since);
    }
  }
}

const std::vector<InstanceId>& Membership::DomainCandidates() {
  RefreshSummary();
  return summary_.candidates;
}

ReachabilityStatus Membership::EvaluateReachability(TimePoint now) {
  RefreshSummary();
  const TimePoint counted_from =
      reachability_.store_last_reached().value_or(start_) -
      kUnresponsiveLookback;
  const auto dead = static_cast<std::size_t>(std::count_if(
      summary_.dead_since.begin(), summary_.dead_since.end(),
      [counted_from](TimePoint since) { return since > counted_from; }));
  const ReachabilityLevel level =
      reachability_.Evaluate(now, summary_.live + dead, summary_.other_domains);
  if (level != reachability_status_.reach) {
    reachability_status_.since = now;
  }
  reachability_status_.reach = level;
  reachability_status_.unresponsive_domain_members = summary_.suspects + dead;
  return reachability_status_;
}

std::vector<InstanceId> Membership::RandomLiveMembers(std::size_t count) {
  RefreshRounds();
  std::vector<InstanceId> chosen;
  const std::size_t own = own_domain_round_.order.size();
  const std::size_t all = own + other_domains_round_.order.size();
  for (std::size_t i = 0; i < std::min(count, all); ++i) {
    const std::size_t index = random_.Below(all);
    chosen.push_back(index < own ? own_domain_round_.order[index]
                                 : other_domains_round_.order[index - own]);
  }
  return chosen;
}

std::optional<Outgoing> Membership::MessageTo(const InstanceId& instance,
                                              MessageKind kind) const {
  const MemberTable::Entry* entry = table_.Find(instance);
  if (entry == nullptr) {
    return std::nullopt;
  }
  const MemberRecord& record = entry->member.record;
  return Outgoing{.kind = kind,
                  .address = record.peers_address,
                  .to = instance,
                  .recipient = RecipientOf(instance, record.incarnation)};
}

}  // namespace figwell::peers
