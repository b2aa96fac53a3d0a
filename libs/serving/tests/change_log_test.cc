#include "figwell/serving/change_log.h"

#include <algorithm>

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

constexpr std::size_t kMaxBytes = 200;

LoggedEntry Entry(const std::string& key, store::Revision revision,
                  const std::string& value = "value") {
  return {key, value, revision, false};
}

LoggedEntry Removal(const std::string& key, store::Revision revision) {
  return {key, {}, revision, true};
}

// Applies the changes that a log returned to a reader's keys.
void Apply(const std::vector<LoggedEntry>& changes,
           std::map<std::string, store::Revision>& reader_keys) {
  for (const LoggedEntry& entry : changes) {
    if (entry.removed) {
      reader_keys.erase(entry.key);
    } else {
      reader_keys[entry.key] = entry.revision;
    }
  }
}

TEST_CASE("an older state of a key is ignored") {
  ChangeLog log;
  CHECK(log.ApplyEvent(Entry("a", 5)));
  CHECK_FALSE(log.ApplyEvent(Entry("a", 5)));
  CHECK(log.ApplyEvent(Removal("a", 7)));
  CHECK_FALSE(log.ApplyEvent(Entry("a", 6)));
  CHECK(log.newest() == 7);
}

TEST_CASE("a listing reveals keys that were removed since the last one") {
  ChangeLog log;
  log.Replace({Entry("a", 1), Entry("b", 2)}, 2);
  const auto changes = log.Replace({Entry("b", 2), Entry("c", 4)}, 6);
  REQUIRE(changes.size() == 2);
  CHECK(changes[0] == Entry("c", 4));
  CHECK(changes[1].key == "a");
  CHECK(changes[1].removed);
}

TEST_CASE("a reader receives the changes that it missed, including removals") {
  ChangeLog log;
  log.Replace({Entry("a", 1), Entry("b", 2)}, 2);
  ChangeLog reader;
  for (const ChangeSet& set : log.ChangesSince(reader.newest(), kMaxBytes)) {
    reader.ApplyPart(set);
  }
  CHECK(reader.newest() == 2);
  log.ApplyEvent(Removal("a", 3));
  log.ApplyEvent(Entry("c", 4));
  const auto sets = log.ChangesSince(reader.newest(), kMaxBytes);
  REQUIRE(sets.size() == 1);
  CHECK_FALSE(sets[0].full_listing);
  const auto changes = reader.ApplyPart(sets[0]);
  CHECK(changes.size() == 2);
  CHECK(reader.newest() == 4);
}

TEST_CASE("the revision advances once all parts of an answer have arrived") {
  ChangeLog log;
  for (int i = 1; i <= 20; ++i) {
    log.ApplyEvent(Entry(std::string("key").append(std::to_string(i)), i,
                         std::string(40, 'x')));
  }
  const auto sets = log.ChangesSince(0, kMaxBytes);
  REQUIRE(sets.size() > 2);
  ChangeLog reader;
  for (std::size_t i = 1; i < sets.size(); ++i) {
    reader.ApplyPart(sets[i]);
    reader.ApplyPart(sets[i]);
  }
  CHECK(reader.newest() == 0);
  reader.ApplyPart(sets[0]);
  CHECK(reader.newest() == 20);
}

TEST_CASE("an answer that starts after a gap is not applied") {
  ChangeLog log;
  for (int i = 1; i <= 5; ++i) {
    log.ApplyEvent(Entry("a", i));
  }
  ChangeLog reader;
  CHECK(reader.ApplyPart({3, 5, 0, 1, false, std::nullopt, {Entry("a", 5)}})
            .empty());
  CHECK(reader.newest() == 0);
}

TEST_CASE(
    "a reader that missed more removals than are kept gets a full listing") {
  ChangeLog log;
  log.ApplyEvent(Entry("stays", 1));
  ChangeLog reader;
  reader.ApplyPart(
      {0, 2, 0, 1, true, std::nullopt, {Entry("stays", 1), Entry("gone", 2)}});
  store::Revision revision = 2;
  log.ApplyEvent(Entry("gone", 2));
  log.ApplyEvent(Removal("gone", ++revision));
  for (int i = 0; i < 1'000; ++i) {
    const std::string key = std::string("short").append(std::to_string(i));
    log.ApplyEvent(Entry(key, ++revision));
    log.ApplyEvent(Removal(key, ++revision));
  }
  // The first answer lacks a removal; the reader detects it by the digest.
  for (const ChangeSet& set :
       log.ChangesSince(reader.request_after(), kMaxBytes)) {
    CHECK_FALSE(set.full_listing);
    reader.ApplyPart(set);
  }
  CHECK(reader.newest() == 2);
  CHECK(reader.request_after() == 0);
  std::vector<LoggedEntry> changes;
  for (const ChangeSet& set :
       log.ChangesSince(reader.request_after(), kMaxBytes)) {
    CHECK(set.full_listing);
    for (const LoggedEntry& entry : reader.ApplyPart(set)) {
      changes.push_back(entry);
    }
  }
  CHECK(reader.newest() == log.newest());
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].key == "gone");
  CHECK(changes[0].removed);
  CHECK(reader.newest() == revision);
}

TEST_CASE("a reader agrees with the store, whatever messages are lost") {
  testing::CheckSequences(60, [] {
    ChangeLog log;
    ChangeLog reader;
    std::map<std::string, store::Revision> store_keys;
    std::map<std::string, store::Revision> reader_keys;
    store::Revision revision = 0;
    for (int step = 0; step < 60; ++step) {
      const auto key =
          std::string("k").append(std::to_string(*rc::gen::inRange(0, 12)));
      if (*rc::gen::inRange(0, 3) == 0) {
        log.ApplyEvent(Removal(key, ++revision));
        store_keys.erase(key);
      } else {
        log.ApplyEvent(Entry(key, ++revision));
        store_keys[key] = revision;
      }
      auto sets = log.ChangesSince(reader.newest(), 60);
      for (const ChangeSet& set : sets) {
        if (*rc::gen::inRange(0, 3) != 0) {
          Apply(reader.ApplyPart(set), reader_keys);
        }
      }
      RC_ASSERT(reader.newest() <= log.newest());
      if (reader.newest() == log.newest()) {
        RC_ASSERT(reader_keys == store_keys);
      }
    }
    for (const ChangeSet& set : log.ChangesSince(reader.newest(), 60)) {
      Apply(reader.ApplyPart(set), reader_keys);
    }
    RC_ASSERT(reader_keys == store_keys);
  });
}

// A store that can be restored to an earlier copy of its keys.
struct CopiedStore {
  std::map<std::string, store::Revision> keys;
  store::Revision last = 0;

  std::vector<LoggedEntry> Listing(store::Era era) const {
    std::vector<LoggedEntry> entries;
    for (const auto& [key, revision] : keys) {
      entries.push_back(Entry(key, store::WithEra(era, revision)));
    }
    return entries;
  }
  std::map<std::string, store::Revision> Revisions(store::Era era) const {
    std::map<std::string, store::Revision> revisions;
    for (const LoggedEntry& entry : Listing(era)) {
      revisions[entry.key] = entry.revision;
    }
    return revisions;
  }
};

TEST_CASE("a reader agrees with a store that is restored, messages lost") {
  testing::CheckSequences(60, [] {
    ChangeLog log;
    ChangeLog reader;
    std::map<std::string, store::Revision> reader_keys;
    CopiedStore store;
    std::vector<CopiedStore> copies(1);
    store::Era era = 1;
    const auto read = [&](int lost_of_three) {
      for (const ChangeSet& set :
           log.ChangesSince(reader.request_after(), 60)) {
        if (*rc::gen::inRange(0, 3) >= lost_of_three) {
          Apply(reader.ApplyPart(set), reader_keys);
        }
      }
    };
    for (int step = 0; step < 80; ++step) {
      const auto key =
          std::string("k").append(std::to_string(*rc::gen::inRange(0, 12)));
      const int action = *rc::gen::inRange(0, 8);
      if (action == 0) {
        store = copies[*rc::gen::inRange<std::size_t>(0, copies.size())];
        ++era;
        ++store.last;
        log.Replace(store.Listing(era), store::WithEra(era, store.last));
      } else if (action == 1) {
        copies.push_back(store);
      } else if (action == 2 && store.keys.erase(key) > 0) {
        log.ApplyEvent(Removal(key, store::WithEra(era, ++store.last)));
      } else {
        store.keys[key] = ++store.last;
        log.ApplyEvent(Entry(key, store::WithEra(era, store.last)));
      }
      read(1);
      RC_ASSERT(reader.newest() <= log.newest());
      if (reader.newest() == log.newest()) {
        RC_ASSERT(reader_keys == store.Revisions(era));
      }
    }
    read(0);
    read(0);  // a full listing, if removals were missing
    RC_ASSERT(reader_keys == store.Revisions(era));
  });
}

// When all instances start at the same time, each lists at another moment while
// servers register. A later listing of one instance must not make the others
// request a full listing again.
TEST_CASE(
    "a reader with an older listing gets the changes, not a full listing") {
  constexpr int kServers = 300;
  std::vector<LoggedEntry> listed;
  for (int i = 1; i <= kServers; ++i) {
    listed.push_back(Entry(std::string("key").append(std::to_string(i)), i));
  }
  ChangeLog earlier;
  earlier.Replace({listed.begin(), listed.end() - 2}, kServers - 2);
  ChangeLog later;
  later.Replace(listed, kServers);
  const auto sets = later.ChangesSince(earlier.request_after(), kMaxBytes);
  std::size_t entries = 0;
  for (const ChangeSet& set : sets) {
    entries += set.entries.size();
    earlier.ApplyPart(set);
  }
  CHECK(entries == 2);
  CHECK(earlier.newest() == kServers);
  // A reader that missed a removal between the two listings detects it.
  ChangeLog third;
  third.Replace(listed, kServers + 1);
  ChangeLog fourth;
  fourth.Replace({listed.begin() + 1, listed.end()}, kServers + 3);
  for (const ChangeSet& set :
       fourth.ChangesSince(third.request_after(), kMaxBytes)) {
    third.ApplyPart(set);
  }
  CHECK(third.newest() == kServers + 1);
  for (const ChangeSet& set :
       fourth.ChangesSince(third.request_after(), kMaxBytes)) {
    third.ApplyPart(set);
  }
  CHECK(third.newest() == kServers + 3);
}

}  // namespace
}  // namespace figwell::serving
