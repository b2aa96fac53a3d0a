#ifndef FIGWELL_APPS_EDGE_SERVER_STATE_H_
#define FIGWELL_APPS_EDGE_SERVER_STATE_H_

#include "state.h"

namespace figwell::edge {

/**
 * Applies what a server's answer reports about the server itself: that it is
 * leaving, or that it asks for a pause.
 * @param started_ms start time of the server process that the call was sent to
 * @param request the request that was answered; empty for an internal call
 */
void ApplyServerState(State& state, const ServerId& server,
                      std::int64_t started_ms,
                      const adapter::ResponseHead& answer,
                      const RequestId& request);
/** The same, for the answer to an internal call. */
void ApplyServerState(State& state, const ServerId& server,
                      std::int64_t started_ms, const http::Response& response);

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_SERVER_STATE_H_
