// The store calls of a UnitHolder and the processing of their results.

#include <algorithm>

#include "figwell/budget.h"
#include "unit_timing.h"

namespace figwell::budget {
namespace {

constexpr std::string_view kTablePrefix = "domain/";
constexpr std::string_view kGrowthKey = "growth";

/**
 * Stands for a table that cannot be parsed. It holds the full limit, so that
 * nobody grows beside it.
 */
UnitTable UnreadableTable() {
  return UnitTable{0, {UnitEntry{InstanceId("?"), 0, 1, 1, 0, 0}}};
}

}  // namespace

std::string UnitHolder::OwnKey() const {
  return settings_.prefix + std::string(kTablePrefix) +
         settings_.domain.value();
}

/**
 * Every write that grows an entry in any domain also writes this key. If two
 * domains try to claim the same free share, one write therefore fails, even if
 * neither domain knew that the other exists.
 */
std::string UnitHolder::GrowthKey() const {
  return settings_.prefix + std::string(kGrowthKey);
}

store::Transaction UnitHolder::StartRead() {
  call_ = Call{true, false, {}};
  store::Transaction read;
  read.success.emplace_back(
      store::Range{settings_.prefix, store::PrefixEnd(settings_.prefix)});
  return read;
}

/** Writes the table if the store is unchanged since last read, else reads it.
 */
store::Transaction UnitHolder::StartWrite(const UnitTable& table, bool grows) {
  store::Transaction write = StartRead();
  write.failure = std::exchange(write.success, {});
  write.compares.push_back({OwnKey(), revision_});
  write.success.emplace_back(store::Put{OwnKey(), FormatUnitTable(table), 0});
  if (grows) {
    write.compares.push_back({GrowthKey(), growth_revision_});
    write.success.emplace_back(
        store::Put{GrowthKey(), settings_.instance.value(), 0});
  }
  call_ = Call{false, grows, table};
  RecordUnresolvedWrite(table);
  return write;
}

/**
 * Records the units that the write frees or releases, until the table's
 * revision shows that the write can no longer be executed.
 */
void UnitHolder::RecordUnresolvedWrite(const UnitTable& next) {
  if (unresolved_writes_.revision != revision_) {
    unresolved_writes_ = {};
  }
  unresolved_writes_.revision = revision_;
  for (const UnitEntry& entry : table_.entries) {
    if (next.Find(entry.holder, entry.incarnation) == nullptr) {
      unresolved_writes_.freed.insert({entry.holder, entry.incarnation});
    }
  }
  const UnitEntry* own = next.Find(settings_.instance, settings_.incarnation);
  const UnitEntry* before = OwnEntry();
  if (before != nullptr && (own == nullptr || own->units < before->units ||
                            own->total > before->total)) {
    unresolved_writes_.released = used_share_;
  }
}

void UnitHolder::OnStoreResult(TimePoint now,
                               const Result<store::TransactionResult>& result) {
  const std::optional<Call> call = std::exchange(call_, {});
  if (!result.has_value()) {
    // Sends heartbeats immediately, so that promises arrive before the lease
    // ends.
    next_heartbeat_ = store_ok_ ? now : next_heartbeat_;
    store_ok_ = false;
    retry_at_ = now + kStoreRetryBackoff;
    table_known_ =
        table_known_ && result.error().code == ErrorCode::kUnavailable;
    return;
  }
  store_ok_ = true;
  if (!call.has_value()) {
    return;
  }
  if (call->reads || !result->succeeded) {
    ApplyRead(now, *result);
  } else {
    table_ = call->table;
    revision_ = result->revision;
    growth_revision_ = call->grows ? result->revision : growth_revision_;
  }
  if (!call->reads && !result->succeeded) {
    const std::uint64_t jitter =
        StableHash(settings_.instance.value(), heartbeat_number_ + revision_);
    retry_at_ = now + Duration(jitter % kMaxConflictBackoff.count());
    last_write_ = TimePoint();  // still due, with the table just read
  }
  UpdateDerivedState(now);
  UpdateShare(now);
}

/** Replaces all tables by those that were read. */
void UnitHolder::ApplyRead(TimePoint, const store::TransactionResult& result) {
  table_known_ = true;
  table_ = {};
  revision_ = 0;
  growth_revision_ = 0;
  other_tables_.clear();
  const std::string tables = settings_.prefix + std::string(kTablePrefix);
  const auto entries = result.ranges.empty() ? std::vector<store::KeyValue>()
                                             : result.ranges.front();
  for (const store::KeyValue& entry : entries) {
    if (entry.key == GrowthKey()) {
      growth_revision_ = entry.mod_revision;
    } else if (entry.key == OwnKey()) {
      revision_ = entry.mod_revision;
      table_ = ParseUnitTable(entry.value).value_or(UnreadableTable());
    } else if (entry.key.starts_with(tables)) {
      other_tables_.push_back(
          ParseUnitTable(entry.value).value_or(UnreadableTable()));
    }
  }
}

/**
 * Updates the state that is derived from the tables: whether this gateway has
 * joined, when each entry's renewal was first seen, and its own lease.
 */
void UnitHolder::UpdateDerivedState(TimePoint now) {
  table_updated_at_ = now;
  if (revision_ != unresolved_writes_.revision) {
    unresolved_writes_ = {};
  }
  const UnitEntry* own = OwnEntry();
  if (own == nullptr) {
    joined_at_change_.reset();
  } else if (!joined_at_change_.has_value()) {
    joined_at_change_ = table_.change;
  }
  std::map<Holder, Observed> observed;
  for (const UnitEntry& entry : table_.entries) {
    if (&entry == own) {
      continue;
    }
    const Holder holder{entry.holder, entry.incarnation};
    const auto old = observed_.find(holder);
    const bool same = old != observed_.end() &&
                      old->second.renewed_heartbeat == entry.renewed_heartbeat;
    observed[holder] =
        same ? old->second : Observed{entry.renewed_heartbeat, now};
  }
  observed_ = std::move(observed);
  if (own != nullptr) {
    ConfirmRenewal(own->renewed_heartbeat);
  }
}

/** Extends the lease after the store has recorded this heartbeat of ours. */
void UnitHolder::ConfirmRenewal(std::uint64_t renewed_heartbeat) {
  if (const auto sent = HeartbeatSentAt(renewed_heartbeat); sent.has_value()) {
    confirmed_heartbeat_ = std::max(confirmed_heartbeat_, renewed_heartbeat);
    confirmed_sent_at_ = std::max(confirmed_sent_at_, *sent);
  }
}

}  // namespace figwell::budget
