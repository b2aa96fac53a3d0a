#include "command_line.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

namespace figwell::daemon {
namespace {

namespace options = boost::program_options;

options::options_description Describe(const std::string& program,
                                      SettingsOption settings) {
  options::options_description description(program);
  description.add_options()("settings", options::value<std::string>(),
                            "the YAML settings file");
  if (settings == SettingsOption::kFileOrEnvironment) {
    description.add_options()(
        "settings-from", options::value<std::string>(),
        "the environment variable that holds the settings file's path");
  }
  description.add_options()("check", "check the settings and exit")(
      "help", "show this text")("version", "show the version");
  return description;
}

std::string SettingsFile(const options::variables_map& values) {
  if (values.count("settings") > 0) {
    return values["settings"].as<std::string>();
  }
  if (values.count("settings-from") > 0) {
    const char* path =
        std::getenv(values["settings-from"].as<std::string>().c_str());
    return path == nullptr ? "" : path;
  }
  return {};
}

}  // namespace

std::optional<int> ReadCommandLine(int argc, char** argv,
                                   const std::string& program,
                                   SettingsOption settings,
                                   CommandLine& command_line) {
  const options::options_description description = Describe(program, settings);
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    std::cerr << program << ": " << error.what() << '\n';
    return kUsageStatus;
  }
  if (values.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  if (values.count("version") > 0) {
    std::cout << program << ' ' << FIGWELL_VERSION << '\n';
    return 0;
  }
  command_line.settings_file = SettingsFile(values);
  if (command_line.settings_file.empty()) {
    std::cerr << program << ": --settings FILE is needed\n";
    return kUsageStatus;
  }
  command_line.check = values.count("check") > 0;
  return std::nullopt;
}

}  // namespace figwell::daemon
