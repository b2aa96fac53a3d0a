#ifndef FIGWELL_CONFIG_H_
#define FIGWELL_CONFIG_H_

/**
 * The configuration: what operators decide. In this order:
 *
 *   value types   teams, models, servers, services, domains, policy
 *   lookups       what the request path asks of a snapshot
 *   text form     JSON in and out, checks, merge patches
 *   settings      what one process is told at its start, in YAML
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

/** A caller's key, known by its digest only. */
struct Key {
  Digest sha256;

  friend bool operator==(const Key&, const Key&) = default;
};

struct Team {
  /** Tokens a second over the whole fleet; at least 0. */
  std::int64_t rate = 0;
  /** Tokens that may be spent at once; at least 0. */
  std::int64_t burst = 0;
  /** Share under contention, relative to other teams; at least 1. */
  std::int64_t weight = 1;
  /** The highest `Figwell-Priority` that its callers may ask for, 0 to 9. */
  int max_priority = 0;
  /** Models (with all versions and adapters) that the team may use. */
  std::set<ModelId> models;
  std::set<ServiceId> services;
  std::map<KeyId, Key> keys;

  friend bool operator==(const Team&, const Team&) = default;
};

struct ModelVersion {
  /** Accelerator memory that a copy takes; above 0. */
  std::int64_t bytes = 0;

  friend bool operator==(const ModelVersion&, const ModelVersion&) = default;
};

struct Adapter {
  /** Accelerator memory that a copy takes, beside its model; above 0. */
  std::int64_t bytes = 0;

  friend bool operator==(const Adapter&, const Adapter&) = default;
};

struct Model {
  std::map<VersionId, ModelVersion> versions;
  VersionId default_version;
  /** The most tokens that one request may generate; above 0. */
  std::int64_t max_tokens = 1024;
  /** Servers of this pool hold it; empty: any pool. */
  PoolId pool;
  std::map<AdapterId, Adapter> adapters;

  friend bool operator==(const Model&, const Model&) = default;
};

struct Server {
  DomainId failure_domain;
  /** `IP:PORT`. */
  std::string address;
  int accelerators = 1;
  /** Accelerator memory for models and adapters, all together. */
  std::int64_t memory_bytes = 0;
  /** Whether the engine refuses an order with an old fencing number. */
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
  /** Method to "may be repeated"; a method not named may not be. */
  std::map<std::string, bool> idempotent;
  /** Open to all: needs no key. */
  bool open = false;

  friend bool operator==(const Service&, const Service&) = default;
};

struct Domain {
  RegionId region;
  /** Budget units: the domain's part of every team's rate and burst. */
  std::int64_t units = 0;

  friend bool operator==(const Domain&, const Domain&) = default;
};

/** What a gateway that is cut off from everyone does with keys. */
enum class IsolationRule {
  kServe,   ///< serves on under the last known configuration
  kRefuse,  ///< refuses once the bound has passed
};

struct Policy {
  /**
   * 0 favours attainment per accelerator, 1 favours the worst-served team and
   * few wrongful refusals.
   */
  double fairness = 0.5;
  IsolationRule isolation = IsolationRule::kServe;
  /** Seconds without news after which IsolationRule::kRefuse refuses. */
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

/** What a caller's key stands for. */
struct KeyOwner {
  TeamId team;
  KeyId key;

  friend bool operator==(const KeyOwner&, const KeyOwner&) = default;
};

/** The digests of all keys, for the lookup on each request. */
class KeyIndex {
 public:
  explicit KeyIndex(const Configuration& configuration);

  /**
   * The owner of the key with this digest; null if there is none. Constant
   * expected time; the final comparison takes constant time.
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
 * Reads a whole configuration from JSON and checks it. Fails with kInvalid
 * and every finding at once, each with its path.
 */
Result<Configuration> ParseConfiguration(std::string_view json,
                                         VersionNumber number);

/** Writes a configuration as JSON; ParseConfiguration reads it back. */
std::string ToJson(const Configuration& configuration);

/**
 * Applies an RFC 7396 merge patch and checks the outcome, which gets the next
 * number. Fails with kInvalid and every finding; `base` stays as it is.
 */
Result<Configuration> ApplyPatch(const Configuration& base,
                                 std::string_view merge_patch);

/** Every fault of a configuration; empty if it may be put in force. */
Findings CheckConfiguration(const Configuration& configuration);

// ----------------------------------------------------------------- settings

/** The daemon that reads the settings; only a gateway listens to callers. */
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
  /** Holds the secret that peers authenticate each other with. */
  std::string peer_secret_file;
  /** Empty, or a second secret that is accepted but not used to send. */
  std::string peer_other_secret_file;
  std::vector<Operator> operators;
  /** Traffic threads, 1 to 256. */
  int threads = 2;
  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kText;

  friend bool operator==(const Settings&, const Settings&) = default;
};

/**
 * Reads settings from YAML text. Fails with kInvalid and every finding at
 * once, each placed as `FILE:LINE:COLUMN: path`.
 *
 * @param file the name that findings give as FILE
 */
Result<Settings> ParseSettings(std::string_view yaml, const std::string& file,
                               Role role);

/**
 * Reads a settings file; paths in it are relative to its folder. Fails with
 * kNotFound if the file cannot be read, else as ParseSettings.
 */
Result<Settings> LoadSettings(const std::string& file, Role role);

/**
 * The operator whose token this is; null if there is none. Compares with
 * every operator in constant time.
 */
const Operator* FindOperator(const std::vector<Operator>& operators,
                             std::string_view token);

}  // namespace figwell::config

#endif  // FIGWELL_CONFIG_H_
