#ifndef FIGWELL_APPS_GATEWAY_REPORT_POLLER_H_
#define FIGWELL_APPS_GATEWAY_REPORT_POLLER_H_

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "figwell/config.h"
#include "figwell/http.h"
#include "figwell/routing.h"

namespace figwell::gateway {

/**
 * Polls the servers for their reports and cache events and maintains the
 * balancer's view of the fleet. Runs on the control thread.
 */
class ReportPoller {
 public:
  using OnFleet = std::function<void(const routing::FleetViewPtr&)>;

  ReportPoller(boost::asio::io_context& context, routing::Balancer& balancer,
               OnFleet on_fleet);

  void SetConfiguration(config::ConfigurationPtr configuration);
  /** Starts polling; the first round runs immediately. */
  void Start();
  /** Fetches one server's report immediately, after a failed attempt at it. */
  void PollNow(const ServerId& server);

  const routing::FleetStatus& fleet_state() const { return fleet_state_; }

 private:
  struct Poll {
    bool in_progress = false;
    bool reachable = true;
    std::uint64_t cache_sequence = 0;
  };

  void PollAll();
  void FetchReport(const ServerId& id, const config::Server& server);
  void OnReport(const ServerId& id,
                const tl::expected<http::Response, http::ClientError>& answer);
  void FetchCacheEvents(const ServerId& id, const std::string& address);
  void OnCacheEvents(const ServerId& id, const http::Response& answer);
  void SetReachable(const ServerId& id, bool reachable);
  void Publish();

  routing::Balancer& balancer_;
  OnFleet on_fleet_;
  http::Client client_;
  boost::asio::steady_timer timer_;
  config::ConfigurationPtr configuration_;
  routing::FleetStatus fleet_state_;
  std::map<ServerId, Poll> polls_;
};

/** Parses a report; fails with kProtocol if it is not a JSON object. */
Result<routing::ServerReport> ParseReport(std::string_view text,
                                          TimePoint arrived);

}  // namespace figwell::gateway

#endif  // FIGWELL_APPS_GATEWAY_REPORT_POLLER_H_
