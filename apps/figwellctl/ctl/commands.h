#ifndef FIGWELL_APPS_FIGWELLCTL_CTL_COMMANDS_H_
#define FIGWELL_APPS_FIGWELLCTL_CTL_COMMANDS_H_

/** Parses, executes and prints the operators' commands. */

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "figwell/core.h"
#include "session.h"

namespace figwell::ctl {

/** The options of all commands; a command ignores those it does not take. */
struct CommandOptions {
  std::optional<std::int64_t> rate;
  std::optional<std::int64_t> burst;
  std::optional<std::int64_t> weight;
  std::optional<std::int64_t> bytes;
  std::optional<std::int64_t> max_tokens;
  std::optional<std::int64_t> base;
  std::optional<std::string> models;
  std::optional<std::string> services;
  std::optional<std::string> version;
  std::optional<std::string> pool;
  std::optional<std::string> sha256;
  std::optional<std::string> id;
  bool make_default = false;
  bool watch = false;
  bool json = false;
};

/** One line for each command, for --help. */
std::string Usage();

/**
 * Runs one command, such as `team add drivers`. Fails with kInvalid if the
 * command is unknown or malformed, and otherwise with the reason why it had no
 * effect or why its effect is unknown.
 */
Result<void> RunCommand(const std::vector<std::string>& words,
                        const CommandOptions& options, Session& session,
                        std::ostream& out);

}  // namespace figwell::ctl

#endif  // FIGWELL_APPS_FIGWELLCTL_CTL_COMMANDS_H_
