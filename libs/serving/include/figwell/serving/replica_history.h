#ifndef FIGWELL_SERVING_REPLICA_HISTORY_H_
#define FIGWELL_SERVING_REPLICA_HISTORY_H_

/** How long models wait for slots and replicas keep theirs; see serving.h. */

#include <map>
#include <utility>

#include "figwell/core.h"
#include "figwell/serving/demand.h"
#include "figwell/serving/engine_state.h"

namespace figwell::serving {

/**
 * History that the planner needs if there are more models than model slots: it
 * lets every requested model get its turn, and a replica that has just been
 * loaded serve before it is evicted.
 */
class ReplicaHistory {
 public:
  void Update(TimePoint now, const std::map<ServerId, EngineState>& servers,
              const Demand& demand);

  /** How long a model has been requested without a replica; 0 if it has one. */
  Duration UnservedDuration(TimePoint now, const ModelId& model) const;
  /** How long the server has held the model, as far as updates showed. */
  Duration ReplicaAge(TimePoint now, const ServerId& server,
                      const ModelId& model) const;
  /** How long the model has had no requests, as far as updates showed. */
  Duration IdleDuration(TimePoint now, const ModelId& model) const;

 private:
  using ServerModel = std::pair<ServerId, ModelId>;

  std::map<ModelId, TimePoint> unserved_since_;
  std::map<ServerModel, TimePoint> held_since_;
  std::map<ModelId, TimePoint> last_requested_;
  TimePoint first_update_;
  bool has_update_ = false;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_REPLICA_HISTORY_H_
