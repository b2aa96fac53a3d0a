#ifndef FIGWELL_APPS_EDGE_LOG_TEXT_H_
#define FIGWELL_APPS_EDGE_LOG_TEXT_H_

#include <chrono>
#include <string>

#include "figwell/core.h"
#include "figwell/serving.h"

namespace figwell::edge {

/** A time as whole milliseconds, for a field of a log line. */
inline std::string Ms(Duration duration) {
  return std::to_string(duration / std::chrono::milliseconds(1));
}

/** MODEL, or MODEL/ADAPTER. */
inline std::string TargetText(const serving::ModelTarget& target) {
  return target.adapter.empty() ? target.model.value()
                                : target.model.value() + "/" + target.adapter;
}

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_LOG_TEXT_H_
