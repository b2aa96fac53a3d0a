#include "figwell/testing.h"
#include "request_world.h"

namespace figwell::routing {
namespace {

constexpr int kSequences = 3000;
constexpr int kMaxSteps = 400;

TEST_CASE("requests keep all guarantees under random faults") {
  std::map<std::string, int> seen;
  testing::CheckSequences(kSequences, [&] {
    const auto seed = *rc::gen::noShrink(
        rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
    const int steps =
        *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(1, kMaxSteps));
    RequestWorld world(seed);
    for (int i = 0; i < steps && world.Violations().empty(); ++i) {
      world.Step();
    }
    world.Settle();
    RC_ASSERT(world.Violations() == std::vector<std::string>());
    for (const auto& [what, times] : world.EventCounts()) {
      seen[what] += times;
    }
  });
  // Checks that the sequences covered every fault and outcome.
  for (const char* what : {"stage resolve",
                           "stage connect",
                           "stage first_byte_written",
                           "stage partly_written",
                           "stage written",
                           "stage answer_head",
                           "stage mid_answer",
                           "stage before_relay",
                           "then retry",
                           "then resume",
                           "then refuse_not_run",
                           "then refuse_unknown",
                           "then end_stream",
                           "then relay",
                           "claim dispatch",
                           "claim replay",
                           "claim unknown",
                           "claim conflict",
                           "claim not_run",
                           "claim expired",
                           "delayed store write",
                           "store answer lost",
                           "claim dispatched too late",
                           "event missing",
                           "answer crossed",
                           "executed under a claim",
                           "crashed between claim and dispatch",
                           "crashed between dispatch and answer"}) {
    CAPTURE(what);
    CHECK(seen[what] >= testing::ScaledSequences(kSequences) / 100);
  }
}

}  // namespace
}  // namespace figwell::routing
