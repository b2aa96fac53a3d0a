#include "fake.h"

#include <cstdio>
#include <iostream>

namespace figwell::fakes {

namespace json = boost::json;
namespace options = boost::program_options;

bool Fault::Consume(const std::string& requested_mode) {
  if (mode != requested_mode || count == 0) {
    return false;
  }
  if (count > 0) {
    --count;
  }
  return true;
}

Fault ReadFault(const json::value& body) {
  return {GetText(body, "mode"), GetNumber(body, "count", -1),
          GetNumber(body, "delay_ms", 0)};
}

http::Response JsonAnswer(int status, const json::value& body) {
  return http::JsonResponse(status, json::serialize(body));
}

json::value ParseBody(const http::Request& request) {
  boost::system::error_code error;
  json::value body = json::parse(request.body, error);
  return error ? json::value() : body;
}

std::string GetText(const json::value& object, const char* name,
                    const std::string& fallback) {
  const auto* map = object.if_object();
  const auto* member = map != nullptr ? map->if_contains(name) : nullptr;
  return member != nullptr && member->is_string()
             ? std::string(member->get_string())
             : fallback;
}

std::int64_t GetNumber(const json::value& object, const char* name,
                       std::int64_t fallback) {
  const auto* map = object.if_object();
  const auto* member = map != nullptr ? map->if_contains(name) : nullptr;
  if (member == nullptr) {
    return fallback;
  }
  if (member->is_string()) {
    return ParseInteger(std::string_view{member->get_string()})
        .value_or(fallback);
  }
  return member->is_int64() ? member->get_int64() : fallback;
}

options::variables_map ReadCommandLine(int argc, char** argv,
                                       options::options_description options) {
  options.add_options()("help", "show this text")(
      "listen", options::value<std::string>()->default_value("127.0.0.1:0"),
      "IP:PORT to listen on");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, options), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n';
    std::exit(2);
  }
  if (values.count("help") > 0) {
    std::cout << options;
    std::exit(0);
  }
  return values;
}

int Serve(boost::asio::io_context& context, const std::string& address,
          std::function<void(http::ExchangePtr)> on_request) {
  http::ServerLimits limits;
  limits.body_bytes = 16'777'216;
  http::Server server(context, limits,
                      {std::move(on_request), [](http::RejectReason reason) {
                         return http::JsonResponse(
                             400, std::string(http::Name(reason)));
                       }});
  const auto bound = server.Listen(address);
  if (!bound) {
    std::cerr << bound.error() << '\n';
    return 1;
  }
  std::printf("listening %s\n", bound->c_str());
  std::fflush(stdout);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
      [&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}

}  // namespace figwell::fakes
