#include "agent.h"

#include <algorithm>

namespace figwell::peers {
namespace {

/** Limits pings of the whole fleet while a client polls its status. */
constexpr Duration kRefreshInterval = std::chrono::seconds(5);
/** How often watchers, reachability and member changes are evaluated. */
constexpr Duration kJudgementInterval = std::chrono::milliseconds(500);

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
      next_judgement_(now) {
  cut_off_.since = now;
}

void PeerAgent::Tick(TimePoint now, AgentActions& actions) {
  OutgoingList out;
  membership_.Tick(now, out);
  Carry(now, out, actions);
  RelayActions relay;
  relay_.Tick(now, MakeView(now), relay);
  Carry(now, relay, actions);
  std::erase_if(open_fetches_,
                [now](const auto& item) { return now > item.second.deadline; });
  CheckDenialsSynced(now);
  if (now >= next_judgement_) {
    next_judgement_ = now + kJudgementInterval;
    actions.members_changed |=
        seen_generation_ != membership_.table().generation();
    seen_generation_ = membership_.table().generation();
    const ReachabilityStatus judged = membership_.JudgeCutOff(now);
    actions.members_changed |= judged != cut_off_;
    cut_off_ = judged;
  }
}

RelayView PeerAgent::MakeView(TimePoint now) {
  if (now >= next_judgement_) {
    const MemberRecord& self = membership_.self();
    const auto& candidates = membership_.DomainCandidates();
    view_.domain_members = std::max<std::size_t>(1, candidates.size());
    const auto watchers = ChooseWatchers(self.domain, candidates);
    view_.watcher = std::find(watchers.begin(), watchers.end(),
                              self.instance) != watchers.end();
  }
  view_.store_seen = membership_.StoreSeen(now);
  return view_;
}

void PeerAgent::CheckDenialsSynced(TimePoint now) {
  const Duration age = now - start_;
  const bool alone = membership_.table().live_count() <= 1;
  denials_synced_ |=
      age >= kStartTimeout || (alone && age >= kNoProgressTimeout);
}

void PeerAgent::OnStoreAnswered(TimePoint now, bool reached,
                                std::optional<config::VersionNumber> head) {
  membership_.OnStoreAnswered(now, reached);
  relay_.OnStoreAnswered(now, reached, head);
  counters_.store_went_back = relay_.store_went_back();
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
  Carry(now, relay, actions);
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
        Spread(now, {denial}, actions);
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
  auto outgoing = membership_.To(to, MessageKind::kApplication);
  if (!outgoing) {
    return Fail(ErrorCode::kNotFound, "unknown member " + to.value());
  }
  outgoing->payload =
      Pack(ApplicationMessage{.kind = kind, .bytes = std::string(bytes)});
  OutgoingList out;
  out.push_back(std::move(*outgoing));
  Carry(now, out, actions);
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
  Carry(now, out, actions);
}

void PeerAgent::Drain(TimePoint now, AgentActions& actions) {
  OutgoingList out;
  membership_.Drain(now, out);
  Carry(now, out, actions);
}

void PeerAgent::Leave(TimePoint now, AgentActions& actions) {
  OutgoingList out;
  membership_.Leave(now, out);
  Carry(now, out, actions);
}

std::string PeerAgent::SealMessage(MessageKind kind, Recipient recipient,
                                   std::string_view payload) {
  return Seal({.kind = kind,
               .sender = settings_.self.instance,
               .recipient = recipient,
               .incarnation = membership_.self().incarnation,
               .sequence = ++sequence_,
               .payload = payload},
              settings_.secrets.front());
}

void PeerAgent::Carry(TimePoint now, OutgoingList& out, AgentActions& actions) {
  for (Outgoing& outgoing : out) {
    const bool heartbeat = outgoing.kind == MessageKind::kPing ||
                           outgoing.kind == MessageKind::kAck ||
                           outgoing.kind == MessageKind::kNews;
    if (heartbeat) {
      Heartbeat message;
      message.in_force = relay_.in_force();
      message.highest_known = relay_.highest_known();
      message.denials_digest = denials_.hash();
      message.payload = payload_;
      membership_.Fill(now, outgoing, message);
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

void PeerAgent::Carry(TimePoint now, RelayActions& relay,
                      AgentActions& actions) {
  if (relay.watch) {
    actions.watch = relay.watch;
  }
  if (relay.read_store) {
    actions.read_store = true;
    ++counters_.store_reads_asked;
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
    membership_.SendNews(MessageKind::kNews, {}, out);
    Carry(now, out, actions);
  }
}

void PeerAgent::StartFetch(TimePoint now, const InstanceId& peer,
                           MessageKind kind, const std::string& payload,
                           AgentActions& actions) {
  const auto outgoing = membership_.To(peer, kind);
  if (!outgoing) {
    return;  // the relay's fetch deadline selects another peer
  }
  ++counters_.fetches;
  const std::uint64_t id = ++next_fetch_;
  open_fetches_[id] = {peer, kind, now + kFetchTimeout};
  Fetch fetch{id, outgoing->address,
              SealMessage(kind, outgoing->recipient, payload)};
  ++counters_.messages_sent;
  counters_.bytes_sent += fetch.frame.size();
  actions.fetches.push_back(std::move(fetch));
}

}  // namespace figwell::peers
