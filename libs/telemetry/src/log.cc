#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

#include "figwell/telemetry.h"

namespace figwell::telemetry {
namespace {

// The log of the process, shared by all threads.
struct Sink {
  LogSettings settings;
  std::mutex mutex;
  LogRateLimiter limiter{0};
};

Sink& GlobalSink() {
  static Sink sink;
  return sink;
}

// Whether a line can be written without blocking. A pipe that is ready accepts
// a complete line of up to PIPE_BUF bytes.
bool CanWrite(int descriptor) {
  pollfd poll_descriptor{descriptor, POLLOUT, 0};
  return poll(&poll_descriptor, 1, 0) > 0 &&
         (poll_descriptor.revents & POLLOUT) != 0;
}

std::string_view Name(Level level) {
  switch (level) {
    case Level::kDebug:
      return "debug";
    case Level::kInfo:
      return "info";
    case Level::kWarning:
      return "warning";
    case Level::kError:
      return "error";
  }
  return "error";
}

// Escapes a text, because some logged text comes from callers: no byte of it
// may end a line or a quoted string.
std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      escaped += '\\';
      escaped += c;
    } else if (byte < 0x20 || byte >= 0x7f) {
      escaped += fmt::format("\\u{:04x}", byte);
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string FormatJson(const LogSettings& settings, const EventInfo& info,
                       std::string_view message,
                       std::span<const Field> fields) {
  std::string line = fmt::format(
      R"("level":"{}","instance":"{}","event":{},"name":"{}","message":"{}")",
      Name(info.level), Escape(settings.instance), static_cast<int>(info.event),
      info.name, Escape(message));
  for (const Field& field : fields) {
    line += fmt::format(R"(,"{}":"{}")", field.name, Escape(field.value));
  }
  return line;
}

std::string FormatText(const LogSettings& settings, const EventInfo& info,
                       std::string_view message,
                       std::span<const Field> fields) {
  std::string line =
      fmt::format("{} {} {} {}: {}", Name(info.level), settings.instance,
                  static_cast<int>(info.event), info.name, Escape(message));
  for (const Field& field : fields) {
    line += fmt::format(" {}=\"{}\"", field.name, Escape(field.value));
  }
  return line;
}

const EventInfo& FindInfo(Event event) {
  const auto catalogue = EventCatalogue();
  const auto found = std::lower_bound(
      catalogue.begin(), catalogue.end(), event,
      [](const EventInfo& info, Event target) { return info.event < target; });
  return *found;
}

}  // namespace

bool LogRateLimiter::Admit(TimePoint now) {
  if (rate_ <= 0) {
    return true;
  }
  if (now > last_) {
    const double seconds = std::chrono::duration<double>(now - last_).count();
    tokens_ = std::min(rate_ * kMaxBurstSeconds, tokens_ + rate_ * seconds);
    last_ = now;
  }
  if (tokens_ < 1) {
    ++dropped_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

std::uint64_t LogRateLimiter::ConsumeDropped() {
  return std::exchange(dropped_, 0);
}

void ConfigureLog(LogSettings settings) {
  Sink& sink = GlobalSink();
  const std::lock_guard lock(sink.mutex);
  sink.limiter = LogRateLimiter(settings.lines_per_second);
  sink.settings = std::move(settings);
}

std::string FormatLogLine(const LogSettings& settings, const EventInfo& info,
                          std::string_view message,
                          std::span<const Field> fields) {
  return settings.format == Format::kJson
             ? FormatJson(settings, info, message, fields)
             : FormatText(settings, info, message, fields);
}

void Log(Event event, std::string_view message,
         std::initializer_list<Field> fields) {
  Sink& sink = GlobalSink();
  const LogSettings& settings = sink.settings;
  const EventInfo& info = FindInfo(event);
  if (info.level < settings.level) {
    return;
  }
  const std::lock_guard lock(sink.mutex);
  const bool admitted = sink.limiter.Admit(MonotonicNow());
  if (!admitted && info.level < Level::kError) {
    return;
  }
  std::vector<Field> all(fields.begin(), fields.end());
  if (const std::uint64_t dropped = sink.limiter.ConsumeDropped()) {
    all.push_back({"lines_dropped_before", std::to_string(dropped)});
  }
  const std::string body = FormatLogLine(settings, info, message, all);
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const std::string line =
      settings.format == Format::kJson
          ? fmt::format("{{\"time\":\"{:%FT%TZ}\",{}}}\n", now, body)
          : fmt::format("{:%FT%TZ} {}\n", now, body);
  // A single write, so that lines of several threads do not interleave.
  const int descriptor = settings.output == Output::kStandardOutput
                             ? STDOUT_FILENO
                             : STDERR_FILENO;
  if (!CanWrite(descriptor) ||
      write(descriptor, line.data(), line.size()) < 0) {
    sink.limiter.RecordDropped();
  }
}

}  // namespace figwell::telemetry
