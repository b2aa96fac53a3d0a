#ifndef FIGWELL_APPS_EDGE_SERVER_STATE_H_
#define FIGWELL_APPS_EDGE_SERVER_STATE_H_

#include "state.h"

namespace figwell::edge {

/**
 * Limits of an internal call to a server: a report, an order or a check. A
 * faulty server may send bytes without end, and calls to many servers run at
 * the same time, so an answer is bounded in size and in total time.
 * @param timeout for the head, and for each piece of the body
 */
http::CallLimits InternalCallLimits(std::chrono::milliseconds timeout);

/** A call to a server that was answered. */
struct AnsweredCall {
  ServerId server;
  /** Start time of the server process that the call was sent to. */
  std::int64_t started_ms = 0;
  TimePoint sent;
  /** The caller's request; empty for an internal call. */
  RequestId request;
};

/**
 * Applies what a server's answer reports about the server itself: that it is
 * leaving, asks for a pause, limits the rate of requests, or is cold.
 */
void ApplyServerState(State& state, const AnsweredCall& call,
                      const adapter::ResponseHead& answer);
/** The same, for the answer to an internal call. */
void ApplyServerState(State& state, const AnsweredCall& call,
                      const http::Response& response);

/** The server stays cold for this long, or is warm if it is 0. */
void ApplyColdTime(State& state, const ServerId& server, Duration remaining);
/** The server may be cold: it counts as cold for as long as after a start. */
void SuspectColdServer(State& state, const serving::BackendServer& server);

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_SERVER_STATE_H_
