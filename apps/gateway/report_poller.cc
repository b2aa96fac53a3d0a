#include "report_poller.h"

#include <boost/json.hpp>

#include "figwell/telemetry.h"

namespace figwell::gateway {

namespace json = boost::json;

namespace {

// A leaving server must get no new work 3 s after its first announcement at the
// latest (routing::kMaxLeavingDelay). Two rounds and a report timeout take
// less.
constexpr std::chrono::milliseconds kPollInterval{1'000};
constexpr std::chrono::milliseconds kReportTimeout{800};

http::CallLimits ReportLimits() {
  http::CallLimits limits;
  limits.head_timeout = kReportTimeout;
  limits.piece_timeout = kReportTimeout;
  return limits;
}

http::ClientLimits PollerLimits() {
  http::ClientLimits limits;
  limits.idle_connections_per_address = 1;
  return limits;
}

http::Request Get(std::string target) {
  http::Request request;
  request.target = std::move(target);
  return request;
}

}  // namespace

ReportPoller::ReportPoller(boost::asio::io_context& context,
                           routing::Balancer& balancer, OnFleet on_fleet)
    : balancer_(balancer),
      on_fleet_(std::move(on_fleet)),
      client_(context, PollerLimits()),
      timer_(context) {}

void ReportPoller::SetConfiguration(config::ConfigurationPtr configuration) {
  configuration_ = std::move(configuration);
  std::erase_if(fleet_state_.reports, [&](const auto& entry) {
    return !configuration_->servers.contains(entry.first);
  });
  std::erase_if(polls_, [&](const auto& entry) {
    return !configuration_->servers.contains(entry.first);
  });
  Publish();
}

void ReportPoller::Start() { PollAll(); }

void ReportPoller::PollAll() {
  // One view per round, made of the reports that arrived since the last one.
  Publish();
  if (configuration_) {
    for (const auto& [id, server] : configuration_->servers) {
      FetchReport(id, server);
    }
  }
  timer_.expires_after(kPollInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      PollAll();
    }
  });
}

void ReportPoller::PollNow(const ServerId& server) {
  if (!configuration_) {
    return;
  }
  const auto found = configuration_->servers.find(server);
  if (found != configuration_->servers.end()) {
    FetchReport(found->first, found->second);
  }
}

void ReportPoller::FetchReport(const ServerId& id,
                               const config::Server& server) {
  Poll& poll = polls_[id];
  if (poll.in_progress) {
    return;
  }
  poll.in_progress = true;
  client_.Fetch(server.address, Get("/report"), ReportLimits(),
                [this, id](const auto& answer) { OnReport(id, answer); });
}

void ReportPoller::OnReport(
    const ServerId& id,
    const tl::expected<http::Response, http::ClientError>& answer) {
  const auto poll = polls_.find(id);
  if (poll == polls_.end()) {
    return;  // no longer configured
  }
  poll->second.in_progress = false;
  const auto report = answer && answer->status == 200
                          ? ParseReport(answer->body, MonotonicNow())
                          : Result<routing::ServerReport>(
                                Fail(ErrorCode::kUnavailable, "no report"));
  SetReachable(id, report.has_value());
  if (!report) {
    return;
  }
  routing::ServerReport& last_report = fleet_state_.reports[id];
  const bool starts_draining = report->draining && !last_report.draining;
  if (report->incarnation != last_report.incarnation) {
    // A restarted engine numbers its cache events from the beginning.
    poll->second.cache_sequence = 0;
  }
  last_report = *report;
  if (starts_draining) {
    telemetry::Log(telemetry::Event::kServerLeaving, "announced by the server",
                   {{"server", id.value()}});
    balancer_.MarkLeaving(id);
  }
  if (!report->ready.empty()) {
    FetchCacheEvents(id, configuration_->servers.at(id).address);
  }
}

void ReportPoller::FetchCacheEvents(const ServerId& id,
                                    const std::string& address) {
  const std::uint64_t after = polls_[id].cache_sequence;
  client_.Fetch(address, Get("/cache-events?after=" + std::to_string(after)),
                ReportLimits(), [this, id](const auto& answer) {
                  if (answer && answer->status == 200) {
                    OnCacheEvents(id, *answer);
                  }
                });
}

namespace {

// The same key that Session computes for this prefix of this model; 0 if the
// model's name has no version.
routing::PrefixKey KeyOf(const json::object& event) {
  const std::string name(event.at("model").as_string());
  const std::size_t colon = name.rfind(':');
  if (colon == std::string::npos) {
    return 0;
  }
  const config::ModelTarget target{ModelId(name.substr(0, colon)),
                                   VersionId(name.substr(colon + 1)),
                                   AdapterId()};
  return routing::MakePrefixKey(target, event.at("prefix").as_string());
}

std::vector<routing::CacheEvent> ReadCacheEvents(const std::string& text) {
  std::vector<routing::CacheEvent> events;
  try {
    const json::value body = json::parse(text);
    for (const json::value& value : body.at("events").as_array()) {
      const json::object& event = value.as_object();
      const auto type = event.at("type").as_string() == "evicted"
                            ? routing::CacheEvent::Type::kEvicted
                            : routing::CacheEvent::Type::kStored;
      events.push_back({static_cast<std::uint64_t>(event.at("seq").as_int64()),
                        type, KeyOf(event)});
    }
  } catch (const std::exception&) {
    events.clear();  // affinity is only a hint: malformed events are ignored
  }
  return events;
}

}  // namespace

void ReportPoller::OnCacheEvents(const ServerId& id,
                                 const http::Response& answer) {
  const auto events = ReadCacheEvents(answer.body);
  if (events.empty()) {
    return;
  }
  polls_[id].cache_sequence = events.back().sequence;
  balancer_.OnCacheEvents(id, events);
}

void ReportPoller::SetReachable(const ServerId& id, bool reachable) {
  Poll& poll = polls_[id];
  if (poll.reachable == reachable) {
    return;
  }
  poll.reachable = reachable;
  telemetry::Log(reachable ? telemetry::Event::kServerReachable
                           : telemetry::Event::kServerUnreachable,
                 "reports", {{"server", id.value()}});
}

void ReportPoller::Publish() {
  if (!configuration_) {
    return;
  }
  const auto view =
      std::make_shared<const routing::FleetView>(*configuration_, fleet_state_);
  balancer_.SetFleet(MonotonicNow(), view);
  on_fleet_(view);
}

}  // namespace figwell::gateway
