#include "placement_driver.h"
#include "server_state.h"

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

// Reports that are read at the same time; each takes a connection.
constexpr std::size_t kMaxConcurrentReports = 64;
constexpr milliseconds kReportTimeout{600};
constexpr Duration kReportRetryInterval = milliseconds(400);
// A server whose report breaks off or does not end would take up the link.
constexpr Duration kExcessiveReportRetryInterval = milliseconds(3'000);

Result<serving::EngineReport> ReportOfStart(
    std::int64_t started_ms,
    const tl::expected<http::Response, http::ClientError>& response) {
  if (!response) {
    return Fail(ErrorCode::kUnavailable, response.error().message);
  }
  auto report = adapter::DecodeReport(*response);
  if (report && !report->IsOfStart(started_ms)) {
    return Fail(ErrorCode::kUnavailable,
                "the report is of another start than the registry entry");
  }
  return report;
}

}  // namespace

void PlacementDriver::ReadReports(TimePoint now, const ServiceId& service) {
  for (const serving::BackendServer* server : serving::PlacementServers(
           now, state_.directory, service, state_.balancer.limits())) {
    const ServerId& id = server->id;
    if (reports_in_flight_ >= kMaxConcurrentReports) {
      return;
    }
    if (permits_.MayCall(now, id) && order_tracker_.NeedsReport(now, id)) {
      order_tracker_.OnReportRequested(now, id);
      permits_.OnInternalCall(now, id);
      ReadReport(*server);
    }
  }
}

void PlacementDriver::ReadReport(const serving::BackendServer& server) {
  const http::CallLimits limits = InternalCallLimits(kReportTimeout);
  ++reports_in_flight_;
  client_.Fetch(
      server.address, adapter::MakeReportRequest(server.id), limits,
      [this, id = server.id, started_ms = server.started_ms,
       sent = MonotonicNow()](
          const tl::expected<http::Response, http::ClientError>& response) {
        const TimePoint now = MonotonicNow();
        --reports_in_flight_;
        if (response) {
          ApplyServerState(state_, {id, started_ms, sent, {}}, *response);
        }
        const auto report = ReportOfStart(started_ms, response);
        if (!report) {
          const bool body_failed =
              !response && response.error().stage == http::Stage::kBody;
          order_tracker_.OnReportFailed(now, id,
                                        body_failed
                                            ? kExcessiveReportRetryInterval
                                            : kReportRetryInterval);
          telemetry::Log(Event::kServerUnreachable, report.error().message,
                         {{"server", id.value()}});
          return;
        }
        if (const auto held = order_tracker_.OnReport(now, id, *report)) {
          Announce(id, *held, true);
        }
      },
      adapter::MayAnswerInternalCall);
}

}  // namespace figwell::edge
