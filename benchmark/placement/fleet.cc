#include "fleet.h"

#include <algorithm>
#include <cmath>

namespace figwell::placement::benchmark {
namespace {

constexpr std::int64_t kGigabyte = 1'000'000'000;
constexpr int kAccelerators = 8;
constexpr std::int64_t kServerMemoryBytes = 128 * kGigabyte;
constexpr std::int64_t kAdapterBytes = 80'000'000;
/** Exponent of the power law by which demand falls with a model's rank. */
constexpr double kDemandSkewExponent = 0.9;
constexpr double kBurstFactor = 4;
constexpr double kMeanBurstSeconds = 150;
constexpr double kMeanBurstGapSeconds = 900;
constexpr double kShiftFactor = 10;

std::string Numbered(std::string_view prefix, std::size_t number) {
  std::string name(prefix);
  name += std::to_string(number);
  return name;
}

config::Model MakeModel(Random& random) {
  // One in six is large and takes a quarter to a half of a server's memory.
  const bool is_large = random.Below(6) == 0;
  const auto gigabytes = static_cast<std::int64_t>(
      is_large ? 35 + random.Below(30) : 6 + random.Below(14));
  config::Model model;
  model.default_version = VersionId(std::string("1"));
  model.versions[model.default_version] = {gigabytes * kGigabyte};
  return model;
}

}  // namespace

FleetSize RahnumaSize() { return {"Rahnuma", 3, 20, 30, 110, 5, 17, 2, 140}; }
FleetSize KaracaSize() { return {"Karaca", 4, 20, 35, 95, 5, 5, 2, 40}; }
FleetSize LargeSize() {
  return {"two years", 10, 2700, 940, 3000, 200, 2300, 270, 19000};
}

config::Configuration MakeFleet(const FleetSize& size, std::uint64_t seed,
                                double fairness) {
  Random random(seed);
  config::Configuration fleet;
  fleet.policy.fairness = fairness;
  fleet.weight_store = {size.loads_per_second, size.loads_at_once,
                        size.adapters_at_once};
  for (std::size_t i = 0; i < size.servers; ++i) {
    config::Server server;
    server.failure_domain = DomainId(Numbered("domain-", i % size.domains));
    server.accelerators = kAccelerators;
    server.memory_bytes = kServerMemoryBytes;
    server.checks_fencing = i % 2 == 0;
    fleet.domains[server.failure_domain].units = 100;
    fleet.servers[ServerId(Numbered("server-", i))] = server;
  }
  for (std::size_t i = 0; i < size.models; ++i) {
    const ModelId model(Numbered("model-", i));
    fleet.models[model] = MakeModel(random);
    // The lower of two draws: teams with low numbers get more models.
    const std::size_t team =
        std::min(random.Below(size.teams), random.Below(size.teams));
    fleet.teams[TeamId(Numbered("team-", team))].models.insert(model);
  }
  for (std::size_t i = 0; i < size.adapters; ++i) {
    const ModelId model(Numbered("model-", random.Below(size.models)));
    fleet.models.at(model).adapters[AdapterId(Numbered("adapter-", i))] = {
        kAdapterBytes};
  }
  return fleet;
}

Workload::Workload(const config::Configuration& configuration,
                   double tokens_per_second, std::uint64_t seed)
    : random_(seed) {
  double total = 0;
  for (const auto& [id, model] : configuration.models) {
    const std::uint64_t rank = random_.Below(configuration.models.size()) + 1;
    const double rate =
        std::pow(static_cast<double>(rank), -kDemandSkewExponent);
    sources_.push_back({{id, model.default_version, {}}, rate, 1, false, 0});
    total += rate;
  }
  std::sort(sources_.begin(), sources_.end(),
            [](const Source& left, const Source& right) {
              return left.rate > right.rate;
            });
  const std::size_t shifted_models = sources_.size() / 8;
  for (std::size_t i = 0; i < sources_.size(); ++i) {
    Source& source = sources_[i];
    source.rate *= tokens_per_second / total;
    source.burst_changes_at =
        static_cast<std::int64_t>(random_.Exponential(kMeanBurstGapSeconds));
    if (i < shifted_models) {
      source.shift = 1 / kShiftFactor;
    } else if (i >= sources_.size() / 2 &&
               i < sources_.size() / 2 + shifted_models) {
      source.shift = kShiftFactor;
    }
  }
}

Demand Workload::At(std::int64_t second) {
  const double progress = std::clamp(
      static_cast<double>(second - kShiftStartSecond) / kShiftSeconds, 0.0,
      1.0);
  Demand demand;
  for (Source& source : sources_) {
    while (second >= source.burst_changes_at) {
      source.bursting = !source.bursting;
      const double mean =
          source.bursting ? kMeanBurstSeconds : kMeanBurstGapSeconds;
      source.burst_changes_at +=
          1 + static_cast<std::int64_t>(random_.Exponential(mean));
    }
    demand[source.item] = source.rate * std::pow(source.shift, progress) *
                          (source.bursting ? kBurstFactor : 1);
  }
  return demand;
}

}  // namespace figwell::placement::benchmark
