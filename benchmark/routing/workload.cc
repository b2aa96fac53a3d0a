#include "workload.h"

#include <algorithm>
#include <cmath>

namespace figwell::bench {
namespace {

constexpr int kAccelerators = 2;
constexpr int kPrefixesPerModel = 12;
constexpr int kPrefixTokens = 800;
constexpr int kMaxOutputTokens = 256;
/**
 * Minimum replicas of a pool model, in different domains; models with more
 * demand have more.
 */
constexpr int kMinReplicas = 2;
constexpr int kModelsPerServer = 6;
/** Load per server of the desk, relative to that of the pool. */
constexpr double kDeskLoadRatio = 0.9;
/** A pool model's demand is tripled for kBurstLength in each period. */
constexpr Duration kBurstPeriod = std::chrono::seconds(40);
constexpr Duration kBurstLength = std::chrono::seconds(8);
constexpr double kBurstFactor = 3;

}  // namespace

UserSize Rahnuma() { return {"Rahnuma", 3, 20, 3, 30, 5, 9, 290}; }

UserSize Karaca() { return {"Karaca", 4, 20, 4, 35, 5, 8, 300}; }

Workload::Workload(const UserSize& size, std::uint64_t seed)
    : size_(size), random_(seed) {
  const int servers = size.pool_servers + size.desk_servers;
  ready_.resize(static_cast<std::size_t>(servers));
  for (int i = 0; i < servers; ++i) {
    config::Server server;
    server.failure_domain = DomainOf(i % size.domains);
    server.accelerators = kAccelerators;
    // Always three digits, so that ids sort in the order of the indices.
    std::string id = std::to_string(100 + i);
    configuration_.servers[ServerId(std::move(id))] = server;
  }
  for (int i = 0; i < size.models; ++i) {
    models_.push_back({ModelId(std::to_string(i)), VersionId("1"), {}});
    weight_.push_back(1.0 / (1 + i));
  }
  PlaceModels();
}

DomainId Workload::DomainOf(int number) const {
  return DomainId(std::to_string(number));
}

void Workload::PlaceModels() {
  // The desk's servers hold only the last model; the pool holds the others.
  const std::size_t pool = static_cast<std::size_t>(size_.pool_servers);
  for (std::size_t i = pool; i < ready_.size(); ++i) {
    ready_[i].push_back(models_.back());
  }
  double total = 0;
  for (std::size_t m = 0; m + 1 < models_.size(); ++m) {
    total += weight_[m];
  }
  weight_.back() =
      kDeskLoadRatio * total * size_.desk_servers / size_.pool_servers;
  const int extra_replicas = size_.pool_servers * kModelsPerServer -
                             kMinReplicas * static_cast<int>(models_.size());
  std::size_t next = 0;
  for (std::size_t m = 0; m + 1 < models_.size(); ++m) {
    const int extra = static_cast<int>(extra_replicas * weight_[m] / total);
    const int replicas = std::min(size_.pool_servers, kMinReplicas + extra);
    for (int c = 0; c < replicas; ++c) {
      ready_[next % pool].push_back(models_[m]);
      ++next;
    }
  }
}

double Workload::RateOf(int model, TimePoint now) const {
  const Duration phase = kBurstPeriod * model / size_.models;
  const Duration time_in_period =
      (now.time_since_epoch() + phase) % kBurstPeriod;
  const bool bursts = model + 1 < size_.models && time_in_period < kBurstLength;
  return weight_[model] * (bursts ? kBurstFactor : 1);
}

int Workload::PickModel() {
  double total = 0;
  for (int m = 0; m < size_.models; ++m) {
    total += RateOf(m, now_);
  }
  double remaining = random_.Unit() * total;
  for (int m = 0; m < size_.models; ++m) {
    remaining -= RateOf(m, now_);
    if (remaining < 0) {
      return m;
    }
  }
  return size_.models - 1;
}

Request Workload::Next() {
  const double gap = random_.Exponential(1.0 / size_.requests_per_second);
  now_ +=
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
  const int model = PickModel();
  const double skew = random_.Unit();
  const int prefix = static_cast<int>(kPrefixesPerModel * skew * skew);
  Request request;
  request.arrived_at = now_;
  request.facts.target = models_[model];
  request.facts.prefix =
      routing::MakePrefixKey(request.facts.target, std::to_string(prefix));
  request.team = model % size_.teams;
  request.gateway = static_cast<int>(random_.Below(size_.gateways));
  request.prefix_tokens = kPrefixTokens;
  request.prompt_tokens =
      kPrefixTokens + 50 + static_cast<int>(random_.Below(350));
  request.output_tokens = 20 + static_cast<int>(random_.Below(160));
  request.max_output_tokens = kMaxOutputTokens;
  request.facts.tokens = request.prompt_tokens + request.max_output_tokens;
  request.streamed = random_.Below(2) == 0;
  return request;
}

}  // namespace figwell::bench
