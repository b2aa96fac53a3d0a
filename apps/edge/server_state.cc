#include "server_state.h"

#include "log_text.h"

namespace figwell::edge {

void ApplyServerState(State& state, const ServerId& server,
                      std::int64_t started_ms,
                      const adapter::ResponseHead& answer,
                      const RequestId& request) {
  if (answer.leaving) {
    state.on_server_leaving(server, started_ms);
  }
  if (answer.pause) {
    state.balancer.OnPauseRequested(MonotonicNow(), server, *answer.pause);
    state.metrics.GetCounter("figwell_server_pauses_total").Add();
    telemetry::Log(telemetry::Event::kServerPaused, {},
                   {{"request", request.value()},
                    {"server", server.value()},
                    {"pause_ms", Ms(*answer.pause)}});
  }
}

void ApplyServerState(State& state, const ServerId& server,
                      std::int64_t started_ms, const http::Response& response) {
  ApplyServerState(
      state, server, started_ms,
      adapter::DecodeResponseHead({}, response.status, response.headers),
      RequestId());
}

}  // namespace figwell::edge
