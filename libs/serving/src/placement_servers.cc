#include "figwell/serving/placement_servers.h"

namespace figwell::serving {

std::vector<const BackendServer*> PlacementServers(TimePoint now,
                                                   const Directory& directory,
                                                   const ServiceId& service,
                                                   const ServerLimits& limits) {
  std::vector<const BackendServer*> usable;
  std::vector<const BackendServer*> without_limit;
  for (const auto& [id, entry] : directory.entries()) {
    if (entry.server.service != service || !directory.IsUsable(entry.server)) {
      continue;
    }
    usable.push_back(&entry.server);
    if (!limits.IsCurrent(now, id)) {
      without_limit.push_back(&entry.server);
    }
  }
  return without_limit.size() * 2 >= usable.size() ? without_limit : usable;
}

}  // namespace figwell::serving
