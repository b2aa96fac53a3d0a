// A fake engine; docs/ENGINE.md describes its protocol. `POST /fault` makes the
// next requests fail: "refuse" responds with 503, "drop" aborts the connection,
// "truncate" cuts the response off, "cross" responds with the id of another
// request, "slow" delays each token, "lose_order" aborts the connection
// before an order is accepted, "lose_order_answer" afterwards. `POST /drain`
// makes the engine report that it is draining.

#include "engine.h"

int main(int argc, char** argv) {
  using namespace figwell::fakes;  // NOLINT(google-build-using-namespace)
  namespace options = boost::program_options;
  options::options_description description("figwell-fake-engine");
  description.add_options()(
      "memory-bytes",
      options::value<std::int64_t>()->default_value(80'000'000'000),
      "accelerator memory in bytes")(
      "checks-fencing", options::value<bool>()->default_value(true),
      "reject orders with a stale epoch and number")(
      "slots", options::value<int>()->default_value(8),
      "requests that run concurrently")("token-ms",
                                        options::value<int>()->default_value(1),
                                        "time per token in milliseconds")(
      "load-ms", options::value<int>()->default_value(20),
      "time per load in milliseconds")("report-lag-ms",
                                       options::value<int>()->default_value(0),
                                       "age of the reports in milliseconds");
  const auto values = ReadCommandLine(argc, argv, description);
  EngineOptions engine_options;
  engine_options.memory_bytes = values["memory-bytes"].as<std::int64_t>();
  engine_options.checks_fencing = values["checks-fencing"].as<bool>();
  engine_options.slots = values["slots"].as<int>();
  engine_options.token_time =
      std::chrono::milliseconds(values["token-ms"].as<int>());
  engine_options.load_time =
      std::chrono::milliseconds(values["load-ms"].as<int>());
  engine_options.report_lag =
      std::chrono::milliseconds(values["report-lag-ms"].as<int>());
  boost::asio::io_context context;
  Engine engine(context, engine_options);
  return Serve(context, values["listen"].as<std::string>(),
               [&](const auto& exchange) { engine.OnRequest(exchange); });
}
