#ifndef FIGWELL_ROUTING_BALANCER_H_
#define FIGWELL_ROUTING_BALANCER_H_

/** Part of figwell/routing.h: selects a server for a request. */

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

#include "figwell/core.h"
#include "figwell/routing/fleet.h"

namespace figwell::routing {

/** Hash of a prompt prefix that a server may have cached; 0: none. */
using PrefixKey = std::uint64_t;

/** The key of a prompt's prefix under `target`; never 0. */
PrefixKey MakePrefixKey(const Target& target, std::string_view prefix);

/** The properties of a request that the selection of a server uses. */
struct RequestFacts {
  Target target;
  /** Upper bound on prompt tokens plus tokens to generate; at least 1. */
  std::int64_t tokens = 1;
  PrefixKey prefix = 0;

  friend bool operator==(const RequestFacts&, const RequestFacts&) = default;
};

/** Why no server was chosen. */
enum class NoServerReason {
  kNotResident,  ///< no server is known to hold the target
  kAllLeaving,   ///< every server that can serve the target is leaving
  kAllExcluded,  ///< every remaining server was tried already
};

/** The stable lower-case name of a reason, for example `not_resident`. */
std::string_view Name(NoServerReason reason);

/**
 * A selected server and the work reserved on it. A plain value: the caller
 * has to pass it to Balancer::End exactly once.
 */
struct Choice {
  FleetViewPtr view;
  ServerIndex index = 0;
  /** Internal to the Balancer: the server's state and the circuit's key. */
  std::uint32_t slot = 0;
  std::uint64_t circuit = 0;
  /** Tokens that are still reserved. */
  std::int64_t tokens = 0;
  TimePoint begun_at;

  const FleetServer& Server() const { return view->Servers()[index]; }
};

/** How an attempt ended, as far as it shows the server's health. */
enum class AttemptOutcome {
  kSuccess,        ///< a complete answer, including a 4xx for a bad request
  kConnectFailed,  ///< connection refused, unreachable or name not resolved
  kBroken,         ///< the connection was lost or the answer was incomplete
  kTimedOut,       ///< no answer in time
  kServerError,    ///< a status of 500 or above, except 503
  kOverloaded,     ///< 429 or 503 from the server
  kCancelled,      ///< the caller disconnected; says nothing about the server
};

/** One entry of a server's stream of cache events. */
struct CacheEvent {
  enum class Type { kStored, kEvicted };
  /** Increases by one with each event of a server; a gap means lost events. */
  std::uint64_t sequence = 0;
  Type type = Type::kStored;
  PrefixKey prefix = 0;

  friend bool operator==(const CacheEvent&, const CacheEvent&) = default;
};

/** Counters since the balancer was created. */
struct BalancerCounts {
  std::uint64_t choices = 0;
  std::uint64_t affinity = 0;     ///< selected for the prompt prefix
  std::uint64_t spilled = 0;      ///< sent to another domain for its lower load
  std::uint64_t last_resort = 0;  ///< only suspect servers were left
  std::uint64_t ejections = 0;
  std::uint64_t circuits_opened = 0;

  friend bool operator==(const BalancerCounts&,
                         const BalancerCounts&) = default;
};

/** Parameters of the selection. */
struct BalancerPolicy {
  /** Adjust reports for this gateway's requests, to count each just once. */
  bool correct_reports = true;
  /**
   * The age at which a report has a weight of one half in a server's estimate.
   * The rest is the mean over the target's servers. 0: reports have full
   * weight at any age.
   */
  Duration report_half_weight_age = std::chrono::milliseconds(500);
  bool use_affinity = true;
  /** The prefix's server is used up to this multiple of the mean load. */
  double affinity_max_load_ratio = 1.5;
  /** It is always used up to this load, in tokens per accelerator. */
  double affinity_min_load = 4000;
  /** Another domain is used if its load is below this ratio to the own. */
  double spill_max_load_ratio = 0.8;
  /** It is used only above this own load, in tokens per accelerator. */
  double spill_min_load = 4000;

  friend bool operator==(const BalancerPolicy&,
                         const BalancerPolicy&) = default;
};

/** A server whose report is older than this is treated as suspect. */
inline constexpr Duration kReportLifetime = std::chrono::seconds(10);

/** A recovered or new server gets its full share of work after this time. */
inline constexpr Duration kSlowStartDuration = std::chrono::seconds(10);

/**
 * Selects servers. The load of a server is estimated as its last report, less
 * what this gateway had in flight there when the report was made, plus what it
 * has in flight now. Healthy servers of the own domain come first, then those
 * of other domains, then suspect ones (ejected, circuit open, overloaded a
 * moment ago, report too old). Suspect servers remain selectable, so the last
 * replica of a model can always be used. A leaving server is never selected.
 *
 * Thread-safe: one mutex guards all state. It is held for one scan of the
 * target's servers and never across I/O. Every method may be called from any
 * thread. Choose, Progress and End allocate nothing.
 */
class Balancer {
 public:
  /** @param seed of the random selection; has to differ between gateways. */
  Balancer(DomainId own_domain, std::uint64_t seed, BalancerPolicy policy = {});
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /** Replaces the snapshot; the state of servers in both is kept. */
  void SetFleet(TimePoint now, FleetViewPtr view);

  /**
   * Excludes a server immediately, before a snapshot shows that it leaves. The
   * mark ends when a snapshot no longer contains the server, has a new
   * incarnation of it, or shows it as not leaving after one that did.
   */
  void MarkLeaving(const ServerId& server);

  /**
   * Selects a server and reserves the request's tokens on it.
   *
   * @param excluded servers that this request has tried already
   */
  tl::expected<Choice, NoServerReason> Choose(
      TimePoint now, const RequestFacts& request,
      std::span<const ServerId> excluded = {});

  /** Releases `tokens` of the reservation as the answer progresses. */
  void Progress(TimePoint now, Choice& choice, std::int64_t tokens);

  /** Ends the reservation and updates the server's health. */
  void End(TimePoint now, const Choice& choice, AttemptOutcome outcome);

  /**
   * Updates which prefixes a server has cached. Events may be late, repeated
   * or have gaps; after a gap all earlier entries of that server are dropped.
   */
  void OnCacheEvents(const ServerId& server,
                     std::span<const CacheEvent> events);

  BalancerCounts Counts() const;

  /** This gateway's tokens in flight at a server; 0 if it is unknown. */
  std::int64_t InFlightTokens(const ServerId& server) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_BALANCER_H_
