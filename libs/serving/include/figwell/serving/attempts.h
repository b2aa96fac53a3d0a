#ifndef FIGWELL_SERVING_ATTEMPTS_H_
#define FIGWELL_SERVING_ATTEMPTS_H_

/** Retries after failed attempts, and their budget; see serving.h. */

#include <cstdint>
#include <deque>
#include <map>
#include <string_view>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"

namespace figwell::serving {

/** How far an attempt got, as far as this decides about a retry. */
enum class Progress {
  kNotSent,    ///< no byte was written to a connection
  kRejected,   ///< the server reported that it did not run it
  kUnknown,    ///< it may have run
  kRan,        ///< the server answered with an error of its own
  kMidStream,  ///< events have reached the caller
};

std::string_view Name(Progress progress);

/** Whether the request is known not to have run. */
constexpr bool HasNotRun(Progress progress) {
  return progress == Progress::kNotSent || progress == Progress::kRejected;
}

/**
 * Whether the request may be sent to another server, budgets aside. A request
 * that is not repeatable may be sent again only if it has not run.
 *
 * @param sent_to number of servers to which a byte of the request was sent
 */
bool MayRetry(const Route& route, Progress progress, int sent_to);

/**
 * How long a stream may go without a complete event before it counts as
 * stalled. Callers abandon a stream after two seconds, four times the route's
 * latency target or eight times its pause target, whichever is longest; no
 * stream is ended before that.
 */
Duration StreamStallTimeout(const Route& route);

/**
 * Limits retries, which are sends beyond a request's first, in a sliding
 * window: to a fraction of this instance's first sends plus its share of a
 * fixed allowance. All instances together then stay within the service's
 * budget.
 */
class RetryBudget {
 public:
  struct Bounds {
    double ratio = 0.2;
    Duration window = std::chrono::seconds(10);
    /** Retries that are allowed beyond the ratio, over all instances. */
    double allowance = 0;
  };

  explicit RetryBudget(Bounds bounds) : bounds_(bounds) {}

  /** Sets the number of instances that share the allowance. */
  void SetInstances(std::size_t instances) { instances_ = instances; }

  void RecordFirstSend(TimePoint now, const ServiceId& service);
  /** Uses one retry of the budget; false if none is left. */
  bool TryConsumeRetry(TimePoint now, const ServiceId& service);

 private:
  struct Window {
    std::deque<TimePoint> first_sends;
    std::deque<TimePoint> retries;
  };

  Window& Trim(TimePoint now, const ServiceId& service);

  Bounds bounds_;
  std::size_t instances_ = 1;
  std::map<ServiceId, Window> windows_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_ATTEMPTS_H_
