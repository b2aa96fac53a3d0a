#ifndef FIGWELL_APPS_EDGE_PERMIT_CLIENT_H_
#define FIGWELL_APPS_EDGE_PERMIT_CLIENT_H_

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <map>

#include "peer_group.h"
#include "state.h"

namespace figwell::edge {

/**
 * Obtains permits for requests to servers that limit their rate, from the
 * server's arbiter, and grants them while this instance is the arbiter.
 */
class PermitClient {
 public:
  using Callback = std::function<void(const serving::Permit&)>;

  PermitClient(State& state, PeerGroup& peers) : state_(state), peers_(peers) {}

  /**
   * Asks for a permit for one request. `on_done` runs once, maybe before the
   * return. If the arbiter does not reply, the permit is not granted.
   * @param per_second the server's limit
   * @param max_wait how long the request can wait for its permit
   */
  void Acquire(const ServerId& server, double per_second, Duration max_wait,
               Callback on_done);

  /**
   * Whether an internal call to the server may be sent now: not during a pause
   * or an evacuation, and at a limited server such calls use at most half of
   * the limit.
   */
  bool MayCall(TimePoint now, const ServerId& server) const;
  /** An internal call is sent; it counts against the server's limit. */
  void OnInternalCall(TimePoint now, const ServerId& server);

  void OnRequest(const InstanceId& from, const PermitRequestMessage& message);
  void OnReply(const PermitReplyMessage& message);
  /** The server has no limit any more. */
  void RemoveServer(const ServerId& server);

 private:
  struct PendingRequest {
    ServerId server;
    double per_second = 0;
    Duration max_wait{0};
    int sends = 0;
    Callback on_done;
    boost::asio::steady_timer timer;
  };

  InstanceId ArbiterOf(const ServerId& server) const;
  /** The part of a limit that is scheduled here. */
  double OwnPart(double per_second) const;
  serving::Permit Grant(TimePoint now, const ServerId& server,
                        double per_second, Duration max_wait);
  void SendRequest(std::uint64_t number);
  void Complete(std::uint64_t number, const serving::Permit& permit);

  State& state_;
  PeerGroup& peers_;
  serving::PermitScheduler scheduler_;
  std::map<std::uint64_t, PendingRequest> pending_;
  std::uint64_t last_number_ = 0;
  std::map<ServerId, TimePoint> last_internal_call_;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_PERMIT_CLIENT_H_
