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

Share MinShare(const Share& left, const Share& right) {
  return Less(left, right) ? left : right;
}

}  // namespace

UnitHolder::UnitHolder(UnitSettings settings, TimePoint now)
    : settings_(std::move(settings)),
      started_(now),
      next_heartbeat_(now),
      renewer_last_echo_(now) {}

const UnitEntry* UnitHolder::OwnEntry() const {
  return table_.Find(settings_.instance, settings_.incarnation);
}

TimePoint UnitHolder::valid_until() const {
  if (confirmed_heartbeat_ == 0) {
    return TimePoint();
  }
  const TimePoint lease = confirmed_sent_at_ + kUnitLeaseUsableLifetime;
  // The lease extends beyond kUnitLeaseUsableLifetime only if every member that
  // could free our units has promised not to.
  TimePoint extended_lease = confirmed_sent_at_ + kExtendedLeaseUsableLifetime;
  for (const auto& [member, observed] : observed_) {
    const auto promise = promised_to_us_.find(member);
    if (promise == promised_to_us_.end()) {
      return lease;
    }
    extended_lease =
        std::min(extended_lease, promise->second + kPromiseUsableLifetime);
  }
  return requesting_promises_ ? std::max(lease, extended_lease) : lease;
}

void UnitHolder::Configure(TimePoint now, std::int64_t units,
                           std::int64_t total) {
  configured_units_ = units;
  configured_total_ = std::max<std::int64_t>(1, total);
  UpdateShare(now);
}

void UnitHolder::SetMembers(const std::vector<InstanceId>& members) {
  members_ = members;
  std::sort(members_.begin(), members_.end());
  std::erase(members_, settings_.instance);
  std::erase_if(received_heartbeats_, [&](const auto& entry) {
    return !std::binary_search(members_.begin(), members_.end(), entry.first);
  });
}

void UnitHolder::Leave(TimePoint now) {
  leaving_ = true;
  UpdateShare(now);
}

/** The number of units that one of the table's members should hold. */
std::int64_t UnitHolder::TargetUnits(const UnitTable& table,
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
void UnitHolder::UpdateShare(TimePoint now) {
  const UnitEntry* own = OwnEntry();
  Share next{0, configured_total_};
  if (own != nullptr) {
    next = {leaving_ ? 0 : std::min(own->units, TargetUnits(table_, *own)),
            std::max(own->total, configured_total_)};
    // The store may still execute a release whose outcome is unknown.
    if (unresolved_writes_.released.has_value()) {
      next = MinShare(*unresolved_writes_.released, next);
    }
  }
  if (Less(next, used_share_)) {
    shrunk_at_ = now;
  }
  used_share_ = next;
}

// ------------------------------------------------------- changing the table

/** The member's latest heartbeat; null if it is stale. */
const UnitHolder::ReceivedHeartbeat* UnitHolder::RecentHeartbeat(
    TimePoint now, const InstanceId& member) const {
  const auto received = received_heartbeats_.find(member);
  const bool fresh =
      received != received_heartbeats_.end() &&
      now - received->second.at < kMaxMissedHeartbeats * HeartbeatInterval();
  return fresh ? &received->second : nullptr;
}

/** Whether this gateway renews the table: its own entry or others'. */
bool UnitHolder::IsRenewer(TimePoint now) const {
  return Renewer() == std::nullopt ||
         std::any_of(members_.begin(), members_.end(),
                     [&](const InstanceId& member) {
                       return RecentHeartbeat(now, member) != nullptr;
                     });
}

/** Whether this gateway's renewer has not renewed its entry for too long. */
bool UnitHolder::RenewsOwnEntry(TimePoint now) const {
  return now - std::max(started_, confirmed_sent_at_) >= kSelfRenewalTimeout;
}

bool UnitHolder::RenewalDue(TimePoint now) const {
  return now - last_write_ >= kRenewInterval &&
         (IsRenewer(now) || RenewsOwnEntry(now));
}

/** Renews our own entry and those of members with a recent heartbeat. */
void UnitHolder::RenewEntries(TimePoint now, UnitTable& table) const {
  for (UnitEntry& entry : table.entries) {
    if (entry.holder == settings_.instance) {
      if (entry.incarnation == settings_.incarnation) {
        entry.renewed_heartbeat =
            std::max(entry.renewed_heartbeat, heartbeat_number_);
        entry.known_change = std::max(entry.known_change, table_.change);
      }
      continue;
    }
    const ReceivedHeartbeat* received = RecentHeartbeat(now, entry.holder);
    if (received != nullptr &&
        received->heartbeat.incarnation == entry.incarnation) {
      entry.renewed_heartbeat =
          std::max(entry.renewed_heartbeat, received->heartbeat.number);
      entry.known_change =
          std::max(entry.known_change, received->heartbeat.known_change);
    }
  }
}

/** Whether the entry's holder can no longer be using its units. */
bool UnitHolder::IsExpired(TimePoint now, const UnitEntry& entry) const {
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
  const bool needs_our_promise = entry.known_change >= *joined_at_change_ ||
                                 entry.holder == settings_.instance;
  return now - seen->second.since >=
         (needs_our_promise ? kUnitLeaseLifetime : kExtendedLeaseLifetime);
}

/**
 * Removes expired entries if the table was read recently enough; otherwise
 * requests that it is read again.
 * @return whether entries were removed
 */
bool UnitHolder::FreeExpired(TimePoint now, UnitTable& table) {
  const UnitEntry* own = OwnEntry();
  if (own == nullptr || own - table_.entries.data() >= kMaxFreeingMembers) {
    return false;
  }
  const auto expired = [&](const UnitEntry& entry) {
    return IsExpired(now, entry);
  };
  if (std::none_of(table.entries.begin(), table.entries.end(), expired)) {
    return false;
  }
  if (now - table_updated_at_ >= kTableMaxAge) {
    table_known_ = false;
    return false;
  }
  std::erase_if(table.entries, expired);
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
                         std::uint64_t renewed_heartbeat) {
    if (table.Find(member, incarnation) == nullptr) {
      missing.push_back(
          {member, incarnation, 0, configured_total_, renewed_heartbeat, 0});
    }
  };
  if (!leaving_) {
    enter(settings_.instance, settings_.incarnation, heartbeat_number_);
  }
  for (const InstanceId& member : members_) {
    const ReceivedHeartbeat* received = RecentHeartbeat(now, member);
    if (received != nullptr && !received->heartbeat.leaving) {
      enter(member, received->heartbeat.incarnation,
            received->heartbeat.number);
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
  if (own == nullptr || now - shrunk_at_ < kLoanReservation) {
    return false;
  }
  if (leaving_) {
    table.entries.erase(table.entries.begin() + (own - table.entries.data()));
    return true;
  }
  if (!Less(used_share_, Share{own->units, own->total})) {
    return false;
  }
  own->units = used_share_.units;
  own->total = used_share_.total;
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
    const ReceivedHeartbeat* received = RecentHeartbeat(now, entry.holder);
    const bool own = entry.holder == settings_.instance &&
                     entry.incarnation == settings_.incarnation;
    const bool active =
        own ? !leaving_
            : received != nullptr && !received->heartbeat.leaving &&
                  received->heartbeat.incarnation == entry.incarnation;
    grown = (active && GrowEntry(table, entry, blocked)) || grown;
  }
  return grown;
}

bool UnitHolder::GrowEntry(UnitTable& table, UnitEntry& entry,
                           bool& blocked) const {
  const std::int64_t free = configured_units_ - table.HeldUnits();
  const std::int64_t additional = std::max<std::int64_t>(
      0, std::min(TargetUnits(table, entry) - entry.units, free));
  if (additional == 0 && entry.total <= configured_total_) {
    return false;
  }
  const UnitEntry before = entry;
  entry.units += additional;
  entry.total = configured_total_;
  if (!Less({before.units, before.total}, {entry.units, entry.total})) {
    entry = before;
    return false;
  }
  std::vector<const UnitTable*> tables = {&table};
  for (const UnitTable& other : other_tables_) {
    tables.push_back(&other);
  }
  if (!WithinFullLimit(tables)) {
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
  const bool freed = table_known_ && FreeExpired(now, table);
  if (!table_known_) {
    return StartRead();
  }
  const bool writes = IsRenewer(now) || RenewsOwnEntry(now);
  const bool joined = writes && Join(now, table);
  const bool released = Release(now, table);
  const bool grown = writes && !released && Grow(now, table, blocked);
  if (blocked && now - table_updated_at_ >= kRenewInterval) {
    return StartRead();
  }
  const bool changed = freed || joined || released || grown;
  if (!changed && (OwnEntry() == nullptr || !RenewalDue(now))) {
    return std::nullopt;
  }
  RenewEntries(now, table);
  table.change += changed ? 1 : 0;
  last_write_ = now;
  return StartWrite(table, grown);
}

UnitActions UnitHolder::Tick(TimePoint now) {
  UnitActions actions;
  UpdateShare(now);
  SendHeartbeats(now, actions);
  actions.call = NextCall(now);
  return actions;
}

}  // namespace figwell::budget
