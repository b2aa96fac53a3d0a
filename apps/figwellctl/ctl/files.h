#ifndef FIGWELL_APPS_FIGWELLCTL_CTL_FILES_H_
#define FIGWELL_APPS_FIGWELLCTL_CTL_FILES_H_

/** Files that commands take as arguments. */

#include <string>

#include "figwell/core.h"

namespace figwell::ctl {

/** The contents of a file; kInvalid if it cannot be read. */
Result<std::string> ReadFile(const std::string& path);

}  // namespace figwell::ctl

#endif  // FIGWELL_APPS_FIGWELLCTL_CTL_FILES_H_
