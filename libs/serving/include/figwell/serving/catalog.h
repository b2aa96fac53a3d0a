#ifndef FIGWELL_SERVING_CATALOG_H_
#define FIGWELL_SERVING_CATALOG_H_

/**
 * One version of the configuration, as used to route requests; see serving.h.
 */

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "figwell/core.h"

namespace figwell::serving {

using RouteId = Id<struct RouteTag>;
using Tokens = std::int64_t;

/** Whether a route's requests may be executed more than once. */
enum class RequestKind {
  kIdempotent,  ///< may run more than once
  kAtMostOnce,  ///< runs at most once
  kStreaming,   ///< a series of events; at most once unless resumable
};

/** A service's share of a route's traffic, in proportion to its weight. */
struct TrafficShare {
  ServiceId service;
  double weight = 1;

  friend bool operator==(const TrafficShare&, const TrafficShare&) = default;
};

struct Route {
  RouteId id;
  std::string host;
  /** Begins and ends with a slash. */
  std::string path_prefix;
  RequestKind kind = RequestKind::kAtMostOnce;
  /** Maximum time that a caller waits; 0 means no limit. */
  Duration timeout{0};
  /** An answer, or a stream's first event, is on time within this duration. */
  Duration latency_target{0};
  /**
   * A stream is on time while the gaps between its events are at most this
   * long.
   */
  Duration event_gap_target{0};
  /** Priority of the route's requests; 0 is served first. */
  int rank = 0;
  std::vector<TrafficShare> shares;
  /** Maximum number of servers that one request is sent to. */
  int max_servers = 1;
  bool open = false;  ///< requires no API key
  bool resumable = false;

  /** Whether a request that may have run may be run again from the start. */
  bool Repeatable() const {
    return kind == RequestKind::kIdempotent || resumable;
  }
  friend bool operator==(const Route&, const Route&) = default;
};

struct ModelSpec {
  ModelId id;
  double weights_mb = 0;
  /**
   * Load times from the weight store, from a server's disk, from its memory.
   */
  Duration load_time{0};
  Duration disk_load_time{0};
  Duration memory_load_time{0};
  /** Number of adapters, which are named a1, a2 and so on. */
  int adapters = 0;
  double adapter_mb = 0;

  friend bool operator==(const ModelSpec&, const ModelSpec&) = default;
};

/** Properties that all servers of a service for models share. */
struct EngineSpec {
  int slots = 1;
  Tokens cache_tokens = 0;
  double weights_mb = 0;
  int adapter_slots = 0;
  /**
   * Maximum rate of loads from the weight store, over all servers; 0 means no
   * limit.
   */
  double loads_per_second = 0;
  std::map<ModelId, ModelSpec> models;

  friend bool operator==(const EngineSpec&, const EngineSpec&) = default;
};

struct ServiceSpec {
  ServiceId id;
  /** Where its servers tell whether they are healthy; empty if nowhere. */
  std::string health_path;
  int max_connections = 0;
  std::optional<EngineSpec> engine;
  /** How long a server that starts is cold, 0: not at all. */
  Duration cold_start{0};
  /** Requests per second that a cold server bears; 0 means no limit. */
  double cold_requests_per_second = 0;

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

struct TeamSpec {
  TeamId id;
  std::optional<int> rank;  ///< overrides the route's rank
  Tokens rate = 0;  ///< tokens per second over all instances; 0: no limit
  Tokens burst = 0;
  /** Charge for a request that states no token count. */
  Tokens plain_tokens = 1;

  friend bool operator==(const TeamSpec&, const TeamSpec&) = default;
};

/** Limits on what a caller may send. */
struct CallerLimits {
  std::size_t head_bytes = 16'384;
  std::size_t body_bytes = 4'194'304;
  std::chrono::milliseconds head_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/** Contents of one configuration version, before indexing. */
struct CatalogParts {
  std::int64_t number = 0;
  std::vector<Route> routes;
  std::map<ServiceId, ServiceSpec> services;
  std::map<TeamId, TeamSpec> teams;
  std::unordered_map<std::string, TeamId> team_of_key;
  /** The configuration has teams, if only an empty list of them. */
  bool has_team_list = false;
  CallerLimits limits;
};

/** One immutable version of the configuration. */
class Catalog {
 public:
  explicit Catalog(CatalogParts parts);

  std::int64_t number() const { return parts_.number; }
  const CallerLimits& limits() const { return parts_.limits; }
  const std::map<ServiceId, ServiceSpec>& services() const {
    return parts_.services;
  }
  const std::map<TeamId, TeamSpec>& teams() const { return parts_.teams; }
  const std::vector<Route>& routes() const { return parts_.routes; }
  const std::unordered_map<std::string, TeamId>& team_of_key() const {
    return parts_.team_of_key;
  }

  /** The route of `host` with the longest prefix of `path`; null if none. */
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /** The team that owns the API key; null if none. */
  const TeamSpec* FindTeamOfKey(const std::string& key) const;
  const ServiceSpec* FindService(const ServiceId& id) const;
  /**
   * Whether requests of routes that are not open need a team's key. A
   * configuration with an empty list of teams lets nobody pass on them; one
   * without a list opens all routes.
   */
  bool RequiresKeys() const {
    return parts_.has_team_list || !parts_.teams.empty();
  }
  /** The model of the service's engines; null if there is none. */
  const ModelSpec* FindModel(const ServiceId& service,
                             const ModelId& model) const;

 private:
  CatalogParts parts_;
  /** Routes by host, the longest prefix first. */
  std::unordered_map<std::string, std::vector<const Route*>> routes_of_host_;
};

using CatalogPtr = std::shared_ptr<const Catalog>;

/** Selects a service for a request by weight; `draw` is a number in [0, 1). */
const ServiceId* ChooseService(const Route& route, double draw);

/** A model, or one of its adapters if `adapter` is not empty. */
struct ModelTarget {
  ModelId model;
  std::string adapter;

  friend auto operator<=>(const ModelTarget&, const ModelTarget&) = default;
  friend bool operator==(const ModelTarget&, const ModelTarget&) = default;
};

/** Models that a server holds, each with its adapters. */
using HeldModels = std::map<ModelId, std::set<std::string>>;

/** Whether the model is held, and the adapter too if the target names one. */
bool Holds(const HeldModels& models, const ModelTarget& target);

/** Parses `MODEL` or `MODEL/ADAPTER`. */
ModelTarget ParseModelTarget(std::string_view text);

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_CATALOG_H_
