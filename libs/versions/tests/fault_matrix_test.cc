// Injects every fault at every step of accepting a patch, writing a snapshot
// and following the store. docs/FAULTS.md lists each result as a row.

#include <fstream>
#include <iostream>

#include "world.h"

namespace figwell::versions {
namespace {

using std::chrono::milliseconds;

enum class Fault {
  kNone,
  kRefused,
  kRequestLost,
  kAnswerLost,
  kRequestLostSilently,
  kAnswerLostSilently,
  kLate,
  kAnswerTwice,
  kOutage,
  kProcessDeath,
  kRace,
  kCompaction,
  kRestore,
};

struct FaultRow {
  Fault fault;
  std::string_view name;
};

constexpr FaultRow kFaults[] = {
    {Fault::kNone, "none"},
    {Fault::kRefused, "call refused"},
    {Fault::kRequestLost, "request lost, told"},
    {Fault::kAnswerLost, "answer lost, told"},
    {Fault::kRequestLostSilently, "request lost, silence"},
    {Fault::kAnswerLostSilently, "answer lost, silence"},
    {Fault::kLate, "call late, after its repeat"},
    {Fault::kAnswerTwice, "answer twice"},
    {Fault::kOutage, "store down for 10 s"},
    {Fault::kProcessDeath, "process dies"},
    {Fault::kRace, "another operator's patch first"},
    {Fault::kCompaction, "compaction meanwhile"},
    {Fault::kRestore, "store restored to an older state"},
};

std::string Text(const std::optional<PatchOutcome>& outcome) {
  if (!outcome) {
    return "no answer";
  }
  switch (outcome->kind) {
    case PatchOutcome::Kind::kAccepted:
      return "accepted";
    case PatchOutcome::Kind::kConflict:
      return "conflict";
    case PatchOutcome::Kind::kInvalid:
      return "invalid";
    case PatchOutcome::Kind::kNotRun:
      return "not run";
    case PatchOutcome::Kind::kUnknown:
      return "unknown";
  }
  return "";
}

void Patch(World& world, std::size_t node, int count) {
  for (int i = 0; i < count; ++i) {
    const std::string id = "x" + std::to_string(world.AllSubmitted().size());
    world.Submit(node, world.Head(), id, "other", i);
    world.Settle();
  }
}

// Node 0 is up to date, node 1 has fallen behind, and the backup is older.
World Prepare(int patches) {
  World world(3);
  Patch(world, 0, 1);
  world.Backup();
  Patch(world, 0, patches - 1);
  return world;
}

std::optional<CallOutcome> OutcomeOf(Fault fault) {
  switch (fault) {
    case Fault::kNone:
      return CallOutcome::kAnswered;
    case Fault::kRefused:
      return CallOutcome::kRefused;
    case Fault::kRequestLost:
      return CallOutcome::kRequestLost;
    case Fault::kAnswerLost:
      return CallOutcome::kAnswerLost;
    case Fault::kRequestLostSilently:
      return CallOutcome::kRequestLostSilently;
    case Fault::kAnswerLostSilently:
      return CallOutcome::kAnswerLostSilently;
    case Fault::kAnswerTwice:
      return CallOutcome::kDuplicated;
    default:
      return std::nullopt;
  }
}

// Injects the fault into the oldest pending call, which `node` has made.
void InjectFault(World& world, std::size_t node, Fault fault) {
  if (const auto call_outcome = OutcomeOf(fault)) {
    world.Resolve(0, *call_outcome);
    return;
  }
  switch (fault) {
    case Fault::kLate:
      world.Advance(milliseconds(2'500));
      while (world.PendingCount() > 1) {
        world.Resolve(world.PendingCount() - 1, CallOutcome::kAnswered);
      }
      break;
    case Fault::kOutage:
      for (int i = 0; i < 100; ++i) {
        while (world.PendingCount() > 0) {
          world.Resolve(0, CallOutcome::kRefused);
        }
        world.Advance(milliseconds(100));
      }
      break;
    case Fault::kProcessDeath:
      world.MarkUnansweredUnknown(node);
      world.Restart(node);
      break;
    case Fault::kRace:
    case Fault::kCompaction: {
      // The affected call stays pending while others act.
      auto pending_calls = world.RemovePending();
      Patch(world, 2, fault == Fault::kRace ? 1 : 20);
      world.RestorePending(std::move(pending_calls));
      break;
    }
    case Fault::kRestore:
      world.Restore();
      break;
    default:
      break;
  }
}

struct Observation {
  std::string text;
  bool guarantee_holds = false;
};

bool AllAtHead(World& world) {
  world.CatchUp();
  for (std::size_t i = 0; i < world.size(); ++i) {
    if (world.NodeAt(i).log.Number() != world.Head()) {
      return false;
    }
  }
  return true;
}

std::size_t TimesAccepted(const World& world, const std::string& id) {
  return world.AcceptedAs(PatchId(id)).size();
}

// Submits a patch with the fault, then the same patch on another node.
Observation Accept(Fault fault, std::size_t node) {
  World world = Prepare(3);
  Patch(world, 2, 1);  // nodes 0 and 1 have to read
  if (node == 0) {
    world.Read(0);
    world.Settle();
  }
  const VersionNumber base = world.Head();
  const std::size_t first = world.Submit(node, base, "p", "t", 7);
  InjectFault(world, node, fault);
  world.Settle();
  const auto outcome = world.AllSubmitted()[first].outcome;
  const std::size_t again = world.Submit(2, base, "p", "t", 7);
  world.Settle();
  world.CheckReplies();
  const bool all_at_head = world.Restored() || AllAtHead(world);
  const std::size_t times = TimesAccepted(world, "p");
  const std::string text = Text(outcome) + ", repeat " +
                           Text(world.AllSubmitted()[again].outcome) + ", " +
                           std::to_string(times) + " in the store";
  return {text, times <= 1 && all_at_head};
}

// Injects the fault into call number `step` of writing a due snapshot.
Observation Snapshot(Fault fault, std::size_t step) {
  World world = Prepare(19);
  world.Submit(0, world.Head(), "last", "t", 1);
  world.Resolve(0, CallOutcome::kAnswered);
  world.Advance(milliseconds(100));
  for (std::size_t i = 0; i < step && world.PendingCount() > 0; ++i) {
    world.Resolve(0, CallOutcome::kAnswered);
  }
  if (world.PendingCount() == 0) {
    return {"no such call", false};
  }
  InjectFault(world, 0, fault);
  world.Settle();
  if (!world.Restored()) {
    Patch(world, 2, 1);
  }
  world.Settle();
  world.Restart(1);
  const bool all_at_head = world.Restored() || AllAtHead(world);
  const VersionNumber snapshot = world.NodeAt(1).log.SnapshotNumber();
  const bool recent = world.Restored() || snapshot + 8 >= world.Head();
  return {std::string("fresh reader ") +
              (all_at_head ? "at the head" : "behind") + ", snapshot " +
              (recent ? "recent" : "old"),
          all_at_head && recent};
}

// Injects the fault into a reader's read: of patches, or with `fresh` of the
// snapshot too.
Observation Follow(Fault fault, bool fresh) {
  World world = Prepare(20);
  world.Read(1);
  if (fresh) {
    world.Resolve(0, CallOutcome::kAnswered);
    world.Read(1);
  }
  const VersionNumber before = world.NodeAt(1).log.Number();
  InjectFault(world, 1, fault);
  const VersionNumber after = world.NodeAt(1).log.Number();
  world.Settle();
  const bool all_at_head = world.Restored() || AllAtHead(world);
  return {std::string(after > before    ? "advanced"
                      : after == before ? "kept"
                                        : "went back or restarted") +
              (world.Restored() ? ", not led back" : ", then at the head"),
          all_at_head};
}

struct StepRow {
  std::string_view name;
  std::string_view guarantee;
  Observation (*run)(Fault);
};

constexpr std::string_view kAtMostOnce =
    "the patch at most once, each answer true";
constexpr std::string_view kAllReadable =
    "every version readable, a snapshot again";
constexpr std::string_view kNeverBack = "never back, at the head in the end";

constexpr StepRow kSteps[] = {
    {"accept: read", kAtMostOnce, [](Fault f) { return Accept(f, 1); }},
    {"accept: write", kAtMostOnce, [](Fault f) { return Accept(f, 0); }},
    {"snapshot: read", kAllReadable, [](Fault f) { return Snapshot(f, 0); }},
    {"snapshot: chunk", kAllReadable, [](Fault f) { return Snapshot(f, 1); }},
    {"snapshot: name", kAllReadable, [](Fault f) { return Snapshot(f, 2); }},
    {"snapshot: removal", kAllReadable, [](Fault f) { return Snapshot(f, 3); }},
    {"follow: read", kNeverBack, [](Fault f) { return Follow(f, false); }},
    {"follow: snapshot", kNeverBack, [](Fault f) { return Follow(f, true); }},
};

TEST_CASE(
    "every fault at every step keeps the guarantee, as docs/FAULTS.md lists") {
  std::ifstream file(FIGWELL_SOURCE_DIR "/docs/FAULTS.md");
  const std::string page(std::istreambuf_iterator<char>(file), {});
  std::string missing;
  for (const StepRow& step : kSteps) {
    for (const FaultRow& fault : kFaults) {
      const Observation observation = step.run(fault.fault);
      INFO(step.name << ", " << fault.name << ": " << observation.text);
      CHECK(observation.guarantee_holds);
      const std::string row =
          "| " + std::string(fault.name) + " | " + std::string(step.name) +
          " | " + std::string(step.guarantee) + " | " + observation.text +
          " | versions: fault_matrix_test |\n";
      if (page.find(row) == std::string::npos) {
        missing += row;
      }
    }
  }
  // Catch would wrap these lines, which are meant to be copied to the page.
  std::cerr << missing;
  CHECK(missing.empty());
}

}  // namespace
}  // namespace figwell::versions
