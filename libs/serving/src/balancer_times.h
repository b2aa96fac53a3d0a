#ifndef FIGWELL_SERVING_SRC_BALANCER_TIMES_H_
#define FIGWELL_SERVING_SRC_BALANCER_TIMES_H_

/** Constants that the balancer's estimates and its learning share. */

#include <chrono>

#include "figwell/core.h"

namespace figwell::serving {

// Prefill time per token that is assumed of a model until it has been measured.
inline constexpr double kDefaultPrefillMsPerToken = 0.05;
// Time from the end of a prompt's prefill to the first event, without other
// load.
inline constexpr Duration kFirstEventLatency = std::chrono::milliseconds(25);

// An announcement takes precedence until the registry must show the change: for
// the registry's lag, and as long again for the order to take effect.
inline constexpr int kAnnouncementRegistryLags = 2;
// An outage of the store lasts seconds. An announcement that the registry has
// not confirmed is used for no longer than this.
inline constexpr Duration kAnnouncementMaxAge = std::chrono::seconds(30);

inline double ToMs(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_SRC_BALANCER_TIMES_H_
