#include "figwell/serving/request_quarantine.h"

#include <string>

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

constexpr std::uint64_t kSystem = 0xa;
constexpr std::uint64_t kBad = 0xbad;
constexpr int kCrashes = static_cast<int>(RequestQuarantine::kMinCrashes);

const ServiceId kEngines("models");
const ServiceId kDesks("desk");

CrashReport Crash(int server, TraitSet parts, std::int64_t started_ms = 1) {
  return {ServerId(std::to_string(server)),
          started_ms,
          kEngines,
          {0, std::move(parts)}};
}

// A crash of a server without an engine under this request.
CrashReport DeskCrash(int server, std::uint64_t fingerprint) {
  return {ServerId(std::to_string(server)), 1, kDesks, {fingerprint, {}}};
}

void Answer(RequestQuarantine& quarantine, TimePoint now, const TraitSet& parts,
            std::uint64_t times, const ServiceId& service = kEngines) {
  for (std::uint64_t i = 0; i < times; ++i) {
    CHECK(quarantine.OnAnswer(now, service, parts).entries.empty());
  }
}

// Evaluates once all reports of a crash at `now` have arrived.
std::optional<TraitSet> Evaluate(RequestQuarantine& quarantine, TimePoint now) {
  CHECK_FALSE(quarantine.EvaluateParts(now));
  return quarantine.EvaluateParts(now + RequestQuarantine::kReportTime);
}

// Enough crashes under kBad, a second apart; requests with the other parts
// are answered in between.
std::optional<TraitSet> CrashServers(RequestQuarantine& quarantine) {
  std::optional<TraitSet> quarantined;
  for (int i = 0; i < kCrashes; ++i) {
    CHECK_FALSE(quarantined);
    const TimePoint now = At(1'000 * i);
    const std::uint64_t topic = 0x10U + static_cast<std::uint64_t>(i);
    quarantine.OnCrash(now, Crash(i, {kSystem, kBad, topic}));
    Answer(quarantine, now, {kSystem, 0x10, 0x11, 0x12, 0x13}, 10);
    quarantined = Evaluate(quarantine, now);
  }
  return quarantined;
}

TEST_CASE("the last part of a prompt is not shared") {
  CHECK(SharedParts({}).empty());
  CHECK(SharedParts({{1, 10}}).empty());
  CHECK(SharedParts({{1, 10}, {2, 10}, {0, 10}, {3, 10}}) == TraitSet{1, 2});
}

TEST_CASE("a fingerprint tells requests apart by team, route, path and body") {
  const auto fingerprint = [](const char* team, const char* method,
                              const char* host, const char* target,
                              const char* body) {
    return RequestFingerprint(TeamId(team), method, host, target, body);
  };
  const std::set<std::uint64_t> different = {
      fingerprint("t", "GET", "h", "/p", ""),
      fingerprint("u", "GET", "h", "/p", ""),
      fingerprint("t", "POST", "h", "/p", ""),
      fingerprint("t", "GET", "i", "/p", ""),
      fingerprint("t", "GET", "h", "/p?q", ""),
      fingerprint("t", "GET", "h", "/p", "b"),
      fingerprint("t", "GET", "h", "/", "pb"),
      fingerprint("", "GET", "h", "/p", "")};
  CHECK(different.size() == 8);
  CHECK(different.contains(fingerprint("t", "GET", "h", "/p", "")));
}

TEST_CASE("a prompt has a bounded number of shared parts") {
  std::vector<PromptPart> parts;
  for (std::uint64_t id = 1; id <= 3 * kMaxSharedParts; ++id) {
    parts.push_back({id, 10});
  }
  const TraitSet shared = SharedParts(parts);
  CHECK(shared.size() == kMaxSharedParts);
  CHECK(*shared.rbegin() == kMaxSharedParts);
}

TEST_CASE("a part under which several servers crashed is quarantined") {
  RequestQuarantine quarantine;
  CHECK(CrashServers(quarantine) == TraitSet{kBad});
  CHECK(quarantine.FindEnd(At(4'000), {kSystem, kBad, 0x17}));
  CHECK_FALSE(quarantine.FindEnd(At(4'000), {kSystem, 0x10}));
}

TEST_CASE("a part of a minority of the crashes is not quarantined") {
  RequestQuarantine quarantine;
  for (int i = 0; i < 30; ++i) {
    const std::uint64_t part =
        i % 3 == 0 ? kBad : 0x100U + static_cast<std::uint64_t>(i);
    quarantine.OnCrash(At(400 * i), Crash(i, {part}));
    Answer(quarantine, At(400 * i), {kSystem}, 10);
    CHECK_FALSE(Evaluate(quarantine, At(400 * i)));
  }
}

TEST_CASE("an entry that was lifted elsewhere does not return by itself") {
  RequestQuarantine quarantine;
  CrashServers(quarantine);
  CHECK(quarantine.Remove({kBad}));
  CHECK_FALSE(Evaluate(quarantine, At(5'000)));
}

TEST_CASE("several reports of one crash count once") {
  RequestQuarantine quarantine;
  for (int i = 0; i < 5; ++i) {
    quarantine.OnCrash(At(1'000 * i), Crash(0, {kSystem, kBad}));
    Answer(quarantine, At(1'000 * i), {kSystem}, 10);
    CHECK_FALSE(Evaluate(quarantine, At(1'000 * i)));
  }
}

TEST_CASE("each start of a server can crash once") {
  RequestQuarantine quarantine;
  std::optional<TraitSet> quarantined;
  for (int i = 0; i < kCrashes; ++i) {
    quarantine.OnCrash(At(1'000 * i), Crash(0, {kBad}, i));
    Answer(quarantine, At(1'000 * i), {kSystem}, 10);
    quarantined = Evaluate(quarantine, At(1'000 * i));
  }
  CHECK(quarantined == TraitSet{kBad});
}

TEST_CASE("servers that fail together are not evidence against a part") {
  RequestQuarantine quarantine;
  Answer(quarantine, At(0), {kSystem}, 100);
  for (int i = 0; i < 20; ++i) {
    quarantine.OnCrash(At(i), Crash(i, {kSystem, 0x10}));
  }
  CHECK_FALSE(Evaluate(quarantine, At(20)));
}

TEST_CASE("no part is to blame while no request is answered") {
  RequestQuarantine quarantine;
  for (int i = 0; i < 20; ++i) {
    quarantine.OnCrash(At(500 * i), Crash(i, {kSystem, 0x10}));
    CHECK_FALSE(Evaluate(quarantine, At(500 * i)));
  }
}

TEST_CASE("answers of services without prompts do not show that engines work") {
  RequestQuarantine quarantine;
  for (int i = 0; i < 20; ++i) {
    quarantine.OnCrash(At(500 * i), Crash(i, {kSystem, 0x10}));
    Answer(quarantine, At(500 * i), {0x77}, 10, kDesks);
    CHECK_FALSE(Evaluate(quarantine, At(500 * i)));
  }
}

TEST_CASE("parts that always occur together are refused only together") {
  RequestQuarantine quarantine;
  std::optional<TraitSet> quarantined;
  for (int i = 0; i < kCrashes; ++i) {
    quarantine.OnCrash(At(1'000 * i), Crash(i, {kSystem, kBad}));
    Answer(quarantine, At(1'000 * i), {0x20}, 10);
    quarantined = Evaluate(quarantine, At(1'000 * i));
  }
  CHECK(quarantined == TraitSet{kSystem, kBad});
  CHECK(quarantine.FindEnd(At(4'000), {kSystem, kBad, 0x30}));
  CHECK_FALSE(quarantine.FindEnd(At(4'000), {kSystem, 0x30}));
  CHECK_FALSE(quarantine.FindEnd(At(4'000), {kBad}));
}

TEST_CASE("parts of different requests at one server are told apart") {
  RequestQuarantine quarantine;
  for (int i = 0; i < kCrashes; ++i) {
    quarantine.OnCrash(At(1'000 * i), Crash(i, {0x40}));
    quarantine.OnCrash(At(1'000 * i), Crash(i, {kBad}));
    Answer(quarantine, At(1'000 * i), {kSystem}, 10);
    CHECK_FALSE(Evaluate(quarantine, At(1'000 * i)));
  }
  quarantine.OnCrash(At(5'000), Crash(kCrashes, {kBad}));
  CHECK(Evaluate(quarantine, At(5'000)) == TraitSet{kBad});
}

TEST_CASE("an answer to a request with the part lifts its quarantine") {
  RequestQuarantine quarantine;
  CrashServers(quarantine);
  CHECK(quarantine.OnAnswer(At(4'100), kEngines, {kSystem}).entries.empty());
  CHECK(quarantine.OnAnswer(At(4'100), kEngines, {kSystem, kBad}).entries ==
        std::vector<TraitSet>{{kBad}});
  CHECK_FALSE(quarantine.FindEnd(At(4'100), {kBad}));
}

TEST_CASE("one more crash after a quarantine starts the next one") {
  RequestQuarantine quarantine;
  CrashServers(quarantine);
  const TimePoint end = *quarantine.FindEnd(At(4'000), {kBad});
  CHECK(end >= At(3'000) + RequestQuarantine::kQuarantineTime);
  CHECK_FALSE(quarantine.FindEnd(end, {kBad}));
  quarantine.OnCrash(end + seconds(5), Crash(9, {kBad}));
  CHECK(Evaluate(quarantine, end + seconds(5)) == TraitSet{kBad});
}

TEST_CASE("a second part is found while the first one is in quarantine") {
  RequestQuarantine quarantine;
  CrashServers(quarantine);
  std::optional<TraitSet> quarantined;
  for (int i = 0; i < kCrashes; ++i) {
    const TimePoint now = At(50'000 + 1'000 * i);
    quarantine.OnCrash(now, Crash(100 + i, {0xdead}));
    Answer(quarantine, now, {kSystem}, 10);
    quarantined = Evaluate(quarantine, now);
  }
  CHECK(quarantined == TraitSet{0xdead});
  CHECK(quarantine.size() == 2);
}

TEST_CASE("a request under which three servers crashed is quarantined") {
  RequestQuarantine quarantine;
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(quarantine.EvaluateRequest(At(500 * i), kBad));
    quarantine.OnCrash(At(500 * i), DeskCrash(i, kBad));
    quarantine.OnCrash(At(500 * i),
                       DeskCrash(i, 0x10U + static_cast<std::uint64_t>(i)));
    Answer(quarantine, At(500 * i), {0x50}, 10, kDesks);
  }
  CHECK_FALSE(quarantine.EvaluateRequest(At(1'000), 0x12));
  CHECK(quarantine.EvaluateRequest(At(1'000), kBad) == TraitSet{kBad});
  CHECK(quarantine.FindEnd(At(1'000), {kBad}));
  CHECK_FALSE(quarantine.FindEnd(At(1'000), {0x10}));
}

TEST_CASE("a request that was answered between crashes is not quarantined") {
  RequestQuarantine quarantine;
  for (int i = 0; i < 20; ++i) {
    quarantine.OnCrash(At(500 * i), DeskCrash(i, kBad));
    if (i % 2 == 1) {
      Answer(quarantine, At(500 * i), {kBad}, 1, kDesks);
    }
    Answer(quarantine, At(500 * i), {0x50}, 10, kDesks);
    CHECK_FALSE(quarantine.EvaluateRequest(At(500 * i), kBad));
  }
}

TEST_CASE("servers that fail together are not evidence against a request") {
  RequestQuarantine quarantine;
  for (int i = 0; i < 20; ++i) {
    quarantine.OnCrash(At(i), DeskCrash(i, kBad));
  }
  Answer(quarantine, At(20), {0x50}, 10, kDesks);
  CHECK_FALSE(quarantine.EvaluateRequest(At(20), kBad));
}

TEST_CASE("while a service answers nothing, only a sole suspect is to blame") {
  for (const bool sole : {true, false}) {
    RequestQuarantine quarantine;
    std::optional<TraitSet> quarantined;
    for (int i = 0; i < 12 && !quarantined; ++i) {
      const bool other = !sole && i % 2 == 1;
      quarantine.OnCrash(
          At(500 * i),
          DeskCrash(i, other ? 0x10U + static_cast<std::uint64_t>(i) : kBad));
      quarantined = quarantine.EvaluateRequest(At(500 * i), kBad);
    }
    CHECK(quarantined == (sole ? std::optional(TraitSet{kBad}) : std::nullopt));
  }
}

TEST_CASE("a part is not to blame for crashes under two requests") {
  RequestQuarantine quarantine;
  for (int i = 0; i < 4; ++i) {
    quarantine.OnCrash(At(500 * i),
                       {ServerId(std::to_string(i)),
                        1,
                        kEngines,
                        {i % 2 == 0 ? kBad : kBad + 1, {kSystem, 0x10}}});
    Answer(quarantine, At(500 * i), {0x50}, 10);
    CHECK_FALSE(Evaluate(quarantine, At(500 * i)));
  }
}

TEST_CASE("an answer names the suspects that it clears, for other instances") {
  RequestQuarantine quarantine;
  quarantine.OnCrash(At(0), {ServerId("s"), 1, kEngines, {7, {kSystem, 8}}});
  CHECK(quarantine.OnAnswer(At(1), kEngines, {6, 9}).suspects.empty());
  CHECK(quarantine.OnAnswer(At(1), kEngines, {6, kSystem}).suspects ==
        TraitSet{kSystem});
  CHECK(quarantine.OnAnswer(At(1), kEngines, {7, kSystem, 8}).suspects ==
        TraitSet{7, 8});
  CHECK(quarantine.OnAnswer(At(1), kEngines, {7, 8}).suspects.empty());
}

TEST_CASE("the shared parts of a request in quarantine stay served") {
  RequestQuarantine quarantine;
  for (int i = 0; i < 10; ++i) {
    quarantine.OnCrash(
        At(500 * i),
        {ServerId(std::to_string(i)), 1, kEngines, {kBad, {kSystem, 0x10}}});
    Answer(quarantine, At(500 * i), {0x50}, 10);
    quarantine.EvaluateRequest(At(500 * i), kBad);
    quarantine.EvaluateParts(At(500 * i) + RequestQuarantine::kReportTime);
  }
  CHECK(quarantine.FindEnd(At(5'000), {kBad, kSystem, 0x10}));
  CHECK_FALSE(quarantine.FindEnd(At(5'000), {kSystem, 0x10}));
}

TEST_CASE("entries from elsewhere are bounded and removable") {
  RequestQuarantine quarantine;
  CHECK_FALSE(quarantine.Add(At(0), {}));
  CHECK(quarantine.Add(At(0), {kBad}));
  CHECK_FALSE(quarantine.Add(At(1), {kBad}));
  CHECK(quarantine.Remove({kBad}));
  CHECK_FALSE(quarantine.Remove({kBad}));
  for (std::uint64_t i = 1; i <= 2 * RequestQuarantine::kMaxEntries; ++i) {
    quarantine.Add(At(0), {i});
  }
  CHECK(quarantine.size() == RequestQuarantine::kMaxEntries);
}

}  // namespace
}  // namespace figwell::serving
