#include "figwell/serving/catalog.h"

#include <algorithm>

namespace figwell::serving {

bool Holds(const HeldModels& models, const ModelTarget& target) {
  const auto model = models.find(target.model);
  return model != models.end() &&
         (target.adapter.empty() || model->second.contains(target.adapter));
}

Catalog::Catalog(CatalogParts parts) : parts_(std::move(parts)) {
  for (const Route& route : parts_.routes) {
    routes_of_host_[route.host].push_back(&route);
  }
  for (auto& [host, routes] : routes_of_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* left, const Route* right) {
                       return left->path_prefix.size() >
                              right->path_prefix.size();
                     });
  }
}

const Route* Catalog::FindRoute(std::string_view host,
                                std::string_view path) const {
  const auto routes = routes_of_host_.find(std::string(host));
  if (routes == routes_of_host_.end()) {
    return nullptr;
  }
  for (const Route* route : routes->second) {
    if (path.starts_with(route->path_prefix)) {
      return route;
    }
  }
  return nullptr;
}

const TeamSpec* Catalog::FindTeamOfKey(const std::string& key) const {
  const auto team = parts_.team_of_key.find(key);
  if (team == parts_.team_of_key.end()) {
    return nullptr;
  }
  const auto spec = parts_.teams.find(team->second);
  return spec == parts_.teams.end() ? nullptr : &spec->second;
}

const ServiceSpec* Catalog::FindService(const ServiceId& id) const {
  const auto found = parts_.services.find(id);
  return found == parts_.services.end() ? nullptr : &found->second;
}

const ModelSpec* Catalog::FindModel(const ServiceId& service,
                                    const ModelId& model) const {
  const ServiceSpec* spec = FindService(service);
  if (spec == nullptr || !spec->engine) {
    return nullptr;
  }
  const auto found = spec->engine->models.find(model);
  return found == spec->engine->models.end() ? nullptr : &found->second;
}

const ServiceId* ChooseService(const Route& route, double draw) {
  double total = 0;
  for (const TrafficShare& share : route.shares) {
    total += share.weight;
  }
  double left = draw * total;
  const ServiceId* last = nullptr;
  for (const TrafficShare& share : route.shares) {
    if (share.weight <= 0) {
      continue;
    }
    last = &share.service;
    left -= share.weight;
    if (left < 0) {
      break;
    }
  }
  return last;
}

ModelTarget ParseModelTarget(std::string_view text) {
  const std::size_t slash = text.find('/');
  ModelTarget target{ModelId(std::string(text.substr(0, slash))), {}};
  if (slash != std::string_view::npos) {
    target.adapter = std::string(text.substr(slash + 1));
  }
  return target;
}

}  // namespace figwell::serving
