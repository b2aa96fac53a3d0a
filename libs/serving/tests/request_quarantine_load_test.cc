// Played load: instances that share servers, sound requests with shared parts,
// one part that crashes servers, and servers that fail for other reasons.

#include <deque>

#include "figwell/serving/request_quarantine.h"
#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 9;
constexpr std::uint64_t kSystem = 0xa;
constexpr std::uint64_t kBad = 0xbad;
constexpr std::uint64_t kTopics = 75;
constexpr std::uint64_t kFirstTopic = 0x100;
constexpr Duration kTick = milliseconds(10);
constexpr Duration kAnswerTime = milliseconds(150);
// The users' bound: from kContact after the fifth crash, at most kMaxLate more
// requests with the part.
constexpr std::size_t kCrashes = 5;
constexpr Duration kContact = seconds(3);
constexpr std::size_t kMaxLate = 3;

struct Request {
  TimePoint answered_at;
  std::size_t instance = 0;
  std::uint64_t server = 0;
  TraitSet parts;
};

class Fleet {
 public:
  explicit Fleet(std::uint64_t seed) : random_(seed) {}

  // Sends a request to a random server, unless its instance refuses it.
  void Send(const TraitSet& parts) {
    const std::size_t instance = random_.Below(kInstances);
    if (instances_[instance].FindEnd(now_, parts)) {
      ++refused_;
      sound_refused_ += parts.contains(kBad) ? 0 : 1;
      return;
    }
    const std::uint64_t server = random_.Below(kServers);
    if (parts.contains(kBad)) {
      bad_sent_.push_back(now_);
    }
    running_.push_back({now_ + kAnswerTime, instance, server, parts});
  }

  // Ends a server process; all instances learn which requests were waiting.
  void CrashServer(std::uint64_t server) {
    const std::int64_t start = ++starts_;
    std::deque<Request> others;
    for (const Request& request : running_) {
      if (request.server != server) {
        others.push_back(request);
        continue;
      }
      for (RequestQuarantine& instance : instances_) {
        instance.OnCrash(
            now_, {ServerId(std::to_string(server)), start, request.parts});
      }
    }
    running_ = std::move(others);
  }

  void Tick() {
    now_ += kTick;
    while (!running_.empty() && running_.front().answered_at <= now_) {
      const Request request = running_.front();
      if (request.parts.contains(kBad)) {
        CrashServer(request.server);
        continue;
      }
      running_.pop_front();
      for (const TraitSet& lifted :
           instances_[request.instance].OnAnswer(now_, request.parts)) {
        for (RequestQuarantine& other : instances_) {
          other.Remove(lifted);
        }
      }
    }
    for (RequestQuarantine& instance : instances_) {
      if (const auto parts = instance.Evaluate(now_)) {
        for (RequestQuarantine& other : instances_) {
          other.Add(now_, *parts);
        }
      }
    }
  }

  bool Happens(double per_second) {
    return random_.Unit() <
           per_second * std::chrono::duration<double>(kTick).count();
  }
  TraitSet Topic() { return {kSystem, kFirstTopic + random_.Below(kTopics)}; }
  std::uint64_t AnyServer() { return random_.Below(kServers); }
  TimePoint now() const { return now_; }
  const std::vector<TimePoint>& bad_sent() const { return bad_sent_; }
  std::size_t refused() const { return refused_; }
  std::size_t sound_refused() const { return sound_refused_; }

 private:
  static constexpr std::uint64_t kServers = 18;

  Random random_;
  TimePoint now_{};
  std::array<RequestQuarantine, kInstances> instances_;
  std::deque<Request> running_;
  std::vector<TimePoint> bad_sent_;
  std::size_t refused_ = 0;
  std::size_t sound_refused_ = 0;
  std::int64_t starts_ = 0;
};

/** Requests and crashes per second. */
struct Load {
  double sound = 70;
  double bad = 0;
  double crashes = 0;  ///< for other reasons
  double racks = 0;    ///< crashes of five servers at once
};

void Play(Fleet& fleet, const Load& load) {
  constexpr int kRackServers = 5;
  while (fleet.now() < TimePoint(seconds(60))) {
    fleet.Tick();
    if (fleet.Happens(load.sound)) {
      fleet.Send(fleet.Topic());
    }
    if (fleet.now() >= TimePoint(seconds(10)) && fleet.Happens(load.bad)) {
      TraitSet parts = fleet.Topic();
      parts.insert(kBad);
      fleet.Send(parts);
    }
    if (fleet.Happens(load.crashes)) {
      fleet.CrashServer(fleet.AnyServer());
    }
    if (fleet.Happens(load.racks)) {
      for (int i = 0; i < kRackServers; ++i) {
        fleet.CrashServer(fleet.AnyServer());
      }
    }
  }
}

std::size_t CountLate(const std::vector<TimePoint>& bad_sent) {
  if (bad_sent.size() < kCrashes) {
    return 0;
  }
  const TimePoint bound = bad_sent[kCrashes - 1] + kAnswerTime + kContact;
  return static_cast<std::size_t>(
      std::count_if(bad_sent.begin(), bad_sent.end(),
                    [&](TimePoint at) { return at > bound; }));
}

TEST_CASE("a crashing part is refused in time and sound requests are not") {
  for (const double other_crashes : {0.0, 0.3}) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      CAPTURE(seed, other_crashes);
      Fleet fleet(seed);
      Play(fleet, {.bad = 1.5, .crashes = other_crashes});
      CHECK(CountLate(fleet.bad_sent()) <= kMaxLate);
      CHECK(fleet.refused() > 0);
      CHECK(fleet.sound_refused() == 0);
    }
  }
}

TEST_CASE("no sound request is refused when servers fail for other reasons") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    Fleet fleet(seed);
    Play(fleet, {.crashes = 1.5, .racks = 0.1});
    CHECK(fleet.refused() == 0);
  }
}

}  // namespace
}  // namespace figwell::serving
