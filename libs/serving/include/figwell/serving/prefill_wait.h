#ifndef FIGWELL_SERVING_PREFILL_WAIT_H_
#define FIGWELL_SERVING_PREFILL_WAIT_H_

/** How long requests wait behind prompts that are not read; see serving.h. */

#include "figwell/core.h"

namespace figwell::serving {

/**
 * What requests really wait, as a part of the time that the unread prompts
 * ahead of them take to read. Engines read several prompts in turns, so that a
 * short one passes longer ones, and part of what peers told of has been read by
 * the time it is known here. The part is learned from first events.
 */
class PrefillWaitEstimator {
 public:
  /** @param unread reading time of the prompts ahead */
  Duration Wait(Duration prefill_backlog) const;

  /**
   * A request got its first event.
   * @param unread reading time of the prompts that were ahead of it
   * @param waited from its sending, without its own work
   */
  void OnFirstEvent(Duration prefill_backlog, Duration waited);

 private:
  double scale_ = 1.0;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_PREFILL_WAIT_H_
