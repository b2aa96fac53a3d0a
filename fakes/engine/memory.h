#ifndef FIGWELL_FAKES_ENGINE_MEMORY_H_
#define FIGWELL_FAKES_ENGINE_MEMORY_H_

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace figwell::fakes {

/** A model version, or an adapter of it, in an engine's memory. */
struct ResidentKey {
  std::string model;
  std::string version;
  std::string adapter;

  friend auto operator<=>(const ResidentKey&, const ResidentKey&) = default;
};

struct Resident {
  std::string state;  ///< loading, ready or unloading
  std::int64_t bytes = 0;
};

/** An engine's accelerator memory and the newest order that it accepted. */
class EngineMemory {
 public:
  EngineMemory(std::int64_t memory_bytes, bool checks_fencing)
      : memory_bytes_(memory_bytes), checks_fencing_(checks_fencing) {}

  /**
   * Records an order's epoch and number. An order that is not newer than the
   * newest one counts as stale.
   *
   * @return false if the order is stale and the engine checks fencing
   */
  bool AcceptOrder(std::int64_t epoch, std::int64_t order);

  void BeginLoad(const ResidentKey& key, std::int64_t bytes);
  void FinishLoad(const ResidentKey& key);
  void Unload(const ResidentKey& key);

  bool IsReady(const ResidentKey& key) const;
  std::int64_t used() const;
  /** The maximum of used() so far. */
  std::int64_t peak() const { return peak_; }
  std::int64_t stale_orders() const { return stale_orders_; }

  /** Adds the fields about memory and orders to a report. */
  void AddToReport(boost::json::object& report) const;

 private:
  std::int64_t memory_bytes_;
  bool checks_fencing_;
  std::map<ResidentKey, Resident> resident_;
  std::int64_t peak_ = 0;
  std::int64_t epoch_ = 0;
  std::int64_t order_ = 0;
  std::int64_t stale_orders_ = 0;
};

}  // namespace figwell::fakes

#endif  // FIGWELL_FAKES_ENGINE_MEMORY_H_
