#include "figwell/serving/summary.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

TimePoint At(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

const InstanceId kOne("one");
const InstanceId kTwo("two");
constexpr std::uint64_t kTeam = 7;

TEST_CASE("loads of a domain are summed over members with recent reports") {
  DomainSummary summary;
  const ServerId server("s");
  summary.OnMemberReport(At(0), kOne, 1, {{server, {2, milliseconds(30)}}}, {});
  summary.OnMemberReport(At(900), kTwo, 1, {{server, {1, milliseconds(10)}}},
                         {});
  const std::map<ServerId, PeerLoad> own = {{server, {4, milliseconds(5)}}};
  CHECK(summary.Loads(At(950), own).at(server) ==
        PeerLoad{7, milliseconds(45)});
  CHECK(summary.Loads(At(1'500), own).at(server) ==
        PeerLoad{5, milliseconds(15)});
}

TEST_CASE("charges of a domain never decrease") {
  DomainSummary summary;
  const auto total = [&] {
    return summary.Spending({{kTeam, 10, 0}})[0].spent;
  };
  summary.OnMemberReport(At(0), kOne, 1, {}, {{kTeam, 0, 0}});
  summary.OnMemberReport(At(0), kTwo, 1, {}, {{kTeam, 0, 0}});
  summary.OnMemberReport(At(0), kOne, 1, {}, {{kTeam, 100, 0}});
  summary.OnMemberReport(At(0), kTwo, 1, {}, {{kTeam, 50, 0}});
  CHECK(total() == 160);
  // A report that arrives out of order, or after a refund.
  summary.OnMemberReport(At(1), kOne, 1, {}, {{kTeam, 90, 0}});
  CHECK(total() == 160);
  summary.OnMemberReport(At(2), kOne, 1, {}, {{kTeam, 130, 0}});
  CHECK(total() == 190);
  // Counts start at 0 after a restart.
  summary.OnMemberReport(At(3), kOne, 2, {}, {{kTeam, 5, 0}});
  CHECK(total() == 195);
}

TEST_CASE("charges from before a member's first report are not counted") {
  // A delegate that just started receives reports of members that have been
  // running for hours.
  DomainSummary summary;
  const auto total = [&] {
    return summary.Spending({{kTeam, 10, 0}})[0].spent;
  };
  summary.OnMemberReport(At(0), kOne, 1, {}, {{kTeam, 9'000'000, 0}});
  CHECK(total() == 10);
  summary.OnMemberReport(At(200), kOne, 1, {}, {{kTeam, 9'000'400, 0}});
  CHECK(total() == 410);
}

TEST_CASE("charges of a member that was unreachable are counted once") {
  DomainSummary summary;
  const auto total = [&] {
    return summary.Spending({{kTeam, 10, 0}})[0].spent;
  };
  summary.OnMemberReport(At(0), kOne, 1, {}, {{kTeam, 9'000'000, 0}});
  summary.OnMemberReport(At(200), kOne, 1, {}, {{kTeam, 9'000'400, 0}});
  CHECK(total() == 410);
  summary.OnMemberReport(At(6'000), kOne, 1, {}, {{kTeam, 9'030'000, 0}});
  CHECK(total() == 30'010);
  CHECK(summary.Instances(At(6'000)) == 2);
  summary.OnMemberReport(At(6'200), kOne, 1, {}, {{kTeam, 9'030'100, 0}});
  CHECK(total() == 30'110);
}

TEST_CASE("earlier charges are not counted in any part of a member's report") {
  // A report on many teams is sent in parts, and the first copies of a part may
  // be lost.
  constexpr std::uint64_t kOtherTeam = 8;
  DomainSummary summary;
  const auto total = [&] {
    return summary.Spending({{kOtherTeam, 10, 0}})[0].spent;
  };
  summary.OnMemberReport(At(0), kOne, 1, {}, {{kTeam, 9'000'000, 0}});
  summary.OnMemberReport(At(200), kOne, 1, {}, {{kTeam, 9'000'100, 0}});
  summary.OnMemberReport(At(201), kOne, 1, {}, {{kOtherTeam, 5'000'000, 0}});
  CHECK(total() == 10);
  summary.OnMemberReport(At(400), kOne, 1, {}, {{kOtherTeam, 5'000'300, 0}});
  CHECK(total() == 310);
  // Counts of a team that is configured later start at 0 on all instances.
  constexpr std::uint64_t kNewTeam = 9;
  for (std::int64_t ms = 600; ms <= 2'000; ms += 200) {
    summary.OnMemberReport(At(ms), kOne, 1, {}, {{kTeam, 9'000'100, 0}});
  }
  summary.OnMemberReport(At(2'200), kOne, 1, {}, {{kNewTeam, 70, 0}});
  CHECK(summary.Spending({{kNewTeam, 0, 0}})[0].spent == 70);
}

TEST_CASE("sums cover the members with recent reports") {
  DomainSummary summary;
  CHECK(summary.Instances(At(0)) == 1);
  summary.OnMemberReport(At(0), kOne, 1, {}, {});
  summary.OnMemberReport(At(300), kTwo, 1, {}, {});
  CHECK(summary.Instances(At(0) + kPeerReportTimeout) == 3);
  CHECK(summary.Instances(At(1) + kPeerReportTimeout) == 2);
  CHECK(summary.Instances(At(300) + kPeerReportTimeout) == 2);
  CHECK(summary.Instances(At(301) + kPeerReportTimeout) == 1);
}

}  // namespace
}  // namespace figwell::serving
