// figwell-controller: serves the administration API and plans the placement of
// its failure domain.

#include <fmt/core.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>

#include "daemon.h"
#include "figwell/config.h"
#include "figwell/telemetry.h"

namespace {

namespace options = boost::program_options;

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

struct CommandLine {
  std::string settings;
  bool check = false;
};

options::options_description Describe() {
  options::options_description description("figwell-controller");
  description.add_options()  //
      ("settings", options::value<std::string>(),
       "the settings file (YAML)")                                  //
      ("check", "check the settings, print all findings and exit")  //
      ("help", "print this text and exit")                          //
      ("version", "print the version and exit");
  return description;
}

// Returns an exit status if the process is to exit without reading settings.
std::optional<int> ReadCommandLine(int argc, char** argv, CommandLine& out) {
  const options::options_description description = Describe();
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    std::cout << description;
    return kExitSuccess;
  }
  if (values.count("version") > 0) {
    fmt::print("figwell-controller {}\n", FIGWELL_VERSION);
    return kExitSuccess;
  }
  if (values.count("settings") == 0) {
    fmt::print(stderr, "--settings FILE is required\n");
    return kExitUsage;
  }
  out.settings = values["settings"].as<std::string>();
  out.check = values.count("check") > 0;
  return std::nullopt;
}

void SetUpLog(const figwell::config::Settings& settings) {
  using figwell::config::LogFormat;
  using figwell::telemetry::Format;
  using figwell::telemetry::Level;
  constexpr std::array kLevels = {Level::kDebug, Level::kInfo, Level::kWarning,
                                  Level::kError};
  figwell::telemetry::ConfigureLog(
      {kLevels.at(static_cast<std::size_t>(settings.log_level)),
       settings.log_format == LogFormat::kJson ? Format::kJson : Format::kText,
       settings.instance.value()});
}

}  // namespace

int main(int argc, char** argv) {
  CommandLine command_line;
  if (const auto status = ReadCommandLine(argc, argv, command_line)) {
    return *status;
  }
  const auto settings = figwell::config::LoadSettings(
      command_line.settings, figwell::config::Role::kController);
  if (!settings) {
    const figwell::Error& error = settings.error();
    fmt::print(stderr, "{}",
               error.findings.empty()
                   ? error.message + "\n"
                   : figwell::FormatFindings(error.findings));
    return kExitUsage;
  }
  if (command_line.check) {
    return kExitSuccess;
  }
  SetUpLog(*settings);
  figwell::controller::Daemon daemon(*settings);
  const figwell::Result<void> ended = daemon.Run();
  if (!ended) {
    figwell::telemetry::Log(figwell::telemetry::Event::kStartFailed,
                            ended.error().message);
    return kExitFailure;
  }
  return kExitSuccess;
}
