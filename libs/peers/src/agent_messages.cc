// PeerAgent's handling of received messages.

#include "agent.h"

namespace figwell::peers {
namespace {

constexpr Duration kDenialsFetchInterval = std::chrono::seconds(1);
/** Denials may legitimately differ while the numbers in force differ. */
constexpr Duration kDenialsFetchIntervalAcrossVersions =
    std::chrono::seconds(5);
constexpr std::size_t kMaxDenialsInDatagram = 24;

bool AllowsAnyRecipient(MessageKind kind) { return kind == MessageKind::kPing; }

// A bound on memory. Members start again with the newest secret, so that more
// of them at once are not expected.
constexpr std::size_t kMaxMembersWithOtherSecret = ReplayFilter::kMaxSenders;

bool IsFrame(MessageKind kind) { return kind >= MessageKind::kFetchRequest; }

}  // namespace

void PeerAgent::Drop(DropReason reason) {
  ++counters_.dropped[static_cast<std::size_t>(reason)];
}

std::optional<Envelope> PeerAgent::Accept(std::string_view bytes) {
  ++counters_.messages_received;
  counters_.bytes_received += bytes.size();
  auto envelope = Open(bytes, settings_.secrets);
  if (!envelope) {
    Drop(envelope.error());
    return std::nullopt;
  }
  const Recipient sender = RecipientOf(envelope->sender, envelope->incarnation);
  if (envelope->secret == 0) {
    secret_of_member_.erase(sender);
  } else if (secret_of_member_.size() < kMaxMembersWithOtherSecret) {
    secret_of_member_[sender] = envelope->secret;
  }
  return *envelope;
}

void PeerAgent::OnDatagram(TimePoint now, const std::string& from,
                           std::string_view bytes, AgentActions& actions) {
  const auto envelope = Accept(bytes);
  if (!envelope) {
    return;
  }
  if (IsFrame(envelope->kind)) {
    return Drop(DropReason::kUnknownKind);
  }
  const MemberRecord& self = membership_.self();
  const bool to_self =
      envelope->recipient == RecipientOf(self.instance, self.incarnation);
  const bool to_any_recipient = envelope->recipient == kAnyRecipient &&
                                AllowsAnyRecipient(envelope->kind);
  if (envelope->sender == self.instance || !(to_self || to_any_recipient)) {
    return DropAndCorrectSender(*envelope, from, DropReason::kWrongRecipient,
                                now, actions);
  }
  if (const auto reason = replays_.Check(*envelope)) {
    return DropAndCorrectSender(*envelope, from, *reason, now, actions);
  }
  Dispatch(now, *envelope, from, actions);
}

void PeerAgent::DropAndCorrectSender(const Envelope& envelope,
                                     const std::string& from, DropReason reason,
                                     TimePoint now, AgentActions& actions) {
  Drop(reason);
  if (envelope.sender == settings_.self.instance ||
      envelope.kind != MessageKind::kPing) {
    return;
  }
  OutgoingList out;
  if (reason == DropReason::kWrongRecipient) {
    membership_.SendOwnRecord(envelope, from, out);
  } else if (reason == DropReason::kOldIncarnation) {
    membership_.SendKnownRecord(envelope, from, out);
  }
  AppendMessages(now, out, actions);
}

void PeerAgent::Dispatch(TimePoint now, const Envelope& envelope,
                         const std::string& from, AgentActions& actions) {
  OutgoingList out;
  const auto decode = [this, &envelope]<typename T>(T /*type*/,
                                                    const auto& handle) {
    if (const auto message = Unpack<T>(envelope.payload)) {
      handle(*message);
    } else {
      Drop(DropReason::kMalformed);
    }
  };
  switch (envelope.kind) {
    case MessageKind::kPing:
    case MessageKind::kAck:
    case MessageKind::kGossip:
      OnHeartbeat(now, envelope, from, actions);
      break;
    case MessageKind::kPingRequest:
      decode(PingRequest{}, [&](const PingRequest& request) {
        membership_.OnPingRequest(now, envelope, from, request, out);
      });
      break;
    case MessageKind::kIndirectAck:
      decode(IndirectAck{},
             [&](const IndirectAck& ack) { membership_.OnIndirectAck(ack); });
      break;
    case MessageKind::kSyncRequest:
      decode(SyncRequest{}, [&](const SyncRequest& request) {
        membership_.OnSyncRequest(envelope, from, request, out);
      });
      break;
    case MessageKind::kSyncReply:
      decode(SyncReply{}, [&](const SyncReply& reply) {
        membership_.OnSyncReply(now, envelope, from, reply, out);
      });
      break;
    case MessageKind::kDenials:
      decode(DenialList{}, [&](const DenialList& list) {
        OnDenials(now, list.denials, actions);
      });
      break;
    case MessageKind::kApplication:
      decode(ApplicationMessage{}, [&](const ApplicationMessage& message) {
        actions.messages.push_back(
            {envelope.sender, message.kind, message.bytes});
      });
      break;
    default:
      Drop(DropReason::kUnknownKind);
  }
  AppendMessages(now, out, actions);
}

void PeerAgent::OnHeartbeat(TimePoint now, const Envelope& envelope,
                            const std::string& from, AgentActions& actions) {
  const auto heartbeat = Unpack<Heartbeat>(envelope.payload);
  if (!heartbeat || heartbeat->store_access > StoreAccess::kFailed) {
    return Drop(DropReason::kMalformed);
  }
  OutgoingList out;
  membership_.OnHeartbeat(now, envelope, from, *heartbeat, out);
  AppendMessages(now, out, actions);
  if (envelope.recipient == kAnyRecipient) {
    return;  // may be a replay: only its member updates are used
  }
  if (!heartbeat->payload.empty()) {
    actions.payloads.push_back({envelope.sender, heartbeat->payload});
  }
  RelayActions relay;
  relay_.OnPeerVersions(now, envelope.sender, heartbeat->in_force,
                        heartbeat->highest_known, relay);
  AppendRelayActions(now, relay, actions);
  CompareDenials(now, envelope, *heartbeat, actions);
}

void PeerAgent::CompareDenials(TimePoint now, const Envelope& envelope,
                               const Heartbeat& heartbeat,
                               AgentActions& actions) {
  if (heartbeat.denials_digest == denials_.hash() ||
      heartbeat.denials_digest == 0) {
    denials_synced_ = true;
    return;
  }
  const bool same_version = heartbeat.in_force == relay_.in_force();
  const Duration interval = same_version ? kDenialsFetchInterval
                                         : kDenialsFetchIntervalAcrossVersions;
  if (now - last_denials_fetch_ >= interval) {
    last_denials_fetch_ = now;
    StartFetch(now, envelope.sender, MessageKind::kDenialsRequest, {}, actions);
  }
}

void PeerAgent::OnDenials(TimePoint now, const std::vector<Denial>& denials,
                          AgentActions& actions) {
  const std::vector<Denial> added = denials_.Merge(denials);
  counters_.denials_refused = denials_.refused();
  if (!added.empty()) {
    actions.denials_changed = true;
    GossipDenials(now, added, actions);
  }
}

void PeerAgent::GossipDenials(TimePoint now, const std::vector<Denial>& denials,
                              AgentActions& actions) {
  DenialList list{denials};
  // Peers fetch the rest when they find that the digests differ.
  list.denials.resize(std::min(denials.size(), kMaxDenialsInDatagram));
  OutgoingList out;
  membership_.SendGossip(MessageKind::kDenials, Pack(list), out);
  AppendMessages(now, out, actions);
}

std::string PeerAgent::OnFrame(std::string_view bytes) {
  const auto envelope = Accept(bytes);
  if (!envelope) {
    return {};
  }
  const MemberRecord& self = membership_.self();
  if (envelope->recipient != RecipientOf(self.instance, self.incarnation)) {
    Drop(DropReason::kWrongRecipient);
    return {};
  }
  if (const auto reason = replays_.Check(*envelope)) {
    Drop(*reason);
    return {};
  }
  const Recipient sender = RecipientOf(envelope->sender, envelope->incarnation);
  std::string answer;
  if (envelope->kind == MessageKind::kDenialsRequest) {
    answer = SealMessage(MessageKind::kDenialsReply, sender,
                         Pack(DenialList{denials_.List()}));
  } else if (envelope->kind == MessageKind::kFetchRequest) {
    const auto request = Unpack<FetchRequest>(envelope->payload);
    if (!request) {
      Drop(DropReason::kMalformed);
      return {};
    }
    ConfigurationUpdate update = relay_.AnswerFetch(*request);
    const bool needs_snapshot =
        update.patches.empty() && relay_.in_force() > request->after;
    if (needs_snapshot && settings_.snapshot) {
      update.snapshot = settings_.snapshot();
    }
    answer = SealMessage(MessageKind::kFetchReply, sender, Pack(update));
  } else {
    Drop(DropReason::kUnknownKind);
    return {};
  }
  ++counters_.messages_sent;
  counters_.bytes_sent += answer.size();
  return answer;
}

void PeerAgent::OnFrameAnswer(TimePoint now, std::uint64_t id,
                              std::string_view bytes, AgentActions& actions) {
  const auto it = pending_fetches_.find(id);
  if (it == pending_fetches_.end()) {
    return;
  }
  const PendingFetch fetch = it->second;
  pending_fetches_.erase(it);
  std::optional<Envelope> envelope;
  if (!bytes.empty()) {
    envelope = Accept(bytes);
  }
  const MemberRecord& self = membership_.self();
  const auto expected = fetch.kind == MessageKind::kFetchRequest
                            ? MessageKind::kFetchReply
                            : MessageKind::kDenialsReply;
  const bool usable =
      envelope && envelope->sender == fetch.peer &&
      envelope->kind == expected &&
      envelope->recipient == RecipientOf(self.instance, self.incarnation) &&
      !replays_.Check(*envelope);
  counters_.fetches_failed += usable ? 0 : 1;
  if (expected == MessageKind::kDenialsReply) {
    const auto list =
        usable ? Unpack<DenialList>(envelope->payload) : Result<DenialList>();
    if (usable && list) {
      denials_synced_ = true;
      OnDenials(now, list->denials, actions);
    }
    return;
  }
  const auto update = usable ? Unpack<ConfigurationUpdate>(envelope->payload)
                             : Result<ConfigurationUpdate>();
  RelayActions relay;
  relay_.OnFetched(now, fetch.peer, usable && update ? &*update : nullptr,
                   relay);
  AppendRelayActions(now, relay, actions);
}

}  // namespace figwell::peers
