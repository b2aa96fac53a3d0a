#include "edge.h"

#include <unistd.h>

#include <csignal>

#include "descriptors.h"
#include "http_limits.h"

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

// The platform's load balancer checks readiness once a second and needs up to
// two checks to notice that an instance is no longer ready.
constexpr Duration kReadinessDetectionDelay = milliseconds(2'500);
// After the load balancer stopped sending connections, the newest ones get this
// long to send a request; then idle connections are closed.
constexpr Duration kLastRequestGrace = milliseconds(500);
constexpr milliseconds kStopPollInterval{50};
// The platform kills the process at the end of the stop grace. It ends this
// long before, and requests that still run are answered as failed in time to
// send these answers.
constexpr Duration kStopGraceMargin = milliseconds(400);
constexpr Duration kLastAnswersTime = milliseconds(200);
constexpr milliseconds kSettingsPollInterval{1'000};

// The store usually answers within milliseconds, and takes up to a hundred
// times as long while it is slow.
constexpr milliseconds kStoreTimeout{1'500};
// An instance is not ready for this long after a descriptor was missing: longer
// than the pause between attempts to accept a connection.
constexpr Duration kShortageTime = milliseconds(1'000);
constexpr Duration kShortageLogInterval = milliseconds(5'000);

// Close to the longest wait that the store accepts. A watch that waits longer
// than the store keeps its history may find its start revision compacted.
milliseconds MaxWatchWait(const config::EdgeSettings& settings) {
  constexpr milliseconds kMaxWait{25'000};
  constexpr int kTenthsOfHistory = 8;
  return std::min(kMaxWait, settings.store_history * kTenthsOfHistory / 10);
}

// A store that fails may drop all waiting watches without an answer. The watch
// of the servers is soon found unanswered, which restarts the others too.
milliseconds ServersWatchWait(const config::EdgeSettings& settings) {
  return std::min(settings.bounds.drain_notice, MaxWatchWait(settings));
}

http::Response RejectionResponse(http::RejectReason reason) {
  constexpr int kBadRequest = 400;
  constexpr int kTooLarge = 413;
  constexpr int kHeadTooLarge = 431;
  constexpr int kTimeout = 408;
  constexpr int kUnavailable = 503;
  switch (reason) {
    case http::RejectReason::kBodyTooLarge:
      return http::JsonResponse(kTooLarge, "{\"error\":\"body_too_large\"}");
    case http::RejectReason::kHeaderTooLarge:
      return http::JsonResponse(kHeadTooLarge,
                                "{\"error\":\"head_too_large\"}");
    case http::RejectReason::kTimeout:
      return http::JsonResponse(kTimeout, "{\"error\":\"timeout\"}");
    case http::RejectReason::kTooManyConnections:
    case http::RejectReason::kTooManyBytes:
      return http::JsonResponse(kUnavailable, "{\"error\":\"overloaded\"}");
    default:
      return http::JsonResponse(kBadRequest, "{\"error\":\"malformed\"}");
  }
}

std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

Edge::Edge(std::string settings_file, const config::EdgeSettings& settings)
    : settings_file_(std::move(settings_file)),
      state_(context_, settings),
      incarnation_(NewIncarnation()),
      store_http_(context_, StoreLimits()),
      server_http_(context_, ServerLimits()),
      store_(store_http_, settings.store_address, kStoreTimeout,
             state_.metrics),
      peers_(context_, store_, state_.settings, incarnation_,
             {[this](const InstanceId& from, MessageKind kind,
                     std::string_view bytes) { OnMessage(from, kind, bytes); },
              [this](std::int64_t, const std::string& document) {
                ApplyConfiguration(document, "peer");
              },
              [] {}}),
      permits_(state_, peers_),
      quarantine_(state_, store_, server_http_, peers_, permits_),
      versions_(state_, store_, peers_),
      past_(state_, store_, versions_),
      registrar_(state_, store_),
      placement_(state_, store_, server_http_, peers_, permits_, registrar_,
                 incarnation_),
      configuration_follower_(
          context_, store_, std::string(adapter::kConfigurationPrefix),
          MaxWatchWait(state_.settings),
          {[this](const adapter::Listing& listing) {
             OnConfigurationListing(listing);
           },
           [this](const store::WatchEvent& event) {
             OnConfigurationEvent(event);
           },
           [this] { peers_.OnStoreResult(false); },
           [this](Duration) { peers_.OnStoreResult(true); }}),
      servers_view_(context_, store_, std::string(adapter::kServersPrefix),
                    ServersWatchWait(state_.settings), ServersCallbacks()),
      instances_view_(context_, store_, state_.settings.store_prefix,
                      MaxWatchWait(state_.settings), InstancesCallbacks()),
      callers_(context_, LimitsOnCallers({}),
               ListenerHandlers([this](http::ExchangePtr exchange) {
                 OnCallerRequest(std::move(exchange));
               })),
      ready_(context_, ProbeLimits(),
             ListenerHandlers([this](const http::ExchangePtr& exchange) {
               OnReadyRequest(exchange);
             })),
      metrics_(context_, ProbeLimits(),
               ListenerHandlers([this](const http::ExchangePtr& exchange) {
                 OnMetricsRequest(exchange);
               })),
      signals_(context_, SIGTERM, SIGINT, SIGHUP),
      status_timer_(context_),
      demand_timer_(context_),
      settings_timer_(context_),
      stop_timer_(context_),
      follower_selection_(settings.instance) {
  for (http::Client* client : {&server_http_, &store_http_}) {
    client->OnShortage([this](const std::string& error) {
      OnDescriptorShortage("connect", error);
    });
  }
  state_.send_interim_status = [this] { SendInterimStatus(); };
  state_.catch_up_with_servers = [this](std::function<void(bool)> on_done) {
    CatchUpWithServers(std::move(on_done));
  };
  state_.on_server_leaving = [this](const ServerId& id,
                                    std::int64_t started_ms) {
    OnServerLeaving(id, started_ms, std::nullopt);
  };
  state_.on_pace_learned = [this](const ServerId& id, std::int64_t started_ms,
                                  double usual) {
    OnPaceLearned(id, started_ms, usual, std::nullopt);
  };
  state_.on_limit_stated = [this](const ServerId& id, std::int64_t started_ms,
                                  serving::LimitChange change) {
    OnLimitStated(id, started_ms, change, std::nullopt);
  };
}

http::ServerHandlers Edge::ListenerHandlers(
    std::function<void(http::ExchangePtr)> on_request) {
  return {std::move(on_request),
          [this](http::RejectReason reason) {
            state_.metrics
                .GetCounter("figwell_rejected_messages_total",
                            telemetry::Label("reason", http::Name(reason)))
                .Add();
            return RejectionResponse(reason);
          },
          [this](const std::string& error) {
            OnDescriptorShortage("accept", error);
          }};
}

Result<void> Edge::Listen() {
  const auto listen = [](http::Server& server,
                         const std::string& address) -> Result<void> {
    const auto bound = server.Listen(address);
    if (!bound) {
      return tl::unexpected(bound.error());
    }
    telemetry::Log(Event::kListening, {}, {{"address", *bound}});
    return {};
  };
  return listen(callers_, state_.settings.listen_callers)
      .and_then([&] { return listen(ready_, state_.settings.listen_ready); })
      .and_then(
          [&] { return listen(metrics_, state_.settings.listen_metrics); });
}

int Edge::Run() {
  // A caller that closes its connection during a write must fail only that
  // write, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  if (const auto listening = Listen(); !listening) {
    telemetry::Log(Event::kStartFailed, listening.error().message);
    return 1;
  }
  std::error_code ignored;
  settings_time_ = std::filesystem::last_write_time(settings_file_, ignored);
  telemetry::Log(Event::kStarted, FIGWELL_VERSION,
                 {{"incarnation", std::to_string(incarnation_)},
                  {"domain", state_.settings.failure_domain.value()},
                  {"store", state_.settings.store_address}});
  WaitForSignal();
  configuration_follower_.Start();
  servers_view_.Start();
  instances_view_.Start();
  peers_.Start();
  placement_.Start();
  TickStatus();
  TickDemand();
  CheckSettingsFile();
  RunUntilStopped();
  telemetry::Log(Event::kStopped, {},
                 {{"cut_off", std::to_string(state_.active_requests)}});
  return 0;
}

void Edge::RunUntilStopped() {
  while (true) {
    try {
      context_.run();
      return;
    } catch (const std::exception& error) {
      // Only the handler of one message or request is aborted; the event loop
      // continues.
      state_.metrics.GetCounter("figwell_unexpected_errors_total").Add();
      telemetry::Log(Event::kUnexpectedError, error.what());
    }
  }
}

void Edge::ApplyLimits(const serving::CallerLimits& configured) {
  callers_.SetLimits(LimitsOnCallers(configured));
}

void Edge::OnCallerRequest(http::ExchangePtr exchange) {
  std::make_shared<CallerRequest>(state_, server_http_, placement_, permits_,
                                  quarantine_, versions_, std::move(exchange))
      ->Start();
}

bool Edge::Ready() const {
  const bool has_descriptors =
      !descriptors_short_at_ ||
      MonotonicNow() >= *descriptors_short_at_ + kShortageTime;
  return !state_.stopping_since && state_.catalog != nullptr &&
         servers_view_.listed() && instances_view_.listed() && has_descriptors;
}

void Edge::OnDescriptorShortage(std::string_view operation,
                                const std::string& error) {
  const TimePoint now = MonotonicNow();
  server_http_.CloseOldestIdle();
  descriptors_short_at_ = now;
  state_.metrics
      .GetCounter("figwell_descriptor_shortages_total",
                  telemetry::Label("operation", operation))
      .Add();
  if (shortage_logged_at_ &&
      now < *shortage_logged_at_ + kShortageLogInterval) {
    return;
  }
  shortage_logged_at_ = now;
  telemetry::Log(Event::kDescriptorsShort, error,
                 {{"operation", std::string(operation)},
                  {"limit", std::to_string(DescriptorLimit())},
                  {"callers", std::to_string(callers_.open_connections())},
                  {"idle", std::to_string(server_http_.idle_connections())}});
}

void Edge::OnReadyRequest(const http::ExchangePtr& exchange) {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  if (http::PathOf(exchange->request().target) != adapter::kReadyPath) {
    exchange->Send(http::JsonResponse(kNotFound, "{}"));
    return;
  }
  exchange->Send(http::JsonResponse(Ready() ? kOk : kUnavailable, "{}"));
}

void Edge::OnMetricsRequest(const http::ExchangePtr& exchange) {
  state_.metrics.GetGauge("figwell_requests_active")
      .Set(static_cast<std::int64_t>(state_.active_requests));
  state_.metrics.GetGauge("figwell_config_number")
      .Set(state_.catalog ? state_.catalog->number() : 0);
  state_.metrics.GetGauge("figwell_servers_usable")
      .Set(static_cast<std::int64_t>(state_.directory.entries().size()));
  state_.metrics.GetGauge("figwell_servers_limited")
      .Set(static_cast<std::int64_t>(state_.balancer.limits().size()));
  state_.metrics.GetGauge("figwell_servers_cold")
      .Set(static_cast<std::int64_t>(state_.balancer.limits().cold_servers()));
  state_.metrics.GetGauge("figwell_domains_evacuated")
      .Set(static_cast<std::int64_t>(state_.directory.evacuated().size()));
  state_.metrics.GetGauge("figwell_prompts_quarantined")
      .Set(static_cast<std::int64_t>(state_.quarantine.size()));
  state_.metrics.GetGauge("figwell_peers_heard")
      .Set(static_cast<std::int64_t>(peers_.Reachable().size()));
  http::Response response;
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = state_.metrics.Render();
  exchange->Send(std::move(response));
}

// ------------------------------------------------------------------ signals

void Edge::WaitForSignal() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (!error) {
          OnSignal(signal);
          WaitForSignal();
        }
      });
}

void Edge::OnSignal(int signal) {
  if (signal == SIGHUP) {
    ReloadSettings();
    return;
  }
  if (state_.stopping_since) {
    telemetry::Log(Event::kSecondSignal, {});
    context_.stop();
    return;
  }
  Stop();
}

void Edge::CheckSettingsFile() {
  std::error_code error;
  const auto time = std::filesystem::last_write_time(settings_file_, error);
  if (!error && time != settings_time_) {
    settings_time_ = time;
    ReloadSettings();
  }
  settings_timer_.expires_after(kSettingsPollInterval);
  settings_timer_.async_wait([this](const boost::system::error_code& failed) {
    if (!failed) {
      CheckSettingsFile();
    }
  });
}

void Edge::ReloadSettings() {
  auto settings = config::LoadEdgeSettings(settings_file_);
  if (!settings) {
    telemetry::Log(Event::kReloadFailed, settings.error().message,
                   {{"findings", FormatFindings(settings.error().findings)}});
    return;
  }
  const bool changed = *settings != state_.settings;
  // Listen addresses do not change at run time; a restart applies them.
  state_.settings.bounds = settings->bounds;
  state_.settings.log_lines_per_second = settings->log_lines_per_second;
  if (settings->store_address != state_.settings.store_address) {
    state_.settings.store_address = settings->store_address;
    store_.SetAddress(settings->store_address);
  }
  telemetry::Log(Event::kReloaded, {},
                 {{"changed", changed ? "true" : "false"}});
}

// ----------------------------------------------------------------- shutdown

void Edge::Stop() {
  state_.stopping_since = MonotonicNow();
  telemetry::Log(Event::kStopping, {},
                 {{"active", std::to_string(state_.active_requests)}});
  callers_.CloseAfterAnswers();
  state_.stops_at =
      std::max(*state_.stopping_since, *state_.stopping_since +
                                           state_.settings.bounds.stop_grace -
                                           kStopGraceMargin - kLastAnswersTime);
  for (const auto& [number, on_stopping] : state_.on_stopping) {
    on_stopping();
  }
  placement_.Resign();
  registrar_.Leave();
  CheckStopped();
}

void Edge::CheckStopped() {
  const Duration elapsed = MonotonicNow() - *state_.stopping_since;
  if (accepting_ && elapsed >= kReadinessDetectionDelay) {
    accepting_ = false;
    callers_.StopAccepting();
  }
  if (elapsed >= kReadinessDetectionDelay + kLastRequestGrace) {
    // A request that arrived now might not complete within the stop grace.
    callers_.CloseIdleConnections();
  }
  // An open connection may have a request that is being read, executed or
  // answered.
  const bool idle = !accepting_ && state_.active_requests == 0 &&
                    callers_.open_connections() == 0;
  if (idle || elapsed >= state_.settings.bounds.stop_grace - kStopGraceMargin) {
    peers_.Leave();
    context_.stop();
    return;
  }
  stop_timer_.expires_after(kStopPollInterval);
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      CheckStopped();
    }
  });
}

}  // namespace figwell::edge
