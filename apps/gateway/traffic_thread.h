#ifndef FIGWELL_APPS_GATEWAY_TRAFFIC_THREAD_H_
#define FIGWELL_APPS_GATEWAY_TRAFFIC_THREAD_H_

#include <boost/asio.hpp>
#include <functional>
#include <string>
#include <thread>

#include "session.h"
#include "thread_admission.h"

namespace figwell::gateway {

/**
 * A thread with its own listener, client and sessions. Traffic threads share no
 * locks but those inside the balancer and the budgets.
 */
class TrafficThread {
 public:
  TrafficThread(SharedState& shared, std::string request_prefix);
  ~TrafficThread();
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /** The traffic thread that this is called on; null on other threads. */
  static TrafficThread* Current();

  /** Binds the listener; to be called before Start. @return bound address */
  Result<std::string> Listen(const std::string& address);
  void Start(SnapshotPtr snapshot);

  /** Replaces the thread's snapshot; may be called from any thread. */
  void Publish(SnapshotPtr snapshot);
  void PublishFleet(routing::FleetViewPtr fleet);
  /** Runs a function on this thread; may be called from any thread. */
  void Post(std::function<void()> work);

  /** Accepts no more connections; closes open ones after their answers. */
  void StopAccepting();
  /** Calls `on_count` on this thread with the number of sessions. */
  void CountSessions(std::function<void(std::size_t)> on_count);
  void Stop();

 private:
  http::Response Reject(http::RejectReason reason);

  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  SharedState& shared_;
  http::Client client_;
  ThreadAdmission admission_;
  ThreadState state_;
  http::Server server_;
  std::thread thread_;
};

}  // namespace figwell::gateway

#endif  // FIGWELL_APPS_GATEWAY_TRAFFIC_THREAD_H_
