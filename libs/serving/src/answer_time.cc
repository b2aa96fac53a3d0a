#include "figwell/serving/answer_time.h"

#include <algorithm>
#include <cmath>

namespace figwell::serving {
namespace {

// Minimum weight of an answer; more if the last one was long ago.
constexpr double kMinAnswerWeight = 0.1;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      factor * static_cast<double>(duration.count())));
}

}  // namespace

double AnswerTime::Weight(TimePoint now) const {
  const double age = std::chrono::duration<double>(now - learned_at_).count();
  return std::exp(-age / std::chrono::duration<double>(kMemory).count());
}

void AnswerTime::OnAnswer(TimePoint now, Duration took) {
  const double weight =
      learned_ ? std::max(kMinAnswerWeight, 1 - Weight(now)) : 1;
  const Duration former = learned_.value_or(took);
  learned_ = former + Scale(took - former, weight);
  learned_at_ = now;
}

Duration AnswerTime::Expect(TimePoint now, Duration typical) const {
  if (!learned_) {
    return typical;
  }
  return *learned_ <= typical
             ? *learned_
             : typical + Scale(*learned_ - typical, Weight(now));
}

}  // namespace figwell::serving
