#include "world.h"

namespace figwell::versions {
namespace {

using std::chrono::milliseconds;

// A valid patch of exactly `bytes` bytes, most of it teams.
std::string PatchOfSize(std::size_t bytes) {
  std::string patch = R"({"domains":{"d":{"units":1}},"teams":{"last":{})";
  for (int i = 0; patch.size() + 100 < bytes; ++i) {
    const std::string number = std::to_string(i);
    patch += ",\"";
    patch.append(80 - number.size(), 't');
    patch += number;
    patch += "\":{}";
  }
  patch += "}}";
  patch.append(bytes - patch.size(), ' ');
  return patch;
}

std::string Name(int i) {
  std::string name = std::to_string(i);
  name.insert(name.begin(), 's');
  return name;
}

/** A log, its acceptor and writer with a store that answers immediately. */
struct DirectFixture {
  VersionLog log{"/f/"};
  PatchAcceptor acceptor{log};
  SnapshotWriter writer{log, "w"};
  ModelStore store;
  TimePoint now{};
  std::vector<PatchReply> replies;

  void ExecuteActions(const Actions& actions) {
    for (const PatchReply& reply : actions.replies) {
      replies.push_back(reply);
    }
    for (const StoreCall& call : actions.calls) {
      Actions next;
      acceptor.OnResult(now, call.id, store.Execute(call.transaction), next);
      ExecuteActions(next);
    }
  }

  PatchOutcome Submit(PatchRequest request) {
    Actions actions;
    acceptor.Submit(now, std::move(request), actions);
    ExecuteActions(actions);
    return replies.back().outcome;
  }

  PatchOutcome Submit(const std::string& id, const std::string& patch) {
    return Submit({1, PatchId(id), OperatorId("a"), log.Number(), patch, 0});
  }

  void WriteSnapshot() {
    Actions actions;
    writer.OnTimer(now, actions);
    while (!actions.calls.empty()) {
      const StoreCall call = actions.calls.back();
      actions.calls.clear();
      writer.OnResult(now, call.id, store.Execute(call.transaction), actions);
    }
  }
};

TEST_CASE("patches and snapshots near a megabyte fit into the store's values") {
  DirectFixture direct;
  CHECK(direct.Submit("big", PatchOfSize(kMaxPatchBytes)).kind ==
        PatchOutcome::Kind::kAccepted);
  const auto too_big = direct.Submit("bigger", PatchOfSize(kMaxPatchBytes + 1));
  CHECK(too_big.kind == PatchOutcome::Kind::kInvalid);
  CHECK(too_big.findings.at(0).place == "patch");
  for (int i = 0; i < 63; ++i) {
    REQUIRE(direct.Submit(Name(i), "{}").kind == PatchOutcome::Kind::kAccepted);
  }
  direct.WriteSnapshot();
  std::size_t chunks = 0;
  for (const auto& [key, entry] : direct.store.Entries()) {
    CHECK(entry.value.size() <= store::kMaxValueBytes);
    chunks += key.find("/chunk/") != std::string::npos ? 1 : 0;
  }
  CHECK(chunks > 1);

  // A reader whose next patches were compacted applies the snapshot.
  store::Transaction compact;
  const Layout layout("/f/");
  compact.success.emplace_back(
      store::Delete{layout.PatchKey(0), layout.PatchKey(20)});
  direct.store.Execute(compact);
  VersionLog reader("/f/");
  VersionLog::Read read = reader.NextRead();
  CHECK(reader.ApplyRead(read, direct.store.Execute(read.transaction)) ==
        Step::kGap);
  read = reader.NextRead();
  CHECK(read.with_snapshot);
  CHECK(reader.ApplyRead(read, direct.store.Execute(read.transaction)) ==
        Step::kAdvanced);
  CHECK(*reader.InForce() == *direct.log.InForce());
  CHECK(reader.Lineage() == direct.log.Lineage());
}

TEST_CASE("an accepted patch takes one store call while nothing else happens") {
  DirectFixture direct;
  direct.Submit("first", PatchOfSize(200));
  const auto before = direct.store.Calls();
  for (int i = 0; i < 10; ++i) {
    direct.Submit(Name(i), "{}");
  }
  CHECK(direct.store.Calls() - before == 10);
}

TEST_CASE("an id identifies one patch, whatever version it is sent for") {
  DirectFixture direct;
  direct.Submit("a", PatchOfSize(200));
  const auto other = direct.Submit("a", "{}");
  CHECK(other.kind == PatchOutcome::Kind::kInvalid);
  CHECK(other.findings.at(0).place == "Idempotency-Key");
  CHECK(direct.log.Number() == 1);
}

TEST_CASE("records decode as encoded, and damaged ones are invalid") {
  const PatchRecord record{7,  PatchId("p"), OperatorId("amina"),
                           12, Sha256("x"),  "{\"a\":\n1}"};
  CHECK(DecodePatchRecord(Encode(record)) == record);
  for (const char* bad : {"", "{}", "[]\n{}",
                          R"({"number":0,"id":"p","author":"a",)"
                          R"("accepted_at":1,"parent":"12"})"}) {
    INFO(bad);
    CHECK_FALSE(DecodePatchRecord(bad));
    VersionLog log("/f/");
    CHECK(log.ApplyPatchRecord(bad) == Step::kInvalid);
    CHECK(log.ApplyFullVersion(bad) == Step::kInvalid);
  }
}

TEST_CASE("patches and full versions from a peer never decrease the number") {
  DirectFixture direct;
  direct.Submit("a", PatchOfSize(200));
  VersionLog stale("/f/");
  stale.ApplyFullVersion(direct.log.EncodeFullVersion());
  direct.Submit("b", R"({"teams":{"b":{}}})");
  direct.Submit("c", R"({"teams":{"c":{}}})");
  VersionLog reader("/f/");
  const auto patches = direct.log.PatchesAfter(0, 1 << 20);
  REQUIRE(patches.size() == 3);
  CHECK(direct.log.PatchesAfter(0, 1).size() == 1);
  CHECK(direct.log.PatchesAfter(3, 1 << 20).empty());
  CHECK(reader.ApplyPatchRecord(patches[1].bytes) == Step::kGap);
  CHECK(reader.ApplyFullVersion(stale.EncodeFullVersion()) == Step::kAdvanced);
  CHECK(reader.ApplyPatchRecord(patches[1].bytes) == Step::kAdvanced);
  CHECK(reader.ApplyPatchRecord(patches[0].bytes) == Step::kUnchanged);
  CHECK(reader.ApplyFullVersion(stale.EncodeFullVersion()) == Step::kUnchanged);
  CHECK(reader.ApplyFullVersion(direct.log.EncodeFullVersion()) ==
        Step::kAdvanced);
  CHECK(reader.Number() == 3);
  // A log that received the version from a peer does not know the head's
  // revision.
  CHECK_FALSE(reader.HeadRevision());
  // The patches before the full version are not held.
  CHECK(reader.PatchesAfter(2, 1 << 20).empty());
}

TEST_CASE(
    "another lineage is not applied from a patch, a full version or a store") {
  DirectFixture ours;
  DirectFixture theirs;
  ours.Submit("a", PatchOfSize(200));
  theirs.Submit("b", PatchOfSize(201));
  theirs.Submit("c", "{}");
  const auto patches = theirs.log.PatchesAfter(0, 1 << 20);
  CHECK(ours.log.ApplyPatchRecord(patches[0].bytes) == Step::kForked);
  CHECK(ours.log.ApplyPatchRecord(patches[1].bytes) == Step::kForked);
  CHECK(ours.log.ApplyFullVersion(theirs.log.EncodeFullVersion()) ==
        Step::kForked);
  const auto read = ours.log.NextRead();
  CHECK(ours.log.ApplyRead(read, theirs.store.Execute(read.transaction)) ==
        Step::kForked);
  CHECK(ours.log.Number() == 1);
  // No patch is written into that store either.
  ours.store = theirs.store;
  const auto refused = ours.Submit("d", "{}");
  CHECK(refused.kind != PatchOutcome::Kind::kAccepted);
  CHECK(ours.store.Entries().size() == theirs.store.Entries().size());
}

TEST_CASE(
    "a new controller accepts no patch while a peer has a newer version") {
  DirectFixture direct;
  direct.Submit("a", PatchOfSize(200));
  direct.acceptor.RecordPeerNumber(5);
  CHECK(direct.Submit("b", "{}").kind == PatchOutcome::Kind::kNotRun);
  CHECK(direct.log.Number() == 1);
}

TEST_CASE("the queue of patches is bounded and ends them at their deadline") {
  VersionLog log("/f/");
  PatchAcceptor acceptor(log);
  Actions actions;
  const TimePoint start{};
  for (std::uint64_t i = 0; i < PatchAcceptor::kMaxQueuedPatches + 2; ++i) {
    acceptor.Submit(start,
                    {i, PatchId(Name(static_cast<int>(i))), OperatorId("a"), 0,
                     R"({"domains":{"d":{"units":1}}})", 0},
                    actions);
  }
  REQUIRE(actions.calls.size() == 1);
  REQUIRE(actions.replies.size() == 1);
  CHECK(actions.replies[0].outcome.kind == PatchOutcome::Kind::kNotRun);
  acceptor.OnTimer(start + PatchAcceptor::kDeadline, actions);
  REQUIRE(actions.replies.size() == PatchAcceptor::kMaxQueuedPatches + 2);
  int unknown = 0;
  for (const PatchReply& reply : actions.replies) {
    unknown += reply.outcome.kind == PatchOutcome::Kind::kUnknown ? 1 : 0;
  }
  // Only the patch whose write was sent.
  CHECK(unknown == 1);
}

TEST_CASE("a patch whose id may have been removed has an unknown outcome") {
  DirectFixture direct;
  direct.Submit("old", PatchOfSize(200));
  for (int i = 0; i < 300; ++i) {
    direct.Submit(Name(i), "{}");
  }
  const auto repeat = [&](VersionNumber base) {
    return direct.Submit({1, PatchId("new"), OperatorId("a"), base, "{}", 0})
        .kind;
  };
  CHECK(repeat(0) == PatchOutcome::Kind::kUnknown);
  CHECK(repeat(direct.log.Number() - 2) == PatchOutcome::Kind::kConflict);
}

}  // namespace
}  // namespace figwell::versions
