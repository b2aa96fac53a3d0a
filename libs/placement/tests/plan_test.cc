#include <algorithm>

#include "figwell/testing.h"
#include "world.h"

namespace figwell::placement {
namespace {

const DomainId kDomain("d");

/** A domain for the planner, without a controller. */
struct Fixture {
  config::Configuration configuration;
  std::map<ServerId, ServerView> servers;
  Demand demand;
  int loads = 10;

  explicit Fixture(int server_count, int models)
      : configuration(SmallConfiguration(server_count, models, true)) {
    for (const auto& [id, server] : configuration.servers) {
      servers[id] = {{}, server.memory_bytes, 1, {}, true, {}};
      servers[id].ledger.incarnation = std::string("i");
    }
  }

  ServerView& At(std::size_t server) {
    return servers.at(ServerId(Numbered("s", server)));
  }

  /** Adds a ready replica of a model of 30 bytes, with its adapter. */
  void Put(std::size_t server, const std::string& model,
           const std::string& version = std::string("1")) {
    const Item base = BaseItem(model, version);
    At(server).ledger.resident[base] = {30, ItemState::kReady};
    At(server).ledger.resident[{base.model, base.version, AdapterId("a")}] = {
        2, ItemState::kReady};
  }

  std::vector<Move> Plan() const {
    const auto bundles = MakeBundles(configuration);
    const Homes homes = MakeLayout(configuration).homes[kDomain];
    return PlanMoves({configuration, bundles, homes, servers, demand, loads, 10,
                      PlanOptions{}});
  }
};

/** The moves of models (not adapters) as `action item server reason`. */
std::set<std::string> DescribeMoves(const std::vector<Move>& moves) {
  std::set<std::string> descriptions;
  for (const Move& move : moves) {
    if (move.item.adapter.empty()) {
      std::string text(Name(move.action));
      text.append(" ").append(move.item.model.value());
      text.append(":").append(move.item.version.value());
      text.append(" ").append(move.server.value());
      text.append(" ").append(Name(move.reason));
      descriptions.insert(std::move(text));
    }
  }
  return descriptions;
}

using Moves = std::set<std::string>;

}  // namespace

TEST_CASE("A cold domain loads the model with the highest demand first") {
  Fixture fixture(2, 4);
  fixture.loads = 1;
  fixture.demand[BaseItem("m2", "1")] = 50;
  REQUIRE(fixture.Plan().size() == 1);
  CHECK(fixture.Plan().front().item == BaseItem("m2", "1"));
  CHECK(fixture.Plan().front().reason == Reason::kReachability);
}

TEST_CASE("A model stays reachable while its version is replaced") {
  Fixture fixture(2, 1);
  fixture.Put(0, "m0");
  auto& model = fixture.configuration.models.at(ModelId("m0"));
  model.versions = {{VersionId("2"), {30}}};
  model.default_version = VersionId("2");
  CHECK(DescribeMoves(fixture.Plan()) == Moves{"load m0:2 s0 version_change"});
  fixture.Put(1, "m0", "2");
  CHECK(DescribeMoves(fixture.Plan()) ==
        Moves{"unload m0:1 s0 version_change"});
  // The old adapter stays until the new version's adapter is ready.
  auto& resident = fixture.At(1).ledger.resident;
  resident.erase({ModelId("m0"), VersionId("2"), AdapterId("a")});
  const std::vector<Move> moves = fixture.Plan();
  CHECK(std::none_of(moves.begin(), moves.end(), [](const Move& move) {
    return move.action == Action::kUnload && !move.item.adapter.empty();
  }));
}

TEST_CASE("Replicas on dead and draining servers are replaced, not unloaded") {
  Fixture fixture(2, 1);
  fixture.Put(0, "m0");
  CHECK(DescribeMoves(fixture.Plan()).empty());
  fixture.At(0).usable = false;
  CHECK(DescribeMoves(fixture.Plan()) == Moves{"load m0:1 s1 replacement"});
}

TEST_CASE("A model that is not configured is unloaded") {
  Fixture fixture(2, 1);
  fixture.Put(0, "m0");
  fixture.Put(0, "stranger");
  CHECK(DescribeMoves(fixture.Plan()) ==
        Moves{"unload stranger:1 s0 withdrawn"});
}

TEST_CASE("Unreachable models evict redundant replicas or relocate sole ones") {
  Fixture fixture(2, 6);
  for (const std::size_t server : {0U, 1U}) {
    for (const std::size_t model : {0U, 1U}) {
      fixture.Put(server, Numbered("m", model));
    }
  }
  fixture.Put(0, "m2");
  fixture.Put(1, "m3");
  // m4 and m5 do not fit; each server must evict one redundant replica.
  Moves moves = DescribeMoves(fixture.Plan());
  CHECK(moves.size() == 2);
  CHECK(std::all_of(moves.begin(), moves.end(), [](const std::string& move) {
    return move.find("make_room") != std::string::npos;
  }));

  Fixture fragmented(2, 3);  // 68 bytes free on each server, 72 needed
  fragmented.configuration.models.at(ModelId("m2")).versions = {
      {VersionId("1"), {70}}};
  fragmented.Put(0, "m0");
  fragmented.Put(1, "m1");
  moves = DescribeMoves(fragmented.Plan());
  REQUIRE(moves.size() == 1);
  CHECK(moves.begin()->find("relocation") != std::string::npos);
}

TEST_CASE("A tenfold rise of demand adds replicas, a small one does not") {
  Fixture fixture(3, 2);
  fixture.Put(0, "m0");
  fixture.Put(1, "m1");
  fixture.demand[BaseItem("m0", "1")] = 70;
  CHECK(DescribeMoves(fixture.Plan()).empty());
  fixture.demand[BaseItem("m0", "1")] = 320;  // one accelerator serves 286
  CHECK(DescribeMoves(fixture.Plan()).empty());
  fixture.demand[BaseItem("m0", "1")] = 700;
  CHECK(DescribeMoves(fixture.Plan()) ==
        Moves{"load m0:1 s1 demand", "load m0:1 s2 demand"});
}

TEST_CASE("Fairness prefers the worst-served team") {
  Fixture fixture(3, 2);
  fixture.Put(0, "m0");
  fixture.Put(1, "m1");
  fixture.configuration.teams[TeamId("large")].models = {ModelId("m0")};
  fixture.configuration.teams[TeamId("small")].models = {ModelId("m1")};
  fixture.demand[BaseItem("m0", "1")] = 1000;
  fixture.demand[BaseItem("m1", "1")] = 400;
  fixture.At(0).accelerators = 2;
  fixture.loads = 1;
  // Unserved: 428 of 1000 for m0, 114 of 400 for m1.
  fixture.configuration.policy.fairness = 0;
  CHECK(DescribeMoves(fixture.Plan()) == Moves{"load m0:1 s2 demand"});
  fixture.demand[BaseItem("m1", "1")] = 600;
  fixture.demand[BaseItem("m0", "1")] =
      900;  // unserved: 328 of 900, 314 of 600
  CHECK(DescribeMoves(fixture.Plan()).begin()->find("m0") != std::string::npos);
  fixture.configuration.policy.fairness = 1;
  CHECK(DescribeMoves(fixture.Plan()) == Moves{"load m1:1 s2 demand"});
}

TEST_CASE("A finding for a model that does not fit states the lacking bytes") {
  config::Configuration configuration = SmallConfiguration(2, 6, true);
  CHECK(CheckFits(configuration).empty());
  configuration = SmallConfiguration(2, 7, true);  // three fit on a server
  const Findings findings = CheckFits(configuration);
  REQUIRE(findings.size() == 1);
  CHECK(findings.front().place == "models.m6.versions.1");
  CHECK(findings.front().message.find("28 bytes are lacking") !=
        std::string::npos);
  configuration.servers.at(ServerId("s0")).draining = true;
  CHECK(CheckFits(configuration).size() == 4);
}

TEST_CASE("Two domains hold each model where memory allows") {
  config::Configuration configuration = SmallConfiguration(6, 9, true);
  int next = 0;
  for (auto& [id, server] : configuration.servers) {
    server.failure_domain = DomainId(next++ % 2 == 0 ? "d" : "e");
  }
  const Layout layout = MakeLayout(configuration);
  CHECK(layout.findings.empty());
  CHECK(layout.homes.at(DomainId("d")).size() == 9);
  CHECK(layout.homes.at(DomainId("e")).size() == 9);
  // The layout depends on the configuration alone.
  CHECK(layout == MakeLayout(configuration));
}

TEST_CASE("The weight store's limits are split among the domains") {
  config::Configuration configuration = SmallConfiguration(4, 1, true);
  configuration.weight_store = {2, 5, 40};
  int next = 0;
  for (auto& [id, server] : configuration.servers) {
    server.failure_domain = DomainId(Numbered("d", next++ % 4));
  }
  int at_once = 0;
  double rate = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    const LoadLimits limits =
        DomainLimits(configuration, DomainId(Numbered("d", i)));
    at_once += limits.loads_at_once;
    rate += limits.loads_per_second;
    CHECK(limits.adapters_at_once == 10);
  }
  CHECK(at_once == 5);
  CHECK(rate == 2);
}

TEST_CASE("Demand is summed over gateways, repeated reports are dropped") {
  DemandTracker tracker;
  const TimePoint now{seconds(10)};
  const DemandEntry entry{ModelId("m"), VersionId("1"), AdapterId("a"), 100};
  const DemandReport report{InstanceId("g"), 1, 1000, {entry}};
  tracker.Add(now, report);
  tracker.Add(now, report);
  tracker.Add(now, {InstanceId("h"), 1, 500, {entry, entry}});
  CHECK(tracker.Rates(now).at(BaseItem("m", "1")) == Approx(500));
  CHECK(tracker.Rates(now + seconds(61)).empty());
  // After 30 s the smoothed rate has followed over half of a tenfold step.
  for (std::uint64_t i = 2; i < 32; ++i) {
    DemandReport next{InstanceId("g"), i, 1000, {entry}};
    next.entries.front().tokens = 1000;
    tracker.Add(now + seconds(i), next);
  }
  CHECK(tracker.Rates(now + seconds(31)).at(BaseItem("m", "1")) > 400 + 500);
}

}  // namespace figwell::placement
