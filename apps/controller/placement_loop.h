#ifndef FIGWELL_APPS_CONTROLLER_PLACEMENT_LOOP_H_
#define FIGWELL_APPS_CONTROLLER_PLACEMENT_LOOP_H_

/**
 * The placement loop: executes the actions of placement::Controller against the
 * store and, over HTTP, the engines. Everything runs on the control thread.
 */

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "figwell/config.h"
#include "figwell/core.h"
#include "figwell/http.h"
#include "figwell/placement.h"
#include "figwell/store.h"

namespace figwell::controller {

/** A client of the engines' protocol (docs/ENGINE.md). */
class EngineClient {
 public:
  using OnReport = std::function<void(const Result<placement::ServerReport>&)>;
  using OnAnswer = std::function<void(placement::OrderAnswer)>;

  explicit EngineClient(boost::asio::io_context& context);

  void FetchReport(const std::string& address, OnReport on_report);

  /**
   * Sends an order at most once. Calls `may_send` right before the first byte
   * and does not send if it returns false. With SendOrder::confirm_incarnation
   * it first fetches a report and does not send if the engine's incarnation
   * has changed or the report fails.
   */
  void SendOrder(const placement::SendOrder& order,
                 std::function<bool()> may_send, OnAnswer on_answer);

 private:
  void Post(const placement::SendOrder& order,
            const std::function<bool()>& may_send, OnAnswer on_answer);

  http::Client client_;
};

struct PlacementSettings {
  InstanceId instance;
  DomainId domain;
  /** The prefix of all of figwell's keys in the store. */
  std::string prefix;
};

/** Runs the placement of one domain in a controller process. */
template <store::Store S>
class PlacementLoop {
 public:
  static constexpr std::chrono::milliseconds kTickInterval{250};

  /**
   * `context` and `store` must outlive the loop. All calls are made on the
   * context's thread.
   */
  PlacementLoop(boost::asio::io_context& context, S& store,
                const PlacementSettings& settings)
      : store_(store),
        timer_(context),
        engines_(context),
        controller_(settings.instance, settings.domain, settings.prefix) {}

  PlacementLoop(const PlacementLoop&) = delete;
  PlacementLoop& operator=(const PlacementLoop&) = delete;

  void Start() { ScheduleTick(); }
  /** Sends no more orders. The lease is not revoked; it expires. */
  void Stop() {
    alive_.reset();
    timer_.cancel();
  }

  /** Call with each version of the configuration when it comes into force. */
  void SetConfiguration(config::ConfigurationPtr configuration) {
    controller_.OnConfiguration(std::move(configuration));
  }

  /** Call with each gateway's report of its demand in this domain. */
  void AddDemand(const placement::DemandReport& report) {
    controller_.OnDemand(MonotonicNow(), report);
  }

  placement::PlacementStatus Status() const {
    return controller_.Status(MonotonicNow());
  }

  /** The `placement` field of `GET /v1/status`, a JSON object. */
  std::string StatusJson() const { return placement::ToJson(Status()); }

 private:
  std::weak_ptr<int> Alive() const { return alive_; }

  /** Wraps `handler` so that it does nothing once the loop is stopped. */
  template <typename Handler>
  auto UnlessStopped(Handler handler) {
    return [alive = Alive(), handler = std::move(handler)](const auto& result) {
      if (!alive.expired()) {
        handler(result);
      }
    };
  }

  void ScheduleTick() {
    timer_.expires_after(kTickInterval);
    timer_.async_wait(
        UnlessStopped([this](const boost::system::error_code& error) {
          if (!error) {
            Execute(controller_.OnTick(MonotonicNow()));
            ScheduleTick();
          }
        }));
  }

  void Execute(const placement::Actions& actions) {
    for (const placement::ControllerAction& action : actions) {
      std::visit([this](const auto& step) { this->Execute(step); }, action);
    }
  }

  void Execute(const placement::GrantLease& grant) {
    store_.GrantLease(
        grant.ttl, UnlessStopped([this](const Result<store::LeaseId>& lease) {
          controller_.OnLeaseGranted(MonotonicNow(), lease);
        }));
  }

  void Execute(const placement::RenewLease& renew) {
    store_.KeepLeaseAlive(
        renew.lease,
        UnlessStopped([this, lease = renew.lease](
                          const Result<std::chrono::seconds>& left) {
          controller_.OnLeaseRenewed(MonotonicNow(), lease, left);
        }));
  }

  void Execute(const placement::ExecuteTransaction& execute) {
    store_.Execute(
        execute.transaction,
        UnlessStopped([this, id = execute.id](
                          const Result<store::TransactionResult>& result) {
          Execute(controller_.OnTransaction(MonotonicNow(), id, result));
        }));
  }

  void Execute(const placement::FetchReport& fetch) {
    engines_.FetchReport(
        fetch.address,
        UnlessStopped([this, server = fetch.server,
                       requested_at = MonotonicNow()](
                          const Result<placement::ServerReport>& report) {
          controller_.OnReport(MonotonicNow(), server, requested_at, report);
        }));
  }

  void Execute(const placement::SendOrder& send) {
    const auto may_send = [this, alive = Alive()] {
      return !alive.expired() && controller_.MaySend(MonotonicNow());
    };
    engines_.SendOrder(
        send, may_send,
        UnlessStopped([this, server = send.server, number = send.order.fencing](
                          placement::OrderAnswer answer) {
          Execute(controller_.OnOrderAnswer(MonotonicNow(), server, number,
                                            answer));
        }));
  }

  S& store_;
  boost::asio::steady_timer timer_;
  EngineClient engines_;
  placement::Controller controller_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace figwell::controller

#endif  // FIGWELL_APPS_CONTROLLER_PLACEMENT_LOOP_H_
