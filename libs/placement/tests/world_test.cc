#include "world.h"

#include "figwell/testing.h"

namespace figwell::placement {
namespace {

enum class Fault {
  kLoseOrders,
  kDelayOrders,
  kRepeatOrders,
  kLoseAnswers,
  kDelayAnswers,
  kPause,
  kEndLeases,
  kStoreDown,
  kStoreAnswersLost,
  kStoreRequestsLost,
  kRestart,
  kNoReports,
  kStaleReports,
  kUnknownItem,
  kDemand,
  kDrain,
  kNewVersion,
  kWithdraw,
};
constexpr int kFaultCount = 18;

struct Command {
  Fault fault = Fault::kPause;
  int target = 0;
  int length = 1;  // seconds
  int wait = 0;    // seconds until the next command

  friend std::ostream& operator<<(std::ostream& out, const Command& command) {
    return out << "{fault " << static_cast<int>(command.fault) << " target "
               << command.target << " length " << command.length << " wait "
               << command.wait << "}";
  }
};

void Inject(World& world, const Command& command) {
  const Duration length = seconds(command.length);
  const TimePoint until = world.now() + length;
  const auto target = static_cast<std::size_t>(command.target);
  config::Configuration next = world.configuration();
  const std::string model = Numbered("m", target);
  switch (command.fault) {
    case Fault::kLoseOrders:
      world.lose_orders_until = until;
      break;
    case Fault::kDelayOrders:
      world.delay_orders_until = until;
      world.delay = 3 * length;
      break;
    case Fault::kRepeatOrders:
      world.repeat_orders_until = until;
      break;
    case Fault::kLoseAnswers:
      world.lose_answers_until = until;
      break;
    case Fault::kDelayAnswers:
      world.delay_answers_until = until;
      break;
    case Fault::kPause:
      world.paused_until[target % world.paused_until.size()] =
          world.now() + 2 * length;
      break;
    case Fault::kEndLeases:
      world.store.EndAllLeases();
      break;
    case Fault::kStoreDown:
      world.store_down_until = until;
      break;
    case Fault::kStoreAnswersLost:
      world.store_answers_lost_until = until;
      break;
    case Fault::kStoreRequestsLost:
      world.store_requests_lost_until = until;
      break;
    case Fault::kRestart:
      world.RestartEngine(target);
      break;
    case Fault::kNoReports:
      world.engine(target).no_reports_until = until;
      break;
    case Fault::kStaleReports:
      world.engine(target).stale_until = until;
      break;
    case Fault::kUnknownItem:
      world.AddUnknownItem(target);
      break;
    case Fault::kDemand:
      world.SetDemand(BaseItem(model, "1"), 100.0 * command.length);
      break;
    case Fault::kDrain: {
      auto& server =
          next.servers.at(ServerId(Numbered("s", target % world.engines())));
      server.draining = !server.draining;
      world.Configure(next);
      break;
    }
    case Fault::kNewVersion:
      if (const auto found = next.models.find(ModelId(model));
          found != next.models.end()) {
        const VersionId version(std::to_string(command.length));
        found->second.versions = {{version, {30}}};
        found->second.default_version = version;
        world.Configure(next);
      }
      break;
    case Fault::kWithdraw:
      if (next.models.erase(ModelId(model)) == 0) {
        next.models[ModelId(model)] =
            SmallConfiguration(1, 4, true).models.begin()->second;
      }
      world.Configure(next);
      break;
  }
}

rc::Gen<Command> AnyCommand() {
  return rc::gen::build<Command>(
      rc::gen::set(&Command::fault,
                   rc::gen::map(rc::gen::inRange(0, kFaultCount),
                                [](int i) { return static_cast<Fault>(i); })),
      rc::gen::set(&Command::target, rc::gen::inRange(0, 6)),
      rc::gen::set(&Command::length, rc::gen::inRange(1, 15)),
      rc::gen::set(&Command::wait, rc::gen::inRange(0, 7)));
}

std::string Text(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += line + "\n";
  }
  return text;
}

/** Six models of 32 bytes on four servers with room for two each. */
config::Configuration CrowdedConfiguration(bool checks) {
  config::Configuration configuration = SmallConfiguration(4, 6, checks);
  for (auto& [id, server] : configuration.servers) {
    server.memory_bytes = 70;
  }
  return configuration;
}

/** Runs generated faults and checks the invariants of the simulation. */
void CheckInvariants(int sequences, Check check) {
  const bool checks = check == Check::kEachOrder;
  testing::CheckSequences(sequences, [&] {
    const auto commands = *rc::gen::container<std::vector<Command>>(
        *rc::gen::inRange<std::size_t>(1, 20), AnyCommand());
    World world(CrowdedConfiguration(checks), check, 2);
    world.Run(seconds(*rc::gen::inRange(3, 20)));
    for (const Command& command : commands) {
      Inject(world, command);
      world.Run(seconds(command.wait));
    }
    world.Run(seconds(30));
    if (!world.violations().empty()) {
      RC_FAIL(Text(world.violations()));
    }
  });
}

}  // namespace

TEST_CASE("Invariants hold through any faults where numbers are checked") {
  CheckInvariants(2600, Check::kEachOrder);
}

TEST_CASE("Invariants hold through any faults where numbers are ignored") {
  CheckInvariants(2600, Check::kNone);
}

TEST_CASE("A cold domain is filled once, without further loads") {
  for (const bool checks : {true, false}) {
    World world(SmallConfiguration(4, 6, checks),
                checks ? Check::kEachOrder : Check::kNone, 2);
    world.Run(seconds(30));
    CHECK(world.AllReachable());
    CHECK(world.loads_sent == 12);  // six models, each with an adapter
    world.Run(seconds(60));
    CHECK(world.loads_sent == 12);
    CHECK(Text(world.violations()).empty());
  }
}

TEST_CASE("No order is sent before its ledger write is confirmed") {
  World world(SmallConfiguration(4, 4, true), Check::kEachOrder, 1);
  world.Run(seconds(25));
  const std::size_t before = world.sent.size();
  world.on_step = [&](Step step) {
    if (step == Step::kPlanned &&
        world.store_requests_lost_until == TimePoint()) {
      world.store_requests_lost_until = world.now() + seconds(4);
    }
  };
  Inject(world, {Fault::kNewVersion, 0, 2, 0});
  world.Run(seconds(4));
  CHECK(world.store_requests_lost_until > TimePoint());
  CHECK(world.sent.size() == before);
  world.Run(seconds(20));
  CHECK(world.sent.size() > before);
}

TEST_CASE("No orders while the store is down; they continue afterwards") {
  World world(SmallConfiguration(4, 4, true), Check::kEachOrder, 2);
  world.Run(seconds(25));
  world.store_down_until = world.now() + seconds(60);
  const std::size_t before = world.sent.size();
  Inject(world, {Fault::kNewVersion, 0, 2, 0});
  world.Run(seconds(60));
  CHECK(world.sent.size() == before);
  CHECK(world.AllReachable());
  world.Run(seconds(60));
  CHECK(world.IsReady(BaseItem("m0", "2")));
}

TEST_CASE("Any instance can read the status from the ledgers") {
  World world(SmallConfiguration(4, 4, true), Check::kEachOrder, 2);
  world.Run(seconds(45));
  const auto read = world.store.Execute(world.now(), LedgerQuery("/f/"));
  const auto domains = ReadLedgers("/f/", read, world.configuration());
  REQUIRE(domains.size() == 1);
  const PlacementStatus& status = domains.at(DomainId("d"));
  CHECK(status.holds_lease);
  CHECK(status.epoch == 1);
  CHECK(status.ready.size() == 4);
  for (const auto& [item, servers] : status.ready) {
    CHECK(servers.size() == 1);
  }
  CHECK(ToJson(status).find(R"("state":"ready")") != std::string::npos);
}

// A version is replaced: the new one is loaded, then the old one is unloaded.
// The fault is injected when the order reaches the given step.
TEST_CASE("Fault matrix: each fault at each step of an order") {
  const std::vector<std::string_view> faults = {
      "orders lost",         "orders late",      "orders repeated",
      "answers lost",        "answers late",     "controller paused",
      "leases lapse",        "store down",       "store answers lost",
      "store requests lost", "engine restarted", "engine silent",
      "reports stale",       "unknown item"};
  const std::vector<std::string_view> steps = {
      "planned", "written", "sent", "arrived", "ready", "reported"};
  for (const Check check : {Check::kEachOrder, Check::kNone}) {
    for (const bool unload : {false, true}) {
      for (std::size_t fault = 0; fault < faults.size(); ++fault) {
        for (std::size_t step = 0; step < steps.size(); ++step) {
          if (unload && step == static_cast<std::size_t>(Step::kReady)) {
            continue;  // An unload has no such step.
          }
          INFO(faults[fault] << " when " << steps[step] << ", "
                             << (unload ? "unload" : "load") << ", engines "
                             << (check == Check::kNone ? "ignore" : "check")
                             << " numbers");
          World world(SmallConfiguration(4, 4, check == Check::kEachOrder),
                      check, 2);
          world.Run(seconds(25));
          REQUIRE(world.AllReachable());
          const std::size_t before = world.sent.size();
          bool injected = false;
          world.on_step = [&](Step at) {
            const bool armed =
                !unload ||
                (world.sent.size() > before &&
                 world.sent.back().action == Action::kUnload) ||
                (step <= static_cast<std::size_t>(Step::kWritten) &&
                 world.IsReady(BaseItem("m0", "2")));
            if (armed && !injected && static_cast<std::size_t>(at) == step) {
              injected = true;
              // An engine that holds models, or an empty one.
              const int target = fault == faults.size() - 1 ? 3 : 0;
              Inject(world, {static_cast<Fault>(fault), target, 8, 0});
            }
          };
          Inject(world, {Fault::kNewVersion, 0, 2, 0});
          world.Run(seconds(150));
          CHECK(injected);
          CHECK(Text(world.violations()).empty());
          CHECK(world.AllReachable());
          CHECK(world.IsReady(BaseItem("m0", "2")));
          CHECK(world.IsReady({ModelId("m0"), VersionId("2"), AdapterId("a")}));
          CHECK_FALSE(world.IsReady(BaseItem("m0", "1")));
        }
      }
    }
  }
}

}  // namespace figwell::placement
