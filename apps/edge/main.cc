// figwell-edge: serves routes with opaque requests on the users' platform.
// One thread takes callers' requests and keeps the control state.

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

#include "edge.h"

namespace {

namespace options = boost::program_options;

constexpr int kUsageStatus = 2;

struct CommandLine {
  std::string settings_file;
  bool check = false;
};

// Reads the command line; a status to exit with if there is nothing to run.
std::optional<int> ReadCommandLine(int argc, char** argv,
                                   CommandLine& command_line) {
  options::options_description description("figwell-edge");
  description.add_options()("settings", options::value<std::string>(),
                            "the YAML settings file")(
      "settings-from", options::value<std::string>(),
      "the environment variable that holds the settings file's path")(
      "check", "check the settings and exit")("help", "show this text")(
      "version", "show the version");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    std::cerr << "figwell-edge: " << error.what() << '\n';
    return kUsageStatus;
  }
  if (values.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  if (values.count("version") > 0) {
    std::cout << "figwell-edge " << FIGWELL_VERSION << '\n';
    return 0;
  }
  if (values.count("settings") > 0) {
    command_line.settings_file = values["settings"].as<std::string>();
  } else if (values.count("settings-from") > 0) {
    const char* path =
        std::getenv(values["settings-from"].as<std::string>().c_str());
    command_line.settings_file = path == nullptr ? "" : path;
  }
  if (command_line.settings_file.empty()) {
    std::cerr << "figwell-edge: --settings FILE is needed\n";
    return kUsageStatus;
  }
  command_line.check = values.count("check") > 0;
  return std::nullopt;
}

}  // namespace

int main(int argc, char** argv) {
  CommandLine command_line;
  if (const auto status = ReadCommandLine(argc, argv, command_line)) {
    return *status;
  }
  const auto settings =
      figwell::config::LoadEdgeSettings(command_line.settings_file);
  if (!settings) {
    std::cerr << "figwell-edge: " << settings.error().message << '\n'
              << figwell::FormatFindings(settings.error().findings);
    return kUsageStatus;
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
