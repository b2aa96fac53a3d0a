#include "memory_check.h"

#include <algorithm>
#include <iterator>

namespace figwell::config {
namespace {

struct MemoryNeed {
  std::string place;
  PoolId pool;
  std::int64_t bytes = 0;
};

// The bytes that a replica of a version needs on its server: adapters are
// loaded and unloaded, but the largest must fit beside the version.
std::int64_t ReplicaBytes(const Model& model, const ModelVersion& version) {
  std::int64_t max_adapter_bytes = 0;
  for (const auto& [id, adapter] : model.adapters) {
    max_adapter_bytes = std::max(max_adapter_bytes, adapter.bytes);
  }
  return version.bytes + max_adapter_bytes;
}

std::vector<MemoryNeed> CollectMemoryNeeds(const Configuration& configuration) {
  std::vector<MemoryNeed> needs;
  for (const auto& [model_id, model] : configuration.models) {
    for (const auto& [version_id, version] : model.versions) {
      needs.push_back(
          {"models." + model_id.value() + ".versions." + version_id.value(),
           model.pool, ReplicaBytes(model, version)});
    }
  }
  // Models bound to a pool are packed first: the others fit into any pool.
  std::stable_sort(needs.begin(), needs.end(),
                   [](const MemoryNeed& left, const MemoryNeed& right) {
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
  std::int64_t Allocate(const PoolId& pool, std::int64_t bytes) {
    std::multiset<std::int64_t>* best_pool = nullptr;
    std::multiset<std::int64_t>::iterator best_fit;
    std::int64_t max_free = 0;
    for (auto& [id, free_bytes] : pools_) {
      if ((!pool.empty() && id != pool) || free_bytes.empty()) {
        continue;
      }
      max_free = std::max(max_free, *free_bytes.rbegin());
      const auto fitting = free_bytes.lower_bound(bytes);
      if (fitting != free_bytes.end() &&
          (best_pool == nullptr || *fitting < *best_fit)) {
        best_pool = &free_bytes;
        best_fit = fitting;
      }
    }
    if (best_pool == nullptr) {
      return bytes - max_free;
    }
    const std::int64_t left = *best_fit - bytes;
    best_pool->erase(best_fit);
    best_pool->insert(left);
    return 0;
  }

 private:
  std::map<PoolId, std::multiset<std::int64_t>> pools_;
};

}  // namespace

void CheckMemory(const Configuration& configuration, Findings& findings) {
  FreeMemory memory(configuration);
  for (const MemoryNeed& need : CollectMemoryNeeds(configuration)) {
    const std::int64_t missing = memory.Allocate(need.pool, need.bytes);
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
