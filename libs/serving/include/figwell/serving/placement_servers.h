#ifndef FIGWELL_SERVING_PLACEMENT_SERVERS_H_
#define FIGWELL_SERVING_PLACEMENT_SERVERS_H_

/** The servers that placement counts on; see serving.h. */

#include <vector>

#include "figwell/core.h"
#include "figwell/serving/directory.h"
#include "figwell/serving/server_limits.h"

namespace figwell::serving {

/**
 * The usable servers of a service, which evacuated ones are not, without those
 * that currently limit the rate of requests: a model that only they hold is
 * loaded elsewhere too. If more than half of the servers have a limit, the
 * others could not take over their models, and all usable servers are returned.
 */
std::vector<const BackendServer*> PlacementServers(TimePoint now,
                                                   const Directory& directory,
                                                   const ServiceId& service,
                                                   const ServerLimits& limits);

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_PLACEMENT_SERVERS_H_
