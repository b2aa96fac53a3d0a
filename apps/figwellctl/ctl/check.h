#ifndef FIGWELL_APPS_FIGWELLCTL_CTL_CHECK_H_
#define FIGWELL_APPS_FIGWELLCTL_CTL_CHECK_H_

/** `figwellctl check`: checks a configuration of the users' platform. */

#include <ostream>
#include <string>
#include <vector>

namespace figwell::ctl {

struct CheckOptions {
  /** The configuration to check, and optionally the one to compare it with. */
  std::vector<std::string> files;
  /** `IP:PORT` of the store that has the version in force; empty: none. */
  std::string store;
  bool json = false;
};

inline constexpr int kCheckSound = 0;
inline constexpr int kCheckFindings = 1;
/** Also wrong usage, and a version in force that cannot be read. */
inline constexpr int kCheckUnreadable = 2;

/** One line for --help. */
std::string CheckUsage();

/**
 * Prints the findings, and what differs from the other version. A difference is
 * no finding.
 * @return the exit status
 */
int RunCheck(const CheckOptions& options, std::ostream& out,
             std::ostream& errors);

}  // namespace figwell::ctl

#endif  // FIGWELL_APPS_FIGWELLCTL_CTL_CHECK_H_
