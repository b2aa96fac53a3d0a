// Membership's handling of received messages, and the contents it sends.

#include <algorithm>

#include "membership.h"

namespace figwell::peers {
namespace {

constexpr std::size_t kMaxUpdatesPerHeartbeat = 6;
constexpr std::size_t kMaxUpdateBytesPerHeartbeat = 800;
constexpr std::size_t kMaxPendingIndirectPings = 256;
constexpr std::size_t kMaxSyncReplies = 4;
/** With 810 members, about as many as kMaxSyncReplies datagrams hold. */
constexpr std::size_t kMaxSyncBuckets = 4;
constexpr std::size_t kMaxSyncReplyBytes = 1'200;
constexpr Duration kSyncIntervalAtStartup = std::chrono::milliseconds(200);
/** Changed records after which a sync is repeated on the next tick. */
constexpr std::size_t kMinChangesToRepeatSync = 4;
constexpr Duration kSyncIntervalWhenStable = std::chrono::seconds(2);
/** A process that has just started syncs often: its table is incomplete. */
constexpr Duration kStartupPeriod = std::chrono::seconds(10);
/** Time without a change of the table after which it counts as stable. */
constexpr Duration kStablePeriod = std::chrono::seconds(5);
/**
 * Sync interval while the table keeps changing; piggybacked updates may still
 * remove the difference.
 */
constexpr Duration kSyncIntervalWhenChanging = std::chrono::seconds(10);

std::size_t EncodedSize(const MemberRecord& record) {
  constexpr std::size_t kFixedBytes = 4 * sizeof(std::uint32_t) +
                                      sizeof(record.incarnation) +
                                      sizeof(record.version) + 1;
  return kFixedBytes + record.instance.value().size() +
         record.domain.value().size() + record.peers_address.size() +
         record.admin_address.size();
}

Outgoing ReplyTo(const Envelope& envelope, const std::string& from,
                 MessageKind kind) {
  return {.kind = kind,
          .address = from,
          .to = envelope.sender,
          .recipient = RecipientOf(envelope.sender, envelope.incarnation)};
}

/** Splits records into replies that fit a datagram each. */
void AppendReplies(const std::vector<MemberRecord>& records,
                   const Outgoing& reply, std::size_t max_replies,
                   OutgoingList& out) {
  SyncReply message;
  std::size_t bytes = 0;
  std::size_t replies = 0;
  const auto flush = [&] {
    if (!message.records.empty() && replies < max_replies) {
      out.push_back(reply);
      out.back().payload = Pack(message);
      ++replies;
    }
    message.records.clear();
    bytes = 0;
  };
  for (const MemberRecord& record : records) {
    if (bytes + EncodedSize(record) > kMaxSyncReplyBytes) {
      flush();
    }
    bytes += EncodedSize(record);
    message.records.push_back(record);
  }
  flush();
}

}  // namespace

void Membership::OnHeartbeat(TimePoint now, const Envelope& envelope,
                             const std::string& from,
                             const Heartbeat& heartbeat, OutgoingList& out) {
  for (const MemberRecord& record : heartbeat.updates) {
    Merge(now, record);
  }
  if (envelope.kind == MessageKind::kPing) {
    out.push_back(ReplyTo(envelope, from, MessageKind::kAck));
    out.back().include_own_record = envelope.recipient == kAnyRecipient;
  }
  MemberTable::Entry* entry = table_.Find(envelope.sender);
  const bool known = entry != nullptr &&
                     entry->member.record.incarnation == envelope.incarnation;
  // A message to any recipient may be a replay of a recorded one, so it is
  // no evidence that the sender is alive now.
  if (known && envelope.recipient != kAnyRecipient) {
    Member& member = entry->member;
    member.heard = now;
    member.number_in_force =
        std::max(member.number_in_force, heartbeat.in_force);
    member.store_access = heartbeat.store_access;
    reachability_.RecordHeartbeat(now, heartbeat, IsOwnDomain(member.record));
    for (auto [pending, end] =
             pending_indirect_pings_.equal_range(envelope.sender);
         pending != end; ++pending) {
      pending->second.payload =
          Pack(IndirectAck{envelope.sender, envelope.incarnation});
      out.push_back(std::move(pending->second));
    }
    pending_indirect_pings_.erase(envelope.sender);
  }
  if (heartbeat.members_digest != table_.digest()) {
    SyncIfDue(now, envelope, from, out);
  }
}

void Membership::SyncIfDue(TimePoint now, const Envelope& envelope,
                           const std::string& from, OutgoingList& out) {
  const Duration since = now - last_sync_;
  const bool starting =
      now - start_ < kStartupPeriod && since >= kSyncIntervalAtStartup;
  const bool stable =
      now - last_change_ >= kStablePeriod && since >= kSyncIntervalWhenStable;
  if (!starting && !stable && since < kSyncIntervalWhenChanging) {
    return;
  }
  SendSyncRequest(now, ReplyTo(envelope, from, MessageKind::kSyncRequest), out);
}

void Membership::SendSyncRequest(TimePoint now, Outgoing request,
                                 OutgoingList& out) {
  request.payload = Pack(SyncRequest{.buckets = table_.BucketDigests()});
  out.push_back(std::move(request));
  repeated_sync_.reset();
  last_sync_ = now;
}

void Membership::OnSyncRequest(const Envelope& envelope,
                               const std::string& from,
                               const SyncRequest& request, OutgoingList& out) {
  if (request.buckets.size() != kBuckets) {
    return;
  }
  const std::vector<std::uint32_t> mine = table_.BucketDigests();
  const std::size_t begin = random_.Below(kBuckets);
  const Outgoing reply = ReplyTo(envelope, from, MessageKind::kSyncReply);
  std::bitset<kBuckets> differing;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    const std::size_t bucket = (begin + i) % kBuckets;
    if (mine[bucket] != request.buckets[bucket] &&
        differing.count() < kMaxSyncBuckets) {
      differing.set(bucket);
    }
  }
  const std::vector<MemberRecord> records = table_.Records(differing);
  AppendReplies(records, reply, kMaxSyncReplies, out);
}

void Membership::OnSyncReply(TimePoint now, const Envelope& envelope,
                             const std::string& from, const SyncReply& reply,
                             OutgoingList& out) {
  std::vector<MemberRecord> newer;
  std::size_t changed = 0;
  for (const MemberRecord& record : reply.records) {
    changed += Merge(now, record) ? 1 : 0;
    const MemberTable::Entry* entry = table_.Find(record.instance);
    if (entry != nullptr && Supersedes(entry->member.record, record)) {
      newer.push_back(entry->member.record);
    }
  }
  AppendReplies(newer, ReplyTo(envelope, from, MessageKind::kSyncReply), 1,
                out);
  if (changed >= kMinChangesToRepeatSync) {
    repeated_sync_ = ReplyTo(envelope, from, MessageKind::kSyncRequest);
  }
}

void Membership::OnPingRequest(TimePoint now, const Envelope& envelope,
                               const std::string& from,
                               const PingRequest& request, OutgoingList& out) {
  Merge(now, request.target);
  const InstanceId& target = request.target.instance;
  auto ping = MessageTo(target, MessageKind::kPing);
  if (!ping || target == instance_) {
    return;
  }
  if (pending_indirect_pings_.size() >= kMaxPendingIndirectPings) {
    pending_indirect_pings_.clear();
  }
  pending_indirect_pings_.emplace(
      target, ReplyTo(envelope, from, MessageKind::kIndirectAck));
  out.push_back(std::move(*ping));
}

void Membership::OnIndirectAck(const IndirectAck& ack) {
  MemberTable::Entry* entry = table_.Find(ack.target);
  if (entry != nullptr && probes_.contains(ack.target) &&
      entry->member.record.incarnation == ack.incarnation) {
    probes_.erase(ack.target);
  }
}

void Membership::OnStoreAnswered(TimePoint now, bool reached) {
  reachability_.OnStoreAnswer(now, reached);
}

void Membership::SendOwnRecord(const Envelope& envelope,
                               const std::string& from,
                               OutgoingList& out) const {
  out.push_back(ReplyTo(envelope, from, MessageKind::kGossip));
  out.back().include_own_record = true;
}

void Membership::SendKnownRecord(const Envelope& envelope,
                                 const std::string& from,
                                 OutgoingList& out) const {
  const MemberTable::Entry* entry = table_.Find(envelope.sender);
  if (entry != nullptr) {
    AppendReplies({entry->member.record},
                  ReplyTo(envelope, from, MessageKind::kSyncReply), 1, out);
  }
}

void Membership::FillHeartbeat(TimePoint now, const Outgoing& outgoing,
                               Heartbeat& heartbeat) {
  heartbeat.members_digest = table_.digest();
  heartbeat.store_access = reachability_.store_access();
  heartbeat.store_age_ms = reachability_.StoreAge(now);
  heartbeat.other_domain_age_ms = reachability_.OtherDomainAge(now);
  if (outgoing.include_own_record) {
    heartbeat.updates.push_back(self());
  }
  const MemberTable::Entry* target = table_.Find(outgoing.to);
  if (target != nullptr &&
      target->member.record.state >= MemberState::kSuspect) {
    // A suspected member has to learn of the suspicion to refute it.
    heartbeat.updates.push_back(target->member.record);
  }
  std::vector<std::pair<int, InstanceId>> queued;
  queued.reserve(update_queue_.size());
  for (const auto& [instance, remaining] : update_queue_) {
    queued.emplace_back(remaining, instance);
  }
  const std::size_t count = std::min(kMaxUpdatesPerHeartbeat, queued.size());
  std::partial_sort(queued.begin(),
                    queued.begin() + static_cast<std::ptrdiff_t>(count),
                    queued.end(), std::greater<>());
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < count && bytes < kMaxUpdateBytesPerHeartbeat;
       ++i) {
    const InstanceId& instance = queued[i].second;
    const MemberTable::Entry* entry = table_.Find(instance);
    if (entry != nullptr) {
      bytes += EncodedSize(entry->member.record);
      heartbeat.updates.push_back(entry->member.record);
    }
    if (entry == nullptr || --update_queue_[instance] <= 0) {
      update_queue_.erase(instance);
    }
  }
}

}  // namespace figwell::peers
