#include <algorithm>
#include <cmath>

#include "address.h"
#include "figwell/config.h"
#include "memory_check.h"

namespace figwell::config {
namespace {

constexpr std::size_t kMaxIdLength = 128;
constexpr int kMaxPriority = 9;
constexpr std::int64_t kMaxIsolationSeconds = 86'400;
// These bounds keep every sum over the fleet far from overflow.
constexpr std::int64_t kMaxTokens = 1'000'000'000'000;
constexpr std::int64_t kMaxBytes = 1'000'000'000'000'000;
constexpr std::int64_t kMaxUnits = 1'000'000;

class Checker {
 public:
  explicit Checker(const Configuration& configuration)
      : configuration_(configuration) {}

  Findings Run() {
    CheckTeams();
    CheckModels();
    CheckAdapterNames();
    CheckServers();
    CheckServices();
    CheckDomains();
    CheckPolicy();
    CheckMemory(configuration_, findings_);
    return std::move(findings_);
  }

 private:
  void Report(std::string place, std::string message) {
    findings_.push_back({std::move(place), std::move(message)});
  }

  void Require(bool holds, const std::string& place, std::string_view message) {
    if (!holds) {
      Report(place, std::string(message));
    }
  }

  void RequireRange(std::int64_t value, std::int64_t low, std::int64_t high,
                    const std::string& place) {
    if (value < low || value > high) {
      Report(place, "is " + std::to_string(value) + ", but must be from " +
                        std::to_string(low) + " to " + std::to_string(high));
    }
  }

  // Ids appear in store keys, headers and logs.
  void CheckId(const std::string& id, const std::string& path,
               std::string_view extra = "") {
    const auto allowed = [&](char c) {
      return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
             (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
             extra.find(c) != std::string_view::npos;
    };
    Require(!id.empty() && id.size() <= kMaxIdLength &&
                std::all_of(id.begin(), id.end(), allowed),
            path, "is not an id of 1 to 128 letters, digits, '-', '_' and '.'");
  }

  template <typename IdType, typename Map>
  void RequireKnown(const IdType& id, const Map& map, const std::string& path,
                    std::string_view kind) {
    if (!map.contains(id)) {
      Report(path, "names the " + std::string(kind) + " " + id.value() +
                       ", which does not exist");
    }
  }

  void CheckTeams() {
    for (const auto& [id, team] : configuration_.teams) {
      const std::string path = "teams." + id.value();
      CheckId(id.value(), path);
      RequireRange(team.rate, 0, kMaxTokens, path + ".rate");
      RequireRange(team.burst, 0, kMaxTokens, path + ".burst");
      RequireRange(team.weight, 1, kMaxTokens, path + ".weight");
      RequireRange(team.max_priority, 0, kMaxPriority, path + ".max_priority");
      for (const ModelId& model : team.models) {
        RequireKnown(model, configuration_.models, path + ".models", "model");
      }
      for (const ServiceId& service : team.services) {
        RequireKnown(service, configuration_.services, path + ".services",
                     "service");
      }
      CheckKeys(team, path);
    }
  }

  void CheckKeys(const Team& team, const std::string& team_path) {
    for (const auto& [id, key] : team.keys) {
      const std::string path = team_path + ".keys." + id.value();
      CheckId(id.value(), path);
      const auto [first, inserted] = key_paths_.emplace(key.sha256, path);
      if (!inserted) {
        Report(path + ".sha256", "is the same key as " + first->second);
      }
    }
  }

  void CheckModels() {
    for (const auto& [id, model] : configuration_.models) {
      const std::string path = "models." + id.value();
      CheckId(id.value(), path, "/");
      Require(!model.versions.empty(), path + ".versions",
              "must hold at least one version");
      Require(model.versions.contains(model.default_version),
              path + ".default_version",
              "must name one of the model's versions");
      RequireRange(model.max_tokens, 1, kMaxTokens, path + ".max_tokens");
      CheckSizes(model.versions, path + ".versions.");
      CheckSizes(model.adapters, path + ".adapters.");
      CheckPool(model.pool, path + ".pool");
    }
  }

  template <typename Map>
  void CheckSizes(const Map& map, const std::string& prefix) {
    for (const auto& [id, sized] : map) {
      CheckId(id.value(), prefix + id.value(), "/");
      RequireRange(sized.bytes, 1, kMaxBytes, prefix + id.value() + ".bytes");
    }
  }

  void CheckPool(const PoolId& pool, const std::string& path) {
    if (!pool.empty()) {
      CheckId(pool.value(), path);
    }
  }

  // Requests name an adapter without its model, so no other adapter and no
  // model may have the same name.
  void CheckAdapterNames() {
    std::map<AdapterId, std::string> paths;
    for (const auto& [model_id, model] : configuration_.models) {
      for (const auto& [id, adapter] : model.adapters) {
        const std::string path =
            "models." + model_id.value() + ".adapters." + id.value();
        const auto [first, inserted] = paths.emplace(id, path);
        if (!inserted) {
          Report(path, "is ambiguous: " + first->second + " has the same name");
        }
        Require(!configuration_.models.contains(ModelId(id.value())), path,
                "is ambiguous: a model has the same name");
      }
    }
  }

  void CheckServers() {
    std::map<std::string, std::string> paths;
    for (const auto& [id, server] : configuration_.servers) {
      const std::string path = "servers." + id.value();
      CheckId(id.value(), path);
      RequireKnown(server.failure_domain, configuration_.domains,
                   path + ".failure_domain", "domain");
      CheckAddress(server.address, path + ".address");
      RequireRange(server.accelerators, 0, kMaxUnits, path + ".accelerators");
      RequireRange(server.memory_bytes, 0, kMaxBytes, path + ".memory_bytes");
      CheckPool(server.pool, path + ".pool");
      const auto [first, inserted] = paths.emplace(server.address, path);
      if (!inserted) {
        Report(path + ".address", "is also the address of " + first->second);
      }
    }
  }

  void CheckAddress(const std::string& address, const std::string& path) {
    Require(IsIpAndPort(address), path, "must be IP:PORT");
  }

  void CheckServices() {
    for (const auto& [id, service] : configuration_.services) {
      const std::string path = "services." + id.value();
      CheckId(id.value(), path);
      CheckServicePath(id, service, path + ".path");
      Require(!service.servers.empty(), path + ".servers",
              "must name at least one server");
      for (const ServerId& server : service.servers) {
        RequireKnown(server, configuration_.servers, path + ".servers",
                     "server");
      }
    }
  }

  void CheckServicePath(const ServiceId& id, const Service& service,
                        const std::string& path) {
    const std::string& prefix = service.path;
    Require(prefix.size() > 2 && prefix.front() == '/' && prefix.back() == '/',
            path, "must begin and end with '/' and name something between");
    Require(!prefix.starts_with("/v1/"), path,
            "overlaps the models' API under /v1/");
    for (const auto& [other_id, other] : configuration_.services) {
      if (other_id < id &&
          (prefix.starts_with(other.path) || other.path.starts_with(prefix))) {
        Report(path, "overlaps services." + other_id.value() + ".path");
      }
    }
  }

  void CheckDomains() {
    for (const auto& [id, domain] : configuration_.domains) {
      const std::string path = "domains." + id.value();
      CheckId(id.value(), path);
      RequireRange(domain.units, 0, kMaxUnits, path + ".units");
    }
    const bool needs_units =
        !configuration_.domains.empty() || !configuration_.teams.empty();
    Require(!needs_units || TotalUnits(configuration_) > 0, "domains",
            "the units of all domains together are zero: no team could be "
            "given tokens");
  }

  void CheckPolicy() {
    const Policy& policy = configuration_.policy;
    Require(policy.fairness >= 0 && policy.fairness <= 1, "policy.fairness",
            "must be from 0 to 1");
    RequireRange(policy.isolation_seconds, 1, kMaxIsolationSeconds,
                 "policy.isolation_seconds");
    const WeightStore& store = configuration_.weight_store;
    Require(store.loads_per_second > 0 && std::isfinite(store.loads_per_second),
            "weight_store.loads_per_second", "must be above 0");
    RequireRange(store.loads_at_once, 1, kMaxUnits,
                 "weight_store.loads_at_once");
    RequireRange(store.adapters_at_once, 1, kMaxUnits,
                 "weight_store.adapters_at_once");
  }

  const Configuration& configuration_;
  Findings findings_;
  std::map<Digest, std::string> key_paths_;
};

}  // namespace

Findings CheckConfiguration(const Configuration& configuration) {
  return Checker(configuration).Run();
}

}  // namespace figwell::config
