#ifndef FIGWELL_SERVING_ANSWER_TIME_H_
#define FIGWELL_SERVING_ANSWER_TIME_H_

/** How long a server without an engine takes to answer; see serving.h. */

#include <optional>

#include "figwell/core.h"

namespace figwell::serving {

/**
 * The answer time of one server, learned from its answers. What was learned
 * loses weight as it ages: a server that was slow gets no requests, so that
 * only a new attempt can show that it has recovered. Handles a server that
 * turns slow for seconds.
 */
class AnswerTime {
 public:
  /** Within this time, two thirds of what was learned are forgotten. */
  static constexpr Duration kMemory = std::chrono::milliseconds(1'500);

  void OnAnswer(TimePoint now, Duration took);

  /** The time as it was last learned; nullopt if it never was. */
  std::optional<Duration> learned() const { return learned_; }
  /**
   * The time to expect now. A server that was slower than `typical` is
   * expected to approach it; one that was faster to remain so.
   * @param typical time of the service's servers
   */
  Duration Expect(TimePoint now, Duration typical) const;

 private:
  /** The weight of what was learned, from 1 down to 0. */
  double Weight(TimePoint now) const;

  std::optional<Duration> learned_;
  TimePoint learned_at_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_ANSWER_TIME_H_
