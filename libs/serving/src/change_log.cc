#include "figwell/serving/change_log.h"

#include <algorithm>

namespace figwell::serving {
namespace {

// Number of tombstones kept; a reader that missed more gets a full listing.
constexpr std::size_t kMaxTombstones = 256;
// Bytes of an entry in a message in addition to its key and value.
constexpr std::size_t kEntryOverheadBytes = 20;

std::size_t EntryBytes(const LoggedEntry& entry) {
  return entry.key.size() + entry.value.size() + kEntryOverheadBytes;
}

}  // namespace

void ChangeLog::AddTombstone(const std::string& key) {
  tombstones_.push_back(key);
  while (tombstones_.size() > kMaxTombstones) {
    const auto oldest = entries_.find(tombstones_.front());
    tombstones_.pop_front();
    if (oldest != entries_.end() && oldest->second.removed) {
      pruned_up_to_ = std::max(pruned_up_to_, oldest->second.revision);
      entries_.erase(oldest);
    }
  }
}

bool ChangeLog::ApplyEvent(const LoggedEntry& entry) {
  newest_ = std::max(newest_, entry.revision);
  return StoreIfNewer(entry);
}

bool ChangeLog::StoreIfNewer(const LoggedEntry& entry) {
  const auto [found, added] = entries_.try_emplace(entry.key, entry);
  if (!added) {
    if (found->second.revision >= entry.revision) {
      return false;
    }
    found->second = entry;
  }
  if (entry.removed) {
    AddTombstone(entry.key);
  }
  return true;
}

std::vector<LoggedEntry> ChangeLog::RemoveAllExcept(
    const std::set<std::string>& keys, store::Revision revision) {
  std::vector<LoggedEntry> removed;
  for (auto& [key, entry] : entries_) {
    if (!entry.removed && entry.revision <= revision && !keys.contains(key)) {
      entry = {key, {}, revision, true};
      removed.push_back(entry);
    }
  }
  for (const LoggedEntry& entry : removed) {
    AddTombstone(entry.key);
  }
  return removed;
}

std::vector<LoggedEntry> ChangeLog::Replace(
    const std::vector<LoggedEntry>& entries, store::Revision revision) {
  std::vector<LoggedEntry> changes;
  std::set<std::string> keys;
  for (const LoggedEntry& entry : entries) {
    keys.insert(entry.key);
    if (ApplyEvent(entry)) {
      changes.push_back(entry);
    }
  }
  for (LoggedEntry& entry : RemoveAllExcept(keys, revision)) {
    changes.push_back(std::move(entry));
  }
  // A key that was removed before the listing and was never seen here leaves no
  // tombstone, so peers with an older revision have to compare digests.
  newest_ = std::max(newest_, revision);
  pruned_up_to_ = std::max(pruned_up_to_, newest_);
  needs_full_listing_ = false;
  return changes;
}

std::uint64_t ChangeLog::Digest() const {
  std::uint64_t digest = 0;
  for (const auto& [key, entry] : entries_) {
    if (!entry.removed) {
      digest ^= StableHash(key, static_cast<std::uint64_t>(entry.revision));
    }
  }
  return digest;
}

bool ChangeLog::HasEntryAfter(store::Revision revision) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    return item.second.revision > revision;
  });
}

std::vector<ChangeSet> ChangeLog::ChangesSince(store::Revision after,
                                               std::size_t max_bytes) const {
  ChangeSet header;
  header.full_listing = after <= 0;
  header.after = header.full_listing ? 0 : after;
  header.up_to = newest_;
  if (!header.full_listing && after < pruned_up_to_) {
    header.digest = Digest();
  }
  std::vector<ChangeSet> sets(1, header);
  std::size_t bytes = 0;
  for (const auto& [key, entry] : entries_) {
    const bool included =
        header.full_listing ? !entry.removed : entry.revision > after;
    if (!included) {
      continue;
    }
    if (bytes > 0 && bytes + EntryBytes(entry) > max_bytes) {
      sets.push_back(header);
      bytes = 0;
    }
    bytes += EntryBytes(entry);
    sets.back().entries.push_back(entry);
  }
  for (std::size_t i = 0; i < sets.size(); ++i) {
    sets[i].part = static_cast<std::uint16_t>(i);
    sets[i].parts = static_cast<std::uint16_t>(sets.size());
  }
  return sets;
}

std::vector<LoggedEntry> ChangeLog::ApplyPart(const ChangeSet& set) {
  if (set.up_to <= newest_ || set.after > newest_ || set.parts == 0) {
    return {};  // nothing new, or changes before `after` are missing here
  }
  if (!pending_ || pending_->up_to != set.up_to ||
      pending_->after != set.after) {
    pending_ = Pending{set.after, set.up_to, {}, {}};
  }
  std::vector<LoggedEntry> changes;
  for (const LoggedEntry& entry : set.entries) {
    pending_->keys.insert(entry.key);
    if (StoreIfNewer(entry)) {
      changes.push_back(entry);
    }
  }
  pending_->parts.insert(set.part);
  if (pending_->parts.size() < set.parts) {
    return changes;
  }
  if (set.full_listing) {
    for (LoggedEntry& entry : RemoveAllExcept(pending_->keys, set.up_to)) {
      changes.push_back(std::move(entry));
    }
    pruned_up_to_ = std::max(pruned_up_to_, set.up_to);
  }
  pending_.reset();
  const bool digest_matches = !set.digest || *set.digest == Digest();
  // If some entry here is newer than the answer, the digests differ for that
  // reason alone, and the mismatch does not show that a removal is missing.
  needs_full_listing_ = !digest_matches && !HasEntryAfter(set.up_to);
  if (digest_matches) {
    newest_ = set.up_to;
    // With a digest, the answer may lack removals, and so may this log. A peer
    // that requests changes after an older revision has to compare digests.
    pruned_up_to_ =
        set.digest ? std::max(pruned_up_to_, set.up_to) : pruned_up_to_;
  }
  return changes;
}

}  // namespace figwell::serving
