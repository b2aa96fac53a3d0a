#ifndef FIGWELL_APPS_EDGE_REGISTRAR_H_
#define FIGWELL_APPS_EDGE_REGISTRAR_H_

#include <optional>
#include <string>

#include "peer_group.h"
#include "state.h"

namespace figwell::edge {

/**
 * Keeps this instance's entry in the store's list of instances, under a lease
 * of its own, and revokes leases that are no longer needed.
 */
class Registrar {
 public:
  Registrar(State& state, adapter::StoreClient& store);

  /** Makes the next call to the store, if one is due. */
  void Tick(TimePoint now);
  /** Removes the entry by revoking its lease, and stops registering. */
  void Leave();
  /** Revokes a lease; retries until it no longer exists. */
  void RevokeLease(store::LeaseId lease);

  std::string InstancesPrefix() const;

 private:
  void Register();
  /** The store was restored: the entry is written again under a new lease. */
  void OnNewEra();
  void OnCallResult(TimePoint now, const std::optional<Error>& error);

  State& state_;
  adapter::StoreClient& store_;
  store::LeaseId lease_ = 0;
  bool registered_ = false;  ///< the entry was written under this lease
  TimePoint next_call_;
  bool call_in_flight_ = false;
  bool left_ = false;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_REGISTRAR_H_
