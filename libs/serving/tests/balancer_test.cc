#include "figwell/serving/balancer.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

TimePoint At(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

const ServiceId kModels("models");
const ServiceId kDesk("desk");
const ModelTarget kModel{ModelId("m"), ""};
const ModelTarget kAdapter{ModelId("m"), "a1"};

Catalog MakeCatalog() {
  CatalogParts parts;
  ServiceSpec models{kModels, "/", 0, EngineSpec{}};
  models.engine->slots = 64;
  models.engine->cache_tokens = 100'000;
  models.engine->models.emplace(kModel.model, ModelSpec{kModel.model});
  parts.services.emplace(kModels, models);
  parts.services.emplace(kDesk, ServiceSpec{kDesk, "/", 0, std::nullopt});
  return Catalog(std::move(parts));
}

BackendServer MakeServer(const std::string& id, const ServiceId& service,
                         const std::string& domain) {
  BackendServer server;
  server.id = ServerId(id);
  server.service = service;
  server.address = id + ":80";
  server.domain = DomainId(domain);
  server.slots = 6;
  if (service == kModels) {
    server.models[kModel.model] = {};
  }
  return server;
}

RequestNeeds ModelNeeds(Tokens prompt, const ModelTarget& target = kModel) {
  RequestNeeds needs;
  needs.service = kModels;
  needs.target = target;
  needs.prompt_tokens = prompt;
  return needs;
}

RequestNeeds DeskNeeds() {
  RequestNeeds needs;
  needs.service = kDesk;
  return needs;
}

struct Fixture {
  Fixture() : balancer(DomainId("here"), 1, milliseconds(3'000)) {}

  std::string Choose(std::int64_t ms, const RequestNeeds& needs) {
    const auto choice = balancer.Choose(At(ms), catalog, directory, needs);
    return choice ? choice->server.value() : "none";
  }
  AttemptNumber Send(std::int64_t ms, const RequestNeeds& needs) {
    const auto choice = balancer.Choose(At(ms), catalog, directory, needs);
    REQUIRE(choice);
    return balancer.OnSent(At(ms), *choice, needs);
  }

  Catalog catalog = MakeCatalog();
  Directory directory;
  Balancer balancer;
};

TEST_CASE("only servers that hold the model and its adapter are chosen") {
  Fixture fixture;
  fixture.directory.Put(MakeServer("a", kModels, "here"));
  BackendServer with_adapter = MakeServer("b", kModels, "there");
  with_adapter.models[kModel.model] = {"a1"};
  fixture.directory.Put(with_adapter);
  fixture.directory.Put(MakeServer("c", kDesk, "here"));
  CHECK(fixture.Choose(0, ModelNeeds(100)) == "a");
  CHECK(fixture.Choose(0, ModelNeeds(100, kAdapter)) == "b");
  CHECK(fixture.Choose(0, ModelNeeds(100, {ModelId("other"), ""})) == "none");
}

TEST_CASE("an announcement is used until the registry must show the change") {
  Fixture fixture;
  fixture.directory.Put(MakeServer("a", kModels, "here"));
  CHECK(fixture.Choose(0, ModelNeeds(100, kAdapter)) == "none");
  fixture.balancer.OnPlacementAnnounced(At(0), ServerId("a"), kAdapter, true);
  CHECK(fixture.Choose(10, ModelNeeds(100, kAdapter)) == "a");
  fixture.balancer.OnPlacementAnnounced(At(20), ServerId("a"), kModel, false);
  CHECK(fixture.Choose(30, ModelNeeds(100)) == "none");
  CHECK(fixture.Choose(60'000, ModelNeeds(100)) == "a");
}

TEST_CASE(
    "prefill backlog, own and of peers, sends a request to another server") {
  Fixture fixture;
  fixture.directory.Put(MakeServer("a", kModels, "here"));
  fixture.directory.Put(MakeServer("b", kModels, "here"));
  const std::string first = fixture.Choose(0, ModelNeeds(4'000));
  const AttemptNumber attempt = fixture.Send(0, ModelNeeds(4'000));
  const std::string second = fixture.Choose(1, ModelNeeds(4'000));
  CHECK(second != first);
  fixture.balancer.OnPeerLoads(
      At(1), InstanceId("peer"),
      {{ServerId(second), PeerLoad{9, milliseconds(2'000)}}});
  CHECK(fixture.Choose(2, ModelNeeds(4'000)) == first);
  fixture.balancer.OnFirstByte(At(3), attempt);
  CHECK(fixture.Choose(3, ModelNeeds(4'000)) == first);
  // A peer's load report expires.
  const std::string idle = fixture.Choose(4'900, ModelNeeds(100));
  fixture.Send(4'900, ModelNeeds(100));
  CHECK(fixture.Choose(5'000, ModelNeeds(100)) != idle);
}

TEST_CASE("a prompt is sent to the server that has its prefix cached") {
  Fixture fixture;
  for (const char* id : {"a", "b", "c", "d"}) {
    fixture.directory.Put(MakeServer(id, kModels, "here"));
  }
  RequestNeeds needs = ModelNeeds(2'000);
  needs.prefixes = PrefixesOf(kModel, {{1, 600}, {2, 600}, {3, 800}});
  const std::string first = fixture.Choose(0, needs);
  fixture.balancer.OnEnd(At(200), fixture.Send(0, needs),
                         AttemptEnd::kAnswered);
  const auto again = fixture.balancer.Choose(At(300), fixture.catalog,
                                             fixture.directory, needs);
  REQUIRE(again);
  CHECK(again->server.value() == first);
  CHECK(again->cached_tokens == 2'000);
  // A restarted server has nothing cached.
  fixture.balancer.RemoveServer(ServerId(first));
  const auto later = fixture.balancer.Choose(At(400), fixture.catalog,
                                             fixture.directory, needs);
  REQUIRE(later);
  CHECK(later->cached_tokens < 2'000);
}

TEST_CASE(
    "instances without load reports choose the same server for a prefix") {
  Fixture one;
  Fixture two;
  for (const char* id : {"a", "b", "c", "d", "e"}) {
    one.directory.Put(MakeServer(id, kModels, "here"));
    two.directory.Put(MakeServer(id, kModels, "here"));
  }
  for (std::uint64_t shared = 1; shared < 20; ++shared) {
    RequestNeeds needs = ModelNeeds(2'000);
    needs.prefixes = PrefixesOf(kModel, {{shared, 900}, {shared + 100, 1'100}});
    CHECK(one.Choose(0, needs) == two.Choose(0, needs));
  }
}

TEST_CASE("the local domain is preferred until its server is busy") {
  Fixture fixture;
  fixture.directory.Put(MakeServer("near", kDesk, "here"));
  fixture.directory.Put(MakeServer("far", kDesk, "there"));
  std::vector<std::string> chosen;
  for (int i = 0; i < 20; ++i) {
    chosen.push_back(fixture.Choose(0, DeskNeeds()));
    fixture.Send(0, DeskNeeds());
  }
  CHECK(chosen[0] == "near");
  CHECK(chosen[3] == "near");
  CHECK(std::count(chosen.begin(), chosen.end(), "far") >= 1);
}

TEST_CASE("a server that broke an attempt is avoided until its backoff ends") {
  Fixture fixture;
  fixture.directory.Put(MakeServer("near", kDesk, "here"));
  fixture.directory.Put(MakeServer("far", kDesk, "there"));
  fixture.balancer.OnEnd(At(0), fixture.Send(0, DeskNeeds()),
                         AttemptEnd::kBroken);
  CHECK(fixture.Choose(10, DeskNeeds()) == "far");
  CHECK(fixture.Choose(3'000, DeskNeeds()) == "near");
}

TEST_CASE("a server that fails far more often than others is avoided") {
  Fixture fixture;
  fixture.directory.Put(MakeServer("near", kDesk, "here"));
  fixture.directory.Put(MakeServer("far", kDesk, "there"));
  fixture.directory.Put(MakeServer("farther", kDesk, "there"));
  for (int i = 0; i < 20 && fixture.Choose(i, DeskNeeds()) == "near"; ++i) {
    fixture.balancer.OnEnd(At(i), fixture.Send(i, DeskNeeds()),
                           AttemptEnd::kFailed);
  }
  CHECK(fixture.Choose(100, DeskNeeds()) != "near");
}

TEST_CASE("a request is not sent twice to one server, nor to a draining one") {
  Fixture fixture;
  fixture.directory.Put(MakeServer("a", kDesk, "here"));
  BackendServer leaving = MakeServer("b", kDesk, "here");
  leaving.draining = true;
  fixture.directory.Put(leaving);
  RequestNeeds needs = DeskNeeds();
  CHECK(fixture.Choose(0, needs) == "a");
  needs.tried.insert(ServerId("a"));
  CHECK(fixture.Choose(0, needs) == "none");
}

TEST_CASE("unknown queues hardly change a model's measured prefill time") {
  Fixture fixture;
  fixture.directory.Put(MakeServer("a", kModels, "here"));
  const double before = fixture.balancer.MillisecondsPerToken(kModel.model);
  for (std::int64_t i = 0; i < 50; ++i) {
    const std::int64_t start = i * 10'000;
    const AttemptNumber attempt = fixture.Send(start, ModelNeeds(2'000));
    // Every fifth answer is fast; the others waited for unknown requests.
    const std::int64_t took = i % 5 == 0 ? 60 : 900;
    fixture.balancer.OnFirstByte(At(start + took), attempt);
    fixture.balancer.OnEnd(At(start + took), attempt, AttemptEnd::kAnswered);
  }
  CHECK(fixture.balancer.MillisecondsPerToken(kModel.model) < 2 * before);
}

// Guards against requests that, during a partition, try one server after the
// other in the unreachable domain, each until its connection attempt times out.
TEST_CASE("a domain whose servers cannot be reached is avoided") {
  Fixture fixture;
  for (const char* id : {"a", "b", "c", "d"}) {
    fixture.directory.Put(MakeServer(id, kModels, "there"));
  }
  fixture.directory.Put(MakeServer("near", kModels, "here"));
  RequestNeeds needs = ModelNeeds(2'000);
  needs.tried.insert(ServerId("near"));
  for (std::int64_t ms = 0; ms < 3; ++ms) {
    fixture.balancer.OnEnd(At(ms), fixture.Send(ms, needs),
                           AttemptEnd::kUnreachable);
  }
  needs.tried.clear();
  // The local server is preferred to any in the unreachable domain, though
  // busy.
  for (int i = 0; i < 10; ++i) {
    fixture.Send(10, needs);
  }
  CHECK(fixture.Choose(20, needs) == "near");
  // Later a server there is tried again, and its answer makes the domain
  // usable.
  CHECK(fixture.Choose(1'100, needs) != "near");
  const AttemptNumber probe = fixture.Send(1'100, needs);
  fixture.balancer.OnFirstByte(At(1'150), probe);
  CHECK(fixture.Choose(8'000, needs) != "near");
}

TEST_CASE("announcements are used until the registry is updated") {
  // A replica is unloaded just before the store becomes unreachable for
  // seconds.
  Fixture fixture;
  fixture.directory.Put(MakeServer("a", kModels, "here"));
  fixture.directory.Put(MakeServer("b", kModels, "there"));
  fixture.balancer.OnPlacementAnnounced(At(1'000), ServerId("a"), kModel,
                                        false);
  // This entry was written before the unload and delivered after it.
  fixture.balancer.OnRegistryUpdate(At(1'500), ServerId("a"));
  const RequestNeeds needs = ModelNeeds(100);
  CHECK(fixture.Choose(6'000, needs) == "b");
  CHECK(fixture.Choose(9'000, needs) == "b");
  fixture.balancer.OnRegistryUpdate(At(9'500), ServerId("a"));
  CHECK(fixture.Choose(9'600, needs) == "a");
}

TEST_CASE("an announcement that the registry never confirms expires") {
  Fixture fixture;
  fixture.directory.Put(MakeServer("a", kModels, "here"));
  fixture.balancer.OnPlacementAnnounced(At(0), ServerId("a"), kModel, false);
  CHECK(fixture.Choose(20'000, ModelNeeds(100)) == "none");
  CHECK(fixture.Choose(40'000, ModelNeeds(100)) == "a");
}

TEST_CASE("a server that requests a pause is skipped until it ends") {
  Fixture fixture;
  fixture.directory.Put(MakeServer("a", kDesk, "here"));
  fixture.directory.Put(MakeServer("b", kDesk, "there"));
  fixture.balancer.OnPauseRequested(At(0), ServerId("a"), milliseconds(2'000));
  CHECK(fixture.Choose(1'999, DeskNeeds()) == "b");
  CHECK(fixture.balancer.IsPaused(At(1'999), ServerId("a")));
  // The jitter after a pause is at most a tenth of it.
  CHECK_FALSE(fixture.balancer.IsPaused(At(2'200), ServerId("a")));
  CHECK(fixture.Choose(2'200, DeskNeeds()) == "a");
  // A shorter pause requested later does not shorten the first one.
  fixture.balancer.OnPauseRequested(At(3'000), ServerId("a"),
                                    milliseconds(2'000));
  fixture.balancer.OnPauseRequested(At(3'100), ServerId("a"),
                                    milliseconds(100));
  CHECK(fixture.Choose(4'900, DeskNeeds()) == "b");
}

// A server's entry may lapse while the server runs on.
TEST_CASE("a pause and a limit outlive a lapse of the server's entry") {
  Fixture fixture;
  const ServerId id("a");
  fixture.directory.Put(MakeServer("a", kDesk, "here"));
  fixture.directory.Put(MakeServer("b", kDesk, "there"));
  fixture.balancer.OnPauseRequested(At(0), id, milliseconds(2'000));
  fixture.balancer.limits().OnPeerStatement(At(0), id, 3.0);
  fixture.balancer.OnServerGone(At(100), id);
  fixture.balancer.OnServerAppeared(id);
  CHECK(fixture.Choose(1'999, DeskNeeds()) == "b");
  CHECK(fixture.balancer.limits().Find(id) == 3.0);
  // A new start has asked for nothing.
  fixture.balancer.RemoveServer(id);
  CHECK(fixture.Choose(1'999, DeskNeeds()) == "a");
  CHECK_FALSE(fixture.balancer.limits().Find(id));
}

TEST_CASE("what a server asked for is forgotten when it stays away") {
  Fixture fixture;
  fixture.balancer.limits().OnPeerStatement(At(0), ServerId("a"), 3.0);
  fixture.balancer.OnServerGone(At(100), ServerId("a"));
  fixture.balancer.OnServerGone(At(700'000), ServerId("b"));
  CHECK_FALSE(fixture.balancer.limits().Find(ServerId("a")));
}

TEST_CASE("a server gets one request at a time after its pause") {
  Fixture fixture;
  fixture.directory.Put(MakeServer("a", kDesk, "here"));
  fixture.directory.Put(MakeServer("b", kDesk, "there"));
  fixture.balancer.OnPauseRequested(At(0), ServerId("a"), milliseconds(1'000));
  const AttemptNumber first = fixture.Send(1'200, DeskNeeds());
  CHECK(fixture.Choose(1'200, DeskNeeds()) == "b");
  fixture.balancer.OnEnd(At(1'220), first, AttemptEnd::kAnswered);
  fixture.Send(1'300, DeskNeeds());
  CHECK(fixture.Choose(1'300, DeskNeeds()) == "a");
}

TEST_CASE("when all servers are paused, the earliest pause end is known") {
  Fixture fixture;
  CHECK_FALSE(
      fixture.balancer.EarliestPauseEnd(At(0), fixture.directory, DeskNeeds()));
  fixture.directory.Put(MakeServer("a", kDesk, "here"));
  fixture.directory.Put(MakeServer("b", kDesk, "there"));
  fixture.balancer.OnPauseRequested(At(0), ServerId("a"), milliseconds(9'000));
  fixture.balancer.OnPauseRequested(At(0), ServerId("b"), milliseconds(3'000));
  CHECK(fixture.Choose(100, DeskNeeds()) == "none");
  const auto pause_end = fixture.balancer.EarliestPauseEnd(
      At(100), fixture.directory, DeskNeeds());
  REQUIRE(pause_end);
  CHECK(*pause_end >= At(3'000));
  CHECK(*pause_end <= At(3'300));
  // A restarted server gets requests immediately.
  fixture.balancer.RemoveServer(ServerId("b"));
  CHECK(fixture.Choose(100, DeskNeeds()) == "b");
}

TEST_CASE("a server with a limit costs as much as the wait for its permit") {
  Fixture fixture;
  fixture.directory.Put(MakeServer("a", kDesk, "here"));
  fixture.directory.Put(MakeServer("b", kDesk, "there"));
  ServerLimits& limits = fixture.balancer.limits();
  limits.OnPeerStatement(At(0), ServerId("a"), 2.0);
  const auto choice = fixture.balancer.Choose(At(10), fixture.catalog,
                                              fixture.directory, DeskNeeds());
  REQUIRE(choice);
  CHECK(choice->server == ServerId("a"));
  REQUIRE(choice->unlimited_excess);
  CHECK(*choice->unlimited_excess > Duration{0});
  CHECK(*choice->unlimited_excess <= milliseconds(60));
  // The next permit is free 500 ms later.
  limits.OnPermit(At(10), ServerId("a"), {true, Duration{0}});
  CHECK(fixture.Choose(20, DeskNeeds()) == "b");
  CHECK(fixture.Choose(600, DeskNeeds()) == "a");
  RequestNeeds needs = DeskNeeds();
  needs.at_limit.insert(ServerId("a"));
  CHECK(fixture.Choose(700, needs) == "b");
  fixture.balancer.RemoveServer(ServerId("a"));
  CHECK(limits.size() == 0);
}

TEST_CASE("a shared prefix is not kept on a server with a limit") {
  Fixture fixture;
  for (const char* id : {"a", "b", "c"}) {
    fixture.directory.Put(MakeServer(id, kModels, "here"));
  }
  RequestNeeds needs = ModelNeeds(2'000);
  needs.prefixes = PrefixesOf(kModel, {{1, 1'500}, {2, 500}});
  const std::string preferred = fixture.Choose(0, needs);
  fixture.balancer.limits().OnPeerStatement(At(0), ServerId(preferred), 1.0);
  const auto choice = fixture.balancer.Choose(At(10), fixture.catalog,
                                              fixture.directory, needs);
  REQUIRE(choice);
  CHECK(choice->server != ServerId(preferred));
  CHECK(choice->cached_tokens == 1'500);
}

}  // namespace
}  // namespace figwell::serving
