// figwell-load: puts open-loop load with seeded arrivals on gateways or
// directly on an engine, and prints latency and success as callers see them.

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <iostream>

#include "figwell/http.h"
#include "plan.h"
#include "results.h"

namespace figwell::load {
namespace {

namespace json = boost::json;
namespace options = boost::program_options;

constexpr int kUsageStatus = 2;

/** One request in flight. */
struct InFlightRequest {
  Outcome outcome;
  TimePoint sent;
  TimePoint last_piece;
  bool first_piece_received = false;
  int status = 0;
  std::string body;
  bool done_event = false;
};

std::string CodeOf(const std::string& body) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  const auto* object = error ? nullptr : value.if_object();
  const auto* fault =
      object == nullptr ? nullptr : object->if_contains("error");
  const auto* fields = fault == nullptr ? nullptr : fault->if_object();
  const auto* code = fields == nullptr ? nullptr : fields->if_contains("code");
  return code != nullptr && code->is_string() ? std::string(code->get_string())
                                              : "no_code";
}

class Generator {
 public:
  explicit Generator(LoadOptions load_options)
      : options_(std::move(load_options)),
        plan_(MakePlan(options_)),
        client_(context_, {}),
        timer_(context_) {}

  void Run() {
    start_ = MonotonicNow();
    SendDue();
    context_.run();
    elapsed_ = MonotonicNow() - start_;
  }

  const Results& results() const { return results_; }
  Duration elapsed() const { return elapsed_; }

 private:
  // Open loop: a due request is sent however many answers are outstanding.
  void SendDue() {
    while (next_ < plan_.size() && start_ + plan_[next_].at <= MonotonicNow()) {
      Send(plan_[next_++]);
    }
    if (next_ == plan_.size()) {
      return;
    }
    timer_.expires_after(start_ + plan_[next_].at - MonotonicNow());
    timer_.async_wait([this](const boost::system::error_code&) { SendDue(); });
  }

  http::Request MakeRequest(const PlannedRequest& planned) const {
    const Caller& caller = options_.callers[planned.caller];
    const std::string prompt =
        "request " + std::to_string(next_) + " " +
        std::string(static_cast<std::size_t>(options_.prompt_bytes), 'p');
    const json::value message{{"role", "user"}, {"content", prompt}};
    http::Request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers.Add("Content-Type", "application/json");
    request.headers.Add("Authorization", "Bearer " + caller.key);
    request.headers.Add("X-Request-Id", "load-" + std::to_string(next_));
    request.body = json::serialize(
        json::value{{"model", options_.models[planned.model].name},
                    {"messages", json::array{message}},
                    {"max_tokens", options_.max_tokens},
                    {"stream", planned.streamed}});
    return request;
  }

  void Send(const PlannedRequest& planned) {
    const auto running = std::make_shared<InFlightRequest>();
    running->sent = MonotonicNow();
    running->outcome.team = options_.callers[planned.caller].team;
    running->outcome.streamed = planned.streamed;
    running->outcome.lateness = running->sent - (start_ + planned.at);
    http::ResponseHandlers handlers;
    handlers.on_head = [running](int status, const http::Headers&) {
      running->status = status;
    };
    handlers.on_piece = [running](std::string_view piece,
                                  const std::function<void()>& resume) {
      RecordPiece(*running, piece);
      resume();
    };
    handlers.on_end = [this, running] { End(*running); };
    handlers.on_error = [this, running](const http::ClientError&) {
      running->outcome.fault = "broken";
      results_.Add(running->outcome);
    };
    client_.Send(options_.targets[planned.target], MakeRequest(planned), {},
                 std::move(handlers));
  }

  static void RecordPiece(InFlightRequest& running, std::string_view piece) {
    const TimePoint now = MonotonicNow();
    if (!running.first_piece_received) {
      running.first_piece_received = true;
      running.outcome.first_token = now - running.sent;
    } else {
      running.outcome.max_gap =
          std::max(running.outcome.max_gap, now - running.last_piece);
    }
    running.last_piece = now;
    running.body += piece;
  }

  void End(InFlightRequest& running) {
    running.outcome.total_time = MonotonicNow() - running.sent;
    const bool complete =
        !running.outcome.streamed ||
        running.body.find("data: [DONE]") != std::string::npos;
    if (running.status != 200) {
      running.outcome.fault = CodeOf(running.body);
    } else if (!complete) {
      running.outcome.fault = "broken";
    } else {
      running.outcome.tokens = options_.max_tokens;
      if (!running.outcome.streamed) {
        running.outcome.max_gap = Duration(0);
      }
    }
    results_.Add(running.outcome);
  }

  LoadOptions options_;
  std::vector<PlannedRequest> plan_;
  boost::asio::io_context context_{1};
  http::Client client_;
  boost::asio::steady_timer timer_;
  Results results_;
  TimePoint start_;
  Duration elapsed_{0};
  std::size_t next_ = 0;
};

// Parses `NAME` or `NAME=WEIGHT`.
Weighted ReadWeighted(const std::string& text) {
  const std::size_t equals = text.rfind('=');
  if (equals == std::string::npos) {
    return {text, 1};
  }
  const auto weight = ParseInteger(std::string_view{text}.substr(equals + 1));
  return {text.substr(0, equals), static_cast<double>(weight.value_or(1))};
}

// Parses `TEAM:KEY` or `TEAM:KEY=WEIGHT`.
Caller ReadCaller(const std::string& text) {
  const Weighted weighted = ReadWeighted(text);
  const std::size_t colon = weighted.name.find(':');
  if (colon == std::string::npos) {
    return {weighted.name, weighted.name, weighted.weight};
  }
  return {weighted.name.substr(0, colon), weighted.name.substr(colon + 1),
          weighted.weight};
}

using Strings = std::vector<std::string>;

options::options_description Describe() {
  options::options_description description("figwell-load");
  auto add = description.add_options();
  add("help", "show this text");
  add("version", "show the version");
  add("target", options::value<Strings>()->multitoken(),
      "IP:PORT of each gateway or engine");
  add("caller", options::value<Strings>()->multitoken(),
      "TEAM:KEY or TEAM:KEY=WEIGHT");
  add("model", options::value<Strings>()->multitoken(), "NAME or NAME=WEIGHT");
  add("rate", options::value<double>()->default_value(10),
      "requests per second");
  add("requests", options::value<std::int64_t>()->default_value(100),
      "total number of requests");
  add("arrivals", options::value<std::string>()->default_value("poisson"),
      "poisson or bursts");
  add("burst-size", options::value<std::int64_t>()->default_value(20),
      "requests per burst");
  add("stream-share", options::value<double>()->default_value(0.5),
      "fraction of the requests that are streamed");
  add("max-tokens", options::value<std::int64_t>()->default_value(16),
      "max_tokens of each request");
  add("prompt-bytes", options::value<std::int64_t>()->default_value(200),
      "bytes of filler in each prompt");
  add("seed", options::value<std::uint64_t>()->default_value(1),
      "seed of the random arrivals and choices");
  add("output", options::value<std::string>()->default_value("table"),
      "table or json");
  return description;
}

LoadOptions ReadOptions(const options::variables_map& values) {
  LoadOptions load;
  load.targets = values["target"].as<Strings>();
  for (const std::string& caller : values["caller"].as<Strings>()) {
    load.callers.push_back(ReadCaller(caller));
  }
  for (const std::string& model : values["model"].as<Strings>()) {
    load.models.push_back(ReadWeighted(model));
  }
  load.requests_per_second = values["rate"].as<double>();
  load.requests = values["requests"].as<std::int64_t>();
  load.arrivals = values["arrivals"].as<std::string>() == "bursts"
                      ? Arrivals::kBursts
                      : Arrivals::kPoisson;
  load.burst_size = values["burst-size"].as<std::int64_t>();
  load.stream_share = values["stream-share"].as<double>();
  load.max_tokens = values["max-tokens"].as<std::int64_t>();
  load.prompt_bytes = values["prompt-bytes"].as<std::int64_t>();
  load.seed = values["seed"].as<std::uint64_t>();
  return load;
}

bool AreValid(const options::variables_map& values) {
  const bool named = values.count("target") > 0 && values.count("caller") > 0 &&
                     values.count("model") > 0;
  return named && values["rate"].as<double>() > 0 &&
         values["requests"].as<std::int64_t>() > 0 &&
         values["burst-size"].as<std::int64_t>() > 0 &&
         values["prompt-bytes"].as<std::int64_t>() >= 0;
}

int Main(int argc, char** argv) {
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, Describe()), values);
  } catch (const options::error& error) {
    std::cerr << "figwell-load: " << error.what() << '\n';
    return kUsageStatus;
  }
  if (values.count("help") > 0) {
    std::cout << Describe();
    return 0;
  }
  if (values.count("version") > 0) {
    std::cout << "figwell-load " << FIGWELL_VERSION << '\n';
    return 0;
  }
  if (!AreValid(values)) {
    std::cerr << "figwell-load: --target, --caller and --model are required; "
                 "--rate, --requests and --burst-size must be above 0, "
                 "and --prompt-bytes must not be negative\n";
    return kUsageStatus;
  }
  Generator generator(ReadOptions(values));
  generator.Run();
  const Results& results = generator.results();
  std::cout << (values["output"].as<std::string>() == "json"
                    ? results.Json(generator.elapsed()) + "\n"
                    : results.Table(generator.elapsed()));
  return 0;
}

}  // namespace
}  // namespace figwell::load

int main(int argc, char** argv) { return figwell::load::Main(argc, argv); }
