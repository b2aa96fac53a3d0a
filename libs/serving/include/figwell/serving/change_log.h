#ifndef FIGWELL_SERVING_CHANGE_LOG_H_
#define FIGWELL_SERVING_CHANGE_LOG_H_

/** Changes of the store that instances pass on to each other; see serving.h. */

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

/** The newest state of one key: a value, or that it was removed. */
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

/** One part of what changed after a revision. */
struct ChangeSet {
  /** Complete for a reader that has everything up to here. */
  store::Revision after = 0;
  store::Revision upto = 0;
  std::uint16_t part = 0;
  std::uint16_t parts = 1;
  /** All entries: what is in none of the parts was removed. */
  bool whole = false;
  /**
   * If set, removals may be missing: complete only for a reader whose keys then
   * have this digest. Others ask for the whole.
   */
  std::optional<std::uint64_t> digest;
  std::vector<LoggedEntry> entries;

  friend bool operator==(const ChangeSet&, const ChangeSet&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(after, upto, part, parts, whole, digest, entries);
  }
};

/**
 * The newest state of each key below one prefix, with removals for a while, so
 * that an instance can tell another what it has missed. States of a key never
 * go back, whatever order they come in.
 */
class ChangeLog {
 public:
  /** What the store listed, as of `revision`. @return what is new here */
  std::vector<LoggedEntry> Replace(const std::vector<LoggedEntry>& entries,
                                   store::Revision revision);
  /** An event of the store. @return whether it is new here */
  bool ApplyEvent(const LoggedEntry& entry);

  /** What changed after a revision, in parts of about `max_bytes`. */
  std::vector<ChangeSet> Since(store::Revision after,
                               std::size_t max_bytes) const;
  /**
   * Takes a part of a peer's answer; parts may come in any order and get lost.
   * @return what is new here
   */
  std::vector<LoggedEntry> ApplyPart(const ChangeSet& set);

  /** Everything up to this revision is known here. */
  store::Revision newest() const { return newest_; }
  /**
   * The revision after which to ask peers for changes; 0 for everything, if
   * removals are missing here that peers no longer know one by one.
   */
  store::Revision ask_after() const { return want_whole_ ? 0 : newest_; }
  /** Whether some parts of an answer are here and others are not. */
  bool awaits_parts() const { return pending_.has_value(); }

 private:
  /** An answer of which some parts are still missing. */
  struct Pending {
    store::Revision after = 0;
    store::Revision upto = 0;
    std::set<std::uint16_t> parts;
    std::set<std::string> keys;
  };

  /** Covers the keys that exist, with their revisions. */
  std::uint64_t Digest() const;
  /** Whether the newest state of some key is later than the revision. */
  bool KnowsBeyond(store::Revision revision) const;
  /** Keeps the entry if it is newer; what is complete stays as it is. */
  bool Keep(const LoggedEntry& entry);
  void RememberRemoval(const std::string& key);
  std::vector<LoggedEntry> RemoveAllBut(const std::set<std::string>& keys,
                                        store::Revision revision);

  std::map<std::string, LoggedEntry> entries_;
  std::deque<std::string> removals_;  // keys, the oldest first
  /** Removals up to here may be forgotten. */
  store::Revision forgotten_ = 0;
  store::Revision newest_ = 0;
  std::optional<Pending> pending_;
  bool want_whole_ = false;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_CHANGE_LOG_H_
