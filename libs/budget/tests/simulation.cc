#include "simulation.h"

#include <fmt/format.h>

#include <algorithm>

namespace figwell::budget::simulation {
namespace {

/**
 * Bytes of IP and UDP headers, authentication tag, sender, incarnation,
 * sequence number and message kind.
 */
constexpr std::size_t kEnvelopeBytes = 28 + 32 + 16 + 8 + 8 + 2;
constexpr std::size_t kItemBytes = 15;
constexpr std::size_t kHeartbeatBytes = 25;
constexpr std::size_t kEchoBytes = 40;
constexpr Duration kMaxDelay = std::chrono::milliseconds(1500);
constexpr Duration kStoreLatency = std::chrono::milliseconds(3);
constexpr Duration kStoreTimeout = std::chrono::seconds(1);

}  // namespace

store::TransactionResult FakeStore::Execute(
    const store::Transaction& transaction) {
  store::TransactionResult result;
  result.succeeded = std::all_of(
      transaction.compares.begin(), transaction.compares.end(),
      [&](const store::Compare& compare) {
        const auto found = entries_.find(compare.key);
        return (found == entries_.end() ? 0 : found->second.mod_revision) ==
               compare.mod_revision;
      });
  ++revision_;
  for (const store::Operation& operation :
       result.succeeded ? transaction.success : transaction.failure) {
    if (const auto* put = std::get_if<store::Put>(&operation)) {
      entries_[put->key] = {put->key, put->value, revision_, revision_, 0};
    } else if (const auto* range = std::get_if<store::Range>(&operation)) {
      auto& read = result.ranges.emplace_back();
      for (auto it = entries_.lower_bound(range->key);
           it != entries_.end() && it->first < range->range_end; ++it) {
        read.push_back(it->second);
      }
    }
  }
  result.revision = revision_;
  return result;
}

Simulation::Simulation(Settings settings,
                       config::ConfigurationPtr configuration)
    : settings_(std::move(settings)),
      initial_(std::move(configuration)),
      random_(settings_.seed) {
  int domain = 0;
  for (const int count : settings_.gateways_per_domain) {
    for (int i = 0; i < count; ++i) {
      Gateway gateway;
      gateway.id = InstanceId(fmt::format("d{}-{}", domain, 1000 + i));
      gateway.domain = domain;
      gateway.clock_offset = std::chrono::seconds(random_.Below(1000));
      index_[gateway.id] = static_cast<int>(gateways_.size());
      gateways_.push_back(std::move(gateway));
    }
    ++domain;
  }
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    Start(static_cast<int>(i));
  }
}

TimePoint Simulation::Local(int gateway) const {
  return now_ + gateways_[gateway].clock_offset;
}

TimePoint Simulation::Global(int gateway, TimePoint local) const {
  return local - gateways_[gateway].clock_offset;
}

bool Simulation::Up(int gateway) const {
  return gateways_[gateway].alive && !gateways_[gateway].paused;
}

void Simulation::At(TimePoint when, std::function<void()> action) {
  events_.push({when, ++order_, std::move(action)});
}

void Simulation::RunUntil(TimePoint until) {
  while (!events_.empty() && events_.top().when <= until) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.when);
    event.action();
  }
  now_ = until;
}

void Simulation::UpdateMembers() {
  members_changed_ = false;
  std::vector<TransferPeer> peers;
  std::map<int, std::vector<InstanceId>> members;
  for (const Gateway& gateway : gateways_) {
    if (gateway.alive) {
      peers.push_back({gateway.id, DomainName(gateway.domain)});
      members[gateway.domain].push_back(gateway.id);
    }
  }
  for (Gateway& gateway : gateways_) {
    if (gateway.alive) {
      gateway.transfers->SetPeers(peers);
      gateway.loans->SetPeers(peers);
      gateway.units->SetMembers(members[gateway.domain]);
    }
  }
}

void Simulation::Start(int index) {
  Gateway& gateway = gateways_[index];
  if (gateway.alive) {
    return;
  }
  const DomainId domain = DomainName(gateway.domain);
  gateway.alive = true;
  gateway.paused = false;
  gateway.inbox.clear();
  gateway.incarnation = next_incarnation_++;
  gateway.units = std::make_unique<UnitHolder>(
      UnitSettings{gateway.id, gateway.incarnation, domain, "/units/"},
      Local(index));
  gateway.budgets = std::make_unique<TeamBudgets>();
  gateway.transfers = std::make_unique<Transfers>(
      TransferPeer{gateway.id, domain}, gateway.incarnation);
  gateway.loans = std::make_unique<Loans>(TransferPeer{gateway.id, domain},
                                          gateway.incarnation);
  Configure(index, gateway.configuration ? gateway.configuration : initial_);
  ScheduleMemberUpdate();
  const std::uint64_t incarnation = gateway.incarnation;
  const auto spread = [&](Duration tick) {
    return now_ + Duration(random_.Below(tick.count()));
  };
  At(spread(settings_.unit_tick), [=, this] { TickUnits(index, incarnation); });
  At(spread(settings_.transfer_tick),
     [=, this] { TickTransfers(index, incarnation); });
}

void Simulation::Stop(int index) {
  gateways_[index].alive = false;
  ScheduleMemberUpdate();
}

/** Schedules one update for all membership changes at the current time. */
void Simulation::ScheduleMemberUpdate() {
  if (!std::exchange(members_changed_, true)) {
    At(now_, [this] { UpdateMembers(); });
  }
}

void Simulation::Pause(int index) { gateways_[index].paused = true; }

void Simulation::Resume(int index) {
  Gateway& gateway = gateways_[index];
  gateway.paused = false;
  const auto inbox = std::exchange(gateway.inbox, {});
  for (const auto& action : inbox) {
    action();
  }
}

void Simulation::Configure(int index, config::ConfigurationPtr configuration) {
  Gateway& gateway = gateways_[index];
  gateway.configuration = std::move(configuration);
  if (!gateway.alive) {
    return;
  }
  const config::Configuration& now = *gateway.configuration;
  const DomainId domain = DomainName(gateway.domain);
  const auto found = now.domains.find(domain);
  gateway.budgets->Configure(Local(index), now);
  gateway.transfers->Configure(now.number, gateway.budgets->snapshot());
  gateway.loans->Configure(now, gateway.budgets->snapshot());
  gateway.units->Configure(Local(index),
                           found == now.domains.end() ? 0 : found->second.units,
                           config::TotalUnits(now));
  ApplyShare(index);
}

void Simulation::ApplyShare(int index) {
  Gateway& gateway = gateways_[index];
  gateway.budgets->SetShare(Local(index), gateway.units->share(),
                            gateway.units->valid_until());
}

// ------------------------------------------------------------------ network

bool Simulation::Linked(int from, int to) const {
  const int a = gateways_[from].domain;
  const int b = gateways_[to].domain;
  const bool cut = a != b && (faults_.without_peers.contains(a) ||
                              faults_.without_peers.contains(b));
  return !cut && !faults_.isolated.contains(from) &&
         !faults_.isolated.contains(to);
}

/**
 * Runs `callback` now, or on resume if the gateway is paused; drops it if the
 * gateway is stopped or has been restarted.
 */
void Simulation::Deliver(int to, std::uint64_t incarnation,
                         std::function<void()> callback) {
  Gateway& gateway = gateways_[to];
  if (!gateway.alive || gateway.incarnation != incarnation) {
    return;
  }
  if (gateway.paused) {
    gateway.inbox.push_back(std::move(callback));
    return;
  }
  callback();
}

void Simulation::SendMessage(int from, const InstanceId& to, std::size_t bytes,
                             const std::function<void(int)>& receive) {
  const int target = index_.at(to);
  Traffic& sent = gateways_[from].traffic;
  ++sent.messages;
  sent.bytes += static_cast<std::int64_t>(bytes + kEnvelopeBytes);
  if (!Linked(from, target) || Chance(faults_.message_lost)) {
    return;
  }
  gateways_[target].traffic.bytes +=
      static_cast<std::int64_t>(bytes + kEnvelopeBytes);
  const int copies = Chance(faults_.message_repeated) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const Duration delay = Chance(faults_.message_delayed)
                               ? Duration(random_.Below(kMaxDelay.count()))
                               : Duration(0);
    const std::uint64_t incarnation = gateways_[target].incarnation;
    At(now_ + settings_.latency + delay,
       [=, this] { Deliver(target, incarnation, [=] { receive(target); }); });
  }
}

void Simulation::Handle(int index, const UnitActions& actions) {
  const InstanceId from = gateways_[index].id;
  for (const auto& [to, message] : actions.heartbeats) {
    SendMessage(index, to, kHeartbeatBytes, [=, this, m = message](int target) {
      Handle(target,
             gateways_[target].units->OnHeartbeat(Local(target), from, m));
    });
  }
  for (const auto& [to, message] : actions.echoes) {
    SendMessage(index, to, kEchoBytes, [=, this, m = message](int target) {
      gateways_[target].units->OnEcho(Local(target), from, m);
      ApplyShare(target);
    });
  }
  if (actions.call.has_value()) {
    CallStore(index, *actions.call);
  }
}

void Simulation::Handle(int index, const TransferActions& actions) {
  const InstanceId from = gateways_[index].id;
  HandleReturns(index, actions.returns);
  for (const auto& [to, report] : actions.reports) {
    SendMessage(index, to, 8 + 2 + report.levels.size(),
                [=, this, m = report](int target) {
                  gateways_[target].transfers->OnReport(Local(target), from, m);
                });
  }
  for (const auto& [to, request] : actions.requests) {
    const std::size_t bytes =
        8 + 16 + 2 + kItemBytes * request.requested.size();
    SendMessage(index, to, bytes, [=, this, m = request](int target) {
      const auto answer =
          gateways_[target].transfers->OnRequest(Local(target), m);
      const InstanceId source = gateways_[target].id;
      SendMessage(target, from, bytes, [=, this](int requester) {
        if (gateways_[requester].transfers->OnAnswer(Local(requester), source,
                                                     *answer) &&
            on_credit) {
          on_credit(requester);
        }
      });
    });
  }
}

void Simulation::Handle(int index,
                        const std::vector<Outgoing<LoanRequest>>& requests) {
  const InstanceId from = gateways_[index].id;
  for (const auto& [to, request] : requests) {
    const std::size_t bytes = 8 + 8 + 2 + 8 * request.teams.size();
    SendMessage(index, to, bytes, [=, this, m = request](int target) {
      const auto answer =
          gateways_[target].loans->OnRequest(Local(target), from, m);
      const InstanceId lender = gateways_[target].id;
      const std::size_t answer_bytes =
          8 + 8 + 8 + 2 + 24 * answer->loans.size();
      SendMessage(target, from, answer_bytes, [=, this](int borrower) {
        gateways_[borrower].loans->OnAnswer(Local(borrower), lender, *answer);
      });
    });
  }
}

void Simulation::HandleReturns(
    int index, const std::vector<Outgoing<TransferReturn>>& returns) {
  const InstanceId from = gateways_[index].id;
  for (const auto& [to, message] : returns) {
    const std::size_t bytes = 24 + 2 + 20 * message.items.size();
    SendMessage(index, to, bytes, [=, this, m = message](int target) {
      gateways_[target].transfers->OnReturn(Local(target), from, m);
    });
  }
}

void Simulation::CallStore(int index, const store::Transaction& transaction) {
  Gateway& gateway = gateways_[index];
  ++gateway.traffic.store_calls;
  const std::uint64_t incarnation = gateway.incarnation;
  const auto answer = [=,
                       this](const Result<store::TransactionResult>& result) {
    Deliver(index, incarnation, [=, this] {
      gateways_[index].units->OnStoreResult(Local(index), result);
      ApplyShare(index);
    });
  };
  if (faults_.store_down || faults_.without_store.contains(gateway.domain)) {
    const bool outcome_known = Chance(500);
    At(now_ + kStoreTimeout, [=] {
      answer(Fail(
          outcome_known ? ErrorCode::kUnavailable : ErrorCode::kUnknownOutcome,
          "the store is unreachable"));
    });
    return;
  }
  At(now_ + kStoreLatency / 2, [=, this] {
    const store::TransactionResult result = store_.Execute(transaction);
    const bool lost = Chance(faults_.answer_lost);
    At(now_ + (lost ? kStoreTimeout : kStoreLatency / 2), [=] {
      answer(lost ? Result<store::TransactionResult>(
                        Fail(ErrorCode::kUnknownOutcome, "answer lost"))
                  : result);
    });
  });
}

// -------------------------------------------------------------------- ticks

void Simulation::TickUnits(int index, std::uint64_t incarnation) {
  Gateway& gateway = gateways_[index];
  if (!gateway.alive || gateway.incarnation != incarnation) {
    return;
  }
  if (!gateway.paused) {
    Handle(index, gateway.units->Tick(Local(index)));
    ApplyShare(index);
  }
  At(now_ + settings_.unit_tick, [=, this] { TickUnits(index, incarnation); });
}

void Simulation::TickTransfers(int index, std::uint64_t incarnation) {
  Gateway& gateway = gateways_[index];
  if (!gateway.alive || gateway.incarnation != incarnation) {
    return;
  }
  if (!gateway.paused) {
    Handle(index, gateway.transfers->Tick(Local(index)));
    Handle(index, gateway.loans->Tick(Local(index)));
  }
  At(now_ + settings_.transfer_tick,
     [=, this] { TickTransfers(index, incarnation); });
}

SpendResult Simulation::Spend(int index, const TeamId& team, Tokens cost) {
  TeamBudget* budget = gateways_[index].budgets->snapshot()->Find(team);
  if (budget == nullptr) {
    return {};
  }
  return budget->Spend([&] { return Local(index); }, cost);
}

void Simulation::RequestTokens(int index, const TeamId& team, Tokens missing) {
  Handle(index, gateways_[index].transfers->RequestTokens(Local(index), team,
                                                          missing));
}

void Simulation::Refund(int index, const TeamId& team, TimePoint admitted,
                        Tokens unused) {
  gateways_[index].transfers->Settle(Local(index), team, admitted, unused);
}

DomainId DomainName(int number) { return DomainId(fmt::format("d{}", number)); }

TeamId TeamName(std::size_t number) {
  return TeamId(fmt::format("team-{}", 1000 + number));
}

config::Configuration MakeConfiguration(int domains,
                                        const std::vector<Limit>& limits,
                                        std::int64_t units_per_domain) {
  config::Configuration configuration;
  configuration.number = 1;
  for (int i = 0; i < domains; ++i) {
    configuration.domains[DomainName(i)].units = units_per_domain;
  }
  for (std::size_t i = 0; i < limits.size(); ++i) {
    config::Team& team = configuration.teams[TeamName(i)];
    team.rate = limits[i].rate;
    team.burst = limits[i].burst;
  }
  return configuration;
}

}  // namespace figwell::budget::simulation
