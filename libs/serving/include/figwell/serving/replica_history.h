#ifndef FIGWELL_SERVING_REPLICA_HISTORY_H_
#define FIGWELL_SERVING_REPLICA_HISTORY_H_

/** How long models wait for places, and copies have theirs; see serving.h. */

#include <map>
#include <utility>

#include "figwell/core.h"
#include "figwell/serving/demand.h"
#include "figwell/serving/engine_state.h"

namespace figwell::serving {

/**
 * What plans need to know of the past where there are more models than places:
 * so that every model that is asked for gets its turn, and a copy that has just
 * been loaded serves before it yields.
 */
class ReplicaHistory {
 public:
  void Update(TimePoint now, const std::map<ServerId, EngineState>& servers,
              const Demand& demand);

  /** How long a model has been asked for without a copy; 0 if it has one. */
  Duration UnreachableFor(TimePoint now, const ModelId& model) const;
  /** How long the server has held the model, as far as it was seen. */
  Duration HeldFor(TimePoint now, const ServerId& server,
                   const ModelId& model) const;
  /** How long nobody has asked for the model, as far as it was seen. */
  Duration IdleFor(TimePoint now, const ModelId& model) const;

 private:
  using Copy = std::pair<ServerId, ModelId>;

  std::map<ModelId, TimePoint> unreachable_since_;
  std::map<Copy, TimePoint> held_since_;
  std::map<ModelId, TimePoint> last_asked_;
  TimePoint begun_;
  bool updated_ = false;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_REPLICA_HISTORY_H_
