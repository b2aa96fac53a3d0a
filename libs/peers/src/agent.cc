#include "agent.h"

#include <algorithm>

namespace figwell::peers {
namespace {

/** Limits pings of the entire fleet while a client polls its status. */
constexpr Duration kRefreshInterval = std::chrono::seconds(5);
/** How often watchers, reachability and member changes are evaluated. */
constexpr Duration kEvaluationInterval = std::chrono::milliseconds(500);

Result<void> CheckSize(std::size_t size, std::size_t max) {
  if (size > max) {
    return Fail(ErrorCode::kTooLarge,
                "message or payload exceeds its size limit");
  }
  return {};
}

}  // namespace

PeerAgent::PeerAgent(TimePoint now, AgentSettings settings)
    : settings_(std::move(settings)),
      membership_(now, settings_.self, settings_.seeds, settings_.random_seed),
      relay_(now, MixBits(settings_.random_seed + 1)),
      start_(now),
      last_denials_fetch_(now - std::chrono::hours(1)),
      next_evaluation_(now) {
  reachability_status_.since = now;
}

void PeerAgent::Tick(TimePoint now, AgentActions& actions) {
  OutgoingList out;
  membership_.Tick(now, out);
  AppendMessages(now, out, actions);
  RelayActions relay;
  relay_.Tick(now, MakeView(now), relay);
  AppendRelayActions(now, relay, actions);
  std::erase_if(pending_fetches_,
                [now](const auto& item) { return now > item.second.deadline; });
  CheckDenialsSynced(now);
  if (now >= next_evaluation_) {
    next_evaluation_ = now + kEvaluationInterval;
    actions.members_changed |=
        reported_generation_ != membership_.table().generation();
    reported_generation_ = membership_.table().generation();
    const ReachabilityStatus status = membership_.EvaluateReachability(now);
    actions.members_changed |= status != reachability_status_;
    reachability_status_ = status;
  }
}

RelayView PeerAgent::MakeView(TimePoint now) {
  if (now >= next_evaluation_) {
    const MemberRecord& self = membership_.self();
    const auto& candidates = membership_.DomainCandidates();
    view_.domain_members = std::max<std::size_t>(1, candidates.size());
    const auto watchers = ChooseWatchers(self.domain, candidates);
    view_.watcher = std::find(watchers.begin(), watchers.end(),
                              self.instance) != watchers.end();
  }
  view_.store_reached_recently = membership_.StoreReachedRecently(now);
  return view_;
}

void PeerAgent::CheckDenialsSynced(TimePoint now) {
  const Duration age = now - start_;
  const bool without_peers = membership_.table().live_count() <= 1;
  denials_synced_ |=
      age >= kStartTimeout || (without_peers && age >= kNoProgressTimeout);
}

void PeerAgent::OnStoreAnswered(TimePoint now, bool reached,
                                std::optional<config::VersionNumber> head) {
  membership_.OnStoreAnswered(now, reached);
  relay_.OnStoreAnswered(now, reached, head);
  counters_.store_regressions = relay_.store_regressions();
}

void PeerAgent::OnOffer(const ConfigurationUpdate& update,
                        AgentActions& actions) {
  RelayActions relay;
  relay_.OnOffer(update, relay);
  actions.apply = std::move(relay.apply);
}

void PeerAgent::OnInForce(TimePoint now, config::VersionNumber number,
                          std::function<bool(const Digest&)> has_key,
                          AgentActions& actions) {
  if (number < relay_.in_force()) {
    return;
  }
  RelayActions relay;
  relay_.OnInForce(now, number, relay);
  actions.denials_changed |= denials_.OnInForce(number, std::move(has_key));
  AppendRelayActions(now, relay, actions);
}

Result<void> PeerAgent::Deny(TimePoint now, const Digest& digest,
                             AgentActions& actions) {
  const DenialSet::Outcome outcome = denials_.Deny(digest);
  counters_.denials_refused = denials_.refused();
  if (outcome == DenialSet::Outcome::kFull) {
    return Fail(ErrorCode::kTooLarge, "the set of denials is full");
  }
  if (outcome == DenialSet::Outcome::kAdded) {
    actions.denials_changed = true;
    for (const Denial& denial : denials_.List()) {
      if (denial.digest == digest) {
        GossipDenials(now, {denial}, actions);
      }
    }
  }
  return {};
}

Result<void> PeerAgent::SetPayload(std::string payload) {
  return CheckSize(payload.size(), kMaxHeartbeatPayloadBytes).map([&] {
    payload_ = std::move(payload);
  });
}

Result<void> PeerAgent::Send(TimePoint now, const InstanceId& to,
                             std::uint16_t kind, std::string_view bytes,
                             AgentActions& actions) {
  if (auto fits = CheckSize(bytes.size(), kMaxApplicationBytes); !fits) {
    return fits;
  }
  auto outgoing = membership_.MessageTo(to, MessageKind::kApplication);
  if (!outgoing) {
    return Fail(ErrorCode::kNotFound, "unknown member " + to.value());
  }
  outgoing->payload =
      Pack(ApplicationMessage{.kind = kind, .bytes = std::string(bytes)});
  OutgoingList out;
  out.push_back(std::move(*outgoing));
  AppendMessages(now, out, actions);
  return {};
}

std::size_t PeerAgent::BroadcastInDomain(TimePoint now, std::uint16_t kind,
                                         std::string_view bytes,
                                         AgentActions& actions) {
  std::size_t sent = 0;
  for (const InstanceId& instance : membership_.DomainCandidates()) {
    if (instance != settings_.self.instance &&
        Send(now, instance, kind, bytes, actions)) {
      ++sent;
    }
  }
  return sent;
}

void PeerAgent::RefreshMembers(TimePoint now, AgentActions& actions) {
  if (now < next_refresh_) {
    return;
  }
  next_refresh_ = now + kRefreshInterval;
  OutgoingList out;
  membership_.PingAll(out);
  AppendMessages(now, out, actions);
}

void PeerAgent::Drain(TimePoint now, AgentActions& actions) {
  OutgoingList out;
  membership_.Drain(now, out);
  AppendMessages(now, out, actions);
}

void PeerAgent::Leave(TimePoint now, AgentActions& actions) {
  OutgoingList out;
  membership_.Leave(now, out);
  AppendMessages(now, out, actions);
}

void PeerAgent::AddSecret(std::string secret) {
  std::vector<std::string>& secrets = settings_.secrets;
  if (std::find(secrets.begin(), secrets.end(), secret) == secrets.end()) {
    secrets.push_back(std::move(secret));
  }
}

const std::string& PeerAgent::SecretFor(Recipient recipient) const {
  const auto found = secret_of_member_.find(recipient);
  return settings_
      .secrets[found == secret_of_member_.end() ? 0 : found->second];
}

std::string PeerAgent::SealMessage(MessageKind kind, Recipient recipient,
                                   std::string_view payload) {
  return Seal({.kind = kind,
               .sender = settings_.self.instance,
               .recipient = recipient,
               .incarnation = membership_.self().incarnation,
               .sequence = ++sequence_,
               .payload = payload},
              SecretFor(recipient));
}

void PeerAgent::AppendMessages(TimePoint now, OutgoingList& out,
                               AgentActions& actions) {
  for (Outgoing& outgoing : out) {
    const bool heartbeat = outgoing.kind == MessageKind::kPing ||
                           outgoing.kind == MessageKind::kAck ||
                           outgoing.kind == MessageKind::kGossip;
    if (heartbeat) {
      Heartbeat message;
      message.in_force = relay_.in_force();
      message.highest_known = relay_.highest_known();
      message.denials_digest = denials_.hash();
      message.payload = payload_;
      membership_.FillHeartbeat(now, outgoing, message);
      outgoing.payload = Pack(message);
    }
    Datagram datagram{
        std::move(outgoing.address),
        SealMessage(outgoing.kind, outgoing.recipient, outgoing.payload)};
    ++counters_.messages_sent;
    counters_.bytes_sent += datagram.bytes.size();
    actions.datagrams.push_back(std::move(datagram));
  }
  out.clear();
  counters_.suspicions = membership_.suspicions();
  counters_.deaths = membership_.deaths();
  counters_.incarnation_conflicts = membership_.incarnation_conflicts();
}

void PeerAgent::AppendRelayActions(TimePoint now, RelayActions& relay,
                                   AgentActions& actions) {
  if (relay.watch) {
    actions.watch = relay.watch;
  }
  if (relay.read_store) {
    actions.read_store = true;
    ++counters_.store_reads_requested;
  }
  if (relay.apply) {
    actions.apply = std::move(relay.apply);
  }
  if (relay.fetch) {
    StartFetch(now, relay.fetch->first, MessageKind::kFetchRequest,
               Pack(relay.fetch->second), actions);
  }
  if (relay.announce) {
    OutgoingList out;
    membership_.SendGossip(MessageKind::kGossip, {}, out);
    AppendMessages(now, out, actions);
  }
}

void PeerAgent::StartFetch(TimePoint now, const InstanceId& peer,
                           MessageKind kind, const std::string& payload,
                           AgentActions& actions) {
  const auto outgoing = membership_.MessageTo(peer, kind);
  if (!outgoing) {
    return;  // the relay's fetch deadline selects another peer
  }
  ++counters_.fetches;
  const std::uint64_t id = ++next_fetch_;
  pending_fetches_[id] = {peer, kind, now + kFetchTimeout};
  Fetch fetch{id, outgoing->address,
              SealMessage(kind, outgoing->recipient, payload)};
  ++counters_.messages_sent;
  counters_.bytes_sent += fetch.frame.size();
  actions.fetches.push_back(std::move(fetch));
}

}  // namespace figwell::peers
