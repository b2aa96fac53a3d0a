#ifndef FIGWELL_CONFIG_MEMORY_CHECK_H_
#define FIGWELL_CONFIG_MEMORY_CHECK_H_

#include "figwell/config.h"

namespace figwell::config {

/**
 * Reports the model versions that fit on no server after the others are
 * placed. Versions are packed largest first, each on the server with the least
 * sufficient free memory, so a placement exists for every configuration that
 * passes. Draining servers hold none.
 */
void CheckMemory(const Configuration& configuration, Findings& findings);

}  // namespace figwell::config

#endif  // FIGWELL_CONFIG_MEMORY_CHECK_H_
