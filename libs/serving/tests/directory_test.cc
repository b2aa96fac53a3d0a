#include "figwell/serving/directory.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

TimePoint At(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

BackendServer MakeServer(const std::string& id, std::int64_t started = 1) {
  BackendServer server;
  server.id = ServerId(id);
  server.service = ServiceId("models");
  server.address = "10.0.0.1:80";
  server.started_ms = started;
  return server;
}

TEST_CASE("a removed server is gone immediately while the store is reachable") {
  Directory directory;
  CHECK(directory.Put(MakeServer("a")) == ServerChange::kAppeared);
  CHECK(directory.Put(MakeServer("a")) == ServerChange::kUnchanged);
  CHECK(directory.Remove(At(1), ServerId("a")) == ServerChange::kGone);
  CHECK(directory.Find(ServerId("a")) == nullptr);
}

TEST_CASE("a draining server gets no new requests") {
  Directory directory;
  directory.Put(MakeServer("a"));
  CHECK(directory.IsUsable(ServerId("a")));
  BackendServer leaving = MakeServer("a");
  leaving.draining = true;
  CHECK(directory.Put(leaving) == ServerChange::kDraining);
  CHECK_FALSE(directory.IsUsable(ServerId("a")));
}

// A restore of the store may bring back what a server reported before it began
// to drain, or before it left.
TEST_CASE("a server that drains does not return with an older copy") {
  Directory directory;
  BackendServer leaving = MakeServer("a");
  leaving.draining = true;
  directory.Put(leaving, {At(0), 1});
  CHECK(directory.Put(MakeServer("a"), {At(10), 2}) ==
        ServerChange::kUnchanged);
  CHECK_FALSE(directory.IsUsable(ServerId("a")));
  CHECK(directory.Remove(At(20), ServerId("a"), 2) == ServerChange::kGone);
  directory.Put(MakeServer("a"), {At(30), 3});
  directory.AcceptRestored(At(30) + kRestoredEntryLifetime);
  CHECK_FALSE(directory.IsUsable(ServerId("a")));
  directory.Put(MakeServer("a", 2), {At(40), 3});
  CHECK(directory.IsUsable(ServerId("a")));
}

TEST_CASE("a server that is gone does not return with an older copy") {
  const ServerId id("a");
  Directory directory;
  directory.Put(MakeServer("a"), {At(0), 1});
  CHECK(directory.Remove(At(10), id, 1) == ServerChange::kGone);
  const auto restore = [&](std::int64_t ms, store::Era era) {
    CHECK(directory.Put(MakeServer("a"), {At(ms), era}) ==
          ServerChange::kUnchanged);
    CHECK(directory.Find(id) == nullptr);
  };
  SECTION("its entry lapses") {
    restore(20, 2);
    directory.Remove(At(30), id, 2);
    CHECK(directory.AcceptRestored(At(20'000)).empty());
    restore(20'000, 3);
    CHECK(directory.AcceptRestored(At(20'100)).empty());
  }
  SECTION("it writes its entry again") {
    restore(20, 2);
    CHECK(directory.Put(MakeServer("a"), {At(30), 2}) ==
          ServerChange::kAppeared);
    CHECK(directory.AcceptRestored(At(20'000)).empty());
  }
  SECTION("its entry does not lapse") {
    restore(20, 2);
    CHECK(directory.AcceptRestored(At(100)).empty());
    CHECK(directory.AcceptRestored(At(20) + kRestoredEntryLifetime) ==
          std::vector<ServerId>{id});
    CHECK(directory.IsUsable(id));
  }
  SECTION("another start has its id") {
    CHECK(directory.Put(MakeServer("a", 2), {At(20), 2}) ==
          ServerChange::kRestarted);
    CHECK(directory.IsUsable(id));
  }
  SECTION("it returns in the same era") {
    CHECK(directory.Put(MakeServer("a"), {At(20), 1}) ==
          ServerChange::kAppeared);
  }
}

TEST_CASE("a new start under the same id is a restart") {
  Directory directory;
  directory.Put(MakeServer("a", 1));
  CHECK(directory.Put(MakeServer("a", 2)) == ServerChange::kRestarted);
}

TEST_CASE("the version of a server stays known until it starts again") {
  Directory directory;
  BackendServer server = MakeServer("a", 1);
  server.version = 7;
  directory.Put(server);
  CHECK(directory.Put(MakeServer("a", 1)) == ServerChange::kUnchanged);
  CHECK(directory.Find(ServerId("a"))->version == 7);
  directory.Put(MakeServer("a", 2));
  CHECK(directory.Find(ServerId("a"))->version == 0);
}

TEST_CASE("entries that lapsed in an outage have two seconds to return") {
  Directory directory;
  directory.Put(MakeServer("a"));
  directory.Put(MakeServer("b"));
  directory.OnStoreLost();
  CHECK(directory.Expire(At(60'000)).empty());
  directory.OnStoreRecovered(At(60'000));
  // The first read after the outage contains neither entry.
  directory.Remove(At(60'050), ServerId("a"));
  directory.Remove(At(60'050), ServerId("b"));
  CHECK(directory.IsUsable(ServerId("a")));
  CHECK(directory.Put(MakeServer("a")) == ServerChange::kUnchanged);
  CHECK(directory.Expire(At(61'500)).empty());
  CHECK(directory.Expire(At(62'100)) == std::vector<ServerId>{ServerId("b")});
  CHECK(directory.IsUsable(ServerId("a")));
  // Later removals take effect immediately again.
  CHECK(directory.Remove(At(63'000), ServerId("a")) == ServerChange::kGone);
}

TEST_CASE("a removal after the store's recovery takes effect in time") {
  // An instance for which the store was unreachable reads of a real removal
  // within the grace. The server's notice period runs all the same.
  Directory directory;
  directory.Put(MakeServer("a"));
  directory.OnStoreLost();
  directory.OnStoreRecovered(At(10'000));
  CHECK(directory.Remove(At(11'700), ServerId("a")) ==
        ServerChange::kUnchanged);
  CHECK(directory.Expire(At(12'000)) == std::vector<ServerId>{ServerId("a")});
}

TEST_CASE("no removed entry outlives the grace after the store's recovery") {
  for (int removed_ms = 0; removed_ms <= 2'500; removed_ms += 50) {
    Directory directory;
    directory.Put(MakeServer("a"));
    directory.OnStoreLost();
    directory.OnStoreRecovered(At(10'000));
    directory.Remove(At(10'000 + removed_ms), ServerId("a"));
    directory.Expire(At(12'000));
    CHECK(directory.Find(ServerId("a")) == nullptr);
    if (removed_ms >= 200) {
      Directory late;
      late.Put(MakeServer("a"));
      late.OnStoreLost();
      late.OnStoreRecovered(At(10'000));
      late.Remove(At(10'000 + removed_ms), ServerId("a"));
      late.Expire(At(10'000 + removed_ms + 800));
      CHECK(late.Find(ServerId("a")) == nullptr);
    }
  }
}

TEST_CASE("a removal that peers report during an outage gets the grace") {
  Directory directory;
  directory.Put(MakeServer("a"));
  directory.Put(MakeServer("b"));
  directory.OnStoreLost();
  CHECK(directory.Remove(At(1'000), ServerId("a")) == ServerChange::kUnchanged);
  CHECK(directory.Expire(At(2'900)).empty());
  CHECK(directory.Expire(At(3'000)) == std::vector<ServerId>{ServerId("a")});
  // The store's recovery does not extend the grace.
  CHECK(directory.Remove(At(8'500), ServerId("b")) == ServerChange::kUnchanged);
  directory.OnStoreRecovered(At(9'000));
  CHECK(directory.Expire(At(10'500)) == std::vector<ServerId>{ServerId("b")});
}

TEST_CASE("a draining server gets no grace") {
  Directory directory;
  BackendServer leaving = MakeServer("a");
  leaving.draining = true;
  directory.Put(leaving);
  directory.OnStoreLost();
  directory.OnStoreRecovered(At(10));
  CHECK(directory.Remove(At(20), ServerId("a")) == ServerChange::kGone);
}

TEST_CASE("a model is held elsewhere only by a usable server") {
  const ModelId model("m");
  Directory directory;
  for (const char* id : {"a", "b"}) {
    BackendServer server = MakeServer(id);
    server.models[model] = {};
    directory.Put(server);
  }
  CHECK(directory.IsHeldElsewhere(ServerId("a"), model));
  CHECK_FALSE(directory.IsHeldElsewhere(ServerId("a"), ModelId("other")));
  BackendServer leaving = *directory.Find(ServerId("b"));
  leaving.draining = true;
  directory.Put(leaving);
  CHECK_FALSE(directory.IsHeldElsewhere(ServerId("a"), model));
  CHECK_FALSE(directory.IsHeldElsewhere(ServerId("unknown"), model));
}

TEST_CASE("a server's announcement that it leaves overrides its entry") {
  Directory directory;
  directory.Put(MakeServer("a", 1));
  CHECK(directory.MarkLeaving(At(10), ServerId("a"), 1) ==
        ServerChange::kDraining);
  CHECK(directory.MarkLeaving(At(20), ServerId("a"), 1) ==
        ServerChange::kUnchanged);
  // Its entry still shows it as ready, changes, lapses and returns.
  directory.Put(MakeServer("a", 1));
  BackendServer changed = MakeServer("a", 1);
  changed.slots = 9;
  directory.Put(changed);
  CHECK_FALSE(directory.IsUsable(ServerId("a")));
  CHECK(directory.Remove(At(30), ServerId("a")) == ServerChange::kGone);
  directory.Put(changed);
  CHECK_FALSE(directory.IsUsable(ServerId("a")));
}

TEST_CASE("a restart under the same id is not marked as leaving") {
  Directory directory;
  directory.Put(MakeServer("a", 1));
  directory.MarkLeaving(At(10), ServerId("a"), 1);
  CHECK(directory.Put(MakeServer("a", 2)) == ServerChange::kRestarted);
  CHECK(directory.IsUsable(ServerId("a")));
  // A peer's report about the former start does not apply to this one.
  CHECK(directory.MarkLeaving(At(20), ServerId("a"), 1) ==
        ServerChange::kUnchanged);
  CHECK(directory.IsUsable(ServerId("a")));
}

TEST_CASE("a server may be marked as leaving before its entry appears") {
  Directory directory;
  directory.MarkLeaving(At(10), ServerId("a"), 1);
  directory.Put(MakeServer("a", 1));
  CHECK_FALSE(directory.IsUsable(ServerId("a")));
}

}  // namespace
}  // namespace figwell::serving
