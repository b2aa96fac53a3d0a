#ifndef FIGWELL_BENCHMARK_ROUTING_WORKLOAD_H_
#define FIGWELL_BENCHMARK_ROUTING_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "figwell/routing.h"

namespace figwell::bench {

/** One user's fleet and load. */
struct UserSize {
  std::string name;
  int domains = 3;
  int pool_servers = 20;
  int desk_servers = 3;
  int models = 30;
  int teams = 5;
  int gateways = 9;
  /**
   * Arrivals per second over all gateways. Bursts only change which models are
   * requested.
   */
  double requests_per_second = 200;
};

UserSize Rahnuma();
UserSize Karaca();

/** One generated request. */
struct Request {
  routing::RequestFacts facts;
  int team = 0;
  int gateway = 0;
  int prefix_tokens = 0;
  int prompt_tokens = 0;
  int output_tokens = 0;
  int max_output_tokens = 0;
  bool streamed = false;
  TimePoint arrived_at;
};

/** Servers with their resident models, and a stream of requests. */
class Workload {
 public:
  Workload(const UserSize& size, std::uint64_t seed);

  const UserSize& size() const { return size_; }
  const config::Configuration& Configuration() const { return configuration_; }
  /** The models that are ready on the server with this index. */
  const std::vector<config::ModelTarget>& ReadyAt(std::size_t server) const {
    return ready_[server];
  }
  std::size_t Servers() const { return ready_.size(); }

  DomainId DomainOf(int number) const;

  /** Returns the next request, in order of arrival. */
  Request Next();

 private:
  void PlaceModels();
  double RateOf(int model, TimePoint now) const;
  int PickModel();

  UserSize size_;
  Random random_;
  config::Configuration configuration_;
  std::vector<std::vector<config::ModelTarget>> ready_;
  std::vector<config::ModelTarget> models_;
  std::vector<double> weight_;
  TimePoint now_{std::chrono::seconds(1000)};
};

}  // namespace figwell::bench

#endif  // FIGWELL_BENCHMARK_ROUTING_WORKLOAD_H_
