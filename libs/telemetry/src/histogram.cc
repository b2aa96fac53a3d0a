#include <boost/histogram.hpp>
#include <limits>
#include <mutex>

#include "figwell/telemetry.h"

namespace figwell::telemetry {
namespace {

namespace bh = boost::histogram;

// Upper bounds in seconds, around the latency targets of the deployments.
const std::vector<double> kBucketBoundsSeconds = {
    0, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 0.8, 1.5, 2.5, 5.0, 15.0};

using Axis = bh::axis::variable<>;
using Counts = decltype(bh::make_histogram(Axis(kBucketBoundsSeconds)));

}  // namespace

struct Histogram::State {
  mutable std::mutex mutex;
  Counts counts = bh::make_histogram(Axis(kBucketBoundsSeconds));
  double sum = 0;
};

Histogram::Histogram() : state_(std::make_unique<State>()) {}
Histogram::~Histogram() = default;

void Histogram::Record(double seconds) {
  const std::lock_guard lock(state_->mutex);
  state_->counts(seconds);
  state_->sum += seconds;
}

Histogram::Summary Histogram::Summarize() const {
  const std::lock_guard lock(state_->mutex);
  Summary summary;
  summary.sum = state_->sum;
  std::uint64_t cumulative = 0;
  const Axis& axis = state_->counts.axis();
  // Bin -1 holds the samples below the first bound, the last bin those from the
  // last bound on.
  for (int bin = -1; bin <= axis.size(); ++bin) {
    cumulative += static_cast<std::uint64_t>(state_->counts.at(bin));
    if (bin >= 0) {
      summary.buckets.push_back({axis.bin(bin).upper(), cumulative});
    }
  }
  return summary;
}

}  // namespace figwell::telemetry
