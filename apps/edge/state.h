#ifndef FIGWELL_APPS_EDGE_STATE_H_
#define FIGWELL_APPS_EDGE_STATE_H_

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "figwell/adapter.h"
#include "figwell/config.h"
#include "figwell/serving.h"
#include "figwell/telemetry.h"

namespace figwell::edge {

/**
 * State that all parts of the process share. Only the thread that runs
 * `context` may use it.
 */
struct State {
  State(boost::asio::io_context& io_context,
        const config::EdgeSettings& edge_settings)
      : context(io_context),
        settings(edge_settings),
        balancer(settings.failure_domain, StableHash(RandomHex(8)),
                 settings.bounds.registry_lag),
        retries({settings.bounds.retry_ratio, settings.bounds.retry_window,
                 settings.bounds.retry_allowance}),
        answer_buffers({settings.bounds.held_answer_bytes,
                        settings.bounds.held_answers_bytes}),
        random(StableHash(RandomHex(8))) {}

  boost::asio::io_context& context;
  config::EdgeSettings settings;
  telemetry::Registry metrics;
  /** Null until a first configuration is in force. */
  serving::CatalogPtr catalog;
  serving::Directory directory;
  serving::KnownPast past;
  serving::Evacuations evacuations;
  serving::Balancer balancer;
  serving::TeamRateLimiter rate_limiter;
  serving::RetryBudget retries;
  serving::DemandMeter demand;
  serving::BufferBudget answer_buffers;
  serving::RequestQuarantine quarantine;
  serving::StreamVersions stream_versions;
  /** Instances in the whole system, this one included. */
  std::size_t instances = 1;
  Random random;
  std::size_t active_requests = 0;
  std::optional<TimePoint> stopping_since;
  /** Once the process is stopping: all requests are answered before this. */
  std::optional<TimePoint> stops_at;
  /** Called when `stops_at` is set; each request has one under its number. */
  std::map<std::uint64_t, std::function<void()>> on_stopping;
  std::uint64_t next_request_number = 1;
  /**
   * Calls back with whether this instance knows all servers that registered
   * before the call.
   */
  std::function<void(std::function<void(bool)>)> catch_up_with_servers;
  /**
   * Marks a server as leaving and announces it to the peers. `started_ms` is
   * the start time of the server process that is leaving.
   */
  std::function<void(const ServerId&, std::int64_t started_ms)>
      on_server_leaving;
  /** An answer has changed or confirmed what is known of a server's limit. */
  std::function<void(const ServerId&, std::int64_t started_ms,
                     serving::LimitChange)>
      on_limit_stated;
  /** The usual pace of a server was learned, or has changed clearly. */
  std::function<void(const ServerId&, std::int64_t started_ms, double usual)>
      on_pace_learned;
  /** Reports this instance's charges to the peers before the next interval. */
  std::function<void()> send_interim_status;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_STATE_H_
