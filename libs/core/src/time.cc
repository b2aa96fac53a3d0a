#include <ctime>

#include "figwell/core.h"

namespace figwell {

TimePoint MonotonicNow() {
  // CLOCK_BOOTTIME also advances while the machine sleeps, which
  // std::chrono::steady_clock does not guarantee.
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

}  // namespace figwell
