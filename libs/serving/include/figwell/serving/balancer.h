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
#include "figwell/serving/catalog.h"
#include "figwell/serving/directory.h"
#include "figwell/serving/prefill_wait.h"

namespace figwell::serving {

/** What a request asks of its server. */
struct RequestNeeds {
  ServiceId service;
  /** Empty model: any server of the service will do. */
  ModelTarget target;
  Tokens prompt_tokens = 0;
  Tokens output_tokens = 0;
  std::vector<PromptPrefix> prefixes;
  /** Servers that the request was sent to before. */
  std::set<ServerId> tried;
  /** Work for the model that other instances send unseen; see UnreportedWork.
   */
  Duration unreported_work{0};
};

/**
 * Work that other instances have sent to a model's servers and not told of.
 * @param own_ms_per_second work for the model that is asked of this instance
 */
Duration UnreportedWork(double own_ms_per_second, std::size_t instances);

/** The server for an attempt, and why. */
struct Choice {
  ServerId server;
  /** BackendServer::started_ms of the start that was chosen. */
  std::int64_t started_ms = 0;
  DomainId domain;
  std::string address;
  /** Time until the request's first event or answer, as estimated. */
  Duration expected{0};
  /** The part of it that other requests cause. */
  Duration wait{0};
  /** The request's own work until its first event. */
  Duration work{0};
  /** Reading time of the prompts that are ahead of it. */
  Duration prefill_backlog{0};
  Tokens cached_tokens = 0;
  /** Requests that were on the server already, as far as known. */
  int in_flight = 0;

  friend bool operator==(const Choice&, const Choice&) = default;
};

/** Names an attempt that was sent, until it has ended. */
using AttemptNumber = std::uint64_t;

/** How an attempt ended, as far as it tells something of the server. */
enum class AttemptEnd {
  kAnswered,     ///< a whole answer, whatever it says
  kFailed,       ///< the server answered with a failure of its own
  kShed,         ///< the server rejected it without running it
  kBroken,       ///< cut, garbled, or nobody answered
  kUnreachable,  ///< no connection was made
  kAbandoned,    ///< given up on this side
};

std::string_view Name(AttemptEnd end);

/** What a server said of itself with an answer. */
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;

  friend bool operator==(const ReportedLoad&, const ReportedLoad&) = default;
};

/** What another instance has under way at a server. */
struct PeerLoad {
  int in_flight = 0;
  /** Time that the server needs for prompts that it has not read. */
  Duration prefill_backlog{0};

  friend bool operator==(const PeerLoad&, const PeerLoad&) = default;
};

/**
 * Keeps what is under way at each server and estimates how long a request
 * would take there. For a server with an engine, time is dominated by the
 * prompts that have not been read; for others, by requests beyond its slots.
 */
class Balancer {
 public:
  /** @param registry_lag how old what the registry says may be */
  Balancer(DomainId own_domain, std::uint64_t random_seed,
           Duration registry_lag)
      : own_domain_(std::move(own_domain)),
        random_(random_seed),
        registry_lag_(registry_lag) {}

  /**
   * A server of those with the least expected time, see DrawServer; nullopt if
   * none has a place.
   */
  std::optional<Choice> Choose(TimePoint now, const Catalog& catalog,
                               const Directory& directory,
                               const RequestNeeds& needs);

  AttemptNumber OnSent(TimePoint now, const Choice& choice,
                       const RequestNeeds& needs);
  /** The first event, or the head of a successful answer, has come. */
  void OnFirstByte(TimePoint now, AttemptNumber attempt);
  void OnEnd(TimePoint now, AttemptNumber attempt, AttemptEnd end);

  /**
   * A server wants nothing from this instance for so long. It is passed by
   * until then and a little longer, drawn at random, so that instances do not
   * all come back at once; then it gets one request at a time until it has
   * answered one.
   */
  void OnPauseRequested(TimePoint now, const ServerId& server, Duration pause);
  /** Whether the server has asked for a pause that has not ended. */
  bool IsPaused(TimePoint now, const ServerId& server) const;
  /**
   * When the first server that could take the request again, were it not
   * paused, is free; nullopt if there is none such, or one that is not paused.
   */
  std::optional<TimePoint> EarliestPauseEnd(TimePoint now,
                                            const Directory& directory,
                                            const RequestNeeds& needs) const;

  void OnReportedLoad(TimePoint now, const ServerId& server,
                      const ReportedLoad& load);
  /**
   * What a peer has under way.
   * @param first whether it replaces what the peer told before
   */
  void OnPeerLoads(TimePoint now, const InstanceId& peer,
                   const std::map<ServerId, PeerLoad>& loads,
                   bool first = true);

  /** A server was announced to hold, or not to hold any more, a target. */
  void OnPlacementAnnounced(TimePoint now, const ServerId& server,
                            const ModelTarget& target, bool present);
  /** The registry has told of the server anew. */
  void OnRegistryUpdate(TimePoint now, const ServerId& server);
  /** A server restarted or is gone: what was known of it is void. */
  void Forget(const ServerId& server);

  /** What this instance has under way, for its peers. */
  std::map<ServerId, PeerLoad> OwnLoads() const;
  /** Whether a usable server holds the target. */
  bool AnyServerHolds(TimePoint now, const Directory& directory,
                      const ServiceId& service,
                      const ModelTarget& target) const;
  /** Milliseconds that a prompt token of the model takes to read. */
  double MillisecondsPerToken(const ModelId& model) const;

 private:
  struct Attempt {
    ServerId server;
    DomainId domain;
    ModelTarget target;
    ServiceId service;
    Duration work{0};
    Duration wait_at_send{0};
    Duration unread_at_send{0};
    int in_flight_at_send = 0;
    Tokens unread_tokens = 0;
    TimePoint sent;
    bool prefill_backlog = true;
    std::vector<PromptPrefix> prefixes;
  };
  struct Announced {
    bool present = false;
    TimePoint since;
  };
  struct ServerState {
    int in_flight = 0;
    Duration prefill_backlog{0};
    std::optional<ReportedLoad> reported;
    TimePoint reported_at;
    int sent_since_report = 0;
    int failures_in_row = 0;
    TimePoint avoid_until;
    TimePoint paused_until;
    /** A pause has ended and nothing was answered since. */
    bool returning = false;
    double failure_share = 0;
    Duration service_time{0};
    std::optional<PromptIndex> cached;
    std::map<ModelTarget, Announced> announced;
    TimePoint registered;
  };
  /** What attempts say of the way to a failure domain. */
  struct DomainState {
    /** Servers that were not reached since one there last answered. */
    std::set<ServerId> unreached;
    TimePoint last_failure;
  };
  struct PeerState {
    TimePoint heard;
    std::map<ServerId, PeerLoad> loads;
  };

  bool Holds(TimePoint now, const BackendServer& server,
             const ModelTarget& target) const;
  /** Whether requests for the target may go there, but for a pause. */
  bool Serves(TimePoint now, const BackendServer& server,
              const ServiceId& service, const ModelTarget& target) const;
  /** Whether the server is paused, or just returning and busy. */
  bool IsPassedBy(TimePoint now, const ServerId& server) const;
  /** Whether an announcement goes before what the registry says. */
  bool Prevails(TimePoint now, const ServerState& state,
                const Announced& announced) const;
  /**
   * The candidate that all instances of this domain send the request's shared
   * prefix to, so that one server keeps it; null if it has none.
   */
  const BackendServer* Home(const std::vector<const BackendServer*>& candidates,
                            const RequestNeeds& needs) const;
  PeerLoad LoadOfPeers(TimePoint now, const ServerId& server) const;
  Choice Estimate(TimePoint now, const Catalog& catalog,
                  const BackendServer& server, const RequestNeeds& needs,
                  bool home);
  double Penalty(TimePoint now, const ServerState& state,
                 const BackendServer& server, double usual_failures) const;
  /** Whether the domain seems to be cut off from here. */
  bool IsCutOff(TimePoint now, const DomainId& domain) const;
  void NoteReach(TimePoint now, const Attempt& attempt, AttemptEnd end);
  double UsualFailures(const Directory& directory,
                       const ServiceId& service) const;
  void LearnPace(TimePoint now, const Attempt& attempt);

  DomainId own_domain_;
  Random random_;
  Duration registry_lag_;
  std::map<ServerId, ServerState> servers_;
  std::map<InstanceId, PeerState> peers_;
  std::map<DomainId, DomainState> domains_;
  std::map<AttemptNumber, Attempt> attempts_;
  std::map<ModelId, double> ms_per_token_;
  std::map<ServiceId, PrefillWaitEstimator> wait_scales_;
  AttemptNumber next_attempt_ = 1;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_BALANCER_H_
