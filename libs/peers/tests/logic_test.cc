// Unit tests of the member table, the relay and the denials.

#include "denials.h"
#include "figwell/testing.h"
#include "member_table.h"
#include "membership.h"
#include "relay.h"

namespace figwell::peers {
namespace {

using std::chrono::seconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

MemberRecord Record(std::uint64_t incarnation, std::uint32_t version,
                    MemberState state) {
  return {.instance = InstanceId("a"),
          .domain = DomainId("lahore"),
          .incarnation = incarnation,
          .version = version,
          .state = state};
}

TEST_CASE("the later record of a member wins, in any order of arrival") {
  const std::vector<MemberRecord> in_order = {
      Record(1, 0, MemberState::kAlive),    Record(1, 0, MemberState::kSuspect),
      Record(1, 0, MemberState::kDead),     Record(1, 1, MemberState::kAlive),
      Record(1, 2, MemberState::kDraining), Record(1, 2, MemberState::kLeft),
      Record(2, 0, MemberState::kAlive)};
  for (std::size_t i = 0; i < in_order.size(); ++i) {
    for (std::size_t j = 0; j < in_order.size(); ++j) {
      MemberTable table;
      table.Merge(kStart, Record(1, 0, MemberState::kAlive));
      table.Merge(kStart, in_order[i]);
      table.Merge(kStart, in_order[j]);
      CHECK(table.Find(InstanceId("a"))->member.record ==
            in_order[std::max(i, j)]);
    }
  }
}

TEST_CASE("a restarted member keeps no state of its previous process") {
  MemberTable table;
  table.Merge(kStart, Record(1, 0, MemberState::kAlive));
  Member& member = table.Find(InstanceId("a"))->member;
  member.number_in_force = 9;
  member.heard = kStart;
  CHECK(table.Merge(kStart, Record(2, 0, MemberState::kAlive)) ==
        MemberTable::Change::kNewIncarnation);
  CHECK(member.number_in_force == 0);
  CHECK_FALSE(member.heard);
}

TEST_CASE(
    "the table ignores invalid records and the deaths of unknown members") {
  MemberTable table;
  MemberRecord record = Record(1, 0, MemberState::kDead);
  CHECK(table.Merge(kStart, record) == MemberTable::Change::kNone);
  record = Record(0, 0, MemberState::kAlive);
  CHECK(table.Merge(kStart, record) == MemberTable::Change::kNone);
  record = Record(1, 0, static_cast<MemberState>(77));
  CHECK(table.Merge(kStart, record) == MemberTable::Change::kNone);
  record = Record(1, 0, MemberState::kAlive);
  record.admin_address.assign(kMaxAddressBytes + 1, 'x');
  CHECK(table.Merge(kStart, record) == MemberTable::Change::kNone);
  CHECK(table.digest() == 0);
}

TEST_CASE("a process without known peers pings several addresses per tick") {
  // After a power failure all members start at the same time. Until they know
  // each other, each may spend only its share of the teams' limits.
  constexpr std::size_t kExpectedContacts = 8;
  Membership membership(kStart, Record(1, 1, MemberState::kAlive), {}, 1);
  std::vector<std::string> hints;
  hints.reserve(20);
  for (int i = 0; i < 20; ++i) {
    hints.push_back(std::string("10.0.0.1:").append(std::to_string(7'000 + i)));
  }
  membership.SetHints(hints);
  OutgoingList out;
  membership.Tick(kStart + seconds(1), out);
  std::set<std::string> pinged;
  for (const Outgoing& outgoing : out) {
    if (outgoing.include_own_record) {
      pinged.insert(outgoing.address);
    }
  }
  CHECK(pinged.size() == kExpectedContacts);
}

TEST_CASE("a change of one member replaces at most one watcher") {
  std::vector<InstanceId> members;
  members.reserve(81);
  for (int i = 0; i < 81; ++i) {
    members.emplace_back(std::to_string(i));
  }
  const DomainId domain("lahore");
  const auto before = ChooseWatchers(domain, members);
  REQUIRE(before.size() == kWatchersPerDomain);
  for (const InstanceId& removed : members) {
    auto rest = members;
    std::erase(rest, removed);
    const auto after = ChooseWatchers(domain, rest);
    const auto kept = std::count_if(
        before.begin(), before.end(), [&](const InstanceId& watcher) {
          return std::find(after.begin(), after.end(), watcher) != after.end();
        });
    const bool was_watcher =
        std::find(before.begin(), before.end(), removed) != before.end();
    CHECK(kept == (was_watcher ? 2 : 3));
  }
}

ConfigurationUpdate Patches(config::VersionNumber from,
                            config::VersionNumber to) {
  ConfigurationUpdate update;
  for (auto number = from; number <= to; ++number) {
    Patch patch;
    patch.number = number;
    patch.bytes = std::to_string(number);
    update.patches.push_back(std::move(patch));
  }
  return update;
}

TEST_CASE("only updates that continue from the number in force are applied") {
  struct Row {
    ConfigurationUpdate offer;
    std::size_t patches;  // applied
    config::VersionNumber snapshot;
  };
  const Patch old_snapshot{3, "s"};
  const Patch new_snapshot{8, "s"};
  const std::vector<Row> rows = {
      {Patches(1, 5), 0, 0},
      {Patches(4, 7), 2, 0},
      {Patches(7, 9), 0, 0},  // a gap
      {{old_snapshot, Patches(4, 5).patches}, 0, 0},
      {{old_snapshot, Patches(4, 6).patches}, 1, 0},
      {{new_snapshot, Patches(9, 10).patches}, 2, 8},
  };
  for (std::size_t i = 0; i < rows.size(); ++i) {
    INFO("row " << i);
    ConfigurationRelay relay(kStart, 1);
    RelayActions actions;
    relay.OnInForce(kStart, 5, actions);
    relay.OnOffer(rows[i].offer, actions);
    REQUIRE(actions.apply.has_value() ==
            (rows[i].patches + rows[i].snapshot > 0));
    if (actions.apply) {
      CHECK(actions.apply->patches.size() == rows[i].patches);
      CHECK(actions.apply->snapshot.number == rows[i].snapshot);
    }
    relay.OnInForce(kStart, 4, actions);
    CHECK(relay.in_force() == 5);
  }
}

TEST_CASE(
    "a process that starts next to a stale peer is not ready before it caught "
    "up") {
  struct Row {
    std::optional<bool> store;  // whether reached; none: no answer yet
    int peers;
    config::VersionNumber highest;
    Duration age;
    bool ready;
  };
  const std::vector<Row> rows = {
      {true, 0, 5, seconds(0), true},   {true, 3, 9, seconds(60), false},
      {false, 1, 5, seconds(3), false}, {false, 3, 5, seconds(1), false},
      {false, 3, 5, seconds(3), true},  {false, 3, 9, seconds(60), false},
      {false, 1, 5, seconds(11), true}, {{}, 0, 5, seconds(11), false},
      {{}, 1, 5, seconds(11), true},
  };
  for (std::size_t i = 0; i < rows.size(); ++i) {
    INFO("row " << i);
    const Row& row = rows[i];
    ConfigurationRelay relay(kStart, 1);
    RelayActions actions;
    for (int peer = 0; peer < row.peers; ++peer) {
      relay.OnPeerVersions(kStart, InstanceId(std::to_string(peer)), 5,
                           row.highest, actions);
    }
    if (row.store) {
      relay.OnStoreAnswered(
          kStart, *row.store,
          *row.store ? std::optional<config::VersionNumber>(5) : std::nullopt);
    }
    relay.OnInForce(kStart, 5, actions);
    relay.Tick(kStart + row.age, {}, actions);
    CHECK(relay.caught_up() == row.ready);
  }
}

TEST_CASE("a failed fetch is retried at another peer, then the store is read") {
  ConfigurationRelay relay(kStart, 1);
  RelayActions actions;
  relay.OnStoreAnswered(kStart, true, 0);
  relay.Tick(kStart, {}, actions);
  actions = {};
  relay.OnPeerVersions(kStart, InstanceId("a"), 3, 3, actions);
  REQUIRE(actions.fetch);
  CHECK(actions.fetch->first == InstanceId("a"));
  actions = {};
  relay.OnPeerVersions(kStart, InstanceId("b"), 3, 3, actions);
  CHECK_FALSE(actions.fetch);  // one at a time
  relay.Tick(kStart + kFetchTimeout, {}, actions);
  REQUIRE(actions.fetch);
  CHECK(actions.fetch->first == InstanceId("b"));
  CHECK_FALSE(actions.read_store);
  relay.Tick(kStart + 2 * kNoProgressTimeout, {}, actions);
  CHECK(actions.read_store);
}

TEST_CASE("patches are served from the log, older ones need a snapshot") {
  ConfigurationRelay relay(kStart, 1);
  RelayActions actions;
  for (config::VersionNumber number = 1; number <= 300; ++number) {
    relay.OnOffer(Patches(number, number), actions);
    relay.OnInForce(kStart, number, actions);
  }
  CHECK(relay.AnswerFetch({.after = 290}).patches == Patches(291, 300).patches);
  CHECK(relay.AnswerFetch({.after = 44}).patches.size() == 256);
  CHECK(relay.AnswerFetch({.after = 43}).patches.empty());
  CHECK(
      relay.AnswerFetch({.after = 299, .want_snapshot = true}).patches.empty());
  relay.OnInForce(kStart, 400, actions);  // a snapshot leaves a gap in the log
  CHECK(relay.AnswerFetch({.after = 299}).patches.empty());
}

TEST_CASE("an older number from the store is counted and changes nothing") {
  ConfigurationRelay relay(kStart, 1);
  RelayActions actions;
  relay.OnInForce(kStart, 5, actions);
  relay.OnStoreAnswered(kStart, true, 4);
  CHECK(relay.in_force() == 5);
  CHECK(relay.highest_known() == 5);
  CHECK(relay.store_regressions() == 1);
}

TEST_CASE(
    "a denial is kept until a configuration without its key is in force") {
  const Digest key = Sha256("key");
  const auto has_key = [&key](const Digest& digest) { return digest == key; };
  const auto has_no_key = [](const Digest&) { return false; };
  DenialSet set;
  set.OnInForce(5, has_key);
  CHECK(set.Deny(key) == DenialSet::Outcome::kAdded);
  CHECK(set.Deny(key) == DenialSet::Outcome::kUnchanged);
  CHECK_FALSE(set.OnInForce(6, has_key));
  const std::vector<Denial> sent = set.List();
  CHECK(sent == std::vector<Denial>{{key, 5}});

  DenialSet behind;  // does not have the key yet
  behind.OnInForce(3, has_no_key);
  CHECK(behind.Merge(sent).size() == 1);
  CHECK(behind.hash() == set.hash());
  CHECK(behind.OnInForce(5, has_key) == false);
  CHECK(behind.OnInForce(7, has_no_key));
  CHECK(behind.hash() == 0);
  CHECK(behind.Merge(sent).empty());  // the obsolete denial again
}

TEST_CASE("a denial that arrives before its key is kept for some versions") {
  const Digest key = Sha256("key");
  DenialSet set;
  set.OnInForce(5, [](const Digest&) { return false; });
  set.Deny(key);
  set.OnInForce(6, [](const Digest&) { return false; });
  CHECK(set.size() == 1);
  CHECK(set.OnInForce(5 + kUnknownKeyVersions,
                      [](const Digest&) { return false; }));
}

TEST_CASE("a full set of denials accepts no more and evicts none") {
  DenialSet set;
  for (std::size_t i = 0; i < kMaxDenials; ++i) {
    REQUIRE(set.Deny(Sha256(std::to_string(i))) == DenialSet::Outcome::kAdded);
  }
  CHECK(set.Deny(Sha256("one more")) == DenialSet::Outcome::kFull);
  CHECK(set.refused() == 1);
  CHECK(set.Digests().contains(Sha256("0")));
}

}  // namespace
}  // namespace figwell::peers
