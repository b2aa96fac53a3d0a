#include "figwell/serving/follower_selection.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

TimePoint At(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

InstanceId Instance(int number) {
  return InstanceId(std::string("i").append(std::to_string(100 + number)));
}

// The other members of a domain of ten, as seen by its last member.
std::set<InstanceId> OtherNineMembers() {
  std::set<InstanceId> members;
  for (int i = 0; i < 9; ++i) {
    members.insert(Instance(i));
  }
  return members;
}

// Delivers a report of one member every 100 ms.
void ReportPeriodically(FollowerSelection& selection, int member, bool follows,
                        std::int64_t from_ms, std::int64_t to_ms) {
  for (std::int64_t ms = from_ms; ms <= to_ms; ms += 100) {
    selection.OnMemberReport(At(ms), Instance(member), follows);
  }
}

TEST_CASE("all instances of a small domain follow the store") {
  FollowerSelection selection(Instance(9));
  ReportPeriodically(selection, 0, true, 0, 10'000);
  CHECK(selection.ShouldFollow(At(10'000),
                               {Instance(0), Instance(1), Instance(2)}));
}

TEST_CASE("the first two instances of a large domain follow the store") {
  FollowerSelection second(Instance(1));
  ReportPeriodically(second, 0, true, 0, 10'000);
  std::set<InstanceId> members = OtherNineMembers();
  members.erase(Instance(1));
  CHECK(second.ShouldFollow(At(10'000), members));
}

TEST_CASE("other instances stop once a follower has followed for long enough") {
  FollowerSelection selection(Instance(9));
  CHECK(selection.ShouldFollow(At(0), OtherNineMembers()));
  ReportPeriodically(selection, 0, true, 0, 1'400);
  CHECK(selection.ShouldFollow(At(1'400), OtherNineMembers()));
  ReportPeriodically(selection, 0, true, 1'500, 1'600);
  CHECK_FALSE(selection.ShouldFollow(At(1'600), OtherNineMembers()));
}

TEST_CASE("an instance follows the store once no follower reports") {
  FollowerSelection selection(Instance(9));
  ReportPeriodically(selection, 0, true, 0, 4'000);
  CHECK_FALSE(selection.ShouldFollow(At(4'000), OtherNineMembers()));
  SECTION("because its reports stopped") {
    CHECK_FALSE(selection.ShouldFollow(At(4'600), OtherNineMembers()));
    CHECK(selection.ShouldFollow(At(4'800), OtherNineMembers()));
  }
  SECTION("because it does not reach the store") {
    selection.OnMemberReport(At(4'100), Instance(0), false);
    CHECK(selection.ShouldFollow(At(4'100), OtherNineMembers()));
    // This instance continues until the other one has followed for some time.
    ReportPeriodically(selection, 0, true, 4'200, 5'600);
    CHECK(selection.ShouldFollow(At(5'600), OtherNineMembers()));
    ReportPeriodically(selection, 0, true, 5'700, 5'800);
    CHECK_FALSE(selection.ShouldFollow(At(5'800), OtherNineMembers()));
  }
  SECTION("but not while another follower reports") {
    ReportPeriodically(selection, 1, true, 0, 4'000);
    selection.OnMemberReport(At(4'100), Instance(0), false);
    CHECK_FALSE(selection.ShouldFollow(At(4'100), OtherNineMembers()));
  }
}

TEST_CASE("an instance with a stale view follows the store for a while") {
  FollowerSelection selection(Instance(9));
  ReportPeriodically(selection, 0, true, 0, 4'000);
  selection.OnStaleView(At(4'000));
  CHECK(selection.ShouldFollow(At(4'000), OtherNineMembers()));
  ReportPeriodically(selection, 0, true, 4'100, 12'100);
  CHECK_FALSE(selection.ShouldFollow(At(12'100), OtherNineMembers()));
}

}  // namespace
}  // namespace figwell::serving
