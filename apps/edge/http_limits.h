#ifndef FIGWELL_APPS_EDGE_HTTP_LIMITS_H_
#define FIGWELL_APPS_EDGE_HTTP_LIMITS_H_

#include "figwell/http.h"
#include "figwell/serving.h"

namespace figwell::edge {

/** Limits of calls to the store. */
http::ClientLimits StoreLimits();

/** Limits of calls to backend servers. */
http::ClientLimits ServerLimits();

/**
 * Limits on callers. The configuration states what callers may send; sizes and
 * times are enforced at twice that, so that only clear violations are refused.
 */
http::ServerLimits LimitsOnCallers(const serving::CallerLimits& configured);

/** Limits on whoever asks whether the instance is ready, or for its metrics. */
http::ServerLimits ProbeLimits();

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_HTTP_LIMITS_H_
