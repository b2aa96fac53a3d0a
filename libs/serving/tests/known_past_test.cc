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

}  // namespace
}  // namespace figwell::serving
