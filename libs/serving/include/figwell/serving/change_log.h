#ifndef FIGWELL_SERVING_CHANGE_LOG_H_
#define FIGWELL_SERVING_CHANGE_LOG_H_

/** Store changes that instances forward to each other; see serving.h. */

#include <cereal/types/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figwell/core.h"
#include "figwell/store.h"

namespace figwell::serving {

/** The newest state of one key: its value, or a tombstone if it was removed. */
struct LoggedEntry {
  std::string key;
  std::string value;
  store::Revision revision = 0;
  bool removed = false;

  friend bool operator==(const LoggedEntry&, const LoggedEntry&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, value, revision, removed);
  }
};

/** One message of an answer with the changes after a revision. */
struct ChangeSet {
  /** The reader needs all changes up to this revision to apply the answer. */
  store::Revision after = 0;
  store::Revision up_to = 0;
  std::uint16_t part = 0;
  std::uint16_t parts = 1;
  /** The parts list all keys: a key that is in none of them was removed. */
  bool full_listing = false;
  /**
   * If set, removals may be missing. The answer is complete only for a reader
   * whose keys have this digest afterwards; others request a full listing.
   */
  std::optional<std::uint64_t> digest;
  std::vector<LoggedEntry> entries;

  friend bool operator==(const ChangeSet&, const ChangeSet&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(after, up_to, part, parts, full_listing, digest, entries);
  }
};

/**
 * The newest state of each key below one prefix, with tombstones of the latest
 * removals, so that an instance can send another one the changes that it lacks.
 * The revision of a key never decreases, in whatever order changes arrive.
 */
class ChangeLog {
 public:
  /** Applies a listing of the store as of `revision`. @return the changes */
  std::vector<LoggedEntry> Replace(const std::vector<LoggedEntry>& entries,
                                   store::Revision revision);
  /** Applies an event of the store. @return whether it changed the log */
  bool ApplyEvent(const LoggedEntry& entry);

  /** The changes after a revision, in parts of about `max_bytes`. */
  std::vector<ChangeSet> ChangesSince(store::Revision after,
                                      std::size_t max_bytes) const;
  /**
   * Applies a part of a peer's answer; parts may arrive in any order or be
   * lost. @return the changes
   */
  std::vector<LoggedEntry> ApplyPart(const ChangeSet& set);

  /** All changes up to this revision are in the log. */
  store::Revision newest() const { return newest_; }
  /**
   * The revision after which to request changes from peers; 0 (a full listing)
   * if this log lacks removals whose tombstones peers have dropped.
   */
  store::Revision request_after() const {
    return needs_full_listing_ ? 0 : newest_;
  }
  /** Whether an answer was received in part. */
  bool has_partial_answer() const { return pending_.has_value(); }

 private:
  /** An answer with parts still missing. */
  struct Pending {
    store::Revision after = 0;
    store::Revision up_to = 0;
    std::set<std::uint16_t> parts;
    std::set<std::string> keys;
  };

  /** Digest of the existing keys and their revisions. */
  std::uint64_t Digest() const;
  /** Whether any entry is newer than the revision. */
  bool HasEntryAfter(store::Revision revision) const;
  /** Stores the entry if it is newer; does not advance newest(). */
  bool StoreIfNewer(const LoggedEntry& entry);
  void AddTombstone(const std::string& key);
  std::vector<LoggedEntry> RemoveAllExcept(const std::set<std::string>& keys,
                                           store::Revision revision);

  std::map<std::string, LoggedEntry> entries_;
  std::deque<std::string> tombstones_;  // keys, the oldest first
  /** Tombstones up to this revision may be missing. */
  store::Revision pruned_up_to_ = 0;
  store::Revision newest_ = 0;
  std::optional<Pending> pending_;
  bool needs_full_listing_ = false;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_CHANGE_LOG_H_
