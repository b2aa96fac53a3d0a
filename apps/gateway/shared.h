#ifndef FIGWELL_APPS_GATEWAY_SHARED_H_
#define FIGWELL_APPS_GATEWAY_SHARED_H_

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "figwell/budget.h"
#include "figwell/config.h"
#include "figwell/routing.h"
#include "metrics.h"

namespace figwell::gateway {

/**
 * The control state that traffic threads read. It is immutable: a change makes
 * a new snapshot. Each traffic thread holds its own pointer to the latest one.
 */
struct Snapshot {
  config::ConfigurationPtr configuration;
  std::shared_ptr<const config::KeyIndex> keys;
  /** Digests of keys denied through the admin API, not through the store. */
  std::shared_ptr<const std::set<Digest>> denied;
  std::shared_ptr<const budget::BudgetTable> budgets;
  /** New requests are refused, since the process is shutting down. */
  bool draining = false;
  /** New requests are refused, since this instance has been isolated too long.
   */
  bool isolated = false;

  /** The key's owner; null if the key is unknown, withdrawn or denied. */
  const config::KeyOwner* FindKey(const Digest& digest) const;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/** A claim on an idempotency key, requested from the control thread. */
struct ClaimRequest {
  TeamId team;
  std::string idempotency_key;
  Digest request;
  TimePoint deadline;
};

/**
 * The control thread's interface to traffic threads. Every function may be
 * called from any thread, except that Claim needs a traffic thread: its
 * callback runs on the calling one.
 */
class ControlPort {
 public:
  virtual ~ControlPort() = default;

  using OnClaim = std::function<void(const routing::ClaimAnswer&)>;

  /** Requests a claim; `on_answer` runs once. */
  virtual void Claim(ClaimRequest request, OnClaim on_answer) = 0;
  /** Ends a claim whose request ran; its answer is stored for repeats. */
  virtual void FinishClaim(routing::ClaimId claim,
                           routing::FinishedAnswer answer) = 0;
  /** Ends a claim whose request certainly did not run. */
  virtual void ReleaseClaim(routing::ClaimId claim) = 0;
  /** Ends a claim whose request may have run. */
  virtual void AbandonClaim(routing::ClaimId claim) = 0;

  /** Requests from peers the tokens that a waiting request lacks. */
  virtual void RequestTokens(TeamId team, budget::Tokens missing) = 0;

  /** Returns the unused tokens of a request's charge. */
  virtual void SettleCharge(TeamId team, TimePoint admitted,
                            budget::Tokens unused) = 0;

  /** Counts a request's cost as demand for a target, admitted or not. */
  virtual void RecordDemand(config::ModelTarget target,
                            std::uint64_t tokens) = 0;

  /** An attempt at the server failed: its report is fetched immediately. */
  virtual void OnServerFailure(ServerId server) = 0;
};

/** Objects that all traffic threads use; each is thread-safe. */
struct SharedState {
  routing::Balancer& balancer;
  routing::RetryBudget& retries;
  Metrics& metrics;
  ControlPort& control;
};

}  // namespace figwell::gateway

#endif  // FIGWELL_APPS_GATEWAY_SHARED_H_
