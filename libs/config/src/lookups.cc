#include <algorithm>

#include "figwell/config.h"

namespace figwell::config {
namespace {

bool DigestBefore(const std::pair<Digest, KeyOwner>& entry,
                  const Digest& digest) {
  return entry.first < digest;
}

}  // namespace

KeyIndex::KeyIndex(const Configuration& configuration) {
  for (const auto& [team_id, team] : configuration.teams) {
    for (const auto& [key_id, key] : team.keys) {
      owners_.emplace_back(key.sha256, KeyOwner{team_id, key_id});
    }
  }
  std::sort(owners_.begin(), owners_.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
}

const KeyOwner* KeyIndex::Find(const Digest& digest) const {
  // The search compares digests of keys, not keys: its timing reveals nothing
  // that helps an attacker to find a preimage.
  const auto position =
      std::lower_bound(owners_.begin(), owners_.end(), digest, DigestBefore);
  if (position == owners_.end() ||
      !ConstantTimeEqual(position->first, digest)) {
    return nullptr;
  }
  return &position->second;
}

namespace {

Result<ModelTarget> ResolveVersion(const Configuration& configuration,
                                   std::string_view name, std::size_t colon) {
  const ModelId model_id{std::string(name.substr(0, colon))};
  const VersionId version_id{std::string(name.substr(colon + 1))};
  const auto model = configuration.models.find(model_id);
  if (model == configuration.models.end() ||
      !model->second.versions.contains(version_id)) {
    return Fail(ErrorCode::kNotFound, "no such model version");
  }
  return ModelTarget{model_id, version_id, {}};
}

}  // namespace

Result<ModelTarget> ResolveModel(const Configuration& configuration,
                                 std::string_view name) {
  const auto model = configuration.models.find(ModelId(std::string(name)));
  if (model != configuration.models.end()) {
    return ModelTarget{model->first, model->second.default_version, {}};
  }
  const std::size_t colon = name.rfind(':');
  if (colon != std::string_view::npos) {
    return ResolveVersion(configuration, name, colon);
  }
  const AdapterId adapter{std::string(name)};
  for (const auto& [id, candidate] : configuration.models) {
    if (candidate.adapters.contains(adapter)) {
      return ModelTarget{id, candidate.default_version, adapter};
    }
  }
  return Fail(ErrorCode::kNotFound, "no such model or adapter");
}

const std::pair<const ServiceId, Service>* FindService(
    const Configuration& configuration, std::string_view path) {
  const std::pair<const ServiceId, Service>* best = nullptr;
  for (const auto& entry : configuration.services) {
    const std::string& prefix = entry.second.path;
    if (path.starts_with(prefix) &&
        (best == nullptr || prefix.size() > best->second.path.size())) {
      best = &entry;
    }
  }
  return best;
}

std::int64_t TotalUnits(const Configuration& configuration) {
  std::int64_t total = 0;
  for (const auto& [id, domain] : configuration.domains) {
    total += domain.units;
  }
  return total;
}

}  // namespace figwell::config
