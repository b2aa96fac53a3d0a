#ifndef FIGWELL_PLACEMENT_TESTS_SIMULATED_STORE_H_
#define FIGWELL_PLACEMENT_TESTS_SIMULATED_STORE_H_

#include <chrono>
#include <map>
#include <string>
#include <utility>

#include "figwell/store.h"

namespace figwell::placement {

using std::chrono::seconds;

/** An in-memory store with transactions and leases. */
class SimulatedStore {
 public:
  store::TransactionResult Execute(TimePoint now,
                                   const store::Transaction& transaction);
  store::LeaseId Grant(TimePoint now, seconds ttl);
  Result<seconds> Renew(TimePoint now, store::LeaseId lease);
  void EndAllLeases() { leases_.clear(); }
  const std::map<std::string, store::KeyValue>& values() const {
    return values_;
  }

 private:
  void DropExpired(TimePoint now);
  void Apply(const store::Operation& operation,
             store::TransactionResult& result);

  std::map<std::string, store::KeyValue> values_;
  std::map<store::LeaseId, std::pair<TimePoint, seconds>> leases_;
  store::Revision revision_ = 0;
  store::LeaseId next_lease_ = 1;
};

}  // namespace figwell::placement

#endif  // FIGWELL_PLACEMENT_TESTS_SIMULATED_STORE_H_
