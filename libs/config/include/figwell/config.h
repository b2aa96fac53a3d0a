#ifndef FIGWELL_CONFIG_H_
#define FIGWELL_CONFIG_H_

/**
 * The configuration that operators maintain. In this order:
 *
 *   value types   teams, models, servers, services, domains, policy
 *   lookups       queries of a configuration by the request path
 *   text form     JSON in and out, checks, merge patches
 *   settings      of one process, read from YAML when it starts
 *
 * A Configuration is immutable once it is in force; threads share it as
 * `std::shared_ptr<const Configuration>`.
 */

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "figwell/config/edge_settings.h"
#include "figwell/core.h"

namespace figwell::config {

// -------------------------------------------------------------- value types

/** Counts accepted patches; 0 is the empty configuration. */
using VersionNumber = std::uint64_t;

/** A caller's key, of which only the digest is stored. */
struct Key {
  Digest sha256;

  friend bool operator==(const Key&, const Key&) = default;
};

struct Team {
  /** Tokens per second over the whole fleet; at least 0. */
  std::int64_t rate = 0;
  /** Tokens that may be spent in one burst; at least 0. */
  std::int64_t burst = 0;
  /** Share under contention, relative to other teams; at least 1. */
  std::int64_t weight = 1;
  /** The highest `Figwell-Priority` that its callers may request, 0 to 9. */
  int max_priority = 0;
  /** Models (with all versions and adapters) that the team may use. */
  std::set<ModelId> models;
  std::set<ServiceId> services;
  std::map<KeyId, Key> keys;

  friend bool operator==(const Team&, const Team&) = default;
};

struct ModelVersion {
  /** Accelerator memory of a replica; above 0. */
  std::int64_t bytes = 0;

  friend bool operator==(const ModelVersion&, const ModelVersion&) = default;
};

struct Adapter {
  /** Accelerator memory that it takes in addition to its model; above 0. */
  std::int64_t bytes = 0;

  friend bool operator==(const Adapter&, const Adapter&) = default;
};

struct Model {
  std::map<VersionId, ModelVersion> versions;
  VersionId default_version;
  /** The most tokens that one request may generate; above 0. */
  std::int64_t max_tokens = 1024;
  /** Only servers of this pool hold it; empty: any pool. */
  PoolId pool;
  std::map<AdapterId, Adapter> adapters;

  friend bool operator==(const Model&, const Model&) = default;
};

struct Server {
  DomainId failure_domain;
  /** `IP:PORT`. */
  std::string address;
  int accelerators = 1;
  /** Total accelerator memory for models and adapters. */
  std::int64_t memory_bytes = 0;
  /** Whether the engine rejects an order with an old fencing token. */
  bool checks_fencing = false;
  PoolId pool;
  /** Leaving: it gets no new work. */
  bool draining = false;

  friend bool operator==(const Server&, const Server&) = default;
};

struct Service {
  /** Requests whose path starts with this go to the service. */
  std::string path;
  std::vector<ServerId> servers;
  /** Whether a method may be repeated; false for methods not listed. */
  std::map<std::string, bool> idempotent;
  /** Callers need no key. */
  bool open = false;

  friend bool operator==(const Service&, const Service&) = default;
};

struct Domain {
  RegionId region;
  /** Budget units: the domain's share of every team's rate and burst. */
  std::int64_t units = 0;

  friend bool operator==(const Domain&, const Domain&) = default;
};

/** How a gateway treats callers while it or its domain is isolated. */
enum class IsolationRule {
  kServe,   ///< continues with the last known configuration
  kRefuse,  ///< refuses after `isolation_seconds`
};

struct Policy {
  /**
   * 0 favours attainment per accelerator, 1 favours the worst-served team and
   * few wrongful refusals.
   */
  double fairness = 0.5;
  IsolationRule isolation = IsolationRule::kServe;
  /** Seconds of isolation after which IsolationRule::kRefuse refuses. */
  std::int64_t isolation_seconds = 60;

  friend bool operator==(const Policy&, const Policy&) = default;
};

struct WeightStore {
  double loads_per_second = 2;
  std::int64_t loads_at_once = 16;
  std::int64_t adapters_at_once = 128;

  friend bool operator==(const WeightStore&, const WeightStore&) = default;
};

struct Configuration {
  VersionNumber number = 0;
  std::map<TeamId, Team> teams;
  std::map<ModelId, Model> models;
  std::map<ServerId, Server> servers;
  std::map<ServiceId, Service> services;
  std::map<DomainId, Domain> domains;
  Policy policy;
  WeightStore weight_store;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

// ------------------------------------------------------------------ lookups

/** The team and id of a caller's key. */
struct KeyOwner {
  TeamId team;
  KeyId key;

  friend bool operator==(const KeyOwner&, const KeyOwner&) = default;
};

/** Finds keys by their digests; used on each request. */
class KeyIndex {
 public:
  explicit KeyIndex(const Configuration& configuration);

  /**
   * The owner of the key with this digest; null if there is none. A binary
   * search; the final comparison takes constant time.
   */
  const KeyOwner* Find(const Digest& digest) const;

  std::size_t size() const { return owners_.size(); }

 private:
  std::vector<std::pair<Digest, KeyOwner>> owners_;  // sorted by digest
};

/** What the `model` field of a request names. */
struct ModelTarget {
  ModelId model;
  VersionId version;
  /** Empty: the model itself. */
  AdapterId adapter;

  friend auto operator<=>(const ModelTarget&, const ModelTarget&) = default;
  friend bool operator==(const ModelTarget&, const ModelTarget&) = default;
};

/**
 * Resolves `model`, `model:version` or an adapter's name. Fails with
 * kNotFound.
 */
Result<ModelTarget> ResolveModel(const Configuration& configuration,
                                 std::string_view name);

/**
 * The service with the longest path prefix of `path`; null if there is none.
 */
const std::pair<const ServiceId, Service>* FindService(
    const Configuration& configuration, std::string_view path);

/** The units of all domains together. */
std::int64_t TotalUnits(const Configuration& configuration);

// ---------------------------------------------------------------- text form

/**
 * Reads a full configuration from JSON and checks it. Fails with kInvalid and
 * all findings, each with its path.
 */
Result<Configuration> ParseConfiguration(std::string_view json,
                                         VersionNumber number);

/** Writes a configuration as JSON; ParseConfiguration reads it back. */
std::string ToJson(const Configuration& configuration);

/**
 * Applies an RFC 7396 merge patch and checks the result, which gets the next
 * number. Fails with kInvalid and all findings; `base` is not changed.
 */
Result<Configuration> ApplyPatch(const Configuration& base,
                                 std::string_view merge_patch);

/** All errors of a configuration; empty if it may be put in force. */
Findings CheckConfiguration(const Configuration& configuration);

// ----------------------------------------------------------------- settings

/** The daemon that reads the settings; only a gateway listens for callers. */
enum class Role { kGateway, kController };

enum class LogLevel { kDebug, kInfo, kWarning, kError };
enum class LogFormat { kText, kJson };

/** An operator, known by the digest of a token. */
struct Operator {
  OperatorId name;
  Digest token_sha256;

  friend bool operator==(const Operator&, const Operator&) = default;
};

/** Addresses are `IP:PORT`; port 0 lets the system choose. */
struct Settings {
  InstanceId instance;
  DomainId failure_domain;
  RegionId region;
  std::vector<std::string> platform_endpoints;
  /** Every key in the store starts with it; ends with '/'. */
  std::string platform_prefix = "/figwell/";
  std::string listen_callers;
  std::string listen_admin;
  std::string listen_peers;
  std::vector<std::string> peer_seeds;
  /** File with the secret that peers authenticate each other with. */
  std::string peer_secret_file;
  /** Empty, or the file of a second secret, accepted but not used to send. */
  std::string peer_other_secret_file;
  std::vector<Operator> operators;
  /** Traffic threads, 1 to 256. */
  int threads = 2;
  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kText;

  friend bool operator==(const Settings&, const Settings&) = default;
};

/**
 * Reads settings from YAML text. Fails with kInvalid and all findings, each
 * with its place as `FILE:LINE:COLUMN: path`.
 *
 * @param file the FILE in the places of findings
 */
Result<Settings> ParseSettings(std::string_view yaml, const std::string& file,
                               Role role);

/**
 * Reads a settings file; paths in it are relative to its folder. Fails with
 * kNotFound if the file cannot be read, else as ParseSettings.
 */
Result<Settings> LoadSettings(const std::string& file, Role role);

/**
 * The operator with this token; null if there is none. Compares with every
 * operator in constant time.
 */
const Operator* FindOperator(const std::vector<Operator>& operators,
                             std::string_view token);

}  // namespace figwell::config

#endif  // FIGWELL_CONFIG_H_
