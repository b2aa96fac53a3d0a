#ifndef FIGWELL_APPS_COMMON_COMMAND_LINE_H_
#define FIGWELL_APPS_COMMON_COMMAND_LINE_H_

#include <optional>
#include <string>

namespace figwell::daemon {

/** Exit status for an invalid command line or invalid settings. */
inline constexpr int kUsageStatus = 2;

struct CommandLine {
  std::string settings_file;
  bool check = false;
};

/** The options that name a program's settings file. */
enum class SettingsOption {
  kFile,               ///< `--settings FILE`
  kFileOrEnvironment,  ///< also `--settings-from VARIABLE`
};

/**
 * Parses a daemon's command line; returns an exit status if there is nothing
 * to run. Prints the help text, the version and errors.
 */
std::optional<int> ReadCommandLine(int argc, char** argv,
                                   const std::string& program,
                                   SettingsOption settings,
                                   CommandLine& command_line);

}  // namespace figwell::daemon

#endif  // FIGWELL_APPS_COMMON_COMMAND_LINE_H_
