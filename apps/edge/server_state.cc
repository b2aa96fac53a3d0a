#include "server_state.h"

#include "log_text.h"

namespace figwell::edge {
namespace {

using telemetry::Event;

// A report lists models, adapters and running requests, some ten bytes each.
constexpr std::size_t kMaxInternalAnswerBytes = 131'072;

void ApplyLimit(State& state, const AnsweredCall& call,
                const std::optional<double>& per_second) {
  if (!state.directory.IsSameStart(call.server, call.started_ms)) {
    return;  // the server has restarted since, or is gone
  }
  // Servers need not state their limit in reports and answers to orders.
  if (!per_second && call.request.empty()) {
    return;
  }
  const serving::LimitChange change = state.balancer.limits().OnAnswer(
      MonotonicNow(), call.sent, call.server, per_second);
  if (change != serving::LimitChange::kNone) {
    state.on_limit_stated(call.server, call.started_ms, change);
  }
}

const serving::ServiceSpec* FindService(const State& state,
                                        const serving::BackendServer* server) {
  return server == nullptr || !state.catalog
             ? nullptr
             : state.catalog->FindService(server->service);
}

void LogCold(const ServerId& server, Duration remaining,
             std::string_view cause) {
  telemetry::Log(Event::kServerCold, cause,
                 {{"server", server.value()}, {"remaining_ms", Ms(remaining)}});
}

}  // namespace

http::CallLimits InternalCallLimits(std::chrono::milliseconds timeout) {
  http::CallLimits limits;
  limits.head_timeout = timeout;
  limits.piece_timeout = timeout;
  limits.total_timeout = 2 * timeout;
  limits.body_bytes = kMaxInternalAnswerBytes;
  return limits;
}

void ApplyServerState(State& state, const AnsweredCall& call,
                      const adapter::ResponseHead& answer) {
  if (answer.leaving) {
    state.on_server_leaving(call.server, call.started_ms);
  }
  if (answer.pause) {
    state.balancer.OnPauseRequested(MonotonicNow(), call.server, *answer.pause);
    state.metrics.GetCounter("figwell_server_pauses_total").Add();
    telemetry::Log(Event::kServerPaused, {},
                   {{"request", call.request.value()},
                    {"server", call.server.value()},
                    {"pause_ms", Ms(*answer.pause)}});
  }
  if (answer.cold_remaining &&
      state.directory.IsSameStart(call.server, call.started_ms)) {
    ApplyColdTime(state, call.server, *answer.cold_remaining);
  }
  ApplyLimit(state, call, answer.limit_per_second);
}

void ApplyServerState(State& state, const AnsweredCall& call,
                      const http::Response& response) {
  ApplyServerState(
      state, call,
      adapter::DecodeResponseHead({}, response.status, response.headers));
}

void ApplyColdTime(State& state, const ServerId& server, Duration remaining) {
  const auto* service = FindService(state, state.directory.Find(server));
  if (service == nullptr) {
    return;
  }
  const Duration bounded = std::min(remaining, service->cold_start);
  if (state.balancer.limits().OnCold(MonotonicNow(), server, bounded,
                                     service->cold_requests_per_second)) {
    LogCold(server, bounded, "stated by the server");
  }
}

void SuspectColdServer(State& state, const serving::BackendServer& server) {
  const auto* service = FindService(state, &server);
  if (service != nullptr && state.balancer.limits().SuspectCold(
                                MonotonicNow(), server.id, service->cold_start,
                                service->cold_requests_per_second)) {
    LogCold(server.id, service->cold_start, "suspected");
  }
}

}  // namespace figwell::edge
