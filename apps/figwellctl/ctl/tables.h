#ifndef FIGWELL_APPS_FIGWELLCTL_CTL_TABLES_H_
#define FIGWELL_APPS_FIGWELLCTL_CTL_TABLES_H_

/** Human-readable output. */

#include <string>
#include <string_view>
#include <vector>

#include "figwell/config.h"

namespace figwell::ctl {

/** Pads the cells so that columns align; the first row is the heading. */
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

std::string ConfigurationTables(const config::Configuration& configuration);

/** Formats the body of `GET /v1/history`; only a heading if it is not JSON. */
std::string HistoryTable(std::string_view json);

/** Formats the body of `GET /v1/status`. */
std::string StatusTables(std::string_view json);

}  // namespace figwell::ctl

#endif  // FIGWELL_APPS_FIGWELLCTL_CTL_TABLES_H_
