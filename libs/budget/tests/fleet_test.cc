// State-based test of a simulated fleet under random commands and faults. Its
// oracle is one exact fleet-wide bucket per team.

#include <ostream>

#include "exact_bucket.h"
#include "figwell/testing.h"
#include "simulation.h"

namespace figwell::budget::simulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDomains = 2;
constexpr int kGateways = 5;  // two in the first domain, three in the second
constexpr int kTeams = 2;

enum class CommandKind {
  kWait,
  kWaitLong,
  kSpend,
  kDrain,
  kAsk,
  kSettle,
  kPause,
  kResume,
  kStop,
  kStart,
  kInjectFault,
  kClearFaults,
  kSetNetworkFaults,
  kCreateConfiguration,
  kApplyConfiguration,
  kLast = kApplyConfiguration,
};

struct Command {
  CommandKind kind = CommandKind::kWait;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
};

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << '{' << static_cast<int>(command.kind) << ' ' << command.a << ' '
             << command.b << '}';
}

/** Executes commands on a simulated fleet and charges the oracles. */
class Fleet {
 public:
  explicit Fleet(std::uint64_t seed)
      : limits_{{1000, 8000}, {50, 3000}},
        latest_(NextConfiguration()),
        simulation_(MakeSettings(seed), latest_),
        oracles_{ExactBucket(limits_[0]), ExactBucket(limits_[1])} {
    simulation_.RunUntil(simulation_.now() + seconds(12));
  }

  void Run(const Command& command) {
    const int gateway = static_cast<int>(command.a % kGateways);
    switch (command.kind) {
      case CommandKind::kWait:
        return Wait(milliseconds(1 + command.a % 700));
      case CommandKind::kWaitLong:
        return Wait(
            seconds(1 + command.a % (command.b % 256 == 0 ? 16000 : 40)));
      case CommandKind::kSpend:
        return Spend(gateway, command.b);
      case CommandKind::kDrain:
        return Drain(command.b % kTeams);
      case CommandKind::kAsk:
        return RequestTokens(gateway, command.b);
      case CommandKind::kSettle:
        return Settle(command.a, command.b);
      case CommandKind::kPause:
        return simulation_.Pause(gateway);
      case CommandKind::kResume:
        return simulation_.Resume(gateway);
      case CommandKind::kStop:
        simulation_.Stop(gateway);
        return UpdateLimits();
      case CommandKind::kStart:
        simulation_.Start(gateway);
        return UpdateLimits();
      case CommandKind::kInjectFault:
        return InjectFault(command.a, command.b);
      case CommandKind::kClearFaults:
        simulation_.faults() = Faults();
        return;
      case CommandKind::kSetNetworkFaults:
        return SetNetworkFaults(command.a, command.b);
      case CommandKind::kCreateConfiguration:
        return CreateConfiguration(command.a, command.b);
      case CommandKind::kApplyConfiguration:
        simulation_.Configure(gateway, latest_);
        return UpdateLimits();
    }
  }

  /** The minimum level of any team's oracle after all tokens are spent. */
  MicroTokens Lowest() {
    Drain(0);
    Drain(1);
    return std::min(oracles_[0].Lowest(), oracles_[1].Lowest());
  }

 private:
  struct OpenRequest {
    int gateway = 0;
    std::uint64_t incarnation = 0;
    std::size_t team = 0;
    std::size_t number = 0;
    Tokens cost = 0;
    TimePoint admitted;  // by the gateway's clock
  };

  static Settings MakeSettings(std::uint64_t seed) {
    Settings settings;
    settings.gateways_per_domain = {2, 3};
    settings.seed = seed;
    settings.transfer_tick = milliseconds(400);
    settings.unit_tick = milliseconds(1000);
    return settings;
  }

  config::ConfigurationPtr NextConfiguration() {
    auto next = MakeConfiguration(kDomains, limits_);
    next.number = ++number_;
    next.domains[DomainId("d0")].units = units_[0];
    next.domains[DomainId("d1")].units = units_[1];
    return std::make_shared<const config::Configuration>(std::move(next));
  }

  void Wait(Duration duration) {
    simulation_.RunUntil(simulation_.now() + duration);
  }

  void Spend(int gateway, std::uint32_t choice) {
    if (!simulation_.Up(gateway)) {
      return;
    }
    const std::size_t team = choice % kTeams;
    const Tokens cost = 1 + choice / kTeams % 3000;
    const SpendResult result = simulation_.Spend(gateway, TeamName(team), cost);
    if (!result.admitted) {
      simulation_.RequestTokens(gateway, TeamName(team), result.missing);
      return;
    }
    const std::size_t number = oracles_[team].Charge(
        simulation_.Global(gateway, result.admitted_at), cost);
    open_requests_.push_back({gateway,
                              simulation_.gateways()[gateway].incarnation, team,
                              number, cost, result.admitted_at});
  }

  /** Spends all of a team's tokens at every gateway that is up. */
  void Drain(std::size_t team) {
    for (int gateway = 0; gateway < kGateways; ++gateway) {
      for (Tokens cost = 4096; cost > 0 && simulation_.Up(gateway);) {
        const SpendResult result =
            simulation_.Spend(gateway, TeamName(team), cost);
        if (result.admitted) {
          oracles_[team].Charge(simulation_.Global(gateway, result.admitted_at),
                                cost);
        } else {
          cost /= 2;
        }
      }
    }
  }

  void RequestTokens(int gateway, std::uint32_t choice) {
    if (simulation_.Up(gateway)) {
      simulation_.RequestTokens(gateway, TeamName(choice % kTeams),
                                1 + choice / kTeams % 4000);
    }
  }

  void Settle(std::uint32_t which, std::uint32_t used) {
    if (open_requests_.empty()) {
      return;
    }
    const OpenRequest open = open_requests_[which % open_requests_.size()];
    open_requests_.erase(
        open_requests_.begin() +
        static_cast<std::ptrdiff_t>(which % open_requests_.size()));
    const Gateway& gateway = simulation_.gateways()[open.gateway];
    if (!simulation_.Up(open.gateway) ||
        gateway.incarnation != open.incarnation) {
      return;
    }
    const Tokens cost = used % (open.cost + 1);
    simulation_.Refund(open.gateway, TeamName(open.team), open.admitted,
                       open.cost - cost);
    oracles_[open.team].Settle(open.number, cost);
  }

  void InjectFault(std::uint32_t what, std::uint32_t which) {
    Faults& faults = simulation_.faults();
    switch (what % 4) {
      case 0:
        faults.store_down = true;
        return;
      case 1:
        faults.without_store.insert(static_cast<int>(which % kDomains));
        return;
      case 2:
        faults.without_peers.insert(static_cast<int>(which % kDomains));
        return;
      default:
        faults.isolated.insert(static_cast<int>(which % kGateways));
    }
  }

  void SetNetworkFaults(std::uint32_t a, std::uint32_t b) {
    Faults& faults = simulation_.faults();
    faults.message_lost = std::uint64_t{a % 4} * 150;
    faults.message_repeated = std::uint64_t{a / 4 % 4} * 150;
    faults.message_delayed = std::uint64_t{b % 4} * 200;
    faults.answer_lost = std::uint64_t{b / 4 % 4} * 150;
  }

  /** Creates a new configuration, which gateways apply one by one. */
  void CreateConfiguration(std::uint32_t a, std::uint32_t b) {
    limits_[a % kTeams] = {100 + b % 2000, 500 + a / kTeams % 10000};
    if (b % 2 == 0) {
      units_[0] = 50 + a % 600;
      units_[1] = 50 + b / 2 % 600;
    }
    latest_ = NextConfiguration();
  }

  /**
   * Sets the oracles' limits to the maximum in force at any gateway. A
   * reduction applies only after kTransferReservation, when tokens granted
   * before have expired.
   */
  void UpdateLimits() {
    SetOracleLimits(/*only_raise=*/true);
    reduce_at_ = simulation_.now() + kTransferReservation;
    simulation_.At(reduce_at_, [this] {
      if (simulation_.now() >= reduce_at_) {
        SetOracleLimits(/*only_raise=*/false);
      }
    });
  }

  void SetOracleLimits(bool only_raise) {
    for (std::size_t team = 0; team < kTeams; ++team) {
      Limit max_limit = only_raise ? allowed_[team] : Limit{};
      for (const Gateway& gateway : simulation_.gateways()) {
        if (gateway.alive) {
          const auto& limits = gateway.configuration->teams.at(TeamName(team));
          max_limit.rate = std::max(max_limit.rate, limits.rate);
          max_limit.burst = std::max(max_limit.burst, limits.burst);
        }
      }
      allowed_[team] = max_limit;
      oracles_[team].SetLimit(simulation_.now(), max_limit);
    }
  }

  std::vector<Limit> limits_;
  std::vector<Limit> allowed_ = limits_;
  std::int64_t units_[kDomains] = {300, 300};
  config::VersionNumber number_ = 0;
  config::ConfigurationPtr latest_;
  Simulation simulation_;
  ExactBucket oracles_[kTeams];
  std::vector<OpenRequest> open_requests_;
  TimePoint reduce_at_;
};

/** Generates commands; a kind that `kinds` repeats is drawn more often. */
rc::Gen<std::vector<Command>> Commands(const std::vector<CommandKind>& kinds) {
  const auto command = rc::gen::map(
      rc::gen::tuple(rc::gen::elementOf(kinds),
                     rc::gen::inRange<std::uint32_t>(0, 1U << 30U),
                     rc::gen::inRange<std::uint32_t>(0, 1U << 30U)),
      [](const std::tuple<CommandKind, std::uint32_t, std::uint32_t>& drawn) {
        return Command{std::get<0>(drawn), std::get<1>(drawn),
                       std::get<2>(drawn)};
      });
  return rc::gen::container<std::vector<Command>>(command);
}

void CheckFleet(int sequences, const std::vector<CommandKind>& kinds) {
  testing::CheckSequences(sequences, [&] {
    const auto commands = *Commands(kinds);
    const auto seed = *rc::gen::inRange<std::uint32_t>(0, 1U << 30U);
    Fleet fleet(seed);
    for (const Command& command : commands) {
      fleet.Run(command);
    }
    RC_ASSERT(fleet.Lowest() >= 0);
  });
}

}  // namespace

TEST_CASE("transfers and refunds never exceed a limit in any window") {
  CheckFleet(2000,
             {CommandKind::kWait, CommandKind::kWait, CommandKind::kSpend,
              CommandKind::kSpend, CommandKind::kSpend, CommandKind::kDrain,
              CommandKind::kAsk, CommandKind::kAsk, CommandKind::kSettle,
              CommandKind::kSettle, CommandKind::kSetNetworkFaults,
              CommandKind::kPause, CommandKind::kResume});
}

TEST_CASE("changing holders of units never exceeds a limit in any window") {
  CheckFleet(
      2000, {CommandKind::kWait, CommandKind::kWaitLong, CommandKind::kWaitLong,
             CommandKind::kSpend, CommandKind::kDrain, CommandKind::kDrain,
             CommandKind::kPause, CommandKind::kResume, CommandKind::kStop,
             CommandKind::kStart, CommandKind::kInjectFault,
             CommandKind::kInjectFault, CommandKind::kClearFaults,
             CommandKind::kSetNetworkFaults});
}

TEST_CASE("reconfiguration in progress never exceeds the greater limit") {
  CheckFleet(
      2000, {CommandKind::kWait, CommandKind::kWaitLong, CommandKind::kSpend,
             CommandKind::kDrain, CommandKind::kDrain, CommandKind::kAsk,
             CommandKind::kSettle, CommandKind::kCreateConfiguration,
             CommandKind::kApplyConfiguration, CommandKind::kApplyConfiguration,
             CommandKind::kApplyConfiguration, CommandKind::kInjectFault,
             CommandKind::kClearFaults, CommandKind::kStop, CommandKind::kStart,
             CommandKind::kPause, CommandKind::kResume,
             CommandKind::kSetNetworkFaults});
}

}  // namespace figwell::budget::simulation
