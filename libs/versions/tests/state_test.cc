#include "world.h"

namespace figwell::versions {
namespace {

using std::chrono::milliseconds;

constexpr int kSequences = 2000;
constexpr std::size_t kNodes = 4;

/** One step of a generated run. */
struct Command {
  int kind = 0;
  int argument = 0;
};

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << command.kind << ':' << command.argument;
}

rc::Gen<std::vector<Command>> Commands() {
  const auto command = rc::gen::build<Command>(
      rc::gen::set(&Command::kind, rc::gen::inRange(0, 100)),
      rc::gen::set(&Command::argument, rc::gen::inRange(0, 10'000)));
  return rc::gen::scale(3.0, rc::gen::container<std::vector<Command>>(command));
}

void SubmitOne(World& world, int argument) {
  const std::size_t count = world.AllSubmitted().size();
  const std::size_t node = static_cast<std::size_t>(argument) % kNodes;
  const int variant = argument / 4 % 16;
  VersionNumber base = world.Head();
  std::string id = "p" + std::to_string(count);
  std::int64_t rate = argument % 97;
  std::string team = "t" + std::to_string(argument % 5);
  if (variant == 0) {
    base += 1;
  } else if (variant == 1) {
    base = base / 2;
  } else if (variant == 2) {
    rate = -1;
  } else if (variant <= 6 && count > 0) {
    // Repeats an earlier patch, or submits another patch under its id, against
    // its version or against the current one.
    const Submitted& earlier =
        world.AllSubmitted()[static_cast<std::size_t>(argument) % count];
    id = earlier.request.id.value();
    base = variant == 6 ? base : earlier.request.base;
    team = earlier.team.value();
    rate = variant == 5 ? rate : earlier.rate;
  }
  world.Submit(node, base, id, team, rate);
}

CallOutcome OutcomeOf(int argument) {
  constexpr std::array kCallOutcomes = {CallOutcome::kAnswered,
                                        CallOutcome::kAnswered,
                                        CallOutcome::kAnswered,
                                        CallOutcome::kAnswered,
                                        CallOutcome::kRefused,
                                        CallOutcome::kRequestLost,
                                        CallOutcome::kAnswerLost,
                                        CallOutcome::kRequestLostSilently,
                                        CallOutcome::kAnswerLostSilently,
                                        CallOutcome::kDuplicated};
  return kCallOutcomes[static_cast<std::size_t>(argument) / 8 %
                       kCallOutcomes.size()];
}

void Run(World& world, const Command& command, bool restores) {
  const auto argument = static_cast<std::size_t>(command.argument);
  if (command.kind < 22) {
    SubmitOne(world, command.argument);
  } else if (command.kind < 70) {
    if (world.PendingCount() > 0) {
      world.Resolve(argument % world.PendingCount(),
                    OutcomeOf(command.argument));
    }
  } else if (command.kind < 78) {
    world.Advance(milliseconds(100 + argument % 1500));
  } else if (command.kind < 85) {
    world.Read(argument % kNodes);
  } else if (command.kind < 93) {
    world.Relay(argument % kNodes, argument / 4 % kNodes, argument % 3 == 0);
  } else if (command.kind < 96) {
    world.MarkUnansweredUnknown(argument % kNodes);
    world.Restart(argument % kNodes);
  } else if (command.kind < 98) {
    world.Backup();
  } else if (restores) {
    world.Restore();
  }
}

TEST_CASE(
    "faults neither revert a version nor repeat a patch nor falsify a reply") {
  int accepted = 0;
  int unknown = 0;
  int snapshots = 0;
  testing::CheckSequences(kSequences, [&] {
    World world(kNodes);
    for (const Command& command : *Commands()) {
      Run(world, command, /*restores=*/false);
    }
    world.Settle();
    world.CheckReplies();
    world.CatchUp();
    for (std::size_t i = 0; i < world.size(); ++i) {
      RC_ASSERT(world.NodeAt(i).log.Number() == world.Head());
    }
    for (const Submitted& entry : world.AllSubmitted()) {
      accepted += entry.outcome->kind == PatchOutcome::Kind::kAccepted ? 1 : 0;
      unknown += entry.outcome->kind == PatchOutcome::Kind::kUnknown ? 1 : 0;
    }
    snapshots +=
        world.Notices().contains(Notice::Kind::kSnapshotWritten) ? 1 : 0;
  });
  // Checks that the sequences reach the states that they are meant to test.
  const int sequences = testing::ScaledSequences(kSequences);
  CHECK(accepted > sequences);
  CHECK(unknown > sequences / 10);
  CHECK(snapshots > sequences / 10);
}

TEST_CASE("a log does not follow a store that was restored to an older state") {
  int refused = 0;
  testing::CheckSequences(kSequences, [&] {
    World world(kNodes);
    for (const Command& command : *Commands()) {
      Run(world, command, /*restores=*/true);
    }
    world.Settle();
    world.CheckReplies();
    world.CatchUp();
    refused += world.Notices().contains(Notice::Kind::kStoreBehind) ||
                       world.Notices().contains(Notice::Kind::kStoreForked)
                   ? 1
                   : 0;
  });
  CHECK(refused > kSequences / 100);
}

}  // namespace
}  // namespace figwell::versions
