#include "memory_check.h"

#include <algorithm>
#include <iterator>

namespace figwell::config {
namespace {

struct Need {
  std::string place;
  PoolId pool;
  std::int64_t bytes = 0;
};

// The bytes that a replica of a version needs on its server: adapters are
// loaded and unloaded, but the largest must fit beside the version.
std::int64_t BytesOfCopy(const Model& model, const ModelVersion& version) {
  std::int64_t largest_adapter = 0;
  for (const auto& [id, adapter] : model.adapters) {
    largest_adapter = std::max(largest_adapter, adapter.bytes);
  }
  return version.bytes + largest_adapter;
}

std::vector<Need> CollectNeeds(const Configuration& configuration) {
  std::vector<Need> needs;
  for (const auto& [model_id, model] : configuration.models) {
    for (const auto& [version_id, version] : model.versions) {
      needs.push_back(
          {"models." + model_id.value() + ".versions." + version_id.value(),
           model.pool, BytesOfCopy(model, version)});
    }
  }
  // Models bound to a pool are packed first: the others fit into any pool.
  std::stable_sort(needs.begin(), needs.end(),
                   [](const Need& left, const Need& right) {
                     if (left.pool.empty() != right.pool.empty()) {
                       return right.pool.empty();
                     }
                     return left.bytes > right.bytes;
                   });
  return needs;
}

/** The free bytes of the servers, by pool. */
class FreeMemory {
 public:
  explicit FreeMemory(const Configuration& configuration) {
    for (const auto& [id, server] : configuration.servers) {
      if (!server.draining && server.memory_bytes > 0) {
        pools_[server.pool].insert(server.memory_bytes);
      }
    }
  }

  // Allocates the bytes on the server with the least sufficient free memory.
  // Returns 0, or by how many bytes the largest free memory is too small.
  std::int64_t Take(const PoolId& pool, std::int64_t bytes) {
    std::multiset<std::int64_t>* best_pool = nullptr;
    std::multiset<std::int64_t>::iterator best;
    std::int64_t largest = 0;
    for (auto& [id, rooms] : pools_) {
      if ((!pool.empty() && id != pool) || rooms.empty()) {
        continue;
      }
      largest = std::max(largest, *rooms.rbegin());
      const auto room = rooms.lower_bound(bytes);
      if (room != rooms.end() && (best_pool == nullptr || *room < *best)) {
        best_pool = &rooms;
        best = room;
      }
    }
    if (best_pool == nullptr) {
      return bytes - largest;
    }
    const std::int64_t left = *best - bytes;
    best_pool->erase(best);
    best_pool->insert(left);
    return 0;
  }

 private:
  std::map<PoolId, std::multiset<std::int64_t>> pools_;
};

}  // namespace

void CheckMemory(const Configuration& configuration, Findings& findings) {
  FreeMemory memory(configuration);
  for (const Need& need : CollectNeeds(configuration)) {
    const std::int64_t missing = memory.Take(need.pool, need.bytes);
    if (missing > 0) {
      findings.push_back(
          {need.place,
           "does not fit beside the other models: its " +
               std::to_string(need.bytes) + " bytes are " +
               std::to_string(missing) + " bytes more than the largest room" +
               (need.pool.empty() ? std::string(" of any server")
                                  : " of pool " + need.pool.value())});
    }
  }
}

}  // namespace figwell::config
