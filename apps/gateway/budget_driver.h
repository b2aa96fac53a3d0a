#ifndef FIGWELL_APPS_GATEWAY_BUDGET_DRIVER_H_
#define FIGWELL_APPS_GATEWAY_BUDGET_DRIVER_H_

#include <boost/asio.hpp>
#include <functional>
#include <variant>
#include <vector>

#include "figwell/budget.h"
#include "figwell/platform.h"
#include "figwell/telemetry.h"

namespace figwell::gateway {

/** The budget messages that gateways exchange. */
using BudgetMessage =
    std::variant<budget::TransferRequest, budget::TransferAnswer,
                 budget::LevelReport, budget::UnitHeartbeat, budget::UnitEcho,
                 budget::TransferReturn, budget::LoanRequest,
                 budget::LoanAnswer>;

/**
 * Holds this gateway's units and transfers tokens between gateways. Runs on
 * the control thread.
 */
class BudgetDriver {
 public:
  using SendMessage =
      std::function<void(const InstanceId&, const BudgetMessage&)>;

  BudgetDriver(boost::asio::io_context& context, platform::EtcdStore& store,
               const budget::UnitSettings& settings,
               telemetry::Registry& metrics, SendMessage send);

  void Start();
  void SetConfiguration(const config::Configuration& configuration);
  /** The live gateways, this one included. */
  void SetPeers(const std::vector<budget::TransferPeer>& peers);
  void OnMessage(const InstanceId& from, const BudgetMessage& message);
  void RequestTokens(const TeamId& team, budget::Tokens missing);
  /** Returns the unused tokens of a request's charge. */
  void Settle(const TeamId& team, TimePoint admitted, budget::Tokens unused);

  /** Releases the units; `left` returns true once that is done. */
  void Leave();
  bool left() const { return units_.left(); }

  std::shared_ptr<const budget::BudgetTable> table() const {
    return budgets_.snapshot();
  }
  const budget::UnitTable& units() const { return units_.table(); }
  budget::Share share() const { return units_.share(); }

 private:
  void TickUnits();
  void TickTransfers();
  void On(const InstanceId& from, const budget::TransferRequest& request);
  void On(const InstanceId& from, const budget::TransferAnswer& answer);
  void On(const InstanceId& from, const budget::LevelReport& report);
  void On(const InstanceId& from, const budget::UnitHeartbeat& heartbeat);
  void On(const InstanceId& from, const budget::UnitEcho& echo);
  void On(const InstanceId& from, const budget::TransferReturn& message);
  void On(const InstanceId& from, const budget::LoanRequest& request);
  void On(const InstanceId& from, const budget::LoanAnswer& answer);
  void ExecuteActions(const budget::UnitActions& actions);
  void ExecuteActions(const budget::TransferActions& actions);
  void ApplyShare();

  platform::EtcdStore& store_;
  budget::UnitSettings settings_;
  telemetry::Gauge& units_gauge_;
  SendMessage send_;
  boost::asio::steady_timer unit_timer_;
  boost::asio::steady_timer transfer_timer_;
  budget::UnitHolder units_;
  budget::TeamBudgets budgets_;
  budget::Transfers transfers_;
  budget::Loans loans_;
  std::int64_t last_units_ = 0;
  bool lapsed_ = false;
};

}  // namespace figwell::gateway

#endif  // FIGWELL_APPS_GATEWAY_BUDGET_DRIVER_H_
