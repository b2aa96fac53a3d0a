// Fleets of up to 810 members in virtual time.

#include "fleet.h"

#include "figwell/testing.h"

namespace figwell::peers {
namespace {

using std::chrono::milliseconds;

using std::chrono::seconds;

constexpr Duration kInForceTarget = seconds(7);
constexpr double kBytesTarget = 5'000;  // a second, per member

TEST_CASE("810 members apply a change within 7 s despite loss and duplicates") {
  Fleet fleet({.domains = 10,
               .members_per_domain = 81,
               .loss = 0.02,
               .repeat = 0.02,
               .payload_bytes = 128});
  fleet.RunFor(seconds(35));
  REQUIRE(fleet.AllAgree());
  fleet.ResetTraffic();
  constexpr int kChanges = 3;
  for (int i = 0; i < kChanges; ++i) {
    const auto number = fleet.Patch();
    fleet.RunFor(kInForceTarget);
    INFO("change " << number);
    CHECK(fleet.AllInForce(number));
    const auto times = fleet.TimesToForce(number);
    UNSCOPED_INFO("p50 " << times[times.size() / 2].count() << " max "
                         << times.back().count());
  }
  CHECK(fleet.faults().empty());
  const double member_seconds = 810.0 * 7 * kChanges;
  CHECK(static_cast<double>(fleet.traffic().bytes) / member_seconds <=
        kBytesTarget);
  // Only the 30 watchers read the store, every 3 s each.
  CHECK(fleet.watchers() == 30);
  CHECK(fleet.traffic().store_reads <= std::size_t{30} * 7 * kChanges / 3 + 30);
  CHECK(fleet.traffic().store_events == std::size_t{30} * kChanges);
}

TEST_CASE(
    "after a simultaneous start all members know each other within a second") {
  // Until then each member may spend only its share of the teams' limits, and
  // a refused caller retries after about a second.
  Fleet fleet({.domains = 5, .members_per_domain = 17, .loss = 0.01});
  fleet.HintAll();
  fleet.RunFor(seconds(1));
  CHECK(fleet.AllAgree());
  CHECK(fleet.faults().empty());
}

}  // namespace
}  // namespace figwell::peers
