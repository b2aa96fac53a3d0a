// The heartbeats and promises between the UnitHolders of a domain.

#include <algorithm>

#include "figwell/budget.h"
#include "unit_timing.h"

namespace figwell::budget {

Duration UnitHolder::HeartbeatInterval() const {
  return std::clamp<Duration>(
      kHeartbeatIntervalPerMember * static_cast<std::int64_t>(members_.size()),
      kMinHeartbeatInterval, kMaxHeartbeatInterval);
}

/** The member that renews this gateway's entry; nullopt: this gateway. */
std::optional<InstanceId> UnitHolder::Renewer() const {
  std::vector<InstanceId> all = members_;
  all.insert(std::upper_bound(all.begin(), all.end(), settings_.instance),
             settings_.instance);
  const std::size_t renewers = 1 + all.size() / kMembersPerRenewer;
  const std::size_t first = StableHash(settings_.instance.value()) % renewers;
  const InstanceId& chosen = all[(first + renewer_attempt_) % all.size()];
  return chosen == settings_.instance ? std::nullopt : std::optional(chosen);
}

std::optional<TimePoint> UnitHolder::HeartbeatSentAt(
    std::uint64_t number) const {
  const auto found =
      std::find_if(sent_heartbeats_.begin(), sent_heartbeats_.end(),
                   [&](const auto& sent) { return sent.first == number; });
  return found == sent_heartbeats_.end() ? std::nullopt
                                         : std::optional(found->second);
}

bool UnitHolder::NeedsPromise(TimePoint now) const {
  // Continues after the store is reachable again until the lease is renewed.
  return (!store_ok_ || requesting_promises_) && confirmed_heartbeat_ != 0 &&
         now - confirmed_sent_at_ >= kRenewInterval;
}

void UnitHolder::SendHeartbeats(TimePoint now, UnitActions& actions) {
  if (now < next_heartbeat_) {
    return;
  }
  next_heartbeat_ = now + HeartbeatInterval();
  sent_heartbeats_.emplace_back(++heartbeat_number_, now);
  if (sent_heartbeats_.size() > kMaxSentHeartbeats) {
    sent_heartbeats_.pop_front();
  }
  const bool was_requesting =
      std::exchange(requesting_promises_, NeedsPromise(now));
  if (requesting_promises_ && !was_requesting) {
    first_requesting_heartbeat_ = heartbeat_number_;
  }
  if (!requesting_promises_) {
    promised_to_us_.clear();
  }
  if (now - renewer_last_echo_ >= kMaxMissedHeartbeats * HeartbeatInterval()) {
    ++renewer_attempt_;
    renewer_last_echo_ = now;
  }
  const UnitHeartbeat heartbeat{settings_.incarnation, heartbeat_number_,
                                table_.change, requesting_promises_, leaving_};
  const std::optional<InstanceId> renewer = Renewer();
  for (const InstanceId& member : members_) {
    if (requesting_promises_ || member == renewer) {
      actions.heartbeats.push_back({member, heartbeat});
    }
  }
}

/**
 * Whether this gateway can promise not to free the holder's units: they are in
 * the table, and no write of ours that may still be executed frees them.
 */
bool UnitHolder::MayPromise(const Holder& holder) const {
  return !store_ok_ && table_.Find(holder.first, holder.second) != nullptr &&
         !unresolved_writes_.freed.contains(holder);
}

UnitActions UnitHolder::OnHeartbeat(TimePoint now, const InstanceId& from,
                                    const UnitHeartbeat& heartbeat) {
  UnitActions actions;
  ReceivedHeartbeat& received = received_heartbeats_[from];
  const bool stale = heartbeat.incarnation == received.heartbeat.incarnation &&
                     heartbeat.number <= received.heartbeat.number;
  if (stale) {
    return actions;
  }
  received = {heartbeat, now};
  const Holder holder{from, heartbeat.incarnation};
  UnitEcho echo{heartbeat.incarnation, settings_.incarnation, 0, 0, 0};
  const UnitEntry* entry = table_.Find(from, heartbeat.incarnation);
  if (entry != nullptr) {
    echo.renewed_heartbeat = entry->renewed_heartbeat;
    echo.change = table_.change;
  }
  if (!heartbeat.requests_promise) {
    promised_by_us_.erase(holder);
  } else if (MayPromise(holder)) {
    promised_by_us_[holder] = now + kPromiseLifetime;
    echo.promised_heartbeat = heartbeat.number;
  }
  actions.echoes.push_back({from, echo});
  return actions;
}

void UnitHolder::OnEcho(TimePoint now, const InstanceId& from,
                        const UnitEcho& echo) {
  if (echo.incarnation != settings_.incarnation) {
    return;
  }
  if (echo.renewed_heartbeat > confirmed_heartbeat_) {
    ConfirmRenewal(echo.renewed_heartbeat);
  }
  if (from == Renewer()) {
    renewer_last_echo_ = now;
  }
  // If the echo names a change that we have not read, read the table again.
  table_known_ = table_known_ && echo.change <= table_.change;
  const auto sent = HeartbeatSentAt(echo.promised_heartbeat);
  if (requesting_promises_ &&
      echo.promised_heartbeat >= first_requesting_heartbeat_ &&
      sent.has_value()) {
    TimePoint& promised = promised_to_us_[{from, echo.sender_incarnation}];
    promised = std::max(promised, *sent);
  }
}

}  // namespace figwell::budget
