#include <map>
#include <thread>

#include "figwell/routing.h"
#include "figwell/testing.h"

namespace figwell::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const config::ModelTarget kModel{ModelId("review"), VersionId("3"), {}};
const DomainId kOwnDomain("lahore");

TimePoint At(Duration time) { return TimePoint(seconds(1000) + time); }

/** Servers named by `names`: "l1" is in the own domain, "m1" is not. */
struct Fleet {
  explicit Fleet(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      config::Server server;
      server.failure_domain = name[0] == 'l' ? kOwnDomain : DomainId("multan");
      configuration.servers[ServerId(name)] = server;
      ServerReport report;
      report.incarnation = "1";
      report.measured_at = At({});
      report.ready = {kModel};
      news.reports[ServerId(name)] = report;
    }
  }
  ServerReport& Report(const std::string& name) {
    return news.reports[ServerId(name)];
  }
  FleetViewPtr View() const {
    return std::make_shared<const FleetView>(configuration, news);
  }

  config::Configuration configuration;
  FleetStatus news;
};

std::string NameOf(const tl::expected<Choice, NoServerReason>& choice) {
  return choice ? choice->Server().id.value()
                : std::string(Name(choice.error()));
}

/** Counts the selections per server of `count` requests, each ended
 * immediately. */
std::map<std::string, int> Shares(Balancer& balancer, TimePoint now, int count,
                                  std::int64_t tokens = 100) {
  std::map<std::string, int> shares;
  for (int i = 0; i < count; ++i) {
    const auto choice = balancer.Choose(now, {kModel, tokens, 0});
    ++shares[NameOf(choice)];
    if (choice) {
      balancer.End(now, *choice, AttemptOutcome::kSuccess);
    }
  }
  return shares;
}

void Fail(Balancer& balancer, TimePoint now, const std::string& server,
          AttemptOutcome outcome, const std::vector<std::string>& others) {
  std::vector<ServerId> excluded;
  excluded.reserve(others.size());
  for (const std::string& other : others) {
    excluded.emplace_back(other);
  }
  const auto choice = balancer.Choose(now, {kModel, 100, 0}, excluded);
  REQUIRE(NameOf(choice) == server);
  balancer.End(now, *choice, outcome);
}

TEST_CASE("a request goes to a ready server that it has not tried") {
  Fleet fleet({"l1", "l2"});
  fleet.Report("l2").ready = {
      {ModelId("review"), VersionId("2"), {}},
      {ModelId("review"), VersionId("3"), AdapterId("u")}};
  Balancer balancer(kOwnDomain, 1);
  CHECK(NameOf(balancer.Choose(At({}), {kModel})) == "not_resident");
  balancer.SetFleet(At({}), fleet.View());
  CHECK(Shares(balancer, At({}), 20).size() == 1);
  config::ModelTarget adapter = kModel;
  adapter.adapter = AdapterId("u");
  CHECK(NameOf(balancer.Choose(At({}), {adapter})) == "l2");
  adapter.adapter = AdapterId("v");
  CHECK(NameOf(balancer.Choose(At({}), {adapter})) == "not_resident");
  const std::vector<ServerId> tried = {ServerId("l1")};
  CHECK(NameOf(balancer.Choose(At({}), {kModel}, tried)) == "all_excluded");
}

TEST_CASE("a service needs no report") {
  Fleet fleet({"l1", "m1"});
  fleet.news.reports.clear();
  fleet.configuration.services[ServiceId("desk")].servers = {ServerId("m1")};
  Balancer balancer(kOwnDomain, 1);
  balancer.SetFleet(At({}), fleet.View());
  CHECK(NameOf(balancer.Choose(At({}), {ServiceId("desk")})) == "m1");
}

TEST_CASE("any sign that a server leaves stops new work immediately") {
  Fleet fleet({"l1", "m1"});
  Balancer balancer(kOwnDomain, 1);
  balancer.SetFleet(At({}), fleet.View());
  CHECK(Shares(balancer, At({}), 10)["l1"] == 10);

  SECTION("configuration") {
    fleet.configuration.servers[ServerId("l1")].draining = true;
  }
  SECTION("report") { fleet.Report("l1").draining = true; }
  SECTION("instance list") { fleet.news.leaving.insert(ServerId("l1")); }
  SECTION("mark that a snapshot from before does not end") {
    balancer.MarkLeaving(ServerId("l1"));
  }
  balancer.SetFleet(At(seconds(1)), fleet.View());
  CHECK(Shares(balancer, At(seconds(1)), 10)["m1"] == 10);
  balancer.MarkLeaving(ServerId("m1"));
  CHECK(Shares(balancer, At(seconds(1)), 10)["all_leaving"] == 10);
}

TEST_CASE("a leaving mark ends on a restart or a withdrawn report") {
  Fleet fleet({"l1"});
  Balancer balancer(kOwnDomain, 1);
  balancer.SetFleet(At({}), fleet.View());
  balancer.MarkLeaving(ServerId("l1"));
  SECTION("restarted") { fleet.Report("l1").incarnation = "2"; }
  SECTION("report withdrawn") {
    fleet.Report("l1").draining = true;
    balancer.SetFleet(At({}), fleet.View());
    CHECK(Shares(balancer, At({}), 1)["all_leaving"] == 1);
    fleet.Report("l1").draining = false;
  }
  balancer.SetFleet(At({}), fleet.View());
  CHECK(Shares(balancer, At({}), 1)["l1"] == 1);
}

TEST_CASE("own requests are added to a report that lacks them") {
  Fleet fleet({"l1", "l2"});
  fleet.Report("l2").outstanding_tokens = 1000;
  Balancer balancer(kOwnDomain, 1);
  balancer.SetFleet(At({}), fleet.View());
  std::map<std::string, int> chosen;
  std::vector<Choice> choices;
  for (int i = 0; i < 30; ++i) {
    choices.push_back(*balancer.Choose(At({}), {kModel, 100, 0}));
    ++chosen[choices.back().Server().id.value()];
  }
  CHECK(chosen["l1"] == 20);  // 2,000 tokens each
  CHECK(chosen["l2"] == 10);

  // A later report includes these requests; they must not count twice.
  fleet.Report("l1").outstanding_tokens = 2000;
  fleet.Report("l2").outstanding_tokens = 2000;
  fleet.Report("l1").measured_at = At(seconds(2));
  fleet.Report("l2").measured_at = At(seconds(2));
  balancer.SetFleet(At(seconds(2)), fleet.View());
  for (Choice& choice : choices) {
    if (choice.Server().id == ServerId("l1")) {
      balancer.Progress(At(seconds(3)), choice, 50);
    }
  }
  CHECK(Shares(balancer, At(seconds(3)), 10)["l1"] == 10);
  for (const Choice& choice : choices) {
    balancer.End(At(seconds(3)), choice, AttemptOutcome::kSuccess);
  }
  CHECK(balancer.InFlightTokens(ServerId("l1")) == 0);
}

TEST_CASE("requests begun after a report are not subtracted from it") {
  Fleet fleet({"l1", "l2"});
  Balancer balancer(kOwnDomain, 1);
  balancer.SetFleet(At({}), fleet.View());
  const std::vector<ServerId> other = {ServerId("l2")};
  const auto own = balancer.Choose(At(seconds(1)), {kModel, 2000, 0}, other);
  REQUIRE(NameOf(own) == "l1");
  fleet.Report("l1").outstanding_tokens = 10'000;
  fleet.Report("l2").outstanding_tokens = 11'000;
  bool is_included = false;
  SECTION("measured before") {}
  SECTION("measured after") { is_included = true; }
  for (const char* server : {"l1", "l2"}) {
    fleet.Report(server).measured_at =
        At(milliseconds(is_included ? 1050 : 950));
  }
  balancer.SetFleet(At(milliseconds(1050)), fleet.View());
  CHECK(Shares(balancer, At(milliseconds(1050)),
               20)[is_included ? "l1" : "l2"] == 20);
}

TEST_CASE("older reports have less weight") {
  struct Case {
    Duration age;
    int expected;
  };
  // 10,000 tokens against none, at full, half and one fifth report weight.
  for (const Case& c : {Case{seconds(0), 50}, Case{milliseconds(500), 75},
                        Case{seconds(1), 90}}) {
    Fleet fleet({"l1", "l2"});
    fleet.Report("l1").outstanding_tokens = 10'000;
    Balancer balancer(kOwnDomain, 1);
    balancer.SetFleet(At({}), fleet.View());
    int full = 0;
    for (int i = 0; i < 200; ++i) {
      const auto choice = balancer.Choose(At(c.age), {kModel, 100, 0});
      full += NameOf(choice) == "l1" ? 1 : 0;
    }
    CHECK(full == c.expected);
  }
}

TEST_CASE("other domains are used if the own one is full or cannot serve") {
  Fleet fleet({"l1", "m1"});
  Balancer balancer(kOwnDomain, 1);
  balancer.SetFleet(At({}), fleet.View());
  CHECK(Shares(balancer, At({}), 10)["l1"] == 10);
  SECTION("full") { fleet.Report("l1").outstanding_tokens = 50'000; }
  SECTION("without the model") { fleet.Report("l1").ready = {}; }
  SECTION("report too old") {
    fleet.Report("l1").measured_at = At(-seconds(11));
  }
  balancer.SetFleet(At({}), fleet.View());
  CHECK(Shares(balancer, At({}), 10)["m1"] == 10);
}

TEST_CASE("failing servers are ejected, but the last replica stays usable") {
  Fleet fleet({"l1", "l2"});
  Balancer balancer(kOwnDomain, 1);
  balancer.SetFleet(At({}), fleet.View());
  Fail(balancer, At({}), "l1", AttemptOutcome::kConnectFailed, {"l2"});
  CHECK(Shares(balancer, At({}), 40, 0).size() == 2);
  Fail(balancer, At({}), "l1", AttemptOutcome::kConnectFailed, {"l2"});
  Fail(balancer, At({}), "l1", AttemptOutcome::kConnectFailed, {"l2"});
  CHECK(Shares(balancer, At({}), 40)["l2"] == 40);
  CHECK(balancer.Counts().ejections == 1);
  Fail(balancer, At({}), "l2", AttemptOutcome::kBroken, {"l1"});
  Fail(balancer, At({}), "l2", AttemptOutcome::kTimedOut, {"l1"});
  const auto choice = balancer.Choose(At({}), {kModel});
  CHECK(choice);
  CHECK(balancer.Counts().last_resort > 0);
}

TEST_CASE("an ejected server returns with one probe and a slow start") {
  Fleet fleet({"l1", "l2"});
  Balancer balancer(kOwnDomain, 1);
  balancer.SetFleet(At({}), fleet.View());
  Fail(balancer, At({}), "l1", AttemptOutcome::kBroken, {"l2"});
  Fail(balancer, At({}), "l1", AttemptOutcome::kBroken, {"l2"});
  CHECK(Shares(balancer, At(milliseconds(1900)), 20)["l1"] == 0);

  const std::vector<ServerId> other = {ServerId("l2")};
  const auto probe = balancer.Choose(At(seconds(3)), {kModel}, other);
  REQUIRE(NameOf(probe) == "l1");
  CHECK(Shares(balancer, At(seconds(3)), 20)["l1"] == 0);
  SECTION("the probe fails: twice the open time") {
    balancer.End(At(seconds(3)), *probe, AttemptOutcome::kBroken);
    CHECK(Shares(balancer, At(milliseconds(6900)), 20)["l1"] == 0);
  }
  SECTION("the probe succeeds: a growing share") {
    balancer.End(At(seconds(3)), *probe, AttemptOutcome::kSuccess);
    std::vector<Choice> choices;
    std::map<std::string, int> chosen;
    for (int i = 0; i < 60; ++i) {
      choices.push_back(*balancer.Choose(At(seconds(5)), {kModel, 100, 0}));
      ++chosen[choices.back().Server().id.value()];
    }
    CHECK(chosen["l1"] == 10);  // after 2 s of 10 s: 1,000 to 5,000 tokens
  }
}

TEST_CASE("a circuit covers one server and one model") {
  Fleet fleet({"l1", "l2"});
  const config::ModelTarget letters{ModelId("letters"), VersionId("1"), {}};
  fleet.Report("l1").ready.push_back(letters);
  Balancer balancer(kOwnDomain, 1);
  balancer.SetFleet(At({}), fleet.View());
  for (int i = 0; i < 3; ++i) {
    Fail(balancer, At({}), "l1", AttemptOutcome::kServerError, {"l2"});
  }
  CHECK(balancer.Counts().circuits_opened == 1);
  CHECK(Shares(balancer, At({}), 20)["l2"] == 20);
  CHECK(NameOf(balancer.Choose(At({}), {letters})) == "l1");
  CHECK(balancer.Counts().last_resort == 0);
}

TEST_CASE("an inconclusive probe of a circuit allows another probe") {
  for (const AttemptOutcome outcome :
       {AttemptOutcome::kCancelled, AttemptOutcome::kOverloaded,
        AttemptOutcome::kBroken}) {
    Fleet fleet({"l1", "l2"});
    Balancer balancer(kOwnDomain, 1);
    balancer.SetFleet(At({}), fleet.View());
    for (int i = 0; i < 3; ++i) {
      Fail(balancer, At({}), "l1", AttemptOutcome::kServerError, {"l2"});
    }
    const std::vector<ServerId> other = {ServerId("l2")};
    const auto probe = balancer.Choose(At(seconds(3)), {kModel}, other);
    CHECK(Shares(balancer, At(seconds(3)), 20)["l1"] == 0);
    balancer.End(At(seconds(3)), *probe, outcome);
    CHECK(Shares(balancer, At(seconds(4)), 40)["l1"] > 0);
  }
}

TEST_CASE("an overloaded server gets no work during its cooldown") {
  Fleet fleet({"l1", "l2"});
  Balancer balancer(kOwnDomain, 1);
  balancer.SetFleet(At({}), fleet.View());
  Fail(balancer, At({}), "l1", AttemptOutcome::kOverloaded, {"l2"});
  CHECK(Shares(balancer, At(milliseconds(400)), 20)["l2"] == 20);
  CHECK(Shares(balancer, At(milliseconds(600)), 40).size() == 2);
}

TEST_CASE("a prefix stays with one server up to the load bound") {
  Fleet fleet({"l1", "l2", "l3", "l4"});
  Balancer balancer(kOwnDomain, 1);
  balancer.SetFleet(At({}), fleet.View());
  const PrefixKey prefix = MakePrefixKey(kModel, "system prompt");
  const RequestFacts request{kModel, 100, prefix};
  const std::string owner = NameOf(balancer.Choose(At({}), request));
  for (int i = 0; i < 10; ++i) {
    CHECK(NameOf(balancer.Choose(At({}), request)) == owner);
  }

  SECTION("a server with the prefix cached is preferred until a gap") {
    const std::string holder = owner == "l1" ? "l2" : "l1";
    const auto learn = [&](std::uint64_t sequence, CacheEvent::Type type,
                           PrefixKey key) {
      const std::vector<CacheEvent> events = {{sequence, type, key}};
      balancer.OnCacheEvents(ServerId(holder), events);
    };
    using Type = CacheEvent::Type;
    learn(7, Type::kStored, prefix);
    CHECK(NameOf(balancer.Choose(At({}), request)) == holder);
    learn(6, Type::kEvicted, prefix);  // arrives after 7
    CHECK(NameOf(balancer.Choose(At({}), request)) == holder);
    SECTION("gap") { learn(9, Type::kStored, prefix + 1); }
    SECTION("evicted") { learn(8, Type::kEvicted, prefix); }
    SECTION("restarted") {
      fleet.Report(holder).incarnation = "2";
      balancer.SetFleet(At({}), fleet.View());
    }
    CHECK(NameOf(balancer.Choose(At({}), request)) == owner);
  }
  SECTION("the load bound") {
    fleet.Report(owner).outstanding_tokens = 20'000;
    balancer.SetFleet(At({}), fleet.View());
    CHECK(NameOf(balancer.Choose(At({}), request)) != owner);
  }
}

TEST_CASE("an attempt may end after a snapshot without its server") {
  Fleet fleet({"l1", "l2"});
  Balancer balancer(kOwnDomain, 1);
  balancer.SetFleet(At({}), fleet.View());
  const std::vector<ServerId> other = {ServerId("l2")};
  const auto choice = balancer.Choose(At({}), {kModel, 70, 0}, other);
  Fleet smaller({"l2", "l3"});
  balancer.SetFleet(At({}), smaller.View());
  CHECK(balancer.InFlightTokens(ServerId("l1")) == 70);
  balancer.End(At({}), *choice, AttemptOutcome::kSuccess);
  balancer.SetFleet(At({}), smaller.View());
  CHECK(balancer.InFlightTokens(ServerId("l1")) == 0);
  CHECK(balancer.InFlightTokens(ServerId("l3")) == 0);
}

TEST_CASE("threads share a balancer while snapshots change") {
  constexpr std::uint64_t kThreads = 4;
  constexpr std::uint64_t kChoices = 2000;
  Fleet fleet({"l1", "l2", "m1"});
  Balancer balancer(kOwnDomain, 1);
  balancer.SetFleet(At({}), fleet.View());
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (std::uint64_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t k = 0; k < kChoices; ++k) {
        auto choice = balancer.Choose(At({}), {kModel, 100, 7});
        balancer.Progress(At({}), *choice, 40);
        balancer.End(At({}), *choice, AttemptOutcome::kSuccess);
      }
    });
  }
  const std::vector<CacheEvent> events = {{1, CacheEvent::Type::kStored, 7}};
  for (int i = 0; i < 100; ++i) {
    balancer.SetFleet(At({}), fleet.View());
    balancer.OnCacheEvents(ServerId("l1"), events);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(balancer.Counts().choices == kThreads * kChoices);
  for (const char* server : {"l1", "l2", "m1"}) {
    CHECK(balancer.InFlightTokens(ServerId(server)) == 0);
  }
}

}  // namespace
}  // namespace figwell::routing
