#include <algorithm>

#include "figwell/routing.h"

namespace figwell::routing {
namespace {

constexpr std::uint64_t kServiceSeed = 1;

std::uint64_t HashModel(const config::ModelTarget& target) {
  const std::uint64_t model = StableHash(target.model.value());
  const std::uint64_t version = StableHash(target.version.value(), model);
  return StableHash(target.adapter.value(), version);
}

FleetServer MakeServer(const ServerId& id, const config::Server& configured,
                       const FleetStatus& news) {
  FleetServer server;
  server.id = id;
  server.domain = configured.failure_domain;
  server.address = configured.address;
  server.accelerators = std::max(1, configured.accelerators);
  server.leaving = configured.draining || news.leaving.contains(id);
  server.hash = StableHash(id.value());
  const auto report = news.reports.find(id);
  if (report != news.reports.end()) {
    server.reported = true;
    server.leaving = server.leaving || report->second.draining;
    server.measured_at = report->second.measured_at;
    server.outstanding_tokens = report->second.outstanding_tokens;
    server.incarnation = report->second.incarnation;
  }
  return server;
}

}  // namespace

std::size_t TargetHash::operator()(const Target& target) const noexcept {
  if (const auto* model = std::get_if<config::ModelTarget>(&target)) {
    return HashModel(*model);
  }
  return StableHash(std::get_if<ServiceId>(&target)->value(), kServiceSeed);
}

FleetView::FleetView(const config::Configuration& configuration,
                     const FleetStatus& news) {
  std::map<ServerId, ServerIndex> index_of;
  servers_.reserve(configuration.servers.size());
  for (const auto& [id, configured] : configuration.servers) {
    const auto index = static_cast<ServerIndex>(servers_.size());
    index_of.emplace(id, index);
    servers_.push_back(MakeServer(id, configured, news));
    const auto report = news.reports.find(id);
    if (report == news.reports.end()) {
      continue;
    }
    for (const config::ModelTarget& target : report->second.ready) {
      candidates_[target].push_back(index);
    }
  }
  for (const auto& [id, service] : configuration.services) {
    for (const ServerId& server : service.servers) {
      const auto index = index_of.find(server);
      if (index != index_of.end()) {
        candidates_[id].push_back(index->second);
      }
    }
  }
}

std::span<const ServerIndex> FleetView::CandidatesFor(
    const Target& target) const {
  const auto found = candidates_.find(target);
  if (found == candidates_.end()) {
    return {};
  }
  return found->second;
}

std::optional<VersionId> FleetView::AnyReadyVersion(
    const ModelId& model, const AdapterId& adapter) const {
  std::optional<VersionId> highest;
  for (const auto& [target, servers] : candidates_) {
    const auto* ready = std::get_if<config::ModelTarget>(&target);
    if (ready == nullptr || ready->model != model ||
        ready->adapter != adapter) {
      continue;
    }
    const bool has_staying_server = std::any_of(
        servers.begin(), servers.end(),
        [&](ServerIndex index) { return !servers_[index].leaving; });
    if (has_staying_server && (!highest || *highest < ready->version)) {
      highest = ready->version;
    }
  }
  return highest;
}

PrefixKey MakePrefixKey(const Target& target, std::string_view prefix) {
  const std::uint64_t key = StableHash(prefix, TargetHash{}(target));
  return key == 0 ? 1 : key;
}

std::string_view Name(NoServerReason reason) {
  switch (reason) {
    case NoServerReason::kNotResident:
      return "not_resident";
    case NoServerReason::kAllLeaving:
      return "all_leaving";
    case NoServerReason::kAllExcluded:
      return "all_excluded";
  }
  return "unknown";
}

}  // namespace figwell::routing
