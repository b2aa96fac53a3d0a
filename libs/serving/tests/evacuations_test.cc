#include "figwell/serving/evacuations.h"

#include "figwell/serving/balancer.h"
#include "figwell/serving/placement_servers.h"
#include "figwell/serving/replicas.h"
#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

TimePoint At(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

const DomainId kEast("east");
const DomainId kWest("west");
const ServiceId kModels("models");
const ModelId kModel("m");

using Domains = std::set<DomainId>;

TEST_CASE("a domain is evacuated from its request to its withdrawal") {
  Evacuations evacuations;
  evacuations.OnRecord(At(0), {kEast, 10, true});
  CHECK(evacuations.Domains() == Domains{kEast});
  evacuations.OnRecord(At(1), {kWest, 11, true});
  CHECK(evacuations.Domains() == Domains{kEast, kWest});
  evacuations.OnRecord(At(2), {kEast, 12, false});
  CHECK(evacuations.Domains() == Domains{kWest});
}

// Events of the store and what peers know arrive in any order.
TEST_CASE("the newest of a request and its withdrawal counts") {
  Evacuations evacuations;
  evacuations.OnRecord(At(0), {kEast, 12, false});
  evacuations.OnPeerRecords(At(1), {{kEast, 10, true}});
  CHECK(evacuations.Domains().empty());
  evacuations.OnPeerRecords(At(2), {{kEast, 13, true}});
  CHECK(evacuations.Domains() == Domains{kEast});
}

TEST_CASE("a listing without a request withdraws it") {
  Evacuations evacuations;
  evacuations.OnRecord(At(0), {kEast, 10, true});
  evacuations.OnListing(At(1), {{kWest, 15, true}}, 20);
  CHECK(evacuations.Domains() == Domains{kWest});
}

TEST_CASE("a listing that is older than a request does not withdraw it") {
  Evacuations evacuations;
  evacuations.OnRecord(At(0), {kEast, 30, true});
  evacuations.OnListing(At(1), {}, 20);
  CHECK(evacuations.Domains() == Domains{kEast});
}

TEST_CASE("a peer with an older view does not revive a withdrawn request") {
  Evacuations evacuations;
  evacuations.OnListing(At(0), {}, 20);
  evacuations.OnPeerRecords(At(1), {{kEast, 10, true}});
  CHECK(evacuations.Domains().empty());
}

TEST_CASE("an instance without the store learns evacuations from a peer") {
  Evacuations informed;
  informed.OnRecord(At(0), {kEast, 10, true});
  Evacuations started_in_outage;
  started_in_outage.OnPeerRecords(At(60'000),
                                  informed.RecordsForPeers(At(60'000)));
  CHECK(started_in_outage.Domains() == Domains{kEast});
}

TEST_CASE("withdrawals are passed on to peers for a while") {
  Evacuations evacuations;
  evacuations.OnRecord(At(0), {kEast, 10, true});
  evacuations.OnRecord(At(1'000), {kEast, 11, false});
  CHECK(evacuations.RecordsForPeers(At(2'000)).size() == 1);
  const TimePoint later = At(1'000) + Evacuations::kWithdrawalRetention;
  evacuations.Tick(later);
  CHECK(evacuations.RecordsForPeers(later).empty());
}

// What the operator wrote is written again some time after a restore.
TEST_CASE("a restored store that lacks a request does not end it at once") {
  const auto revision = [](store::Era era, store::Revision stated) {
    return store::WithEra(era, stated);
  };
  Evacuations evacuations;
  evacuations.OnRecord(At(0), {kEast, revision(1, 50), true});
  evacuations.OnListing(At(100), {}, revision(2, 20));
  evacuations.Tick(At(2'000));
  CHECK(evacuations.Domains() == Domains{kEast});
  SECTION("it is written again") {
    evacuations.OnRecord(At(2'100), {kEast, revision(2, 25), true});
    evacuations.Tick(At(100) + Evacuations::kRestoredRequestGrace);
    CHECK(evacuations.Domains() == Domains{kEast});
  }
  SECTION("it was withdrawn in the meantime") {
    evacuations.Tick(At(100) + Evacuations::kRestoredRequestGrace);
    CHECK(evacuations.Domains().empty());
  }
}

BackendServer MakeServer(const std::string& id, const DomainId& domain) {
  BackendServer server;
  server.id = ServerId(id);
  server.service = kModels;
  server.address = "10.0.0.1:80";
  server.domain = domain;
  server.version = 1;
  server.models[kModel] = {};
  return server;
}

Directory TwoDomains() {
  Directory directory;
  directory.Put(MakeServer("a", kEast));
  directory.Put(MakeServer("b", kWest));
  return directory;
}

TEST_CASE("servers of an evacuated domain are not used") {
  Directory directory = TwoDomains();
  directory.SetEvacuated({kEast});
  CHECK_FALSE(directory.IsUsable(ServerId("a")));
  CHECK(directory.IsUsable(ServerId("b")));
  CHECK_FALSE(directory.IsHeldElsewhere(ServerId("b"), kModel));
  CHECK_FALSE(directory.IsServiceEvacuated(kModels));
  Balancer balancer(kEast, 1, milliseconds(1'000));
  const Catalog catalog{CatalogParts{}};
  RequestNeeds needs;
  needs.service = kModels;
  needs.target = {kModel, {}};
  const auto choice = balancer.Choose(At(0), catalog, directory, needs);
  REQUIRE(choice);
  CHECK(choice->server == ServerId("b"));
  directory.SetEvacuated({kEast, kWest});
  CHECK_FALSE(balancer.Choose(At(0), catalog, directory, needs));
  CHECK_FALSE(balancer.AnyServerHolds(At(0), directory, kModels, {kModel, {}}));
  CHECK(directory.IsServiceEvacuated(kModels));
  CHECK_FALSE(directory.HasVersion(kModels, 1));
  directory.SetEvacuated({});
  CHECK(directory.IsUsable(ServerId("a")));
}

// The models of an evacuated domain are loaded where they are still served.
TEST_CASE("models that only evacuated servers hold are loaded elsewhere") {
  Directory directory;
  directory.Put(MakeServer("a", kEast));
  BackendServer empty = MakeServer("b", kWest);
  empty.models.clear();
  directory.Put(empty);
  directory.SetEvacuated({kEast});
  EngineSpec engine;
  engine.weights_mb = 100;
  engine.models[kModel].id = kModel;
  engine.models[kModel].weights_mb = 60;
  std::map<ServerId, EngineState> states;
  for (const BackendServer* server :
       PlacementServers(At(0), directory, kModels, ServerLimits{})) {
    states[server->id].models = server->models;
    states[server->id].orderable = true;
  }
  REQUIRE(states.size() == 1);
  const Demand demand;
  const auto moves = PlanReplicas({engine, states, demand, 1, false});
  REQUIRE(moves.size() == 1);
  CHECK(moves.front().server == ServerId("b"));
  CHECK(moves.front().target.model == kModel);
  CHECK(moves.front().reason == MoveReason::kNoReplica);
}

}  // namespace
}  // namespace figwell::serving
