#include "member_table.h"

#include <algorithm>
#include <tuple>

namespace figwell::peers {
namespace {

/** Long enough to rejoin a region that was unreachable for an hour. */
constexpr Duration kDeadRetention = std::chrono::hours(2);
constexpr Duration kLeftRetention = std::chrono::minutes(10);

std::uint64_t HashOf(const MemberRecord& record) {
  const std::uint64_t version =
      MixBits(record.incarnation + MixBits(record.version));
  // The state is left out: a suspicion needs no sync, it resolves by itself.
  return StableHash(record.instance.value(), version);
}

}  // namespace

bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kDraining ||
         state == MemberState::kSuspect;
}

bool Supersedes(const MemberRecord& left, const MemberRecord& right) {
  return std::tie(left.incarnation, left.version, left.state) >
         std::tie(right.incarnation, right.version, right.state);
}

bool IsValid(const MemberRecord& record) {
  return !record.instance.empty() &&
         record.instance.value().size() <= kMaxAddressBytes &&
         !record.domain.empty() &&
         record.domain.value().size() <= kMaxAddressBytes &&
         record.peers_address.size() <= kMaxAddressBytes &&
         record.admin_address.size() <= kMaxAddressBytes &&
         record.incarnation > 0 && record.state <= MemberState::kLeft;
}

MemberTable::Change MemberTable::Merge(TimePoint now,
                                       const MemberRecord& record) {
  if (!IsValid(record)) {
    return Change::kNone;
  }
  const auto it = entries_.find(record.instance);
  if (it == entries_.end()) {
    if (!IsLive(record.state) || entries_.size() >= kMaxMembers) {
      return Change::kNone;
    }
    Replace(now, entries_[record.instance], record);
    return Change::kNewIncarnation;
  }
  Entry& entry = it->second;
  if (!Supersedes(record, entry.member.record)) {
    return Change::kNone;
  }
  const bool same_incarnation =
      record.incarnation == entry.member.record.incarnation;
  if (!same_incarnation) {
    // What the previous process reported does not apply to the new one.
    const MemberRecord previous = entry.member.record;
    entry.member = Member{.record = previous};
  }
  Replace(now, entry, record);
  return same_incarnation ? Change::kUpdated : Change::kNewIncarnation;
}

void MemberTable::SetState(TimePoint now, const InstanceId& instance,
                           MemberState state) {
  Entry& entry = entries_.at(instance);
  MemberRecord record = entry.member.record;
  record.state = state;
  Replace(now, entry, record);
}

void MemberTable::Replace(TimePoint now, Entry& entry,
                          const MemberRecord& record) {
  AddToDigest(entry, -1);
  if (entry.member.record.state != record.state || entry.hash == 0) {
    entry.state_since = now;
  }
  const bool was_live = entry.hash != 0 && IsLive(entry.member.record.state);
  const bool replaced = entry.member.record.incarnation != record.incarnation;
  if (replaced || was_live != IsLive(record.state)) {
    ++generation_;
  }
  entry.member.record = record;
  entry.hash = HashOf(record);
  entry.bucket = BucketOf(record.instance);
  AddToDigest(entry, 1);
  ++changes_;
}

void MemberTable::AddToDigest(const Entry& entry, int sign) {
  if (entry.hash == 0 || !IsLive(entry.member.record.state)) {
    return;
  }
  digest_ ^= entry.hash;
  buckets_[entry.bucket] ^= entry.hash;
  live_count_ += static_cast<std::size_t>(sign);
}

void MemberTable::Expire(TimePoint now) {
  std::erase_if(entries_, [now](const auto& item) {
    const MemberState state = item.second.member.record.state;
    const Duration age = now - item.second.state_since;
    return (state == MemberState::kDead && age > kDeadRetention) ||
           (state == MemberState::kLeft && age > kLeftRetention);
  });
}

MemberTable::Entry* MemberTable::Find(const InstanceId& instance) {
  const auto it = entries_.find(instance);
  return it == entries_.end() ? nullptr : &it->second;
}

const MemberTable::Entry* MemberTable::Find(const InstanceId& instance) const {
  const auto it = entries_.find(instance);
  return it == entries_.end() ? nullptr : &it->second;
}

std::vector<std::uint32_t> MemberTable::BucketDigests() const {
  std::vector<std::uint32_t> digests;
  digests.reserve(kBuckets);
  for (const std::uint64_t bucket : buckets_) {
    digests.push_back(static_cast<std::uint32_t>(bucket));
  }
  return digests;
}

std::size_t MemberTable::BucketOf(const InstanceId& instance) {
  return StableHash(instance.value()) % kBuckets;
}

std::vector<MemberRecord> MemberTable::Records(
    const std::bitset<kBuckets>& buckets) const {
  std::vector<MemberRecord> records;
  for (const auto& [instance, entry] : entries_) {
    if (buckets.test(entry.bucket)) {
      records.push_back(entry.member.record);
    }
  }
  std::stable_partition(
      records.begin(), records.end(),
      [](const MemberRecord& record) { return IsLive(record.state); });
  return records;
}

}  // namespace figwell::peers
