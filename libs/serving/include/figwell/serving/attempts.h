#ifndef FIGWELL_SERVING_ATTEMPTS_H_
#define FIGWELL_SERVING_ATTEMPTS_H_

/** What may follow an attempt that failed; see serving.h. */

#include <cstdint>
#include <deque>
#include <map>
#include <string_view>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"

namespace figwell::serving {

/** How far an attempt had come, as far as it decides on the next one. */
enum class Progress {
  kNotSent,    ///< no byte was handed to a connection
  kRejected,   ///< the server said that it did not run the request
  kUnknown,    ///< it may have run
  kRan,        ///< the server answered with a failure of its own
  kMidStream,  ///< events have reached the caller
};

std::string_view Name(Progress progress);

/** Whether the request can be said not to have run. */
constexpr bool HasNotRun(Progress progress) {
  return progress == Progress::kNotSent || progress == Progress::kRejected;
}

/**
 * Whether the request may go to another server, apart from budgets. A request
 * that is not repeatable may be sent again only if it has not run.
 *
 * @param sent_to servers that a byte of the request was handed to
 */
bool MayRetry(const Route& route, Progress progress, int sent_to);

/**
 * How long a stream may go without a whole event before it counts as stalled.
 * Callers give it up after two seconds, four times the route's latency target
 * or eight times its pause target, whichever is longest; nothing is ended
 * before they have.
 */
Duration StreamStallTimeout(const Route& route);

/**
 * Sends beyond a request's first, in a sliding window, as a part of the first
 * sends here plus this instance's part of a fixed allowance. All instances
 * together then stay within the service's budget.
 */
class RetryBudget {
 public:
  struct Bounds {
    double ratio = 0.2;
    Duration window = std::chrono::seconds(10);
    /** Sends that are allowed beyond the ratio, over all instances. */
    double allowance = 0;
  };

  explicit RetryBudget(Bounds bounds) : bounds_(bounds) {}

  /** How many instances share the allowance. */
  void SetInstances(std::size_t instances) { instances_ = instances; }

  void RecordFirstSend(TimePoint now, const ServiceId& service);
  /** Takes one further send; false if the budget has none left. */
  bool TakeRetry(TimePoint now, const ServiceId& service);

 private:
  struct Window {
    std::deque<TimePoint> firsts;
    std::deque<TimePoint> retries;
  };

  Window& Trim(TimePoint now, const ServiceId& service);

  Bounds bounds_;
  std::size_t instances_ = 1;
  std::map<ServiceId, Window> windows_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_ATTEMPTS_H_
