#ifndef FIGWELL_SERVING_PERMITS_H_
#define FIGWELL_SERVING_PERMITS_H_

/** Permits for requests to servers that limit their rate; see serving.h. */

#include <map>

#include "figwell/core.h"

namespace figwell::serving {

/** The reply to an instance that asks to send to a limited server. */
struct Permit {
  bool granted = false;
  /**
   * If granted, the time to wait before sending. Otherwise the time until the
   * server can take a further request.
   */
  Duration wait{0};

  friend bool operator==(const Permit&, const Permit&) = default;
};

/**
 * Schedules the requests of all instances to servers that limit their rate. For
 * each server one instance does this, its arbiter; the others ask it for each
 * request. Sharing the limit out instead would give each instance of a large
 * fleet less than one request in many seconds.
 *
 * Uses the generic cell rate algorithm: after an idle second a server takes one
 * second's worth of requests at once, otherwise they are evenly spaced. A
 * permit may be granted for a later time, so that requests wait in order of
 * arrival.
 */
class PermitScheduler {
 public:
  /**
   * @param per_second the limit that applies to requests scheduled here
   * @param max_wait how long the request can wait for its permit
   */
  Permit Request(TimePoint now, const ServerId& server, double per_second,
                 Duration max_wait);
  /** Counts a request that its sender sends without asking. */
  void Charge(TimePoint now, const ServerId& server, double per_second);
  /** Drops the schedule of a server that has no limit any more. */
  void RemoveServer(const ServerId& server) { next_.erase(server); }

 private:
  /** Time of the next evenly spaced request; the current time if unknown. */
  TimePoint& Next(TimePoint now, const ServerId& server, double per_second);

  std::map<ServerId, TimePoint> next_;
};

/** The time between two requests at a limit. */
Duration RequestInterval(double per_second);

/**
 * The arbiter of a server: by rendezvous hashing among the instances in the
 * server's failure domain, so that instances which reach the server reach its
 * arbiter too; among all if none is there.
 * @param instances the instances that are alive with their domains, not empty
 */
InstanceId SelectArbiter(const ServerId& server, const DomainId& domain,
                         const std::map<InstanceId, DomainId>& instances);

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_PERMITS_H_
