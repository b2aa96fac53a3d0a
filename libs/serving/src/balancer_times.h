#ifndef FIGWELL_SERVING_SRC_BALANCER_TIMES_H_
#define FIGWELL_SERVING_SRC_BALANCER_TIMES_H_

/** What the balancer assumes and what it learns have in common. */

#include <chrono>

#include "figwell/core.h"

namespace figwell::serving {

// Reading speed that is assumed of a model until its first measurement.
inline constexpr double kDefaultMsPerToken = 0.05;
// Time from a prompt's last token to the first event, without other work.
inline constexpr Duration kFirstEventBase = std::chrono::milliseconds(25);

inline double ToMs(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_SRC_BALANCER_TIMES_H_
