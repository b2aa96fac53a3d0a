#ifndef FIGWELL_SERVING_SERVER_PACES_H_
#define FIGWELL_SERVING_SERVER_PACES_H_

/** How long work takes at each server, compared with usual; see serving.h. */

#include <map>
#include <optional>
#include <set>

#include "figwell/core.h"

namespace figwell::serving {

/**
 * The paces of servers that share their machines with others: a pace of 2 means
 * that work takes twice as long as usual. Servers state them in their answers.
 * A statement is of the moment; between statements a server is expected at its
 * own usual pace, which instances announce to each other, since in a large
 * fleet each of them hears from a given server only every few seconds.
 *
 * A service is uneven once one of its servers has stated a pace. Paces matter
 * to decisions for uneven services only: all others have the pace 1.
 */
class ServerPaces {
 public:
  /**
   * A server has stated its pace with an answer.
   * @return the server's usual pace if it is to be announced to peers: it is
   * new, or differs clearly from what was last announced
   */
  std::optional<double> OnStated(TimePoint now, const ServiceId& service,
                                 const ServerId& server, double pace);
  /** A peer has announced the usual pace of a server. */
  void OnPeerUsual(TimePoint now, const ServiceId& service,
                   const ServerId& server, double usual);
  void RemoveServer(const ServerId& server) { servers_.erase(server); }

  /** The pace to expect of the server now; 1 if nothing is known. */
  double Pace(TimePoint now, const ServerId& server) const;
  /** The pace to expect of it over seconds. */
  double UsualPace(const ServerId& server) const;
  bool IsUneven(const ServiceId& service) const {
    return uneven_.contains(service);
  }

 private:
  struct Server {
    double usual = 1;
    double announced = 0;
    TimePoint announced_at;
    double stated = 1;
    /** When the server last stated its pace to this instance. */
    std::optional<TimePoint> stated_at;
  };

  std::map<ServerId, Server> servers_;
  std::set<ServiceId> uneven_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_SERVER_PACES_H_
