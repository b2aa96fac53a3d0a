#include "figwell/telemetry.h"

#include <unistd.h>

#include <fstream>
#include <set>
#include <sstream>

#include "figwell/testing.h"

namespace figwell::telemetry {
namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream file(std::string(FIGWELL_SOURCE_DIR) + "/docs/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// The first cells of a page's table rows, without their backquotes.
std::set<std::string> FirstCells(const std::string& page) {
  std::set<std::string> cells;
  std::istringstream lines(page);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with("| `")) {
      cells.insert(line.substr(3, line.find('`', 3) - 3));
    }
  }
  return cells;
}

TEST_CASE("docs/EVENTS.md lists exactly the events of the code") {
  std::set<std::string> events;
  int last = 0;
  for (const EventInfo& info : EventCatalogue()) {
    const int number = static_cast<int>(info.event);
    CHECK(number > last);
    last = number;
    events.insert(std::to_string(number) + " " + std::string(info.name));
  }
  CHECK(FirstCells(ReadPage("EVENTS.md")) == events);
}

TEST_CASE("docs/METRICS.md lists exactly the metrics of the code") {
  std::set<std::string> metrics;
  for (const MetricInfo& info : MetricCatalogue()) {
    metrics.insert(std::string(info.name));
  }
  CHECK(FirstCells(ReadPage("METRICS.md")) == metrics);
}

TEST_CASE("a log line escapes text from callers") {
  const EventInfo info = EventCatalogue().front();
  const Field fields[] = {{"model", "a\"b\nc"}};
  LogSettings settings;
  settings.instance = "lahore-1";
  CHECK(FormatLogLine(settings, info, "up", fields) ==
        "info lahore-1 1001 started: up model=\"a\\\"b\\u000ac\"");
  settings.format = Format::kJson;
  CHECK(FormatLogLine(settings, info, "up", fields) ==
        R"("level":"info","instance":"lahore-1","event":1001,)"
        R"("name":"started","message":"up","model":"a\"b\u000ac")");
}

TEST_CASE("metrics are rendered in Prometheus' text format") {
  Registry registry;
  registry.GetCounter("figwell_refusals_total", Label("reason", "no_server"))
      .Add(3);
  registry.GetCounter("figwell_refusals_total", Label("reason", "deadline"))
      .Add();
  registry.GetGauge("figwell_config_number").Set(7);
  CHECK(registry.Render() ==
        "# HELP figwell_refusals_total Refusals, by reason\n"
        "# TYPE figwell_refusals_total counter\n"
        "figwell_refusals_total{reason=\"deadline\"} 1\n"
        "figwell_refusals_total{reason=\"no_server\"} 3\n"
        "# HELP figwell_config_number The number of the configuration in "
        "force\n"
        "# TYPE figwell_config_number gauge\n"
        "figwell_config_number 7\n");
}

TEST_CASE("a distribution estimates its quantiles") {
  Distribution distribution;
  Random random(1);
  for (int i = 0; i < 20'000; ++i) {
    distribution.Record(random.Unit());
  }
  const auto summary = distribution.Summarize();
  CHECK(summary.count == 20'000);
  CHECK(summary.p50 == Approx(0.5).margin(0.02));
  CHECK(summary.p95 == Approx(0.95).margin(0.02));
  CHECK(summary.p99 == Approx(0.99).margin(0.01));
}

TEST_CASE("log lines over the rate limit are dropped and counted") {
  constexpr double kLinesPerSecond = 100;
  LogRateLimiter limiter(kLinesPerSecond);
  TimePoint now(std::chrono::seconds(100));
  int written = 0;
  constexpr int kLines = 20'000;
  constexpr int kSeconds = 10;
  for (int i = 0; i < kLines; ++i) {
    now += std::chrono::microseconds(1'000'000) * kSeconds / kLines;
    written += limiter.Admit(now) ? 1 : 0;
  }
  // The average rate plus the burst, which is a few seconds' worth of lines.
  CHECK(written <= kLinesPerSecond * (kSeconds + 4));
  CHECK(written >= kLinesPerSecond * kSeconds);
  CHECK(limiter.ConsumeDropped() ==
        static_cast<std::uint64_t>(kLines - written));
  CHECK(limiter.ConsumeDropped() == 0);
  LogRateLimiter unlimited(0);
  CHECK(unlimited.Admit(now));
}

TEST_CASE("logging to a blocked standard output does not block") {
  // Standard output becomes a pipe that nobody reads.
  int pipe_ends[2];
  REQUIRE(pipe(pipe_ends) == 0);
  const int saved_stdout = dup(STDOUT_FILENO);
  REQUIRE(dup2(pipe_ends[1], STDOUT_FILENO) >= 0);
  LogSettings settings;
  settings.output = Output::kStandardOutput;
  settings.format = Format::kJson;
  ConfigureLog(settings);
  // Far more than a pipe holds; each call returns nevertheless.
  constexpr int kLines = 5'000;
  for (int i = 0; i < kLines; ++i) {
    Log(Event::kRequestEnded, "answered", {{"request", std::string(200, 'x')}});
  }
  // Once the pipe is read, the next line reports how many were dropped.
  std::string read_back(1 << 20, '\0');
  const auto first = read(pipe_ends[0], read_back.data(), read_back.size());
  Log(Event::kRequestEnded, "answered", {{"request", "last"}});
  const auto last = read(pipe_ends[0], read_back.data(), read_back.size());
  dup2(saved_stdout, STDOUT_FILENO);
  ConfigureLog({});
  close(saved_stdout);
  close(pipe_ends[0]);
  close(pipe_ends[1]);
  REQUIRE(first > 0);
  REQUIRE(last > 0);
  read_back.resize(static_cast<std::size_t>(last));
  CHECK(read_back.find("lines_dropped_before") != std::string::npos);
  CHECK(read_back.find("\"request\":\"last\"") != std::string::npos);
}

TEST_CASE("a histogram renders cumulative buckets up to infinity") {
  Registry registry;
  Histogram& histogram = registry.GetHistogram("figwell_answer_seconds");
  for (const double seconds : {0.004, 0.15, 0.15, 20.0}) {
    histogram.Record(seconds);
  }
  const std::string text = registry.Render();
  CHECK(text.find("# TYPE figwell_answer_seconds histogram") !=
        std::string::npos);
  CHECK(text.find("figwell_answer_seconds_bucket{le=\"0.005\"} 1\n") !=
        std::string::npos);
  CHECK(text.find("figwell_answer_seconds_bucket{le=\"0.2\"} 3\n") !=
        std::string::npos);
  CHECK(text.find("figwell_answer_seconds_bucket{le=\"+Inf\"} 4\n") !=
        std::string::npos);
  CHECK(text.find("figwell_answer_seconds_count 4\n") != std::string::npos);
}

}  // namespace
}  // namespace figwell::telemetry
