// Random sequences of faults and changes, checked against a simple oracle.

#include "figwell/testing.h"
#include "fleet.h"

namespace figwell::peers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSequences = 2'000;
constexpr std::size_t kDomains = 2;
constexpr std::size_t kMembersPerDomain = 2;
constexpr int kHealSeconds = 90;

enum class Act {
  kPatch,
  kWithdraw,
  kDeny,
  kRestart,
  kRestartClockBack,
  kKill,
  kPause,
  kCutDomain,
  kStoreDown,
  kStoreAway,
  kHeal,
  kWait,
  kCount,
};

/** Executes faults and changes, and checks the fleet's invariants. */
class Oracle {
 public:
  explicit Oracle(Fleet& fleet) : fleet_(fleet), former_(fleet.size(), 0) {}

  void Do(int code) {
    const auto act = static_cast<Act>(code % static_cast<int>(Act::kCount));
    const std::size_t member =
        static_cast<std::size_t>(code / static_cast<int>(Act::kCount)) %
        fleet_.size();
    Take(act, member);
    for (int i = 0; i < 4; ++i) {
      fleet_.RunFor(milliseconds(250));
      Check();
    }
  }

  void HealAndCheck() {
    Take(Act::kHeal, 0);
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      if (!fleet_.running(i)) {
        fleet_.Restart(i);
      }
    }
    int waited = 0;
    while (!Settled() && waited++ < kHealSeconds) {
      fleet_.RunFor(seconds(1));
      Check();
    }
    RC_ASSERT(Settled());
  }

 private:
  void Take(Act act, std::size_t member) {
    const bool running = fleet_.running(member);
    switch (act) {
      case Act::kPatch:
        fleet_.Patch();
        break;
      case Act::kWithdraw:
        if (withdrawn_ == 0) {
          fleet_.Withdraw(kKey);
          withdrawn_ = fleet_.Patch();
        }
        break;
      case Act::kDeny:
        if (running && withdrawn_ == 0) {
          RC_ASSERT(fleet_.Deny(member, kKey));
        }
        break;
      case Act::kRestart:
      case Act::kRestartClockBack:
        former_[member] = fleet_.agent(member).relay().in_force();
        fleet_.Restart(member, act == Act::kRestartClockBack);
        break;
      case Act::kKill:
        fleet_.Kill(member);
        break;
      case Act::kPause:
        fleet_.Pause(member, seconds(3));
        break;
      case Act::kCutDomain:
        store_always_up_ = false;
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
          fleet_.SetSide(i, static_cast<int>(fleet_.domain(i)));
        }
        break;
      case Act::kStoreDown:
        store_always_up_ = false;
        fleet_.SetStoreDown(true);
        break;
      case Act::kStoreAway:
        store_always_up_ = false;
        fleet_.SetStoreAway(member, true);
        break;
      case Act::kHeal:
        fleet_.SetStoreDown(false);
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
          fleet_.SetSide(i, 0);
          fleet_.SetStoreAway(i, false);
        }
        break;
      case Act::kWait:
        fleet_.RunFor(seconds(8));
        break;
      case Act::kCount:
        break;
    }
  }

  void Check() {
    // No number in force decreases, and none exceeds the store's head.
    RC_ASSERT(fleet_.faults() == Faults{});
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      if (fleet_.running(i)) {
        CheckMember(i);
      }
    }
  }

  void CheckMember(std::size_t i) {
    const PeerAgent& agent = fleet_.agent(i);
    const config::VersionNumber in_force = agent.relay().in_force();
    // A restarted member is not ready with an older number than its previous
    // process had in force.
    if (store_always_up_ && agent.caught_up()) {
      RC_ASSERT(in_force >= former_[i]);
    }
    // A denial stays until a configuration without its key is in force.
    const bool denied = agent.denials().size() > 0;
    const auto place = denied_.find(agent.membership().self().incarnation);
    if (place != denied_.end() && place->second == i) {
      RC_ASSERT(denied || (withdrawn_ != 0 && in_force >= withdrawn_));
    }
    if (denied) {
      denied_[agent.membership().self().incarnation] = i;
    }
    // A member's reported number is its current process's, not an earlier
    // one's.
    for (const Member& member : agent.membership().Members()) {
      for (std::size_t j = 0; j < fleet_.size(); ++j) {
        const PeerAgent& other = fleet_.agent(j);
        if (fleet_.running(j) && fleet_.id(j) == member.record.instance &&
            other.membership().self().incarnation ==
                member.record.incarnation) {
          RC_ASSERT(member.number_in_force <= other.relay().in_force());
        }
      }
    }
  }

  bool Settled() const {
    std::set<std::uint64_t> denials;
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      const PeerAgent& agent = fleet_.agent(i);
      denials.insert(agent.denials().hash());
      if (!agent.caught_up() ||
          agent.cut_off().reach != ReachabilityLevel::kConnected) {
        return false;
      }
    }
    return denials.size() == 1 && fleet_.AllAgree() &&
           fleet_.AllInForce(fleet_.head());
  }

  static inline const Digest kKey = Sha256("key");
  Fleet& fleet_;
  std::vector<config::VersionNumber> former_;
  std::map<std::uint64_t, std::size_t> denied_;  // by incarnation
  config::VersionNumber withdrawn_ = 0;
  bool store_always_up_ = true;
};

TEST_CASE("no sequence of faults breaks the invariants of the peers") {
  testing::CheckSequences(kSequences, [] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    const auto acts =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
    Fleet fleet({.domains = kDomains,
                 .members_per_domain = kMembersPerDomain,
                 .loss = 0.05,
                 .repeat = 0.05,
                 .max_latency = milliseconds(50),
                 .patch_bytes = 20,
                 .seed = seed});
    fleet.Issue(Sha256("key"));
    fleet.Patch();
    fleet.RunFor(seconds(5));
    Oracle oracle(fleet);
    for (std::size_t i = 0; i < std::min<std::size_t>(acts.size(), 12); ++i) {
      oracle.Do(acts[i]);
    }
    oracle.HealAndCheck();
  });
}

}  // namespace
}  // namespace figwell::peers
