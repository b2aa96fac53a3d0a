#ifndef FIGWELL_SERVING_ENGINE_STATE_H_
#define FIGWELL_SERVING_ENGINE_STATE_H_

/** A server with an engine, as plans see it; see serving.h. */

#include <map>
#include <optional>
#include <set>
#include <string>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"

namespace figwell::serving {

/** One server as the planner sees it. */
struct EngineState {
  /** What it holds, or will once its present order is carried out. */
  HeldModels models;
  /** Weights that need no load from the weight store. */
  std::set<ModelId> local_weights;
  /** A model whose order is under way: a load if `loads`, else an unload. */
  std::optional<ModelId> loading;
  bool loads = true;
  bool orderable = false;  ///< may be given an order now

  friend bool operator==(const EngineState&, const EngineState&) = default;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_ENGINE_STATE_H_
