// Every fault during every step. The rows are in docs/FAULTS.md, "Peers".

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "figwell/testing.h"
#include "fleet.h"

namespace figwell::peers {
namespace {

using std::chrono::seconds;

constexpr std::size_t kDomains = 3;
constexpr std::size_t kFaultedMember = 4;
constexpr Duration kStepDuration = std::chrono::milliseconds(30);
constexpr Duration kFaultDuration = seconds(25);
constexpr int kMaxConvergenceSeconds = 60;

struct Fault {
  const char* name;
  FleetOptions options;
  void (*inject)(Fleet&);
};

struct Step {
  const char* name;
  void (*execute)(Fleet&);
  const char* expected;
  std::size_t expected_denials;
};

const Digest kKey = Sha256("key");

void NoFault(Fleet& /*fleet*/) {}

FleetOptions Options() {
  return {.domains = kDomains, .members_per_domain = 3};
}

FleetOptions WithLoss() {
  FleetOptions options = Options();
  options.loss = 0.25;
  return options;
}

FleetOptions WithDuplicates() {
  FleetOptions options = Options();
  options.repeat = 0.5;
  return options;
}

FleetOptions WithDelays() {
  FleetOptions options = Options();
  options.max_latency = std::chrono::milliseconds(400);
  return options;
}

const std::vector<Fault> kFaults = {
    {"none", Options(), NoFault},
    {"a quarter of the datagrams lost", WithLoss(), NoFault},
    {"half of the datagrams repeated", WithDuplicates(), NoFault},
    {"delays up to 400 ms, out of order", WithDelays(), NoFault},
    {"a member killed", Options(), [](Fleet& f) { f.Kill(kFaultedMember); }},
    {"a member restarted", Options(),
     [](Fleet& f) { f.Restart(kFaultedMember); }},
    {"a member restarted, its clock behind", Options(),
     [](Fleet& f) { f.Restart(kFaultedMember, /*clock_went_back=*/true); }},
    {"a member paused for 20 s", Options(),
     [](Fleet& f) { f.Pause(kFaultedMember, seconds(20)); }},
    {"a domain cut off", Options(),
     [](Fleet& f) {
       for (std::size_t i = 0; i < f.size(); ++i) {
         f.SetPartition(i, f.domain(i) == 1 ? 1 : 0);
       }
     }},
    {"the store away for a domain", Options(),
     [](Fleet& f) {
       for (std::size_t i = 0; i < f.size(); ++i) {
         f.SetStoreUnreachable(i, f.domain(i) == 1);
       }
     }},
    {"the store down", Options(), [](Fleet& f) { f.SetStoreDown(true); }},
};

const std::vector<Step> kSteps = {
    {"a change spreads", [](Fleet& f) { f.Patch(); },
     "in force everywhere, never back", 0},
    {"a denial spreads", [](Fleet& f) { f.Deny(0, kKey); },
     "denied everywhere, not lost", 1},
    {"a withdrawal clears a denial",
     [](Fleet& f) {
       f.Deny(0, kKey);
       f.RunFor(seconds(2));
       f.Withdraw(kKey);
       f.Patch();
     },
     "in force everywhere, the denial gone", 0},
    {"a member joins", [](Fleet& f) { f.Add(1); },
     "known to all, ready, up to date", 0},
    {"a member leaves", [](Fleet& f) { f.Leave(1); },
     "gone for all, no one else given up", 0},
};

void Repair(Fleet& fleet) {
  fleet.SetStoreDown(false);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.SetPartition(i, 0);
    fleet.SetStoreUnreachable(i, false);
  }
}

bool HasConverged(const Fleet& fleet, std::size_t denials) {
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (fleet.running(i) && (!fleet.agent(i).caught_up() ||
                             fleet.agent(i).denials().size() != denials)) {
      return false;
    }
  }
  return fleet.AllAgree() && fleet.AllInForce(fleet.head());
}

/** Prints a row for docs/FAULTS.md if FIGWELL_PRINT_FAULTS is set. */
void PrintRow(const Fault& fault, const Step& step, int converged_after) {
  if (std::getenv("FIGWELL_PRINT_FAULTS") != nullptr) {
    std::printf("| %s | %s | %s | held, %d s after the repair |\n", fault.name,
                step.name, step.expected, converged_after);
  }
}

TEST_CASE("fault matrix: the fleet converges after every fault at every step") {
  for (const Fault& fault : kFaults) {
    for (const Step& step : kSteps) {
      INFO(fault.name << " while " << step.name);
      Fleet fleet(fault.options);
      fleet.RunFor(seconds(10));
      fleet.Issue(kKey);
      fleet.Patch();
      fleet.RunFor(seconds(10));
      step.execute(fleet);
      fleet.RunFor(kStepDuration);
      fault.inject(fleet);
      fleet.RunFor(kFaultDuration);
      // Members 0 and 3 can reach each other during every fault.
      CHECK(fleet.agent(0).relay().in_force() ==
            fleet.agent(3).relay().in_force());
      CHECK(fleet.agent(0).denials().hash() == fleet.agent(3).denials().hash());
      Repair(fleet);
      int converged_after = 0;
      while (!HasConverged(fleet, step.expected_denials) &&
             converged_after < kMaxConvergenceSeconds) {
        fleet.RunFor(seconds(1));
        ++converged_after;
      }
      CHECK(converged_after < kMaxConvergenceSeconds);
      CHECK(fleet.faults().empty());
      PrintRow(fault, step, converged_after);
    }
  }
}

TEST_CASE("FAULTS.md has a row for each fault and step of the matrix") {
  std::ifstream file(std::string(FIGWELL_SOURCE_DIR) + "/docs/FAULTS.md");
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  for (const Fault& fault : kFaults) {
    for (const Step& step : kSteps) {
      const std::string row =
          "| " + std::string(fault.name) + " | " + step.name + " |";
      INFO(row);
      CHECK(page.find(row) != std::string::npos);
    }
  }
}

}  // namespace
}  // namespace figwell::peers
