#ifndef FIGWELL_SERVING_SERVER_PACES_H_
#define FIGWELL_SERVING_SERVER_PACES_H_

/** How long work takes at each server, compared with usual; see serving.h. */

#include <map>
#include <set>

#include "figwell/core.h"

namespace figwell::serving {

/**
 * The paces of servers that share their machines with others: a pace of 2 means
 * that work takes twice as long as usual. A service is uneven once one of its
 * servers has stated a pace; decisions for uneven services take paces into
 * account, those for other services do not.
 */
class ServerPaces {
 public:
  /** A server has stated its pace with an answer. */
  void OnStated(TimePoint now, const ServiceId& service, const ServerId& server,
                double pace);
  void RemoveServer(const ServerId& server) { stated_.erase(server); }

  /** The server's pace; 1 if it is not known. */
  double Pace(TimePoint now, const ServerId& server) const;
  bool IsUneven(const ServiceId& service) const {
    return uneven_.contains(service);
  }

 private:
  struct Statement {
    double pace = 1;
    TimePoint at;
  };

  std::map<ServerId, Statement> stated_;
  std::set<ServiceId> uneven_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_SERVER_PACES_H_
