#include <algorithm>
#include <tuple>

#include "figwell/budget.h"
#include "unit_timing.h"

namespace figwell::budget {
namespace {

/** Compares shares without rounding. */
bool Less(const Share& left, const Share& right) {
  return left.units * right.total < right.units * left.total;
}

Share Lesser(const Share& left, const Share& right) {
  return Less(left, right) ? left : right;
}

}  // namespace

UnitHolder::UnitHolder(UnitSettings settings, TimePoint now)
    : settings_(std::move(settings)),
      started_(now),
      next_beat_(now),
      renewer_heard_(now) {}

const UnitEntry* UnitHolder::Own() const {
  return table_.Find(settings_.instance, settings_.incarnation);
}

TimePoint UnitHolder::valid_until() const {
  if (confirmed_ == 0) {
    return TimePoint();
  }
  const TimePoint lease = confirmed_at_ + kUnitUse;
  // The lease extends beyond kUnitUse only if every member that could free our
  // units has promised not to.
  TimePoint held_over = confirmed_at_ + kHoldOverUse;
  for (const auto& [member, observed] : observed_) {
    const auto promise = promised_to_us_.find(member);
    if (promise == promised_to_us_.end()) {
      return lease;
    }
    held_over = std::min(held_over, promise->second + kPromiseUse);
  }
  return asking_ ? std::max(lease, held_over) : lease;
}

void UnitHolder::Configure(TimePoint now, std::int64_t units,
                           std::int64_t total) {
  configured_units_ = units;
  configured_total_ = std::max<std::int64_t>(1, total);
  PlanShare(now);
}

void UnitHolder::SetMembers(const std::vector<InstanceId>& members) {
  members_ = members;
  std::sort(members_.begin(), members_.end());
  std::erase(members_, settings_.instance);
  std::erase_if(heard_, [&](const auto& entry) {
    return !std::binary_search(members_.begin(), members_.end(), entry.first);
  });
}

void UnitHolder::Leave(TimePoint now) {
  leaving_ = true;
  PlanShare(now);
}

/** The number of units that one of the table's members should hold. */
std::int64_t UnitHolder::Target(const UnitTable& table,
                                const UnitEntry& entry) const {
  const auto count = static_cast<std::int64_t>(table.entries.size());
  const std::int64_t position = &entry - table.entries.data();
  const std::int64_t extra = position < configured_units_ % count ? 1 : 0;
  return configured_units_ / count + extra;
}

/**
 * Sets the share to use: the one recorded in the store or less. A reduction
 * takes effect here immediately and is recorded only after the transfers and
 * loans made under the larger share have expired; growth is recorded first.
 */
void UnitHolder::PlanShare(TimePoint now) {
  const UnitEntry* own = Own();
  Share next{0, configured_total_};
  if (own != nullptr) {
    next = {leaving_ ? 0 : std::min(own->units, Target(table_, *own)),
            std::max(own->total, configured_total_)};
    // The store may still execute a release whose outcome is unknown.
    if (unsettled_.released.has_value()) {
      next = Lesser(*unsettled_.released, next);
    }
  }
  if (Less(next, use_)) {
    shrunk_at_ = now;
  }
  use_ = next;
}

// ------------------------------------------------------- changing the table

/** The member's latest heartbeat; null if it is stale. */
const UnitHolder::Heard* UnitHolder::FreshlyHeard(
    TimePoint now, const InstanceId& member) const {
  const auto heard = heard_.find(member);
  const bool fresh = heard != heard_.end() &&
                     now - heard->second.at < kMissedBeats * BeatInterval();
  return fresh ? &heard->second : nullptr;
}

/** Whether this gateway renews the table: its own entry or others'. */
bool UnitHolder::Serves(TimePoint now) const {
  return Renewer() == std::nullopt ||
         std::any_of(members_.begin(), members_.end(),
                     [&](const InstanceId& member) {
                       return FreshlyHeard(now, member) != nullptr;
                     });
}

/** Whether this gateway's renewer has not renewed its entry for too long. */
bool UnitHolder::ActsAlone(TimePoint now) const {
  return now - std::max(started_, confirmed_at_) >= kOwnRenewalAge;
}

bool UnitHolder::RenewalDue(TimePoint now) const {
  return now - last_write_ >= kRenewInterval && (Serves(now) || ActsAlone(now));
}

/** Renews our own entry and those of members with a recent heartbeat. */
void UnitHolder::Stamp(TimePoint now, UnitTable& table) const {
  for (UnitEntry& entry : table.entries) {
    if (entry.holder == settings_.instance) {
      if (entry.incarnation == settings_.incarnation) {
        entry.stamp = std::max(entry.stamp, number_);
        entry.knows = std::max(entry.knows, table_.change);
      }
      continue;
    }
    const Heard* heard = FreshlyHeard(now, entry.holder);
    if (heard != nullptr && heard->heartbeat.incarnation == entry.incarnation) {
      entry.stamp = std::max(entry.stamp, heard->heartbeat.number);
      entry.knows = std::max(entry.knows, heard->heartbeat.knows);
    }
  }
}

/** Whether the entry's holder can no longer be using its units. */
bool UnitHolder::IsLapsed(TimePoint now, const UnitEntry& entry) const {
  const Holder holder{entry.holder, entry.incarnation};
  const auto seen = observed_.find(holder);
  if (seen == observed_.end() || !joined_at_change_.has_value()) {
    return false;
  }
  const auto promise = promised_by_us_.find(holder);
  if (promise != promised_by_us_.end() && now < promise->second) {
    return false;
  }
  // A holder can extend its lease by promises of the members that it knows. If
  // it knew of this gateway, it needs our promise as well. An entry of an
  // earlier incarnation of this instance belongs to a process that has ended,
  // because instance ids are unique among live gateways.
  const bool alone =
      entry.knows >= *joined_at_change_ || entry.holder == settings_.instance;
  return now - seen->second.since >= (alone ? kUnitLease : kHoldOver);
}

/**
 * Removes expired entries if the table was read recently enough; otherwise
 * requests that it is read again.
 * @return whether entries were removed
 */
bool UnitHolder::FreeLapsed(TimePoint now, UnitTable& table) {
  const UnitEntry* own = Own();
  if (own == nullptr || own - table_.entries.data() >= kMaxFreeingMembers) {
    return false;
  }
  const auto lapsed = [&](const UnitEntry& entry) {
    return IsLapsed(now, entry);
  };
  if (std::none_of(table.entries.begin(), table.entries.end(), lapsed)) {
    return false;
  }
  if (now - seen_at_ >= kFreshView) {
    known_ = false;
    return false;
  }
  std::erase_if(table.entries, lapsed);
  return true;
}

/**
 * Adds entries without units for this gateway and the members whose heartbeats
 * it receives.
 * @return whether entries were added
 */
bool UnitHolder::Join(TimePoint now, UnitTable& table) const {
  std::vector<UnitEntry> missing;
  const auto enter = [&](const InstanceId& member, std::uint64_t incarnation,
                         std::uint64_t stamp) {
    if (table.Find(member, incarnation) == nullptr) {
      missing.push_back({member, incarnation, 0, configured_total_, stamp, 0});
    }
  };
  if (!leaving_) {
    enter(settings_.instance, settings_.incarnation, number_);
  }
  for (const InstanceId& member : members_) {
    const Heard* heard = FreshlyHeard(now, member);
    if (heard != nullptr && !heard->heartbeat.leaves) {
      enter(member, heard->heartbeat.incarnation, heard->heartbeat.number);
    }
  }
  table.entries.insert(table.entries.end(), missing.begin(), missing.end());
  std::sort(table.entries.begin(), table.entries.end(),
            [](const UnitEntry& a, const UnitEntry& b) {
              return std::tie(a.holder, a.incarnation) <
                     std::tie(b.holder, b.incarnation);
            });
  return !missing.empty();
}

/**
 * Records a reduction of our share after the transfers and loans made under the
 * larger share have expired.
 * @return whether the entry was changed
 */
bool UnitHolder::Release(TimePoint now, UnitTable& table) const {
  UnitEntry* own = table.Find(settings_.instance, settings_.incarnation);
  if (own == nullptr || now - shrunk_at_ < kLoanHold) {
    return false;
  }
  if (leaving_) {
    table.entries.erase(table.entries.begin() + (own - table.entries.data()));
    return true;
  }
  if (!Less(use_, Share{own->units, own->total})) {
    return false;
  }
  own->units = use_.units;
  own->total = use_.total;
  return true;
}

/**
 * Claims free units for this gateway and the members whose heartbeats it
 * receives, and records a smaller total, which makes a larger share of the same
 * units.
 * @param blocked set if another domain has to release units first
 * @return whether an entry has grown
 */
bool UnitHolder::Grow(TimePoint now, UnitTable& table, bool& blocked) const {
  bool grown = false;
  for (UnitEntry& entry : table.entries) {
    const Heard* heard = FreshlyHeard(now, entry.holder);
    const bool own = entry.holder == settings_.instance &&
                     entry.incarnation == settings_.incarnation;
    const bool lives =
        own ? !leaving_
            : heard != nullptr && !heard->heartbeat.leaves &&
                  heard->heartbeat.incarnation == entry.incarnation;
    grown = (lives && GrowEntry(table, entry, blocked)) || grown;
  }
  return grown;
}

bool UnitHolder::GrowEntry(UnitTable& table, UnitEntry& entry,
                           bool& blocked) const {
  const std::int64_t free = configured_units_ - table.Held();
  const std::int64_t wanted = std::max<std::int64_t>(
      0, std::min(Target(table, entry) - entry.units, free));
  if (wanted == 0 && entry.total <= configured_total_) {
    return false;
  }
  const UnitEntry before = entry;
  entry.units += wanted;
  entry.total = configured_total_;
  if (!Less({before.units, before.total}, {entry.units, entry.total})) {
    entry = before;
    return false;
  }
  std::vector<const UnitTable*> tables = {&table};
  for (const UnitTable& other : other_tables_) {
    tables.push_back(&other);
  }
  if (!WithinWhole(tables)) {
    entry = before;
    blocked = true;
    return false;
  }
  return true;
}

std::optional<store::Transaction> UnitHolder::NextCall(TimePoint now) {
  if (call_.has_value() || now < retry_at_) {
    return std::nullopt;
  }
  UnitTable table = table_;
  bool blocked = false;
  const bool freed = known_ && FreeLapsed(now, table);
  if (!known_) {
    return StartRead();
  }
  const bool writes = Serves(now) || ActsAlone(now);
  const bool joined = writes && Join(now, table);
  const bool released = Release(now, table);
  const bool grown = writes && !released && Grow(now, table, blocked);
  if (blocked && now - seen_at_ >= kRenewInterval) {
    return StartRead();
  }
  const bool changed = freed || joined || released || grown;
  if (!changed && (Own() == nullptr || !RenewalDue(now))) {
    return std::nullopt;
  }
  Stamp(now, table);
  table.change += changed ? 1 : 0;
  last_write_ = now;
  return StartWrite(table, grown);
}

UnitActions UnitHolder::Tick(TimePoint now) {
  UnitActions actions;
  PlanShare(now);
  Beat(now, actions);
  actions.call = NextCall(now);
  return actions;
}

}  // namespace figwell::budget
