#ifndef FIGWELL_SERVING_BALANCER_H_
#define FIGWELL_SERVING_BALANCER_H_

/** Chooses the backend server for a request; see serving.h. */

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/affinity.h"
#include "figwell/serving/answer_time.h"
#include "figwell/serving/catalog.h"
#include "figwell/serving/directory.h"
#include "figwell/serving/prefill_wait.h"
#include "figwell/serving/server_limits.h"
#include "figwell/serving/server_paces.h"

namespace figwell::serving {

/** What a request requires of its server. */
struct RequestNeeds {
  ServiceId service;
  /** With an empty model, any server of the service can take the request. */
  ModelTarget target;
  /** The software version of the server, if the request continues a stream. */
  std::optional<VersionHash> version;
  Tokens prompt_tokens = 0;
  Tokens output_tokens = 0;
  std::vector<PromptPrefix> prefixes;
  /** Servers that the request was sent to before. */
  std::set<ServerId> tried;
  /** Servers whose arbiters denied the request a permit. */
  std::set<ServerId> at_limit;
  /**
   * Work for the model that other instances have sent but not yet reported; see
   * UnreportedWork.
   */
  Duration unreported_work{0};
};

/**
 * Estimates the work for a model that other instances have sent but not yet
 * reported.
 * @param own_ms_per_second work for the model that is requested of this
 * instance
 */
Duration UnreportedWork(double own_ms_per_second, std::size_t instances);

/** The server that was chosen for an attempt, with the estimates used. */
struct Choice {
  ServerId server;
  /** BackendServer::started_ms of the server when it was chosen. */
  std::int64_t started_ms = 0;
  /** BackendServer::version. */
  VersionHash version = 0;
  DomainId domain;
  std::string address;
  /** Estimated time until the request's first event or answer. */
  Duration expected{0};
  /** The share of `expected` that is due to other requests. */
  Duration wait{0};
  /** Time for the request's own work until its first event. */
  Duration work{0};
  /** Prefill time of the prompts that are ahead of it. */
  Duration prefill_backlog{0};
  Tokens cached_tokens = 0;
  /** How long work takes there, see ServerPaces; contained in `work`. */
  double pace = 1;
  /** Requests that were on the server already, as far as known. */
  int in_flight = 0;
  /**
   * How much more the cheapest server without a limit would cost; nullopt if
   * all have one.
   */
  std::optional<Duration> unlimited_excess;

  friend bool operator==(const Choice&, const Choice&) = default;
};

/** Identifies an attempt from its sending to its end. */
using AttemptNumber = std::uint64_t;

/** How an attempt ended, as far as it says something about the server. */
enum class AttemptEnd {
  kAnswered,     ///< a complete answer, whatever its content
  kFailed,       ///< the server answered with an error of its own
  kShed,         ///< the server rejected it without running it
  kBroken,       ///< cut off, malformed, or no answer
  kUnreachable,  ///< no connection was established
  kAbandoned,    ///< ended by the caller or by this instance
};

std::string_view Name(AttemptEnd end);

/** The load that a server reports with an answer. */
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /** How long work takes there now; 1 as usual. See ServerPaces. */
  std::optional<double> pace;

  friend bool operator==(const ReportedLoad&, const ReportedLoad&) = default;
};

/** Whether servers that limit the rate of requests count. */
enum class LimitedServers { kInclude, kExclude };

/** Requests that another instance has in flight at a server. */
struct PeerLoad {
  int in_flight = 0;
  /** Time that the server needs for the prompts awaiting prefill. */
  Duration prefill_backlog{0};

  friend bool operator==(const PeerLoad&, const PeerLoad&) = default;
};

/**
 * Tracks the requests in flight at each server and estimates how long a request
 * would take there. At a server with an engine, the prompts awaiting prefill
 * dominate that time; at others, the requests beyond the server's slots.
 */
class Balancer {
 public:
  /** @param registry_lag maximum age of the registry's entries */
  Balancer(DomainId own_domain, std::uint64_t random_seed,
           Duration registry_lag)
      : own_domain_(std::move(own_domain)),
        random_(random_seed),
        registry_lag_(registry_lag) {}

  /**
   * One of the servers with the least expected time, see DrawServer; nullopt if
   * no server can take the request.
   */
  std::optional<Choice> Choose(TimePoint now, const Catalog& catalog,
                               const Directory& directory,
                               const RequestNeeds& needs);

  AttemptNumber OnSent(TimePoint now, const Choice& choice,
                       const RequestNeeds& needs);
  /** The first event, or the head of a successful answer, has arrived. */
  void OnFirstByte(TimePoint now, AttemptNumber attempt);
  void OnEnd(TimePoint now, AttemptNumber attempt, AttemptEnd end);

  /**
   * A server requests that this instance sends it nothing for `pause`. The
   * server is skipped until then and for a random time after it, so that
   * instances do not all resume at the same time; then it gets one request at a
   * time until it has answered one.
   */
  void OnPauseRequested(TimePoint now, const ServerId& server, Duration pause);
  /** Whether the server has requested a pause that has not ended. */
  bool IsPaused(TimePoint now, const ServerId& server) const;
  /**
   * When the first pause ends of the servers that hold what the request needs;
   * nullopt if there is no such server, or if one of them is not skipped now.
   */
  std::optional<TimePoint> EarliestPauseEnd(TimePoint now,
                                            const Directory& directory,
                                            const RequestNeeds& needs) const;

  /** @return the server's pace to announce; see ServerPaces::OnStated */
  std::optional<double> OnReportedLoad(TimePoint now, const ServiceId& service,
                                       const ServerId& server,
                                       const ReportedLoad& load);
  /**
   * Applies a peer's load report.
   * @param replace whether the report replaces what the peer reported before;
   * otherwise it adds further servers
   */
  void OnPeerLoads(TimePoint now, const InstanceId& peer,
                   const std::map<ServerId, PeerLoad>& loads,
                   bool replace = true);

  /** A target was announced as held, or no longer held, by a server. */
  void OnPlacementAnnounced(TimePoint now, const ServerId& server,
                            const ModelTarget& target, bool present);
  /** The registry delivered the server's entry again. */
  void OnRegistryUpdate(TimePoint now, const ServerId& server);
  /** Drops all state of a server that restarted. */
  void RemoveServer(const ServerId& server);
  /**
   * Drops the state of a server whose entry was removed, except the pause and
   * the limit that it stated: the same start may appear again.
   */
  void OnServerGone(TimePoint now, const ServerId& server);
  void OnServerAppeared(const ServerId& server) { gone_.erase(server); }

  /** The rates to which servers limit requests. */
  ServerLimits& limits() { return limits_; }
  const ServerLimits& limits() const { return limits_; }

  /** How long work takes at each server. */
  ServerPaces& paces() { return paces_; }
  const ServerPaces& paces() const { return paces_; }

  /** This instance's requests in flight by server, to report to its peers. */
  std::map<ServerId, PeerLoad> OwnLoads() const;
  /** Whether a usable server holds the target. */
  bool AnyServerHolds(
      TimePoint now, const Directory& directory, const ServiceId& service,
      const ModelTarget& target,
      LimitedServers limited_servers = LimitedServers::kInclude) const;
  /** Prefill time of the model per prompt token, in milliseconds. */
  double MillisecondsPerToken(const ModelId& model) const;

 private:
  struct Attempt {
    ServerId server;
    DomainId domain;
    ModelTarget target;
    ServiceId service;
    Duration work{0};
    Duration wait_at_send{0};
    Duration backlog_at_send{0};
    int in_flight_at_send = 0;
    Tokens uncached_tokens = 0;
    double pace = 1;
    TimePoint sent;
    bool awaiting_first_event = true;
    std::vector<PromptPrefix> prefixes;
  };
  struct Announcement {
    bool present = false;
    TimePoint announced_at;
  };
  struct ServerState {
    int in_flight = 0;
    Duration prefill_backlog{0};
    std::optional<ReportedLoad> reported_load;
    TimePoint reported_at;
    int sent_since_report = 0;
    int consecutive_failures = 0;
    TimePoint backoff_until;
    TimePoint paused_until;
    /**
     * No answer has come since a pause was requested. Once the pause has ended,
     * the server gets one request at a time.
     */
    bool resuming = false;
    double failure_ratio = 0;
    /** At the usual pace. */
    AnswerTime answer_time;
    std::optional<PromptIndex> prompt_cache;
    std::map<ModelTarget, Announcement> announcements;
    TimePoint registry_updated_at;
  };
  /** Reachability of a failure domain, as seen by attempts. */
  struct DomainReachability {
    /** Servers that could not be reached since a server there last answered. */
    std::set<ServerId> unreachable_servers;
    TimePoint last_failure;
  };
  struct PeerState {
    TimePoint received_at;
    std::map<ServerId, PeerLoad> loads;
  };

  void RemoveAttempts(const ServerId& server);
  bool Holds(TimePoint now, const BackendServer& server,
             const ModelTarget& target) const;
  /** Whether requests for the target may be sent there, pauses aside. */
  bool CanServe(TimePoint now, const Directory& directory,
                const BackendServer& server, const ServiceId& service,
                const ModelTarget& target) const;
  /** The same for a request, whose stream may have begun at some version. */
  bool CanTake(TimePoint now, const Directory& directory,
               const BackendServer& server, const RequestNeeds& needs) const;
  /**
   * Whether the server is paused, or is limited to one request after a pause
   * and has it.
   */
  bool IsSkipped(TimePoint now, const ServerId& server) const;
  /** Whether an announcement takes precedence over the registry. */
  bool OverridesRegistry(TimePoint now, const ServerState& state,
                         const Announcement& announcement) const;
  /**
   * The candidate to which all instances of this domain prefer to send the
   * request's shared prefix, so that one server keeps it cached. Selected by
   * rendezvous hashing among those without a limit; null if there is none, or
   * if the request has no shared prefix.
   */
  const BackendServer* PreferredServer(
      const std::vector<const BackendServer*>& candidates,
      const RequestNeeds& needs) const;
  PeerLoad SumPeerLoads(TimePoint now, const ServerId& server) const;
  /**
   * @param typical_time answer time of the service's servers; used only if the
   * request needs no engine
   */
  Choice Estimate(TimePoint now, const Catalog& catalog,
                  const BackendServer& server, const RequestNeeds& needs,
                  bool is_preferred, Duration typical_time);
  /** Median of the answer times that were learned of the servers. */
  Duration TypicalAnswerTime(
      const std::vector<const BackendServer*>& servers) const;
  double Penalty(TimePoint now, const ServerState& state,
                 const BackendServer& server,
                 double median_failure_ratio) const;
  /** Whether the domain appears to be unreachable from here. */
  bool IsUnreachable(TimePoint now, const DomainId& domain) const;
  void UpdateReachability(TimePoint now, const Attempt& attempt,
                          AttemptEnd end);
  double MedianFailureRatio(const Directory& directory,
                            const ServiceId& service) const;
  void UpdatePrefillSpeed(TimePoint now, const Attempt& attempt);

  DomainId own_domain_;
  Random random_;
  Duration registry_lag_;
  std::map<ServerId, ServerState> servers_;
  /** Servers that are gone and of which something is kept; since when. */
  std::map<ServerId, TimePoint> gone_;
  ServerLimits limits_;
  ServerPaces paces_;
  std::map<InstanceId, PeerState> peers_;
  std::map<DomainId, DomainReachability> domains_;
  std::map<AttemptNumber, Attempt> attempts_;
  std::map<ModelId, double> ms_per_token_;
  std::map<ServiceId, PrefillWaitEstimator> wait_estimators_;
  AttemptNumber next_attempt_ = 1;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_BALANCER_H_
