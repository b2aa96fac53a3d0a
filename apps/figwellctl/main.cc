// figwellctl: the operators' command line.

#include <fmt/core.h>

#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "check.h"
#include "commands.h"
#include "session.h"

namespace {

namespace options = boost::program_options;
using figwell::ctl::CommandOptions;

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

options::options_description Describe() {
  using options::value;
  options::options_description description("figwellctl [OPTIONS] COMMAND");
  description.add_options()  //
      ("admin", value<std::string>()->default_value("127.0.0.1:9090"),
       "a controller's administration address")                               //
      ("token-file", value<std::string>(), "file with the operator's token")  //
      ("output", value<std::string>()->default_value("table"),
       "table or json")                                                      //
      ("rate", value<std::int64_t>(), "tokens per second")                   //
      ("burst", value<std::int64_t>(), "tokens")                             //
      ("weight", value<std::int64_t>(), "share under contention")            //
      ("models", value<std::string>(), "comma-separated ids")                //
      ("services", value<std::string>(), "comma-separated ids")              //
      ("bytes", value<std::int64_t>(), "accelerator memory in bytes")        //
      ("max-tokens", value<std::int64_t>(), "limit per request")             //
      ("pool", value<std::string>(), "servers that hold the model")          //
      ("default", "make it the model's default version")                     //
      ("sha256", value<std::string>(), "a key's digest")                     //
      ("base", value<std::int64_t>(), "the version that the patch changes")  //
      ("id", value<std::string>(), "the patch's id, to repeat a patch")      //
      ("watch", "print again every two seconds")                             //
      ("store", value<std::string>(), "the platform's store, for check")     //
      ("help", "print this text and exit")                                   //
      ("model-version", value<std::string>(), "a model's version")           //
      ("version", "print the version and exit")                              //
      ("command", value<std::vector<std::string>>(),
       "the command and its arguments");
  return description;
}

template <typename T>
std::optional<T> Get(const options::variables_map& values, const char* name) {
  return values.count(name) > 0 ? std::optional<T>(values[name].as<T>())
                                : std::nullopt;
}

CommandOptions ReadCommandOptions(const options::variables_map& values) {
  CommandOptions out;
  out.rate = Get<std::int64_t>(values, "rate");
  out.burst = Get<std::int64_t>(values, "burst");
  out.weight = Get<std::int64_t>(values, "weight");
  out.bytes = Get<std::int64_t>(values, "bytes");
  out.max_tokens = Get<std::int64_t>(values, "max-tokens");
  out.base = Get<std::int64_t>(values, "base");
  out.models = Get<std::string>(values, "models");
  out.services = Get<std::string>(values, "services");
  out.version = Get<std::string>(values, "model-version");
  out.pool = Get<std::string>(values, "pool");
  out.sha256 = Get<std::string>(values, "sha256");
  out.id = Get<std::string>(values, "id");
  out.make_default = values.count("default") > 0;
  out.watch = values.count("watch") > 0;
  out.json = values["output"].as<std::string>() == "json";
  return out;
}

figwell::Result<std::string> ReadToken(const options::variables_map& values) {
  if (values.count("token-file") == 0) {
    return std::string();
  }
  const auto path = values["token-file"].as<std::string>();
  std::ifstream file(path);
  std::string token;
  if (!std::getline(file, token)) {
    return figwell::Fail(figwell::ErrorCode::kInvalid,
                         "no token can be read from " + path);
  }
  return token;
}

int Report(const figwell::Error& error) {
  std::ostringstream text;
  text << error;
  fmt::print(stderr, "{}\n", text.str());
  const bool usage =
      error.code == figwell::ErrorCode::kInvalid && error.findings.empty();
  return usage ? kExitUsage : kExitFailure;
}

int Run(const options::variables_map& values) {
  const auto output = values["output"].as<std::string>();
  if (output != "table" && output != "json") {
    fmt::print(stderr, "--output must be table or json\n");
    return kExitUsage;
  }
  const auto words = Get<std::vector<std::string>>(values, "command")
                         .value_or(std::vector<std::string>());
  if (!words.empty() && words.front() == "check") {
    return figwell::ctl::RunCheck(
        {{words.begin() + 1, words.end()},
         Get<std::string>(values, "store").value_or(std::string()),
         output == "json"},
        std::cout, std::cerr);
  }
  const auto token = ReadToken(values);
  if (!token) {
    return Report(token.error());
  }
  boost::asio::io_context context;
  figwell::ctl::SessionOptions session_options;
  session_options.admin = values["admin"].as<std::string>();
  session_options.token = *token;
  figwell::ctl::Session session(context, session_options);
  const auto done = figwell::ctl::RunCommand(words, ReadCommandOptions(values),
                                             session, std::cout);
  return done ? kExitSuccess : Report(done.error());
}

}  // namespace

int main(int argc, char** argv) {
  const options::options_description description = Describe();
  options::positional_options_description positions;
  positions.add("command", -1);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(description)
                       .positional(positions)
                       .run(),
                   values);
  } catch (const options::error& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    std::cout << description << '\n'
              << figwell::ctl::Usage() << figwell::ctl::CheckUsage();
    return kExitSuccess;
  }
  if (values.count("version") > 0) {
    fmt::print("figwellctl {}\n", FIGWELL_VERSION);
    return kExitSuccess;
  }
  if (values.count("command") == 0) {
    fmt::print(stderr, "a command is required; see --help\n");
    return kExitUsage;
  }
  return Run(values);
}
