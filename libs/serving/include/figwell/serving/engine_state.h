#ifndef FIGWELL_SERVING_ENGINE_STATE_H_
#define FIGWELL_SERVING_ENGINE_STATE_H_

/** A server with an engine, as input to the planner; see serving.h. */

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"

namespace figwell::serving {

/** The state of one server, as input to the planner. */
struct EngineState {
  /**
   * The models it holds. Unloads and orders for adapters count as executed once
   * they are accepted; a model that is being loaded is only in `loading`.
   */
  HeldModels models;
  /** Models that need no load from the weight store. */
  std::set<ModelId> local_weights;
  /**
   * The model of the order in progress: a load if `is_load`, else an unload.
   * Empty if the model is not known.
   */
  std::optional<ModelId> loading;
  bool is_load = true;
  bool orderable = false;  ///< may be sent an order now
  /**
   * Loads that were sent to an earlier start of the server and may be executed
   * by this one. Room is kept for them. An empty model stands for any load:
   * room is kept for the largest model and for an adapter.
   */
  std::vector<ModelTarget> late_loads;

  friend bool operator==(const EngineState&, const EngineState&) = default;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_ENGINE_STATE_H_
