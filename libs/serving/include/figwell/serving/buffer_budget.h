#ifndef FIGWELL_SERVING_BUFFER_BUDGET_H_
#define FIGWELL_SERVING_BUFFER_BUDGET_H_

/** Memory that answers on their way may take; see serving.h. */

#include <cstddef>

namespace figwell::serving {

/** Bounds on what is held of answers that are not passed on yet, in bytes. */
struct BufferLimits {
  std::size_t one_answer = 262'144;
  std::size_t all_answers = 8'388'608;

  friend bool operator==(const BufferLimits&, const BufferLimits&) = default;
};

/**
 * Counts what is held of all answers. Answers servers that send bytes without
 * end, to many requests at once: what is over the bounds is passed on or given
 * up, never kept.
 */
class BufferBudget {
 public:
  explicit BufferBudget(BufferLimits bounds) : bounds_(bounds) {}

  /**
   * Whether an answer that holds `held` bytes may hold `more` bytes as well.
   * If so, they count until Release.
   */
  bool Take(std::size_t held, std::size_t more) {
    if (held + more > bounds_.one_answer ||
        held_ + more > bounds_.all_answers) {
      return false;
    }
    held_ += more;
    return true;
  }
  void Release(std::size_t bytes) { held_ -= bytes; }

  std::size_t held() const { return held_; }

 private:
  BufferLimits bounds_;
  std::size_t held_ = 0;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_BUFFER_BUDGET_H_
