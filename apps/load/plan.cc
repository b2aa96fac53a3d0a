#include "plan.h"

namespace figwell::load {

namespace {

template <typename Choices>
std::size_t Pick(const Choices& choices, Random& random) {
  double total = 0;
  for (const auto& choice : choices) {
    total += choice.weight;
  }
  double point = random.Unit() * total;
  for (std::size_t i = 0; i < choices.size(); ++i) {
    point -= choices[i].weight;
    if (point < 0) {
      return i;
    }
  }
  return choices.size() - 1;
}

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

std::vector<PlannedRequest> MakePlan(const LoadOptions& options) {
  Random random(options.seed);
  std::vector<PlannedRequest> plan;
  double at = 0;
  for (std::int64_t i = 0; i < options.requests; ++i) {
    if (options.arrivals == Arrivals::kPoisson) {
      at += random.Exponential(1 / options.requests_per_second);
    } else if (i % options.burst_size == 0) {
      at += random.Exponential(static_cast<double>(options.burst_size) /
                               options.requests_per_second);
    }
    PlannedRequest request;
    request.at = Seconds(at);
    request.target = random.Below(options.targets.size());
    request.caller = Pick(options.callers, random);
    request.model = Pick(options.models, random);
    request.streamed = random.Unit() < options.stream_share;
    plan.push_back(request);
  }
  return plan;
}

}  // namespace figwell::load
