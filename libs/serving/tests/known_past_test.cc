#include "figwell/serving/known_past.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

constexpr store::Era kEra = 3;
constexpr Duration kRewriteTime = KnownPast::kRewriteTime;

TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

TEST_CASE("before the store has answered, it is not known to be complete") {
  KnownPast past;
  CHECK_FALSE(past.IsStoreComplete(At(100'000)));
  CHECK_FALSE(past.CompleteFrom());
}

TEST_CASE("a process that starts takes the store for complete once it can be") {
  KnownPast past;
  past.OnEra(At(1'000), kEra);
  CHECK_FALSE(past.IsStoreComplete(At(1'000) + kRewriteTime - Duration(1)));
  CHECK(past.IsStoreComplete(At(1'000) + kRewriteTime));
}

TEST_CASE("a recorded era is complete for those that start in it") {
  KnownPast past;
  past.OnRecordedEra(kEra);
  past.OnEra(At(1'000), kEra);
  CHECK(past.IsStoreComplete(At(1'000)));
  CHECK(past.IsEraRecorded());
}

TEST_CASE("a record of an earlier era says nothing") {
  KnownPast past;
  past.OnRecordedEra(kEra - 1);
  past.OnEra(At(1'000), kEra);
  CHECK_FALSE(past.IsEraRecorded());
  CHECK_FALSE(past.IsStoreComplete(At(1'000)));
}

TEST_CASE("each restore begins the time anew") {
  KnownPast past;
  past.OnEra(At(0), kEra);
  past.OnRecordedEra(kEra);
  past.OnEra(At(60'000), kEra);  // the same era is no restore
  CHECK(past.IsStoreComplete(At(60'000)));
  past.OnEra(At(60'000), kEra + 1);
  CHECK_FALSE(past.IsStoreComplete(At(60'000)));
  past.OnEra(At(61'000), kEra + 2);
  CHECK_FALSE(past.IsStoreComplete(At(60'000) + kRewriteTime));
  CHECK(past.IsStoreComplete(At(61'000) + kRewriteTime));
}

TEST_CASE("earlier starts are unknown before the registry was followed") {
  KnownPast past;
  CHECK(past.LatestUnknownOrder(At(5'000), milliseconds(0)) == At(5'000));
  past.OnRegistryGap(At(3'000));
  CHECK(past.LatestUnknownOrder(At(5'000), milliseconds(0)) == At(3'000));
  CHECK(past.LatestUnknownOrder(At(5'000), std::nullopt) == At(3'000));
  past.OnRegistryGap(At(4'000));
  CHECK(past.LatestUnknownOrder(At(5'000), milliseconds(0)) == At(4'000));
}

TEST_CASE("orders to an earlier start were sent before the current one") {
  KnownPast past;
  past.OnRegistryGap(At(100'000));
  CHECK(past.LatestUnknownOrder(At(100'000), milliseconds(60'000)) ==
        At(40'000) + KnownPast::kMaxClockError);
  // The server's time of day is ahead.
  CHECK(past.LatestUnknownOrder(At(100'000), milliseconds(-60'000)) ==
        At(100'000));
}

TEST_CASE("where no instance had led there is no unknown order") {
  KnownPast past;
  past.OnRegistryGap(At(3'000));
  past.OnNoOrdersBefore(At(3'100));
  CHECK_FALSE(past.LatestUnknownOrder(At(5'000), milliseconds(0)));
  past.OnRegistryGap(At(9'000));
  CHECK(past.LatestUnknownOrder(At(9'500), milliseconds(0)) == At(9'000));
}

}  // namespace
}  // namespace figwell::serving
