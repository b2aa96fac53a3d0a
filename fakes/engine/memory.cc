#include "memory.h"

#include <algorithm>

namespace figwell::fakes {

namespace json = boost::json;

bool EngineMemory::AcceptOrder(std::int64_t epoch, std::int64_t order) {
  const bool stale =
      std::tie(epoch, order) <= std::tie(epoch_, order_) && epoch_ > 0;
  if (stale) {
    ++stale_orders_;
    if (checks_fencing_) {
      return false;
    }
  }
  std::tie(epoch_, order_) =
      std::max(std::tie(epoch_, order_), std::tie(epoch, order));
  return true;
}

void EngineMemory::BeginLoad(const ResidentKey& key, std::int64_t bytes) {
  if (resident_.contains(key)) {
    return;
  }
  resident_[key] = {"loading", bytes};
  peak_ = std::max(peak_, used());
}

void EngineMemory::FinishLoad(const ResidentKey& key) {
  const auto found = resident_.find(key);
  if (found != resident_.end()) {
    found->second.state = "ready";
  }
}

void EngineMemory::Unload(const ResidentKey& key) { resident_.erase(key); }

bool EngineMemory::IsReady(const ResidentKey& key) const {
  const auto found = resident_.find(key);
  return found != resident_.end() && found->second.state == "ready";
}

std::int64_t EngineMemory::used() const {
  std::int64_t total = 0;
  for (const auto& [key, resident] : resident_) {
    total += resident.bytes;
  }
  return total;
}

void EngineMemory::AddToReport(json::object& report) const {
  json::array resident;
  for (const auto& [key, entry] : resident_) {
    resident.push_back({{"model", key.model},
                        {"version", key.version},
                        {"adapter", key.adapter},
                        {"state", entry.state},
                        {"bytes", entry.bytes}});
  }
  report["resident"] = resident;
  report["memory_bytes"] = memory_bytes_;
  report["memory_used"] = used();
  report["memory_peak"] = peak_;
  report["last_order"] = {{"epoch", epoch_}, {"order", order_}};
}

}  // namespace figwell::fakes
