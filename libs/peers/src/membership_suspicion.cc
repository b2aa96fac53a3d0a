// Failure detection: from a missed ack to a member that is declared dead.

#include "membership.h"

namespace figwell::peers {
namespace {

constexpr std::size_t kIndirectPings = 3;

}  // namespace

void Membership::ForgivePause(TimePoint now) {
  probes_.clear();
  asked_.clear();
  for (const InstanceId& suspect : suspects_) {
    if (auto* entry = table_.Find(suspect)) {
      entry->state_since = now;
    }
  }
}

void Membership::CheckProbes(TimePoint now, OutgoingList& out) {
  for (auto probe = probes_.begin(); probe != probes_.end();) {
    const auto& [target, state] = *probe;
    const MemberTable::Entry* entry = table_.Find(target);
    const bool heard = entry == nullptr || (entry->member.heard &&
                                            *entry->member.heard >= state.sent);
    if (heard) {
      probe = probes_.erase(probe);
      continue;
    }
    if (now - state.sent >= kSuspectAfter) {
      Suspect(now, target);
      probe = probes_.erase(probe);
      continue;
    }
    if (!state.indirect && now - state.sent >= kIndirectPingAfter) {
      probe->second.indirect = true;
      AskOthersToPing(target, out);
    }
    ++probe;
  }
}

void Membership::AskOthersToPing(const InstanceId& target, OutgoingList& out) {
  for (const InstanceId& helper : RandomLive(kIndirectPings)) {
    auto outgoing = To(helper, MessageKind::kPingRequest);
    if (helper == target || !outgoing) {
      continue;
    }
    outgoing->payload =
        Pack(PingRequest{.target = table_.Find(target)->member.record});
    out.push_back(std::move(*outgoing));
  }
}

void Membership::Suspect(TimePoint now, const InstanceId& instance) {
  const MemberState state = table_.Find(instance)->member.record.state;
  if (state != MemberState::kAlive && state != MemberState::kDraining) {
    return;
  }
  ++suspicions_;
  table_.SetState(now, instance, MemberState::kSuspect);
  suspects_.insert(instance);
  last_change_ = now;
  Queue(instance);
}

bool Membership::MayGiveUp(const MemberTable::Entry& entry) const {
  // Without contact to anything else since the suspicion, this process may be
  // isolated itself and the suspect may be alive.
  return reachability_.HeardSince(entry.state_since,
                                  IsOwnDomain(entry.member.record));
}

void Membership::CheckSuspects(TimePoint now) {
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
    const MemberTable::Entry* entry = table_.Find(*suspect);
    if (entry == nullptr ||
        entry->member.record.state != MemberState::kSuspect) {
      suspect = suspects_.erase(suspect);
      continue;
    }
    if (now - entry->state_since >= kSuspicionTime && MayGiveUp(*entry)) {
      ++deaths_;
      table_.SetState(now, *suspect, MemberState::kDead);
      last_change_ = now;
      Queue(*suspect);
      suspect = suspects_.erase(suspect);
      continue;
    }
    ++suspect;
  }
}

}  // namespace figwell::peers
