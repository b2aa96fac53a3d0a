#ifndef FIGWELL_SERVING_ADMISSION_H_
#define FIGWELL_SERVING_ADMISSION_H_

/** Admission of requests, and Retry-After for refused ones; see serving.h. */

#include <optional>
#include <string_view>

#include "figwell/core.h"
#include "figwell/serving/balancer.h"
#include "figwell/serving/catalog.h"

namespace figwell::serving {

/** Why a request that was not run is refused. */
enum class RefusalReason {
  kNoConfiguration,  ///< no configuration is known yet
  kNoRoute,
  kNoKey,        ///< a required API key is missing or unknown
  kOverRate,     ///< over the team's rate and burst
  kNoServer,     ///< no server of the service, or none holds the model
  kOverloaded,   ///< would miss its target or its deadline
  kTimedOut,     ///< its deadline passed before a server took it
  kShed,         ///< every server that was tried rejected it
  kPaused,       ///< every server that could take it requested a pause
  kLimited,      ///< every server that could take it is at its limit
  kQuarantined,  ///< servers crash on it
  kNoVersion,    ///< no server can continue its stream
  kEvacuated,    ///< evacuations leave the service no server
  kStopping,     ///< this process may end before the answer does
};

std::string_view Name(RefusalReason reason);

/**
 * Whether a process that stops is to refuse a request that has just become
 * complete, since the answer might be cut: another instance can answer it.
 * @param since_stop since the process was told to stop
 * @param until_end until it ends
 */
bool MayOutliveProcess(const Route& route, Duration since_stop,
                       Duration until_end);

/**
 * Priority by which a server orders its waiting requests; 0 is first. Requests
 * with a short latency target go before those with a long one.
 */
int ServerPriority(const Route& route);

/** Decision about a request for which a server has been chosen. */
enum class Admission {
  kSend,
  kRefuseLate,      ///< would miss its target, and delay others
  kRefuseHopeless,  ///< would miss the caller's deadline
};

std::string_view Name(Admission admission);

/**
 * Sheds load. A server prefills prompts one after the other, so each request
 * beyond what fits into the latency target makes all later ones late. Such a
 * request is refused immediately while the queue is long; the caller may retry
 * when it is shorter.
 */
Admission Admit(const Route& route, const Choice& choice, Duration elapsed,
                Duration remaining);

/**
 * How long a request should wait for a permit: until it would miss its target,
 * or its deadline if it has no target, and no longer than the excess cost of a
 * server that needs no permit.
 */
Duration MaxPermitWait(const Route& route, const Choice& choice,
                       Duration elapsed, Duration remaining);

/**
 * When a caller that was refused for load should retry: once the work ahead is
 * done, but not before kMinRetryAfter and not after a third of the caller's
 * remaining time, since callers do not accept a longer delay.
 */
Duration RetryAfterForLoad(Duration work_ahead, Duration remaining);

/** What delays requests for a target that no server holds. */
struct MissingTarget {
  /** Load time of the model; 0 if only the adapter is missing. */
  Duration load_time{0};
  /** Time until orders can be sent again; 0 if an instance leads. */
  Duration orders_resume_in{0};

  friend bool operator==(const MissingTarget&, const MissingTarget&) = default;
};

/**
 * When a caller whose target no server holds should retry: once the target can
 * have been loaded, but not after a third of the caller's remaining time.
 * Handles demand that moves to a model without replicas, and a time without a
 * leader.
 */
Duration RetryAfterForMissing(const MissingTarget& missing, Duration remaining);

inline constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_ADMISSION_H_
