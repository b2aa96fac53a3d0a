#ifndef FIGWELL_SERVING_BUFFER_BUDGET_H_
#define FIGWELL_SERVING_BUFFER_BUDGET_H_

/** Limits the memory for buffered responses; see serving.h. */

#include <cstddef>

namespace figwell::serving {

/** Limits on response bytes that are buffered and not yet relayed. */
struct BufferLimits {
  std::size_t per_response_bytes = 262'144;
  std::size_t total_bytes = 8'388'608;

  friend bool operator==(const BufferLimits&, const BufferLimits&) = default;
};

/**
 * Counts the buffered bytes of all responses. Guards against servers that send
 * endless responses to many requests at the same time: bytes over the limits
 * are relayed or the response is aborted, but they are never buffered.
 */
class BufferBudget {
 public:
  explicit BufferBudget(BufferLimits limits) : limits_(limits) {}

  /**
   * Whether a response with `held` buffered bytes may buffer `more` bytes. If
   * so, they count until Release.
   */
  bool TryReserve(std::size_t held, std::size_t more) {
    if (held + more > limits_.per_response_bytes ||
        held_ + more > limits_.total_bytes) {
      return false;
    }
    held_ += more;
    return true;
  }
  void Release(std::size_t bytes) { held_ -= bytes; }

  std::size_t reserved() const { return held_; }

 private:
  BufferLimits limits_;
  std::size_t held_ = 0;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_BUFFER_BUDGET_H_
