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

// Announcements bridge the time until the registry says the same: its lag, and
// as much for the order to take effect.
inline constexpr int kAnnouncementLags = 2;
// An outage of the store takes seconds. What was announced and never came true
// is believed no longer than this.
inline constexpr Duration kLongestAnnouncement = std::chrono::seconds(30);

inline double ToMs(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_SRC_BALANCER_TIMES_H_
