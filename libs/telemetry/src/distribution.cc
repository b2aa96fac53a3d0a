// Boost 1.81 uses std::ostringstream here without including it.
// clang-format off
#include <sstream>
// clang-format on

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <mutex>

#include "figwell/telemetry.h"

namespace figwell::telemetry {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array kProbabilities = {0.5, 0.95, 0.99};

using Accumulator = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                        accumulators::tag::extended_p_square_quantile>>;

double Quantile(const Accumulator& accumulator, double probability) {
  return accumulators::quantile(
      accumulator, accumulators::quantile_probability = probability);
}

}  // namespace

struct Distribution::State {
  mutable std::mutex mutex;
  Accumulator accumulator{accumulators::extended_p_square_probabilities =
                              kProbabilities};
};

Distribution::Distribution() : state_(std::make_unique<State>()) {}
Distribution::~Distribution() = default;

void Distribution::Record(double sample) {
  const std::lock_guard lock(state_->mutex);
  state_->accumulator(sample);
}

Distribution::Summary Distribution::Summarize() const {
  const std::lock_guard lock(state_->mutex);
  const Accumulator& accumulator = state_->accumulator;
  Summary summary;
  summary.count = accumulators::count(accumulator);
  if (summary.count == 0) {
    return summary;
  }
  summary.sum = accumulators::sum(accumulator);
  summary.p50 = Quantile(accumulator, kProbabilities[0]);
  summary.p95 = Quantile(accumulator, kProbabilities[1]);
  summary.p99 = Quantile(accumulator, kProbabilities[2]);
  return summary;
}

}  // namespace figwell::telemetry
