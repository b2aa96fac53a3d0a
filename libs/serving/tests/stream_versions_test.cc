#include "figwell/serving/stream_versions.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr VersionHash kOld = 1;
constexpr VersionHash kNew = 2;
constexpr Duration kRetention = StreamVersions::kRetention;
const ServiceId kModels("models");

TimePoint At(int s) { return TimePoint(seconds(s)); }

TEST_CASE("with a single version, any stream goes on at it") {
  StreamVersions versions;
  CHECK(versions.OnServer(At(0), kModels, kOld));
  CHECK_FALSE(versions.OnServer(At(1), kModels, kOld));
  CHECK(versions.Find(At(2), kModels, 7) == kOld);
  CHECK_FALSE(versions.Find(At(2), ServiceId("other"), 7));
}

TEST_CASE("with several versions, a stream goes on where it began") {
  StreamVersions versions;
  versions.OnServer(At(0), kModels, kOld);
  versions.OnServer(At(0), kModels, kNew);
  versions.OnBegan(At(1), kModels, 7, kOld);
  versions.OnBeganElsewhere(At(1), 8, kNew);
  CHECK(versions.Find(At(2), kModels, 7) == kOld);
  CHECK(versions.Find(At(2), kModels, 8) == kNew);
  CHECK_FALSE(versions.Find(At(2), kModels, 9));
}

TEST_CASE("a version that has left is remembered, also after a restart") {
  for (const bool restarted : {false, true}) {
    StreamVersions versions;
    if (restarted) {
      versions.OnRecord(At(0), kModels, {kOld, kNew});
    } else {
      versions.OnServer(At(0), kModels, kOld);
    }
    versions.OnServer(At(0), kModels, kNew);
    versions.OnServer(At(60), kModels, kNew);
    CHECK(versions.IsMixed(At(60), kModels));
    CHECK_FALSE(versions.Find(At(60), kModels, 7));
    versions.OnServer(At(0) + kRetention, kModels, kNew);
    CHECK(versions.Find(At(0) + kRetention, kModels, 7) == kNew);
  }
}

TEST_CASE("a record does not prolong the memory of a version") {
  StreamVersions versions;
  versions.OnRecord(At(0), kModels, {kOld});
  versions.OnRecord(At(60), kModels, {kOld});
  CHECK(versions.Versions(At(0) + kRetention, kModels).empty());
}

TEST_CASE("incomplete streams that began here are listed by version") {
  StreamVersions versions;
  versions.OnBegan(At(0), kModels, 7, kOld);
  versions.OnBegan(At(1), kModels, 8, kNew);
  versions.OnBegan(At(1), kModels, 9, kNew);
  versions.OnBegan(At(1), ServiceId("other"), 10, kNew);
  versions.OnBeganElsewhere(At(1), 11, kOld);
  versions.OnCompleted(9);
  CHECK(
      versions.OwnIncomplete(At(2), kModels) ==
      std::map<VersionHash, std::vector<StreamHash>>{{kOld, {7}}, {kNew, {8}}});
  CHECK(versions.OwnIncomplete(At(0) + kRetention, kModels).size() == 1);
}

TEST_CASE("the first statement about a stream holds") {
  StreamVersions versions;
  versions.OnBeganElsewhere(At(0), 7, kOld);
  versions.OnBegan(At(1), kModels, 7, kNew);
  CHECK(versions.Find(At(2), kModels, 7) == kOld);
}

TEST_CASE("streams are forgotten with time, and beyond a number") {
  StreamVersions versions;
  versions.OnServer(At(0), kModels, kOld);
  versions.OnServer(At(0), kModels, kNew);
  for (StreamHash stream = 1; stream <= StreamVersions::kMaxStreams + 1;
       ++stream) {
    versions.OnBeganElsewhere(At(0), stream, kOld);
  }
  CHECK(versions.size() == StreamVersions::kMaxStreams);
  CHECK_FALSE(versions.Find(At(1), kModels, 1));
  CHECK(versions.Find(At(1), kModels, 2) == kOld);
  versions.OnBeganElsewhere(At(0) + kRetention, 1, kNew);
  CHECK(versions.size() == 1);
}

}  // namespace
}  // namespace figwell::serving
