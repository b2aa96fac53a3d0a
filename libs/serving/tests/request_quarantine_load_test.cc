// Played load: instances that share servers, sound requests with shared parts,
// a part or a request that crashes servers, and servers that fail for other
// reasons.

#include <array>
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
// The users' bounds: from kContact after the fifth crash under a part, or the
// third under a request that comes again, at most kMaxLate more arrive.
constexpr std::size_t kCrashesOfPart = 5;
constexpr std::size_t kCrashesOfRequest = 3;
constexpr Duration kContact = seconds(3);
constexpr std::size_t kMaxLate = 3;

const ServiceId kEngines("models");

struct Request {
  TimePoint answered_at;
  std::size_t instance = 0;
  std::uint64_t server = 0;
  SuspectRequest identity;
  bool lethal = false;
};

class Fleet {
 public:
  explicit Fleet(std::uint64_t seed) : random_(seed) {}

  // Sends a request to a random server that runs, unless its instance refuses
  // it.
  void Send(const SuspectRequest& identity, bool lethal) {
    const std::size_t instance = random_.Below(kInstances);
    if (instances_[instance].FindEnd(now_, identity.Traits())) {
      ++refused_;
      sound_refused_ += lethal ? 0 : 1;
      return;
    }
    const std::uint64_t server = random_.Below(kServers);
    if (down_until_[server] > now_) {
      return;
    }
    if (lethal) {
      lethal_sent_.push_back(now_);
    }
    running_.push_back(
        {now_ + kAnswerTime, instance, server, identity, lethal});
  }
  void SendSound(const TraitSet& parts) {
    Send({++last_fingerprint_, parts}, false);
  }
  void SendLethalPart() {
    TraitSet parts = Topic();
    parts.insert(kBad);
    Send({++last_fingerprint_, parts}, true);
  }
  void SendLethalRequest(const SuspectRequest& identity) {
    Send(identity, true);
  }

  // Ends a server process; all instances learn which requests were waiting.
  void CrashServer(std::uint64_t server) {
    const std::int64_t start = ++starts_;
    down_until_[server] = now_ + down_time_;
    std::deque<Request> others;
    for (const Request& request : running_) {
      if (request.server != server) {
        others.push_back(request);
        continue;
      }
      for (RequestQuarantine& instance : instances_) {
        instance.OnCrash(now_, {ServerId(std::to_string(server)), start,
                                kEngines, request.identity});
        AddToAll(instance.EvaluateRequest(now_, request.identity.fingerprint));
      }
    }
    running_ = std::move(others);
  }

  void Tick() {
    now_ += kTick;
    while (!running_.empty() && running_.front().answered_at <= now_) {
      const Request request = running_.front();
      if (request.lethal) {
        crashes_.push_back(now_);
        CrashServer(request.server);
        continue;
      }
      running_.pop_front();
      const auto refuted = instances_[request.instance].OnAnswer(
          now_, kEngines, request.identity.Traits());
      for (RequestQuarantine& other : instances_) {
        if (!refuted.suspects.empty()) {
          other.OnAnswer(now_, kEngines, refuted.suspects);
        }
        for (const TraitSet& lifted : refuted.entries) {
          other.Remove(lifted);
        }
      }
    }
    for (RequestQuarantine& instance : instances_) {
      AddToAll(instance.EvaluateParts(now_));
    }
  }

  bool Happens(double per_second) {
    return random_.Unit() <
           per_second * std::chrono::duration<double>(kTick).count();
  }
  TraitSet Topic() { return {kSystem, kFirstTopic + random_.Below(kTopics)}; }
  std::uint64_t AnyServer() { return random_.Below(kServers); }
  TimePoint now() const { return now_; }
  void SetDownTime(Duration down_time) { down_time_ = down_time; }
  /** Lethal requests sent later than kContact after crash number `crashes`. */
  std::size_t CountLate(std::size_t crashes) const {
    if (crashes_.size() < crashes) {
      return 0;
    }
    const TimePoint bound = crashes_[crashes - 1] + kContact;
    return static_cast<std::size_t>(
        std::count_if(lethal_sent_.begin(), lethal_sent_.end(),
                      [&](TimePoint at) { return at > bound; }));
  }
  std::size_t refused() const { return refused_; }
  std::size_t sound_refused() const { return sound_refused_; }

 private:
  void AddToAll(const std::optional<TraitSet>& entry) {
    for (RequestQuarantine& instance : instances_) {
      if (entry) {
        instance.Add(now_, *entry);
      }
    }
  }

  static constexpr std::uint64_t kServers = 18;

  Random random_;
  TimePoint now_{};
  std::array<RequestQuarantine, kInstances> instances_;
  std::deque<Request> running_;
  std::vector<TimePoint> lethal_sent_;
  /** When servers crashed under lethal requests. */
  std::vector<TimePoint> crashes_;
  std::array<TimePoint, kServers> down_until_{};
  Duration down_time_{0};
  std::uint64_t last_fingerprint_ = 0x10000;
  std::size_t refused_ = 0;
  std::size_t sound_refused_ = 0;
  std::int64_t starts_ = 0;
};

/** Requests and crashes per second. */
struct Load {
  double sound = 70;
  double bad_part = 0;
  /** Requests that crash servers, each sent at `bad_requests` per second. */
  std::vector<SuspectRequest> lethal{};
  double bad_requests = 0;
  double crashes = 0;  ///< for other reasons
  double racks = 0;    ///< crashes of five servers at once
};

void Play(Fleet& fleet, const Load& load) {
  constexpr int kRackServers = 5;
  while (fleet.now() < TimePoint(seconds(60))) {
    fleet.Tick();
    if (fleet.Happens(load.sound)) {
      fleet.SendSound(fleet.Topic());
    }
    const bool begun = fleet.now() >= TimePoint(seconds(10));
    if (begun && fleet.Happens(load.bad_part)) {
      fleet.SendLethalPart();
    }
    for (const SuspectRequest& request : load.lethal) {
      if (begun && fleet.Happens(load.bad_requests)) {
        fleet.SendLethalRequest(request);
      }
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

TEST_CASE("a crashing part is refused in time and sound requests are not") {
  for (const double other_crashes : {0.0, 0.3}) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      CAPTURE(seed, other_crashes);
      Fleet fleet(seed);
      Play(fleet, {.bad_part = 1.5, .crashes = other_crashes});
      CHECK(fleet.CountLate(kCrashesOfPart) <= kMaxLate);
      CHECK(fleet.refused() > 0);
      CHECK(fleet.sound_refused() == 0);
    }
  }
}

TEST_CASE("a request that crashes servers is refused and its parts are not") {
  const std::vector<SuspectRequest> kinds = {{kBad, {}},
                                             {kBad, {kSystem, kFirstTopic}}};
  for (const SuspectRequest& lethal : kinds) {
    for (const double per_second : {0.3, 2.0, 10.0}) {
      for (const double other_crashes : {0.0, 0.3}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
          CAPTURE(seed, per_second, other_crashes, lethal.parts.size());
          Fleet fleet(seed);
          fleet.SetDownTime(seconds(2));
          Play(fleet, {.lethal = {lethal},
                       .bad_requests = per_second,
                       .crashes = other_crashes});
          CHECK(fleet.CountLate(kCrashesOfRequest) <= kMaxLate);
          CHECK(fleet.sound_refused() == 0);
        }
      }
    }
  }
}

TEST_CASE("a part of two requests that crash servers stays served") {
  const TraitSet parts = {kSystem, kFirstTopic};
  for (const double per_second : {0.3, 1.25, 10.0}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(seed, per_second);
      Fleet fleet(seed);
      fleet.SetDownTime(seconds(2));
      Play(fleet, {.lethal = {{kBad, parts}, {kBad + 1, parts}},
                   .bad_requests = per_second});
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
