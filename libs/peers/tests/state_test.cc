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
constexpr int kMaxConvergenceSeconds = 90;

enum class Action {
  kPatch,
  kWithdraw,
  kDeny,
  kRestart,
  kRestartWithClockBehind,
  kKill,
  kPause,
  kIsolateDomains,
  kStoreDown,
  kStoreUnreachable,
  kRepair,
  kWait,
  kCount,
};

/** Executes faults and changes, and checks the fleet's invariants. */
class Oracle {
 public:
  explicit Oracle(Fleet& fleet)
      : fleet_(fleet), previous_in_force_(fleet.size(), 0) {}

  void ExecuteStep(int code) {
    const auto action =
        static_cast<Action>(code % static_cast<int>(Action::kCount));
    const std::size_t member =
        static_cast<std::size_t>(code / static_cast<int>(Action::kCount)) %
        fleet_.size();
    Execute(action, member);
    for (int i = 0; i < 4; ++i) {
      fleet_.RunFor(milliseconds(250));
      Check();
    }
  }

  void RepairAndCheck() {
    Execute(Action::kRepair, 0);
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      if (!fleet_.running(i)) {
        fleet_.Restart(i);
      }
    }
    int waited_seconds = 0;
    while (!HasConverged() && waited_seconds++ < kMaxConvergenceSeconds) {
      fleet_.RunFor(seconds(1));
      Check();
    }
    RC_ASSERT(HasConverged());
  }

 private:
  void Execute(Action action, std::size_t member) {
    const bool running = fleet_.running(member);
    switch (action) {
      case Action::kPatch:
        fleet_.Patch();
        break;
      case Action::kWithdraw:
        if (withdrawn_ == 0) {
          fleet_.Withdraw(kKey);
          withdrawn_ = fleet_.Patch();
        }
        break;
      case Action::kDeny:
        if (running && withdrawn_ == 0) {
          RC_ASSERT(fleet_.Deny(member, kKey));
        }
        break;
      case Action::kRestart:
      case Action::kRestartWithClockBehind:
        previous_in_force_[member] = fleet_.agent(member).relay().in_force();
        fleet_.Restart(member, action == Action::kRestartWithClockBehind);
        break;
      case Action::kKill:
        fleet_.Kill(member);
        break;
      case Action::kPause:
        fleet_.Pause(member, seconds(3));
        break;
      case Action::kIsolateDomains:
        store_always_reachable_ = false;
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
          fleet_.SetPartition(i, static_cast<int>(fleet_.domain(i)));
        }
        break;
      case Action::kStoreDown:
        store_always_reachable_ = false;
        fleet_.SetStoreDown(true);
        break;
      case Action::kStoreUnreachable:
        store_always_reachable_ = false;
        fleet_.SetStoreUnreachable(member, true);
        break;
      case Action::kRepair:
        fleet_.SetStoreDown(false);
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
          fleet_.SetPartition(i, 0);
          fleet_.SetStoreUnreachable(i, false);
        }
        break;
      case Action::kWait:
        fleet_.RunFor(seconds(8));
        break;
      case Action::kCount:
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
    if (store_always_reachable_ && agent.caught_up()) {
      RC_ASSERT(in_force >= previous_in_force_[i]);
    }
    // A denial stays until a configuration without its key is in force.
    const bool denied = agent.denials().size() > 0;
    const auto it = denied_.find(agent.membership().self().incarnation);
    if (it != denied_.end() && it->second == i) {
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

  bool HasConverged() const {
    std::set<std::uint64_t> denials;
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      const PeerAgent& agent = fleet_.agent(i);
      denials.insert(agent.denials().hash());
      if (!agent.caught_up() ||
          agent.reachability_status().reach != ReachabilityLevel::kConnected) {
        return false;
      }
    }
    return denials.size() == 1 && fleet_.AllAgree() &&
           fleet_.AllInForce(fleet_.head());
  }

  static inline const Digest kKey = Sha256("key");
  Fleet& fleet_;
  std::vector<config::VersionNumber> previous_in_force_;
  std::map<std::uint64_t, std::size_t> denied_;  // by incarnation
  config::VersionNumber withdrawn_ = 0;
  bool store_always_reachable_ = true;
};

TEST_CASE("no sequence of faults breaks the invariants of the peers") {
  testing::CheckSequences(kSequences, [] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    const auto actions =
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
    for (std::size_t i = 0; i < std::min<std::size_t>(actions.size(), 12);
         ++i) {
      oracle.ExecuteStep(actions[i]);
    }
    oracle.RepairAndCheck();
  });
}

}  // namespace
}  // namespace figwell::peers
