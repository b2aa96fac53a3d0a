#include "figwell/serving/replicas.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

std::string Numbered(const char* prefix, int number) {
  return std::string(prefix).append(std::to_string(number));
}

ModelId Model(int number) { return ModelId(Numbered("m", number)); }
ServerId Server(int number) { return ServerId(Numbered("s", number)); }

// Servers that hold three models each, as in the target deployment.
EngineSpec MakeEngine(int models, int adapters = 0) {
  EngineSpec engine;
  engine.weights_mb = 220'000;
  engine.adapter_slots = 8;
  for (int i = 0; i < models; ++i) {
    ModelSpec model;
    model.id = Model(i);
    model.weights_mb = 72'700;
    model.adapters = i == 0 ? adapters : 0;
    model.adapter_mb = 66;
    engine.models.emplace(model.id, model);
  }
  return engine;
}

std::map<ServerId, EngineState> MakeServers(
    const std::vector<std::vector<int>>& held) {
  std::map<ServerId, EngineState> servers;
  for (std::size_t i = 0; i < held.size(); ++i) {
    EngineState state;
    state.orderable = true;
    for (const int model : held[i]) {
      state.models[Model(model)] = {};
    }
    servers.emplace(Server(static_cast<int>(i)), state);
  }
  return servers;
}

TEST_CASE("a model without a replica is loaded into a free model slot") {
  const EngineSpec engine = MakeEngine(4);
  const auto servers = MakeServers({{0, 1, 2}, {0}});
  const Demand demand;
  const auto moves = PlanReplicas({engine, servers, demand, 2, false});
  REQUIRE(moves.size() == 1);
  CHECK(moves[0] == ReplicaMove{Server(1),
                                OrderAction::kLoad,
                                {Model(3), ""},
                                MoveReason::kNoReplica});
}

TEST_CASE("a missing model evicts a replica of a model that has others") {
  const EngineSpec engine = MakeEngine(4);
  const auto servers = MakeServers({{0, 1, 2}, {0, 1, 2}});
  const Demand demand;
  const auto moves = PlanReplicas({engine, servers, demand, 2, false});
  REQUIRE(moves.size() == 1);
  CHECK(moves[0].action == OrderAction::kUnload);
  CHECK(moves[0].reason == MoveReason::kMakeRoom);
}

TEST_CASE("a copy that is being unloaded is no copy") {
  const EngineSpec engine = MakeEngine(5);
  auto servers = MakeServers({{0, 1, 2}, {1, 2}, {1, 2, 3}});
  EngineState& unloading = servers.at(Server(1));
  unloading.loading = Model(0);
  unloading.is_load = false;
  unloading.orderable = false;
  Demand demand;
  demand.work = {
      {Model(0), 50}, {Model(1), 900}, {Model(2), 900}, {Model(4), 900}};
  for (const ReplicaMove& move :
       PlanReplicas({engine, servers, demand, 2, false})) {
    INFO("unloads " << move.target.model.value());
    CHECK(move.target.model != Model(0));
  }
}

TEST_CASE("beyond the weight store's rate only local weights are loaded") {
  const EngineSpec engine = MakeEngine(2);
  auto servers = MakeServers({{0}, {0}});
  const Demand demand;
  CHECK(PlanReplicas({engine, servers, demand, 0, false}).empty());
  servers.at(Server(1)).local_weights.insert(Model(1));
  const auto moves = PlanReplicas({engine, servers, demand, 0, false});
  REQUIRE(moves.size() == 1);
  CHECK(moves[0].server == Server(1));
}

TEST_CASE("replicas are added for the model with the most demand") {
  const EngineSpec engine = MakeEngine(4);
  const auto servers =
      MakeServers({{0, 1, 2}, {0, 1, 3}, {0, 1}, {0, 1}, {0, 2}});
  Demand demand;
  demand.work[Model(2)] = 2'000;
  demand.work[Model(0)] = 100;
  const auto moves = PlanReplicas({engine, servers, demand, 2, true});
  REQUIRE_FALSE(moves.empty());
  for (const ReplicaMove& move : moves) {
    if (move.action == OrderAction::kLoad) {
      CHECK(move.target.model == Model(2));
    }
  }
}

TEST_CASE("no replica is evicted for a load that could not start yet") {
  const EngineSpec engine = MakeEngine(4);
  // Two model slots are empty and wait for their loads.
  const auto servers =
      MakeServers({{0, 1}, {0, 1}, {0, 1, 2}, {0, 1, 3}, {0, 1, 2}, {0, 1, 3}});
  Demand demand;
  demand.work[Model(2)] = 4'000;
  demand.work[Model(0)] = 300;
  const auto moves = PlanReplicas({engine, servers, demand, 2, true});
  CHECK(moves.size() == 2);
  for (const ReplicaMove& move : moves) {
    CHECK(move.action == OrderAction::kLoad);
  }
}

TEST_CASE("equal demand causes no moves") {
  const EngineSpec engine = MakeEngine(3);
  const auto servers = MakeServers({{0, 1, 2}, {0, 1, 2}, {0, 1, 2}});
  Demand demand;
  for (int i = 0; i < 3; ++i) {
    demand.work[Model(i)] = 300;
  }
  CHECK(PlanReplicas({engine, servers, demand, 2, true}).empty());
}

TEST_CASE(
    "an empty model slot is filled with a model that may be requested next") {
  EngineSpec engine = MakeEngine(4);
  engine.models.at(Model(2)).adapters = 1;
  auto servers = MakeServers({{0, 1, 2}, {0, 1, 3}, {0, 1}});
  servers.at(Server(0)).models.at(Model(2)).insert("a1");
  const Demand demand;
  auto moves = PlanReplicas({engine, servers, demand, 2, true});
  REQUIRE(moves.size() == 1);
  CHECK(moves[0].server == Server(2));
  CHECK(moves[0].target.model == Model(2));
  CHECK(moves[0].reason == MoveReason::kSpare);
  // Not while the weight store allows no load, and never by evicting a replica.
  CHECK(PlanReplicas({engine, servers, demand, 0, true}).empty());
  servers.at(Server(2)).models[Model(3)] = {};
  CHECK(PlanReplicas({engine, servers, demand, 2, true}).empty());
}

TEST_CASE("room is kept for a late load, of a model or an adapter") {
  struct Case {
    ModelTarget late;
    bool keeps_model;
    bool keeps_adapter;
  };
  for (const Case& late_load :
       {Case{{}, true, true}, Case{{Model(1), ""}, true, false},
        Case{{Model(0), "a9"}, false, true}}) {
    EngineSpec engine = MakeEngine(4, 8);
    engine.adapter_slots = 4;
    auto servers = MakeServers({{0, 2}});
    servers.at(Server(0)).models.at(Model(0)) = {"a1", "a2", "a3"};
    servers.at(Server(0)).late_loads = {late_load.late};
    Demand demand;
    demand.work = {{Model(0), 900}, {Model(2), 900}, {Model(3), 900}};
    demand.requests = {{{Model(0), "a4"}, 9.0}};
    bool loads_model = false;
    bool loads_adapter = false;
    const auto plan = [&] {
      for (const ReplicaMove& move :
           PlanReplicas({engine, servers, demand, 2, true})) {
        const bool load = move.action == OrderAction::kLoad;
        loads_model =
            loads_model || (load && move.target == ModelTarget{Model(3), ""});
        loads_adapter = loads_adapter || (load && !move.target.adapter.empty());
      }
    };
    plan();
    // One move for each server and plan: the other kind without demand for it.
    demand.work.erase(Model(3));
    engine.models.erase(Model(3));
    engine.models.erase(Model(1));
    plan();
    CHECK(loads_model != late_load.keeps_model);
    CHECK(loads_adapter != late_load.keeps_adapter);
  }
}

TEST_CASE("every adapter gets a slot, requested adapters first") {
  const EngineSpec engine = MakeEngine(1, 20);
  auto servers = MakeServers({{0}, {0}});
  Demand demand;
  demand.requests[{Model(0), "a17"}] = 2;
  auto moves = PlanReplicas({engine, servers, demand, 0, false});
  REQUIRE(moves.size() == 2);
  CHECK(moves[0].target == ModelTarget{Model(0), "a17"});
  // Full servers unload an adapter without requests.
  for (auto& [id, server] : servers) {
    for (int i = 1; i <= 8; ++i) {
      server.models[Model(0)].insert(Numbered("a", i));
    }
  }
  moves = PlanReplicas({engine, servers, demand, 0, false});
  REQUIRE_FALSE(moves.empty());
  CHECK(moves[0].action == OrderAction::kUnload);
  CHECK(moves[0].reason == MoveReason::kAdapterIdle);
}

// Executes plans on randomly filled servers with changing demand and checks the
// invariants. A last replica is unloaded only if there are more models than
// model slots, its model has no requests and other models have some.
TEST_CASE(
    "no plan overcommits a server or unloads a last replica without need") {
  testing::CheckSequences(60, [] {
    const int models = *rc::gen::inRange(2, 12);
    const EngineSpec engine = MakeEngine(models, 12);
    const int size = *rc::gen::inRange(2, 8);
    std::vector<std::vector<int>> held(static_cast<std::size_t>(size));
    for (auto& list : held) {
      const int count = *rc::gen::inRange(0, std::min(4, models + 1));
      for (int i = 0; i < count; ++i) {
        list.push_back(*rc::gen::inRange(0, models));
      }
    }
    auto servers = MakeServers(held);
    for (int round = 0; round < 12; ++round) {
      Demand demand;
      for (int i = 0; i < models; ++i) {
        demand.work[Model(i)] =
            *rc::gen::element(0, 1) * *rc::gen::inRange(0, 4'000);
      }
      const auto moves = PlanReplicas({engine, servers, demand, 3, true});
      std::set<ServerId> servers_with_moves;
      std::map<ModelId, int> replica_counts;
      for (const auto& [id, server] : servers) {
        for (const auto& [model, adapters] : server.models) {
          ++replica_counts[model];
        }
      }
      for (const ReplicaMove& move : moves) {
        RC_ASSERT(servers_with_moves.insert(move.server).second);
        auto& models_there = servers.at(move.server).models;
        if (!move.target.adapter.empty()) {
          auto& adapters = models_there[move.target.model];
          if (move.action == OrderAction::kLoad) {
            adapters.insert(move.target.adapter);
          } else {
            adapters.erase(move.target.adapter);
          }
        } else if (move.action == OrderAction::kLoad) {
          models_there[move.target.model] = {};
        } else {
          models_there.erase(move.target.model);
          const bool last = --replica_counts[move.target.model] < 1;
          RC_ASSERT(last == move.last_replica);
          constexpr int kModelSlotsPerServer = 3;
          const bool oversubscribed = models > kModelSlotsPerServer * size;
          const bool requested = demand.work[move.target.model] > 0;
          const bool others_requested =
              std::any_of(demand.work.begin(), demand.work.end(),
                          [](const auto& item) { return item.second > 0; });
          RC_ASSERT(!last ||
                    (oversubscribed && !requested && others_requested));
        }
      }
      for (const auto& [id, server] : servers) {
        double used_mb = 0;
        std::size_t adapters = 0;
        for (const auto& [model, names] : server.models) {
          used_mb += engine.models.at(model).weights_mb;
          adapters += names.size();
        }
        used_mb += 66.0 * static_cast<double>(adapters);
        RC_ASSERT(used_mb <= engine.weights_mb);
        RC_ASSERT(adapters <= 8U);
      }
    }
  });
}

// Guards against an eviction of busy replicas when many servers are lost during
// a burst: the lost models have to be loaded again, but not instead of replicas
// that callers need at that moment.
TEST_CASE("a missing model without requests does not evict a busy replica") {
  const EngineSpec engine = MakeEngine(8);
  const auto servers = MakeServers({{0, 1, 2}, {0, 3, 4}, {0, 5, 6}});
  Demand demand;
  demand.work[Model(0)] = 2'400;
  SECTION("it waits") {
    for (const ReplicaMove& move :
         PlanReplicas({engine, servers, demand, 4, true})) {
      CHECK(move.action != OrderAction::kUnload);
    }
  }
  SECTION("unless it is requested, and that replica is worth less") {
    demand.work[Model(0)] = 900;
    demand.work[Model(7)] = 50;
    const auto moves = PlanReplicas({engine, servers, demand, 4, true});
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].action == OrderAction::kUnload);
    CHECK(moves[0].target.model == Model(0));
  }
  SECTION("a replica that is hardly used is evicted") {
    demand.work[Model(0)] = 200;
    CHECK(PlanReplicas({engine, servers, demand, 4, true}).size() == 1);
  }
}

// Guards against spending the weight store's rate on idle models when many
// servers are lost and loads take long: the loads that the store allows go to
// the model with the most demand first.
TEST_CASE(
    "loads are reserved for a busy model until replicas may be added for it") {
  const EngineSpec engine = MakeEngine(4);
  const auto servers = MakeServers({{0, 1, 2}, {}});
  Demand demand;
  demand.work[Model(0)] = 2'400;
  // Model 3 has neither a replica nor requests.
  CHECK(PlanReplicas({engine, servers, demand, 1, false}).empty());
  const auto moves = PlanReplicas({engine, servers, demand, 1, true});
  REQUIRE_FALSE(moves.empty());
  CHECK(moves[0].target.model == Model(0));
  // With requests it comes first once the busy model has little demand.
  demand.work[Model(0)] = 300;
  demand.work[Model(3)] = 20;
  const auto first = PlanReplicas({engine, servers, demand, 1, false});
  REQUIRE(first.size() == 1);
  CHECK(first[0].target.model == Model(3));
}

}  // namespace
}  // namespace figwell::serving
