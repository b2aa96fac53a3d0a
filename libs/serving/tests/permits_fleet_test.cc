// Simulates a large fleet whose callers request several times what one server,
// the only one with their model, accepts. Messages between instances are lost
// now and then, and the server's arbiter dies without notice.

#include <functional>
#include <string>
#include <vector>

#include "charges.h"
#include "figwell/serving/permits.h"
#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDomains = 10;
constexpr std::size_t kInstances = 95;
constexpr double kLimit = 1.6;
constexpr double kRequestsPerSecond = 8;
constexpr Duration kLatencyTarget = milliseconds(800);
constexpr Duration kReplyTimeout = milliseconds(150);
constexpr double kLossRatio = 0.03;
// Until an instance that has died is no longer selected.
constexpr Duration kDetectionTime = milliseconds(1'500);
constexpr Duration kStep = milliseconds(1);
// The users' bound: one and a half times the limit plus 5 in four seconds.
constexpr Duration kBoundWindow = seconds(4);
constexpr double kMaxRequests = 1.5 * kLimit * 4 + 5;

const ServerId kServer("s");
const DomainId kServerDomain("d0");

std::string Name(const char* prefix, std::size_t number) {
  return std::string(prefix).append(std::to_string(number));
}

class LimitedFleet {
 public:
  explicit LimitedFleet(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      alive_.emplace(InstanceId(Name("i", i)),
                     DomainId(Name("d", i % kDomains)));
    }
  }

  void RunUntil(TimePoint end) {
    for (; now_ < end; now_ += kStep) {
      if (random_.Unit() < kRequestsPerSecond * 1e-3) {
        Ask(now_, 0);
      }
      for (; !events_.empty() && events_.begin()->first <= now_;
           events_.erase(events_.begin())) {
        events_.begin()->second();
      }
    }
  }

  /** Kills the arbiter; its successor does not know what it has granted. */
  void KillArbiter() {
    const InstanceId arbiter = Arbiter();
    dead_.insert(arbiter);
    events_.emplace(now_ + kDetectionTime,
                    [this, arbiter] { alive_.erase(arbiter); });
  }

  /** Requests that reached the server, each counted as 1. */
  const Charges& arrivals() const { return arrivals_; }
  /** Requests that were refused, each counted as 1. */
  const Charges& refusals() const { return refusals_; }
  /** The longest time from a request to its sending. */
  Duration max_delay() const { return max_delay_; }

 private:
  InstanceId Arbiter() const {
    return SelectArbiter(kServer, kServerDomain, alive_);
  }

  bool Delivered() { return random_.Unit() >= kLossRatio; }
  Duration Delay() { return milliseconds(1 + random_.Below(5)); }

  // One of two messages to the arbiter, for a request that arrived earlier.
  void Ask(TimePoint arrived, int messages_before) {
    const InstanceId arbiter = Arbiter();
    if (!dead_.contains(arbiter) && Delivered()) {
      const Permit permit = schedulers_[arbiter].Request(
          now_, kServer, kLimit, arrived + kLatencyTarget - now_);
      if (Delivered()) {
        events_.emplace(now_ + Delay() + permit.wait,
                        [this, arrived, permit] { OnPermit(arrived, permit); });
        return;
      }
    }
    events_.emplace(now_ + kReplyTimeout, [this, arrived, messages_before] {
      if (messages_before == 0) {
        Ask(arrived, 1);
      } else {
        OnPermit(arrived, {false, kReplyTimeout});
      }
    });
  }

  void OnPermit(TimePoint arrived, const Permit& permit) {
    if (!permit.granted) {
      refusals_.Add(now_, 1);
      return;
    }
    arrivals_.Add(now_, 1);
    max_delay_ = std::max(max_delay_, now_ - arrived);
  }

  Random random_;
  TimePoint now_;
  std::map<InstanceId, DomainId> alive_;
  std::set<InstanceId> dead_;
  std::map<InstanceId, PermitScheduler> schedulers_;
  std::multimap<TimePoint, std::function<void()>> events_;
  Charges arrivals_;
  Charges refusals_;
  Duration max_delay_{0};
};

TEST_CASE("a large fleet keeps within a server's limit and uses it") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    LimitedFleet fleet(seed);
    fleet.RunUntil(TimePoint(seconds(60)));
    CHECK(static_cast<double>(fleet.arrivals().MaxInWindow(kBoundWindow)) <=
          kMaxRequests);
    // A few permits are lost with their messages.
    CHECK(static_cast<double>(fleet.arrivals().Total()) >= 0.9 * kLimit * 60);
    // A request that is sent can still meet its target.
    CHECK(fleet.max_delay() <= kLatencyTarget + milliseconds(20));
    // The others are refused, none is left waiting.
    const auto requests = static_cast<double>(fleet.arrivals().Total() +
                                              fleet.refusals().Total());
    CHECK(requests >= 0.75 * kRequestsPerSecond * 60);
  }
}

TEST_CASE("a fleet keeps within a server's limit while its arbiters die") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    LimitedFleet fleet(seed);
    for (int second = 4; second < 40; second += 4) {
      fleet.RunUntil(TimePoint(seconds(second)));
      fleet.KillArbiter();
    }
    fleet.RunUntil(TimePoint(seconds(60)));
    CHECK(static_cast<double>(fleet.arrivals().MaxInWindow(kBoundWindow)) <=
          kMaxRequests);
    CHECK(static_cast<double>(fleet.arrivals().Between(
              TimePoint(seconds(42)), TimePoint(seconds(60)))) >=
          0.9 * kLimit * 18);
  }
}

}  // namespace
}  // namespace figwell::serving
