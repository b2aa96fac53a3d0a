#include "fleet_configuration.h"

#include <fmt/core.h>

namespace figwell::bench {
namespace {

constexpr int kModelsPerTeam = 20;
constexpr std::int64_t kServerMemoryBytes = 640'000'000'000;
constexpr std::int64_t kModelBytes = 14'000'000'000;
constexpr std::int64_t kAdapterBytes = 80'000'000;
constexpr int kPort = 8'000;

config::Team MakeTeam(const FleetSize& size, int index) {
  config::Team team;
  team.rate = 30'000;
  team.burst = 300'000;
  for (int i = 0; i < kModelsPerTeam; ++i) {
    team.models.insert(
        ModelId(fmt::format("model-{:04}", (index * 7 + i) % size.models)));
  }
  for (int i = 0; i < size.keys_per_team; ++i) {
    team.keys[KeyId(fmt::format("key-{}", i))].sha256 =
        Sha256(fmt::format("{}/{}", index, i));
  }
  return team;
}

config::Model MakeModel(const FleetSize& size, int index) {
  config::Model model;
  model.versions[VersionId("1")].bytes = kModelBytes;
  model.default_version = VersionId("1");
  for (int i = 0; i < size.adapters_per_model; ++i) {
    model.adapters[AdapterId(fmt::format("adapter-{:04}-{}", index, i))].bytes =
        kAdapterBytes;
  }
  return model;
}

config::Server MakeServer(const FleetSize& size, int index) {
  config::Server server;
  server.failure_domain =
      DomainId(fmt::format("domain-{}", index % size.domains));
  server.address = fmt::format("10.{}.{}.{}:{}", index / 65'536,
                               index / 256 % 256, index % 256, kPort);
  server.accelerators = 8;
  server.memory_bytes = kServerMemoryBytes;
  server.checks_fencing = true;
  return server;
}

}  // namespace

config::Configuration MakeConfiguration(const FleetSize& size) {
  config::Configuration configuration;
  for (int i = 0; i < size.domains; ++i) {
    configuration.domains[DomainId(fmt::format("domain-{}", i))] = {
        RegionId(fmt::format("region-{}", i % 3)), 100};
  }
  for (int i = 0; i < size.servers; ++i) {
    configuration.servers[ServerId(fmt::format("server-{:04}", i))] =
        MakeServer(size, i);
  }
  for (int i = 0; i < size.models; ++i) {
    configuration.models[ModelId(fmt::format("model-{:04}", i))] =
        MakeModel(size, i);
  }
  for (int i = 0; i < size.teams; ++i) {
    configuration.teams[TeamId(fmt::format("team-{:03}", i))] =
        MakeTeam(size, i);
  }
  return configuration;
}

}  // namespace figwell::bench
