#ifndef FIGWELL_SERVING_PREFILL_WAIT_H_
#define FIGWELL_SERVING_PREFILL_WAIT_H_

/** How long requests wait behind prompts awaiting prefill; see serving.h. */

#include "figwell/core.h"

namespace figwell::serving {

/**
 * Learns from first events how long requests really wait, as a fraction of the
 * prefill backlog ahead of them. Engines prefill several prompts in turns, so
 * that a short one overtakes longer ones, and some of the backlog that peers
 * report has been prefilled by the time the report arrives.
 */
class PrefillWaitEstimator {
 public:
  /** @param prefill_backlog prefill time of the prompts ahead */
  Duration EstimateWait(Duration prefill_backlog) const;

  /**
   * Applies the wait of a request that got its first event.
   * @param prefill_backlog prefill time of the prompts that were ahead of it
   * @param waited time since it was sent, without its own work
   */
  void OnFirstEvent(Duration prefill_backlog, Duration waited);

 private:
  double wait_ratio_ = 1.0;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_PREFILL_WAIT_H_
