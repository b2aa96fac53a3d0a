#ifndef FIGWELL_ROUTING_TESTS_REQUEST_WORLD_H_
#define FIGWELL_ROUTING_TESTS_REQUEST_WORLD_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fake_store.h"
#include "figwell/routing.h"

namespace figwell::routing {

/**
 * Simulates gateways, servers, callers and a store under random faults, and
 * counts how often each request ran. All random choices come from one seed.
 * Violations are collected, not thrown.
 */
class RequestWorld {
 public:
  explicit RequestWorld(std::uint64_t seed);

  /** Executes one random event. */
  void Step();

  /** Makes the store reachable and completes all pending work. */
  void Settle();

  const std::vector<std::string>& Violations() const { return violations_; }

  /** Counts of what happened, so that a test can check its coverage. */
  const std::map<std::string, int>& EventCounts() const {
    return event_counts_;
  }

 private:
  struct Server {
    bool up = true;
    std::optional<TimePoint> leaving_at;
    int incarnation = 1;
  };

  struct Gateway {
    Gateway(std::string name, std::uint64_t seed);

    std::string process;
    Balancer balancer;
    ClaimBook book;
    RetryBudget budget;
    TimePoint refreshed_at;
    FleetViewPtr view;
    /** Requests that await their claim, and those that await dispatch. */
    std::map<ClaimId, std::size_t> claiming;
    std::deque<std::pair<ClaimId, std::size_t>> granted;
  };

  struct Request {
    std::string key;  ///< empty: no Idempotency-Key
    int body = 0;
    RouteTraits traits;
    TimePoint deadline;
    int executions = 0;
    bool refused_not_run = false;
    bool answered = false;
    std::vector<std::uint64_t> events;  ///< that the caller received
  };

  struct Call {
    std::size_t gateway = 0;
    std::string process;
    ClaimStoreCall call;
  };

  void Expect(bool holds, const std::string& invariant);
  void CountEvent(std::string_view what) { ++event_counts_[std::string(what)]; }
  bool Chance(std::uint64_t percent) { return random_.Below(100) < percent; }

  void Refresh(std::size_t index);
  void Restart(std::size_t index);
  void ChangeServer();
  void NewRequest();
  void StepBook(std::size_t index);
  void ApplyAnswer(Gateway& gateway, const ClaimAnswer& answer);
  void CheckReplay(const Request& request, const ClaimAnswer& answer);
  void CompleteStoreCall();
  void DispatchGranted(std::size_t index);
  void Advance(Duration time);

  /** Runs a request over all its attempts; false: the gateway crashed. */
  bool Run(std::size_t index, std::size_t request,
           std::optional<ClaimId> claim);
  std::optional<Choice> ChooseServer(Gateway& gateway, const Exchange& exchange,
                                     const std::optional<Choice>& resumed);
  void CheckNoServer(const Gateway& gateway, const Exchange& exchange);
  /** One attempt; returns what failed, or nullopt for a complete answer. */
  std::optional<std::pair<ExchangeStage, RetryReason>> Attempt(
      Request& request, Exchange& exchange, const Server& server,
      const AttemptId& id, std::optional<std::uint64_t> resume_at);
  std::optional<RetryReason> Stream(Request& request, Exchange& exchange,
                                    std::uint64_t from, bool complete);
  void Execute(Request& request);
  void EndRequest(Gateway& gateway, Request& request,
                  std::optional<ClaimId> claim, ExchangeAction action,
                  const Exchange& exchange);

  Random random_;
  TimePoint now_{std::chrono::hours(1000)};
  bool store_down_ = false;
  FakeStore store_;
  std::vector<std::string> names_;
  std::map<ServerId, Server> servers_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  int started_ = 0;
  std::vector<Request> requests_;
  std::vector<Call> calls_;
  std::vector<store::Transaction> delayed_writes_;
  /** Executions of each key since its last claim ended; its bodies. */
  std::map<std::string, int> executions_of_key_;
  std::map<std::string, std::set<int>> bodies_of_key_;
  std::vector<std::string> violations_;
  std::map<std::string, int> event_counts_;
};

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_TESTS_REQUEST_WORLD_H_
