#ifndef FIGWELL_SERVING_ADMISSION_H_
#define FIGWELL_SERVING_ADMISSION_H_

/** Whether a request is worth sending, and when to come back; see serving.h. */

#include <optional>
#include <string_view>

#include "figwell/core.h"
#include "figwell/serving/balancer.h"
#include "figwell/serving/catalog.h"

namespace figwell::serving {

/** Why a request that was not run is refused. */
enum class RefusalReason {
  kNoConfiguration,  ///< none is known yet
  kNoRoute,
  kNoKey,       ///< a key is needed and is missing or unknown
  kOverRate,    ///< over the team's rate and burst
  kNoServer,    ///< no server of the service, or none holds the model
  kOverloaded,  ///< would not be answered before the caller's deadline
  kTimedOut,    ///< its time ended before a server took it
  kShed,        ///< every server that was asked rejected it
  kPaused,      ///< every server that could take it has asked for a pause
};

std::string_view Name(RefusalReason reason);

/**
 * The number that a server is given to order its waiting requests, 0 first.
 * Requests with a near target go before those with a distant one.
 */
int ServerPriority(const Route& route);

/** What to do with a request whose best server is known. */
enum class Admission {
  kSend,
  kRefuseLate,      ///< would miss its target and delay those that can meet it
  kRefuseHopeless,  ///< would miss the caller's deadline
};

std::string_view Name(Admission admission);

/**
 * Answers overload. A server reads prompts one after the other, so each
 * request that is sent beyond what fits into the target makes all later ones
 * late. Such a request is refused at once while the queue is long; the caller
 * may come back when it is shorter.
 */
Admission Admit(const Route& route, const Choice& choice, Duration elapsed,
                Duration remaining);

/**
 * When a caller that was refused for load should come back: once the work
 * ahead has gone, at least kMinRetryAfter, at most a third of the time it
 * has left, since callers give up beyond that.
 */
Duration RetryAfterForLoad(Duration work_ahead, Duration remaining);

/** What keeps a target from being served. */
struct MissingTarget {
  /** Loads the model takes first; nothing if only the adapter is missing. */
  Duration load_time{0};
  /** Until orders can be given again; nothing if someone gives them. */
  Duration orders_pause{0};

  friend bool operator==(const MissingTarget&, const MissingTarget&) = default;
};

/**
 * When a caller should come back whose target no server holds: once it can
 * have been loaded, at most a third of the time the caller has left. Answers
 * demand that moves to a model without copies, and a time without a leader.
 */
Duration RetryAfterForMissing(const MissingTarget& missing, Duration remaining);

inline constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_ADMISSION_H_
