#ifndef FIGWELL_APPS_EDGE_SERVER_STATE_H_
#define FIGWELL_APPS_EDGE_SERVER_STATE_H_

#include "state.h"

namespace figwell::edge {

/**
 * Takes up that a server leaves or wants a pause, from its own answer.
 * @param started_ms of the start of the server that the call went to
 * @param request that was answered; empty for a call of this system's own
 */
void ApplyServerState(State& state, const ServerId& server,
                      std::int64_t started_ms,
                      const adapter::ResponseHead& answer,
                      const RequestId& request);
/** The same, from the answer to a call of this system's own. */
void ApplyServerState(State& state, const ServerId& server,
                      std::int64_t started_ms, const http::Response& response);

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_SERVER_STATE_H_
