#include "figwell/serving/change_log.h"

#include <algorithm>

namespace figwell::serving {
namespace {

// Removals that are remembered; whoever missed more gets all entries.
constexpr std::size_t kMostRemovals = 256;
// What an entry takes in a message beside its key and value.
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

bool ChangeLog::Note(const LoggedEntry& entry) {
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
    if (Note(entry)) {
      news.push_back(entry);
    }
  }
  for (LoggedEntry& entry : RemoveAllBut(keys, revision)) {
    // When it went is not known; others ask after what they know.
    newest_ = std::max(newest_, entry.revision);
    news.push_back(std::move(entry));
  }
  // Removals before the listing were never seen here.
  forgotten_ = std::max(forgotten_, newest_);
  return news;
}

std::vector<ChangeSet> ChangeLog::Since(store::Revision after,
                                        std::size_t max_bytes) const {
  ChangeSet frame;
  frame.whole = after < forgotten_;
  frame.after = frame.whole ? 0 : after;
  frame.upto = newest_;
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

std::vector<LoggedEntry> ChangeLog::Take(const ChangeSet& set) {
  if (set.upto <= newest_ || set.after > newest_ || set.parts == 0) {
    return {};  // nothing new, or something in between is missing
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
  newest_ = set.upto;
  pending_.reset();
  return news;
}

}  // namespace figwell::serving
