#include "server_state.h"

#include "log_text.h"

namespace figwell::edge {

void NoteServerState(State& state, const ServerId& server,
                     std::int64_t started_ms, const adapter::AnswerHead& answer,
                     const RequestId& request) {
  if (answer.leaving) {
    state.on_server_leaving(server, started_ms);
  }
  if (answer.pause) {
    state.balancer.OnPause(MonotonicNow(), server, *answer.pause);
    state.metrics.GetCounter("figwell_server_pauses_total").Add();
    telemetry::Log(telemetry::Event::kServerPaused, {},
                   {{"request", request.value()},
                    {"server", server.value()},
                    {"pause_ms", Ms(*answer.pause)}});
  }
}

void NoteServerState(State& state, const ServerId& server,
                     std::int64_t started_ms, const http::Response& response) {
  NoteServerState(state, server, started_ms,
                  adapter::ReadAnswer({}, response.status, response.headers),
                  RequestId());
}

}  // namespace figwell::edge
