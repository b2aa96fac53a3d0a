// The heartbeats and promises between the UnitHolders of a domain.

#include <algorithm>

#include "figwell/budget.h"
#include "unit_timing.h"

namespace figwell::budget {

Duration UnitHolder::BeatInterval() const {
  return std::clamp<Duration>(
      kBeatIntervalPerMember * static_cast<std::int64_t>(members_.size()),
      kMinBeatInterval, kMaxBeatInterval);
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

std::optional<TimePoint> UnitHolder::SentAt(std::uint64_t number) const {
  const auto found =
      std::find_if(beats_.begin(), beats_.end(),
                   [&](const auto& beat) { return beat.first == number; });
  return found == beats_.end() ? std::nullopt : std::optional(found->second);
}

bool UnitHolder::WantsPromise(TimePoint now) const {
  // Continues after the store is reachable again until the lease is renewed.
  return (!store_ok_ || asking_) && confirmed_ != 0 &&
         now - confirmed_at_ >= kRenewInterval;
}

void UnitHolder::Beat(TimePoint now, UnitActions& actions) {
  if (now < next_beat_) {
    return;
  }
  next_beat_ = now + BeatInterval();
  beats_.emplace_back(++number_, now);
  if (beats_.size() > kMaxBeats) {
    beats_.pop_front();
  }
  const bool asked = std::exchange(asking_, WantsPromise(now));
  if (asking_ && !asked) {
    asking_since_ = number_;
  }
  if (!asking_) {
    promised_to_us_.clear();
  }
  if (now - renewer_heard_ >= kMissedBeats * BeatInterval()) {
    ++renewer_attempt_;
    renewer_heard_ = now;
  }
  const UnitHeartbeat heartbeat{settings_.incarnation, number_, table_.change,
                                asking_, leaving_};
  const std::optional<InstanceId> renewer = Renewer();
  for (const InstanceId& member : members_) {
    if (asking_ || member == renewer) {
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
         !unsettled_.freed.contains(holder);
}

UnitActions UnitHolder::OnHeartbeat(TimePoint now, const InstanceId& from,
                                    const UnitHeartbeat& heartbeat) {
  UnitActions actions;
  Heard& heard = heard_[from];
  const bool stale = heartbeat.incarnation == heard.heartbeat.incarnation &&
                     heartbeat.number <= heard.heartbeat.number;
  if (stale) {
    return actions;
  }
  heard = {heartbeat, now};
  const Holder holder{from, heartbeat.incarnation};
  UnitEcho echo{heartbeat.incarnation, settings_.incarnation, 0, 0, 0};
  const UnitEntry* entry = table_.Find(from, heartbeat.incarnation);
  if (entry != nullptr) {
    echo.stamp = entry->stamp;
    echo.change = table_.change;
  }
  if (!heartbeat.asks_promise) {
    promised_by_us_.erase(holder);
  } else if (MayPromise(holder)) {
    promised_by_us_[holder] = now + kPromise;
    echo.promised = heartbeat.number;
  }
  actions.echoes.push_back({from, echo});
  return actions;
}

void UnitHolder::OnEcho(TimePoint now, const InstanceId& from,
                        const UnitEcho& echo) {
  if (echo.incarnation != settings_.incarnation) {
    return;
  }
  if (echo.stamp > confirmed_) {
    Confirm(echo.stamp);
  }
  if (from == Renewer()) {
    renewer_heard_ = now;
  }
  // If the echo names a change that we have not read, read the table again.
  known_ = known_ && echo.change <= table_.change;
  const auto sent = SentAt(echo.promised);
  if (asking_ && echo.promised >= asking_since_ && sent.has_value()) {
    TimePoint& promised = promised_to_us_[{from, echo.sender_incarnation}];
    promised = std::max(promised, *sent);
  }
}

}  // namespace figwell::budget
