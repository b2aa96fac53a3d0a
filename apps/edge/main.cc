// figwell-edge: serves routes with opaque requests on the users' platform.
// A single thread handles callers' requests and keeps the control state.

#include <iostream>

#include "command_line.h"
#include "edge.h"

int main(int argc, char** argv) {
  namespace daemon = figwell::daemon;
  daemon::CommandLine command_line;
  if (const auto status = daemon::ReadCommandLine(
          argc, argv, "figwell-edge",
          daemon::SettingsOption::kFileOrEnvironment, command_line)) {
    return *status;
  }
  const auto settings =
      figwell::config::LoadEdgeSettings(command_line.settings_file);
  if (!settings) {
    std::cerr << "figwell-edge: " << settings.error().message << '\n'
              << figwell::FormatFindings(settings.error().findings);
    return daemon::kUsageStatus;
  }
  if (command_line.check) {
    return 0;
  }
  figwell::telemetry::ConfigureLog(
      {figwell::telemetry::Level::kInfo, figwell::telemetry::Format::kJson,
       settings->instance.value(), figwell::telemetry::Output::kStandardOutput,
       settings->log_lines_per_second});
  return figwell::edge::Edge(command_line.settings_file, *settings).Run();
}
