#include "figwell/serving/placement_servers.h"

#include <string>

#include "figwell/serving/replicas.h"
#include "figwell/testing.h"

namespace figwell::serving {
namespace {

const ServiceId kService("models");
const ModelId kCommon("common");
const ModelId kRare("rare");

BackendServer MakeServer(const std::string& id, HeldModels models) {
  BackendServer server;
  server.id = ServerId(id);
  server.service = kService;
  server.models = std::move(models);
  return server;
}

Directory MakeDirectory() {
  Directory directory;
  directory.Put(MakeServer("a", {{kCommon, {}}, {kRare, {}}}));
  directory.Put(MakeServer("b", {{kCommon, {}}}));
  directory.Put(MakeServer("c", {{kCommon, {}}}));
  return directory;
}

std::string Ids(const std::vector<const BackendServer*>& servers) {
  std::string ids;
  for (const BackendServer* server : servers) {
    ids += server->id.value();
  }
  return ids;
}

TEST_CASE("placement does not count on servers with a limit") {
  Directory directory = MakeDirectory();
  ServerLimits limits;
  CHECK(Ids(PlacementServers(TimePoint{}, directory, kService, limits)) ==
        "abc");
  limits.OnPeerStatement(TimePoint{}, ServerId("a"), 2.0);
  CHECK(Ids(PlacementServers(TimePoint{}, directory, kService, limits)) ==
        "bc");
  directory.MarkLeaving(TimePoint{}, ServerId("b"), 0);
  CHECK(Ids(PlacementServers(TimePoint{}, directory, kService, limits)) == "c");
  CHECK(PlacementServers(TimePoint{}, directory, ServiceId("desk"), limits)
            .empty());
}

TEST_CASE("placement counts on a server that has not stated its limit lately") {
  const Directory directory = MakeDirectory();
  ServerLimits limits;
  limits.OnPeerStatement(TimePoint{}, ServerId("a"), 2.0);
  const TimePoint later{std::chrono::seconds(10)};
  CHECK(Ids(PlacementServers(later, directory, kService, limits)) == "abc");
  limits.OnAnswer(later, later, ServerId("a"), 2.0);
  CHECK(Ids(PlacementServers(later, directory, kService, limits)) == "bc");
}

TEST_CASE("placement continues on limited servers if most have a limit") {
  const Directory directory = MakeDirectory();
  ServerLimits limits;
  limits.OnPeerStatement(TimePoint{}, ServerId("a"), 2.0);
  limits.OnPeerStatement(TimePoint{}, ServerId("b"), 2.0);
  CHECK(Ids(PlacementServers(TimePoint{}, directory, kService, limits)) ==
        "abc");
}

TEST_CASE("a model that only a limited server holds is loaded elsewhere") {
  const Directory directory = MakeDirectory();
  ServerLimits limits;
  limits.OnPeerStatement(TimePoint{}, ServerId("a"), 2.0);
  EngineSpec engine;
  engine.weights_mb = 200'000;
  for (const ModelId& model : {kCommon, kRare}) {
    ModelSpec spec{model};
    spec.weights_mb = 60'000;
    engine.models.emplace(model, spec);
  }
  std::map<ServerId, EngineState> servers;
  for (const BackendServer* server :
       PlacementServers(TimePoint{}, directory, kService, limits)) {
    EngineState state;
    state.models = server->models;
    state.orderable = true;
    servers.emplace(server->id, state);
  }
  Demand demand;
  demand.work[kRare] = 40;
  const auto moves =
      PlanReplicas({engine, servers, demand, 1, true, nullptr, TimePoint{}});
  REQUIRE_FALSE(moves.empty());
  CHECK(moves.front().action == OrderAction::kLoad);
  CHECK(moves.front().target.model == kRare);
  CHECK(moves.front().server != ServerId("a"));
}

}  // namespace
}  // namespace figwell::serving
