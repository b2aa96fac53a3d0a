// Simulates a team that requests many times its limit from a large fleet. The
// delegates of failure domains exchange sums. After all processes are killed,
// they discover each other only gradually.

#include <algorithm>
#include <deque>
#include <string>

#include "charges.h"
#include "figwell/serving/summary.h"
#include "figwell/serving/team_rate_limiter.h"
#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kDomains = 5;
constexpr std::size_t kPerDomain = 17;
constexpr std::size_t kInstances = kDomains * kPerDomain;
constexpr Tokens kRate = 121'454;
// Required bound: at most a tenth over the limit plus 17,000 tokens, in any
// window of 8 s.
constexpr Duration kBoundWindow = std::chrono::seconds(8);
constexpr Tokens kMaxCharges = (kRate * 8 + kRate) * 11 / 10 + 17'000;
constexpr Duration kStep = milliseconds(10);
constexpr Duration kReportInterval = milliseconds(200);
constexpr Duration kMinReportInterval = milliseconds(40);
constexpr Duration kMessageDelay = milliseconds(5);
// After a restart of all processes, each discovers all others within this time.
constexpr std::uint64_t kMaxDiscoveryMs = 4'000;
constexpr Tokens kMinCost = 200;
constexpr std::uint64_t kCostSpread = 4'000;  // 2,200 tokens on average

const TeamId kTeam("drivers");

std::string Name(const char* prefix, std::size_t number) {
  return std::string(prefix).append(std::to_string(number));
}

class LargeFleet {
 public:
  explicit LargeFleet(std::uint64_t seed)
      : random_(seed), instances_(kInstances) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      Restart(i, TimePoint{}, 1);
    }
  }

  /** Kills all processes; each restarts within a second. */
  void KillAll(TimePoint now) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      const Duration downtime = milliseconds(400 + random_.Below(600));
      Restart(i, now + downtime, kMaxDiscoveryMs);
    }
  }

  /** Callers request `times` the limit for one step. */
  void Step(TimePoint now, double rate_factor) {
    Deliver(now);
    demand_ += rate_factor * static_cast<double>(kRate) *
               static_cast<double>(kStep.count()) / 1e6;
    while (demand_ > 0) {
      const Tokens cost =
          kMinCost + static_cast<Tokens>(random_.Below(kCostSpread));
      demand_ -= static_cast<double>(cost);
      Instance& instance = instances_[random_.Below(kInstances)];
      if (now < instance.up_at) {
        continue;
      }
      if (instance.rate_limiter.Charge(now, kTeam, cost).admitted) {
        charges_.Add(now, cost);
      } else {
        refused_.Add(now, 1);
      }
    }
    for (std::size_t i = 0; i < kInstances; ++i) {
      if (now >= instances_[i].up_at) {
        Report(i, now);
      }
    }
  }

  /** Cuts off a share of the instances, each from all others. */
  void CutOff(double share) {
    for (Instance& instance : instances_) {
      instance.cut_off = random_.Unit() < share;
    }
  }
  void HealCuts() {
    for (Instance& instance : instances_) {
      instance.cut_off = false;
    }
  }

  const Charges& charges() const { return charges_; }
  /** Requests refused, each counted as 1. */
  const Charges& refused() const { return refused_; }

 private:
  struct Instance {
    TeamRateLimiter rate_limiter;
    DomainSummary summary;
    std::uint64_t incarnation = 0;
    TimePoint up_at;
    bool cut_off = false;
    TimePoint last_report;
    /** When it discovers each other instance. */
    std::vector<TimePoint> discovered_at;
  };
  struct Message {
    TimePoint at;
    std::size_t from = 0;
    std::size_t to = 0;
    bool is_domain_sum = false;
    SpendingReport report;
    bool forwarded = false;
  };

  static std::size_t DomainOf(std::size_t i) { return i / kPerDomain; }
  static InstanceId DomainPeerId(std::size_t domain) {
    return InstanceId(Name("domain ", domain));
  }

  void Restart(std::size_t i, TimePoint up_at, std::uint64_t max_discovery_ms) {
    Instance& instance = instances_[i];
    instance = Instance();
    instance.incarnation = ++incarnations_;
    instance.up_at = up_at;
    for (std::size_t j = 0; j < kInstances; ++j) {
      instance.discovered_at.push_back(
          up_at + milliseconds(random_.Below(max_discovery_ms)));
    }
    instance.last_report =
        up_at - milliseconds(random_.Below(static_cast<std::uint64_t>(
                    kReportInterval / milliseconds(1))));
    std::map<InstanceId, int> peers;
    for (std::size_t j = 0; j < kInstances; ++j) {
      if (DomainOf(j) == DomainOf(i) && j != i) {
        peers[InstanceId(Name("i", j))] = 1;
      }
    }
    for (std::size_t domain = 0; domain < kDomains; ++domain) {
      if (domain != DomainOf(i)) {
        peers[DomainPeerId(domain)] = kPerDomain;
      }
    }
    instance.rate_limiter.SetPeers(up_at, peers);
    TeamSpec team;
    team.id = kTeam;
    team.rate = kRate;
    team.burst = kRate;
    instance.rate_limiter.Configure(up_at, {{kTeam, team}});
  }

  void Send(const Message& message) {
    messages_.push_back(message);
    messages_.back().at += kMessageDelay;
  }

  void Report(std::size_t i, TimePoint now) {
    Instance& sender = instances_[i];
    const Duration elapsed = now - sender.last_report;
    const bool urgent =
        sender.rate_limiter.ReportIsUrgent() && elapsed >= kMinReportInterval;
    if (!urgent && elapsed < kReportInterval) {
      return;
    }
    sender.last_report = now;
    const auto own = sender.rate_limiter.TakeOwnReport(now);
    const std::size_t first = DomainOf(i) * kPerDomain;
    for (std::size_t j = first; j < first + kPerDomain; ++j) {
      if (HasDiscovered(i, j, now)) {
        Send({now, i, j, false, {sender.incarnation, 1, own}});
      }
    }
    if (DelegateOf(DomainOf(i), i, now) != i) {
      return;
    }
    for (std::size_t domain = 0; domain < kDomains; ++domain) {
      const std::size_t delegate = DelegateOf(domain, i, now);
      if (domain != DomainOf(i) && delegate != kInstances) {
        Send({now,
              i,
              delegate,
              true,
              {sender.incarnation, sender.summary.Instances(now),
               sender.summary.Spending(own)}});
      }
    }
  }

  bool HasDiscovered(std::size_t i, std::size_t other, TimePoint now) const {
    return i != other && now >= instances_[i].discovered_at[other];
  }

  // The first instance of a domain that `observer` knows; kInstances if none.
  std::size_t DelegateOf(std::size_t domain, std::size_t observer,
                         TimePoint now) const {
    for (std::size_t j = domain * kPerDomain; j < (domain + 1) * kPerDomain;
         ++j) {
      if (j == observer || HasDiscovered(observer, j, now)) {
        return j;
      }
    }
    return kInstances;
  }

  void Deliver(TimePoint now) {
    while (!messages_.empty() && messages_.front().at <= now) {
      const Message message = std::move(messages_.front());
      messages_.pop_front();
      Instance& to = instances_[message.to];
      const Instance& from = instances_[message.from];
      if (now < to.up_at || to.cut_off || from.cut_off ||
          !HasDiscovered(message.to, message.from, now) ||
          message.report.incarnation != from.incarnation) {
        continue;
      }
      if (message.is_domain_sum) {
        to.rate_limiter.OnPeerReport(now, DomainPeerId(DomainOf(message.from)),
                                     message.report);
        if (!message.forwarded) {
          Forward(message, now);
        }
      } else {
        to.rate_limiter.OnPeerReport(now, InstanceId(Name("i", message.from)),
                                     message.report);
        to.summary.OnMemberReport(now, InstanceId(Name("i", message.from)),
                                  message.report.incarnation, {},
                                  message.report.spending);
      }
    }
  }

  void Forward(const Message& message, TimePoint now) {
    Message copy = message;
    copy.at = now;
    copy.forwarded = true;
    const std::size_t first = DomainOf(message.to) * kPerDomain;
    for (std::size_t j = first; j < first + kPerDomain; ++j) {
      if (HasDiscovered(message.to, j, now)) {
        copy.to = j;
        Send(copy);
      }
    }
  }

  Random random_;
  std::vector<Instance> instances_;
  std::uint64_t incarnations_ = 0;
  std::deque<Message> messages_;
  double demand_ = 0;
  Charges charges_;
  Charges refused_;
};

TEST_CASE("a large fleet keeps a hot team within its limit") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    LargeFleet fleet(seed);
    for (TimePoint now; now < TimePoint(std::chrono::seconds(16));
         now += kStep) {
      fleet.Step(now, now < TimePoint(std::chrono::seconds(3)) ? 0.5 : 5);
    }
    CHECK(fleet.charges().MaxInWindow(kBoundWindow) <= kMaxCharges);
    // Charges within the limit are not refused.
    CHECK(fleet.charges().Between(TimePoint(std::chrono::seconds(6)),
                                  TimePoint(std::chrono::seconds(16))) >=
          kRate * 10 * 9 / 10);
  }
}

// Guards against: delegates left out what a member had charged while it was
// cut off, so that the other domains granted it again.
TEST_CASE("short partitions of a large fleet do not grant the limit again") {
  constexpr std::uint64_t kSeeds = 12;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    LargeFleet fleet(seed);
    Random random(seed);
    TimePoint cut(milliseconds(6'500));
    TimePoint heal = cut + milliseconds(1'200);
    const TimePoint end(std::chrono::seconds(20));
    for (TimePoint now; now < end; now += kStep) {
      if (now == cut) {
        fleet.CutOff(0.4);
      } else if (now == heal) {
        fleet.HealCuts();
        cut = heal + kStep * (60 + static_cast<int>(random.Below(150)));
        heal = cut + kStep * (30 + static_cast<int>(random.Below(120)));
      }
      fleet.Step(now, now < TimePoint(std::chrono::seconds(6)) ? 0.5 : 4);
    }
    CHECK(fleet.charges().MaxInWindow(kBoundWindow) <= kMaxCharges);
    CHECK(fleet.charges().Between(TimePoint(std::chrono::seconds(6)), end) >=
          kRate * 14 * 9 / 10);
  }
}

TEST_CASE("a restart of a large fleet does not grant the burst again") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    LargeFleet fleet(seed);
    const TimePoint killed(std::chrono::seconds(9));
    for (TimePoint now; now < TimePoint(std::chrono::seconds(20));
         now += kStep) {
      if (now == killed) {
        fleet.KillAll(now);
      }
      fleet.Step(now, now < TimePoint(std::chrono::seconds(5)) ? 0.5 : 5);
    }
    CHECK(fleet.charges().MaxInWindow(kBoundWindow) <= kMaxCharges);
    CHECK(fleet.charges().Between(killed + std::chrono::seconds(6),
                                  killed + std::chrono::seconds(11)) >=
          kRate * 5 * 9 / 10);
  }
}

TEST_CASE("after a restart a large fleet serves a team within its limit") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    LargeFleet fleet(seed);
    const TimePoint killed(std::chrono::seconds(5));
    const TimePoint end(std::chrono::seconds(14));
    for (TimePoint now; now < end; now += kStep) {
      if (now == killed) {
        fleet.KillAll(now);
      }
      // Callers that the restart disconnected return.
      const bool callers_return = now >= killed + std::chrono::seconds(1) &&
                                  now < killed + std::chrono::seconds(2);
      fleet.Step(now, callers_return ? 10.0 / 9 : 5.0 / 9);
    }
    // One second until the last process is up, the time of discovery, and two
    // reporting intervals.
    const TimePoint discovery_end = killed + std::chrono::seconds(1) +
                                    milliseconds(kMaxDiscoveryMs) +
                                    2 * kReportInterval;
    INFO("refused while instances discover each other: "
         << fleet.refused().Between(killed, discovery_end));

    CHECK(fleet.refused().Between(discovery_end, end) == 0);
  }
}

}  // namespace
}  // namespace figwell::serving
