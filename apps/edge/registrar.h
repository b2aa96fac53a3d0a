#ifndef FIGWELL_APPS_EDGE_REGISTRAR_H_
#define FIGWELL_APPS_EDGE_REGISTRAR_H_

#include <optional>
#include <string>

#include "peer_group.h"
#include "state.h"

namespace figwell::edge {

/**
 * Keeps this instance's entry in the store's list of instances, under a lease
 * of its own, and ends leases that are no longer wanted.
 */
class Registrar {
 public:
  Registrar(State& state, adapter::StoreClient& store);

  /** Makes the next call, if one is due. */
  void Tick(TimePoint now);
  /** Takes the entry away and registers no more. */
  void Leave();
  /** Ends a lease, and tries again until the store has answered. */
  void RevokeLease(store::LeaseId lease);

  std::string InstancesPrefix() const;

 private:
  void Register();
  void OnAnswer(TimePoint now, const std::optional<Error>& error);

  State& state_;
  adapter::StoreClient& store_;
  store::LeaseId lease_ = 0;
  TimePoint due_;
  bool calling_ = false;
  bool left_ = false;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_REGISTRAR_H_
