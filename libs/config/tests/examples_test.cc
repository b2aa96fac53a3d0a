#include <filesystem>
#include <fstream>

#include "figwell/config.h"
#include "figwell/testing.h"

namespace figwell::config {
namespace {

struct Example {
  std::string name;
  std::size_t domains;
  std::size_t engines;
  std::size_t service_servers;
  std::size_t models;
  std::size_t adapters;
  std::size_t teams;
  std::size_t instances;
  WeightStore weight_store;
};

std::string Folder(const Example& example) {
  return FIGWELL_SOURCE_DIR "/examples/" + example.name;
}

void CheckSize(const Example& example, const Configuration& configuration) {
  std::size_t engines = 0;
  for (const auto& [id, server] : configuration.servers) {
    engines += server.memory_bytes > 0 ? 1 : 0;
  }
  std::size_t adapters = 0;
  for (const auto& [id, model] : configuration.models) {
    adapters += model.adapters.size();
  }
  CHECK(configuration.domains.size() == example.domains);
  CHECK(engines == example.engines);
  CHECK(configuration.servers.size() - engines == example.service_servers);
  CHECK(configuration.models.size() == example.models);
  CHECK(adapters == example.adapters);
  CHECK(configuration.teams.size() == example.teams);
  CHECK(configuration.weight_store == example.weight_store);
}

TEST_CASE("the examples are valid and have the expected sizes") {
  const std::vector<Example> examples = {
      {"rahnuma", 3, 20, 3, 30, 110, 5, 9, {2, 17, 140}},
      {"karaca", 4, 20, 4, 35, 95, 5, 8, {2, 5, 40}},
  };
  for (const Example& example : examples) {
    std::ifstream file(Folder(example) + "/configuration.json");
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const auto configuration = ParseConfiguration(text, 1);
    INFO(example.name);
    INFO((configuration ? "" : FormatFindings(configuration.error().findings)));
    REQUIRE(configuration);
    CheckSize(example, *configuration);
    std::set<InstanceId> instances;
    for (const auto& entry :
         std::filesystem::directory_iterator(Folder(example) + "/settings")) {
      const std::string path = entry.path().string();
      const bool gateway = path.ends_with("-gateway.yaml");
      const auto settings =
          LoadSettings(path, gateway ? Role::kGateway : Role::kController);
      INFO(path);
      INFO((settings ? "" : FormatFindings(settings.error().findings)));
      REQUIRE(settings);
      CHECK(configuration->domains.contains(settings->failure_domain));
      CHECK(instances.insert(settings->instance).second);
    }
    CHECK(instances.size() == 2 * example.instances);
  }
}

}  // namespace
}  // namespace figwell::config
