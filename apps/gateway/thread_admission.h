#ifndef FIGWELL_APPS_GATEWAY_THREAD_ADMISSION_H_
#define FIGWELL_APPS_GATEWAY_THREAD_ADMISSION_H_

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>

#include "figwell/admission.h"
#include "figwell/routing.h"
#include "shared.h"

namespace figwell::gateway {

/**
 * Holds the waiting requests of one traffic thread: those that wait for tokens
 * of their team, and those that wait for a server with capacity. The callback
 * of a waiting request keeps the request alive.
 */
class ThreadAdmission {
 public:
  using OnRate = std::function<void(const admission::RateDecision&)>;
  /** Runs with no reason if the request may be dispatched. */
  using OnDequeued =
      std::function<void(std::optional<admission::RefusalReason>)>;

  ThreadAdmission(boost::asio::io_context& context, SharedState& shared);

  /** Applies policy.fairness and the budgets of a newer snapshot. */
  void SetSnapshot(const SnapshotPtr& snapshot);

  /**
   * Charges a request's cost to its team, now or after a wait; `on_rate` runs
   * once.
   * @return the id to pass to StopWaiting, if the request waits
   */
  std::optional<admission::WaitId> Spend(
      const admission::RateGate::Request& request, OnRate on_rate);
  void StopWaiting(admission::WaitId wait);

  /** Queues a request until a server has capacity; `on_dequeued` runs once. */
  std::optional<admission::Ticket> Queue(
      const config::ModelTarget& target, const TeamId& team,
      std::int64_t weight, const admission::QueuedRequest& request,
      OnDequeued on_dequeued);
  void LeaveQueue(const config::ModelTarget& target, admission::Ticket ticket);

  /** Whether a server of the target has capacity and no request is queued. */
  bool HasCapacity(const config::ModelTarget& target);

  /** Dispatches queued requests, since a server may have capacity again. */
  void OnCapacityFreed() { PumpQueues(); }

 private:
  struct TargetQueue {
    admission::ModelQueue queue;
    std::map<admission::Ticket, OnDequeued> callbacks;

    TargetQueue() : queue(admission::QueueBounds{}) {}
  };

  bool ServerHasCapacity(const config::ModelTarget& target);
  void CompleteWait(const admission::RateDecision& decision);
  void PollRates();
  void PumpQueues();
  void Pump(const config::ModelTarget& target, TargetQueue& queue);
  void ScheduleTick();
  static void Answer(TargetQueue& queue, admission::Ticket ticket,
                     std::optional<admission::RefusalReason> reason);

  SharedState& shared_;
  SnapshotPtr snapshot_;
  boost::asio::steady_timer timer_;
  bool tick_scheduled_ = false;
  bool pumping_ = false;
  admission::RateGate gate_;
  std::map<admission::WaitId, OnRate> waiting_;
  std::map<config::ModelTarget, TargetQueue> queues_;
};

}  // namespace figwell::gateway

#endif  // FIGWELL_APPS_GATEWAY_THREAD_ADMISSION_H_
