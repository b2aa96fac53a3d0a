#ifndef FIGWELL_BUDGET_SIMULATION_H_
#define FIGWELL_BUDGET_SIMULATION_H_

/**
 * Simulates the budgets of a fleet of gateways in virtual time, with a fake
 * store and a lossy network. The fleet test and benchmark/rates use it.
 */

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "figwell/budget.h"

namespace figwell::budget::simulation {

/** An in-memory store with compare-and-swap and reads of a prefix. */
class FakeStore {
 public:
  store::TransactionResult Execute(const store::Transaction& transaction);

 private:
  std::map<std::string, store::KeyValue> entries_;
  store::Revision revision_ = 0;
};

/** Injected faults; numbers are probabilities in per mille. */
struct Faults {
  std::uint64_t message_lost = 0;
  std::uint64_t message_repeated = 0;
  std::uint64_t message_delayed = 0;
  std::uint64_t answer_lost = 0;
  bool store_down = false;
  /** Domains that cannot reach the store or the other domains, respectively. */
  std::set<int> without_store;
  std::set<int> without_peers;
  /** Gateways that cannot exchange messages with any other. */
  std::set<int> isolated;
};

struct Traffic {
  std::int64_t messages = 0;
  std::int64_t bytes = 0;
  std::int64_t store_calls = 0;
};

struct Gateway {
  InstanceId id;
  int domain = 0;
  bool alive = false;
  bool paused = false;
  std::uint64_t incarnation = 0;
  Duration clock_offset{0};
  config::ConfigurationPtr configuration;
  std::unique_ptr<UnitHolder> units;
  std::unique_ptr<TeamBudgets> budgets;
  std::unique_ptr<Transfers> transfers;
  std::unique_ptr<Loans> loans;
  std::vector<std::function<void()>> inbox;  // deferred while paused
  Traffic traffic;
};

struct Settings {
  std::vector<int> gateways_per_domain;
  std::uint64_t seed = 1;
  Duration latency = std::chrono::milliseconds(1);
  Duration transfer_tick = kTransferTick;
  Duration unit_tick = kUnitTick;
};

class Simulation {
 public:
  Simulation(Settings settings, config::ConfigurationPtr configuration);

  /** Executes all events up to and including `until`. */
  void RunUntil(TimePoint until);
  void At(TimePoint when, std::function<void()> action);

  void Start(int gateway);
  void Stop(int gateway);
  void Pause(int gateway);
  void Resume(int gateway);
  void Configure(int gateway, config::ConfigurationPtr configuration);

  SpendResult Spend(int gateway, const TeamId& team, Tokens cost);
  void RequestTokens(int gateway, const TeamId& team, Tokens missing);
  void Refund(int gateway, const TeamId& team, TimePoint admitted,
              Tokens unused);

  TimePoint now() const { return now_; }
  /** The current time on the gateway's own clock. */
  TimePoint Local(int gateway) const;
  TimePoint Global(int gateway, TimePoint local) const;
  std::vector<Gateway>& gateways() { return gateways_; }
  Faults& faults() { return faults_; }
  Random& random() { return random_; }
  bool Up(int gateway) const;

  /** Called when a gateway has been credited with transferred tokens. */
  std::function<void(int gateway)> on_credit;

 private:
  struct Event {
    TimePoint when;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.when, other.order) < std::tie(when, order);
    }
  };

  bool Chance(std::uint64_t per_mille) {
    return random_.Below(1000) < per_mille;
  }
  bool Linked(int from, int to) const;
  void SendMessage(int from, const InstanceId& to, std::size_t bytes,
                   const std::function<void(int)>& receive);
  void Deliver(int to, std::uint64_t incarnation,
               std::function<void()> callback);
  void HandleReturns(int gateway,
                     const std::vector<Outgoing<TransferReturn>>& returns);
  void CallStore(int gateway, const store::Transaction& transaction);
  void TickUnits(int gateway, std::uint64_t incarnation);
  void TickTransfers(int gateway, std::uint64_t incarnation);
  void Handle(int gateway, const UnitActions& actions);
  void Handle(int gateway, const TransferActions& actions);
  void Handle(int gateway, const std::vector<Outgoing<LoanRequest>>& requests);
  void ApplyShare(int gateway);
  void ScheduleMemberUpdate();
  void UpdateMembers();

  Settings settings_;
  config::ConfigurationPtr initial_;
  Random random_;
  TimePoint now_{std::chrono::hours(1000)};
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Gateway> gateways_;
  std::map<InstanceId, int> index_;
  FakeStore store_;
  Faults faults_;
  std::uint64_t next_incarnation_ = 1;
  bool members_changed_ = false;
};

/** A configuration of `domains` with equal units and teams with `limits`. */
config::Configuration MakeConfiguration(int domains,
                                        const std::vector<Limit>& limits,
                                        std::int64_t units_per_domain = 300);

DomainId DomainName(int number);
TeamId TeamName(std::size_t number);

}  // namespace figwell::budget::simulation

#endif  // FIGWELL_BUDGET_SIMULATION_H_
