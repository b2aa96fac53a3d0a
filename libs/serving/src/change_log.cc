#include "figwell/serving/change_log.h"

#include <algorithm>

namespace figwell::serving {
namespace {

// Number of tombstones kept; a reader that missed more gets a full listing.
constexpr std::size_t kMostRemovals = 256;
// Bytes of an entry in a message in addition to its key and value.
constexpr std::size_t kEntryOverhead = 20;

std::size_t SizeOf(const LoggedEntry& entry) {
  return entry.key.size() + entry.value.size() + kEntryOverhead;
}

}  // namespace

void ChangeLog::RememberRemoval(const std::string& key) {
  removals_.push_back(key);
  while (removals_.size() > kMostRemovals) {
    const auto oldest = entries_.find(removals_.front());
    removals_.pop_front();
    if (oldest != entries_.end() && oldest->second.removed) {
      forgotten_ = std::max(forgotten_, oldest->second.revision);
      entries_.erase(oldest);
    }
  }
}

bool ChangeLog::ApplyEvent(const LoggedEntry& entry) {
  newest_ = std::max(newest_, entry.revision);
  return Keep(entry);
}

bool ChangeLog::Keep(const LoggedEntry& entry) {
  const auto [found, added] = entries_.try_emplace(entry.key, entry);
  if (!added) {
    if (found->second.revision >= entry.revision) {
      return false;
    }
    found->second = entry;
  }
  if (entry.removed) {
    RememberRemoval(entry.key);
  }
  return true;
}

std::vector<LoggedEntry> ChangeLog::RemoveAllBut(
    const std::set<std::string>& keys, store::Revision revision) {
  std::vector<LoggedEntry> removed;
  for (auto& [key, entry] : entries_) {
    if (!entry.removed && entry.revision <= revision && !keys.contains(key)) {
      entry = {key, {}, revision, true};
      removed.push_back(entry);
    }
  }
  for (const LoggedEntry& entry : removed) {
    RememberRemoval(entry.key);
  }
  return removed;
}

std::vector<LoggedEntry> ChangeLog::Replace(
    const std::vector<LoggedEntry>& entries, store::Revision revision) {
  std::vector<LoggedEntry> news;
  std::set<std::string> keys;
  for (const LoggedEntry& entry : entries) {
    keys.insert(entry.key);
    if (ApplyEvent(entry)) {
      news.push_back(entry);
    }
  }
  for (LoggedEntry& entry : RemoveAllBut(keys, revision)) {
    news.push_back(std::move(entry));
  }
  // A key that was removed before the listing and was never seen here leaves no
  // tombstone, so peers with an older revision have to compare digests.
  newest_ = std::max(newest_, revision);
  forgotten_ = std::max(forgotten_, newest_);
  want_whole_ = false;
  return news;
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

bool ChangeLog::KnowsBeyond(store::Revision revision) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    return item.second.revision > revision;
  });
}

std::vector<ChangeSet> ChangeLog::Since(store::Revision after,
                                        std::size_t max_bytes) const {
  ChangeSet frame;
  frame.whole = after <= 0;
  frame.after = frame.whole ? 0 : after;
  frame.upto = newest_;
  if (!frame.whole && after < forgotten_) {
    frame.digest = Digest();
  }
  std::vector<ChangeSet> sets(1, frame);
  std::size_t bytes = 0;
  for (const auto& [key, entry] : entries_) {
    const bool wanted = frame.whole ? !entry.removed : entry.revision > after;
    if (!wanted) {
      continue;
    }
    if (bytes > 0 && bytes + SizeOf(entry) > max_bytes) {
      sets.push_back(frame);
      bytes = 0;
    }
    bytes += SizeOf(entry);
    sets.back().entries.push_back(entry);
  }
  for (std::size_t i = 0; i < sets.size(); ++i) {
    sets[i].part = static_cast<std::uint16_t>(i);
    sets[i].parts = static_cast<std::uint16_t>(sets.size());
  }
  return sets;
}

std::vector<LoggedEntry> ChangeLog::ApplyPart(const ChangeSet& set) {
  if (set.upto <= newest_ || set.after > newest_ || set.parts == 0) {
    return {};  // nothing new, or changes before `after` are missing here
  }
  if (!pending_ || pending_->upto != set.upto || pending_->after != set.after) {
    pending_ = Pending{set.after, set.upto, {}, {}};
  }
  std::vector<LoggedEntry> news;
  for (const LoggedEntry& entry : set.entries) {
    pending_->keys.insert(entry.key);
    if (Keep(entry)) {
      news.push_back(entry);
    }
  }
  pending_->parts.insert(set.part);
  if (pending_->parts.size() < set.parts) {
    return news;
  }
  if (set.whole) {
    for (LoggedEntry& entry : RemoveAllBut(pending_->keys, set.upto)) {
      news.push_back(std::move(entry));
    }
    forgotten_ = std::max(forgotten_, set.upto);
  }
  pending_.reset();
  const bool same = !set.digest || *set.digest == Digest();
  // If some entry here is newer than the answer, the digests differ for that
  // reason alone, and the mismatch does not show that a removal is missing.
  want_whole_ = !same && !KnowsBeyond(set.upto);
  if (same) {
    newest_ = set.upto;
    // With a digest, the answer may lack removals, and so may this log. A peer
    // that requests changes after an older revision has to compare digests.
    forgotten_ = set.digest ? std::max(forgotten_, set.upto) : forgotten_;
  }
  return news;
}

}  // namespace figwell::serving
