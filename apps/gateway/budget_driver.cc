#include "budget_driver.h"

namespace figwell::gateway {

using telemetry::Event;

BudgetDriver::BudgetDriver(boost::asio::io_context& context,
                           platform::EtcdStore& store,
                           const budget::UnitSettings& settings,
                           telemetry::Registry& metrics, SendMessage send)
    : store_(store),
      settings_(settings),
      units_gauge_(metrics.GetGauge("figwell_budget_units")),
      send_(std::move(send)),
      unit_timer_(context),
      transfer_timer_(context),
      units_(settings, MonotonicNow()),
      transfers_({settings.instance, settings.domain}, settings.incarnation),
      loans_({settings.instance, settings.domain}, settings.incarnation) {}

void BudgetDriver::Start() {
  TickUnits();
  TickTransfers();
}

void BudgetDriver::SetConfiguration(
    const config::Configuration& configuration) {
  const TimePoint now = MonotonicNow();
  budgets_.Configure(now, configuration);
  transfers_.Configure(configuration.number, budgets_.snapshot());
  loans_.Configure(configuration, budgets_.snapshot());
  const auto domain = configuration.domains.find(settings_.domain);
  const std::int64_t own =
      domain == configuration.domains.end() ? 0 : domain->second.units;
  units_.Configure(
      now, own, std::max<std::int64_t>(1, config::TotalUnits(configuration)));
  ApplyShare();
}

void BudgetDriver::SetPeers(const std::vector<budget::TransferPeer>& peers) {
  transfers_.SetPeers(peers);
  loans_.SetPeers(peers);
  std::vector<InstanceId> members;
  for (const budget::TransferPeer& peer : peers) {
    if (peer.domain == settings_.domain) {
      members.push_back(peer.instance);
    }
  }
  units_.SetMembers(members);
}

void BudgetDriver::TickUnits() {
  ExecuteActions(units_.Tick(MonotonicNow()));
  ApplyShare();
  unit_timer_.expires_after(budget::kUnitTick);
  unit_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      TickUnits();
    }
  });
}

void BudgetDriver::TickTransfers() {
  ExecuteActions(transfers_.Tick(MonotonicNow()));
  for (const auto& out : loans_.Tick(MonotonicNow())) {
    send_(out.to, out.message);
  }
  transfer_timer_.expires_after(budget::kTransferTick);
  transfer_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      TickTransfers();
    }
  });
}

void BudgetDriver::ExecuteActions(const budget::UnitActions& actions) {
  if (actions.call) {
    store_.Execute(*actions.call,
                   [this](const Result<store::TransactionResult>& result) {
                     units_.OnStoreResult(MonotonicNow(), result);
                     ApplyShare();
                   });
  }
  for (const auto& out : actions.heartbeats) {
    send_(out.to, out.message);
  }
  for (const auto& out : actions.echoes) {
    send_(out.to, out.message);
  }
}

void BudgetDriver::ExecuteActions(const budget::TransferActions& actions) {
  for (const auto& out : actions.requests) {
    send_(out.to, out.message);
  }
  for (const auto& out : actions.reports) {
    send_(out.to, out.message);
  }
  for (const auto& out : actions.returns) {
    send_(out.to, out.message);
  }
}

void BudgetDriver::ApplyShare() {
  const budget::Share share = units_.share();
  const bool lapsed = share.units > 0 && units_.valid_until() <= MonotonicNow();
  if (lapsed && !lapsed_) {
    telemetry::Log(Event::kMintingStopped,
                   "the lease on the units may have expired",
                   {{"units", std::to_string(share.units)}});
  }
  lapsed_ = lapsed;
  budgets_.SetShare(MonotonicNow(), share, units_.valid_until());
  units_gauge_.Set(share.units);
  if (share.units != last_units_) {
    telemetry::Log(share.units > last_units_ ? Event::kUnitsClaimed
                                             : Event::kUnitsReleased,
                   "the number of units held has changed",
                   {{"units", std::to_string(share.units)},
                    {"total", std::to_string(share.total)}});
    last_units_ = share.units;
  }
}

void BudgetDriver::OnMessage(const InstanceId& from,
                             const BudgetMessage& message) {
  std::visit([&](const auto& content) { On(from, content); }, message);
}

void BudgetDriver::On(const InstanceId& from,
                      const budget::TransferRequest& request) {
  if (const auto answer = transfers_.OnRequest(MonotonicNow(), request)) {
    send_(from, *answer);
  }
}

void BudgetDriver::On(const InstanceId& from,
                      const budget::TransferAnswer& answer) {
  transfers_.OnAnswer(MonotonicNow(), from, answer);
}

void BudgetDriver::On(const InstanceId& from,
                      const budget::LevelReport& report) {
  transfers_.OnReport(MonotonicNow(), from, report);
}

void BudgetDriver::On(const InstanceId& from,
                      const budget::UnitHeartbeat& heartbeat) {
  ExecuteActions(units_.OnHeartbeat(MonotonicNow(), from, heartbeat));
  ApplyShare();
}

void BudgetDriver::On(const InstanceId& from, const budget::UnitEcho& echo) {
  units_.OnEcho(MonotonicNow(), from, echo);
  ApplyShare();
}

void BudgetDriver::On(const InstanceId& from,
                      const budget::TransferReturn& message) {
  transfers_.OnReturn(MonotonicNow(), from, message);
}

void BudgetDriver::On(const InstanceId& from,
                      const budget::LoanRequest& request) {
  if (const auto answer = loans_.OnRequest(MonotonicNow(), from, request)) {
    send_(from, *answer);
  }
}

void BudgetDriver::On(const InstanceId& from,
                      const budget::LoanAnswer& answer) {
  loans_.OnAnswer(MonotonicNow(), from, answer);
}

void BudgetDriver::Settle(const TeamId& team, TimePoint admitted,
                          budget::Tokens unused) {
  transfers_.Settle(MonotonicNow(), team, admitted, unused);
}

void BudgetDriver::RequestTokens(const TeamId& team, budget::Tokens missing) {
  ExecuteActions(transfers_.RequestTokens(MonotonicNow(), team, missing));
}

void BudgetDriver::Leave() { units_.Leave(MonotonicNow()); }

}  // namespace figwell::gateway
