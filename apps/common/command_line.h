#ifndef FIGWELL_APPS_COMMON_COMMAND_LINE_H_
#define FIGWELL_APPS_COMMON_COMMAND_LINE_H_

#include <optional>
#include <string>

namespace figwell::daemon {

/** Exit status for a wrong command line or settings. */
inline constexpr int kUsageStatus = 2;

struct CommandLine {
  std::string settings_file;
  bool check = false;
};

/** How a program's settings file may be named. */
enum class SettingsOption {
  kFile,               ///< `--settings FILE`
  kFileOrEnvironment,  ///< also `--settings-from VARIABLE`
};

/**
 * Reads a daemon's command line; a status to exit with if there is nothing to
 * run. Help, the version and faults are printed.
 */
std::optional<int> ReadCommandLine(int argc, char** argv,
                                   const std::string& program,
                                   SettingsOption settings,
                                   CommandLine& command_line);

}  // namespace figwell::daemon

#endif  // FIGWELL_APPS_COMMON_COMMAND_LINE_H_
