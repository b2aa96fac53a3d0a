// Failure detection: from a missed ack to a member that is declared dead.

#include "membership.h"

namespace figwell::peers {
namespace {

constexpr std::size_t kIndirectPingHelpers = 3;

}  // namespace

void Membership::ResetTimersAfterPause(TimePoint now) {
  probes_.clear();
  pending_indirect_pings_.clear();
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
    const bool answered =
        entry == nullptr ||
        (entry->member.heard && *entry->member.heard >= state.sent);
    if (answered) {
      probe = probes_.erase(probe);
      continue;
    }
    if (now - state.sent >= kProbeTimeout) {
      Suspect(now, target);
      probe = probes_.erase(probe);
      continue;
    }
    if (!state.indirect && now - state.sent >= kPingTimeout) {
      probe->second.indirect = true;
      SendPingRequests(target, out);
    }
    ++probe;
  }
}

void Membership::SendPingRequests(const InstanceId& target, OutgoingList& out) {
  for (const InstanceId& helper : RandomLiveMembers(kIndirectPingHelpers)) {
    auto outgoing = MessageTo(helper, MessageKind::kPingRequest);
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
  QueueUpdate(instance);
}

bool Membership::MayDeclareDead(const MemberTable::Entry& entry) const {
  // Without contact to anything else since the suspicion, this process may be
  // isolated itself and the suspect may be alive.
  return reachability_.HasEvidenceSince(entry.state_since,
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
    if (now - entry->state_since >= kSuspicionTimeout &&
        MayDeclareDead(*entry)) {
      ++deaths_;
      table_.SetState(now, *suspect, MemberState::kDead);
      last_change_ = now;
      QueueUpdate(*suspect);
      suspect = suspects_.erase(suspect);
      continue;
    }
    ++suspect;
  }
}

}  // namespace figwell::peers
