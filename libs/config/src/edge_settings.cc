#include "figwell/config/edge_settings.h"

#include <cmath>

#include "address.h"
#include "yaml_reader.h"

namespace figwell::config {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMillisecond{1};
constexpr milliseconds kSecond{1'000};

std::string ReadAddress(MappingReader& reader, const std::string& name) {
  std::string address = reader.RequiredText(name);
  if (!address.empty() && !IsIpAndPort(address, /*allow_port_zero=*/true)) {
    reader.Report(name, "must be IP:PORT");
  }
  return address;
}

double ReadNumber(MappingReader& reader, const std::string& name,
                  double fallback) {
  const std::string text = reader.Text(name, std::to_string(fallback));
  try {
    std::size_t used = 0;
    const double number = std::stod(text, &used);
    if (used == text.size() && number >= 0) {
      return number;
    }
  } catch (const std::exception&) {
    // Reported below, like any other text that is not a number.
  }
  reader.Report(name, "must be a number of at least 0");
  return fallback;
}

// Deployments give some times as fractions, such as 2.5 s.
milliseconds ReadTime(MappingReader& reader, const std::string& name,
                      milliseconds unit, milliseconds fallback) {
  const auto per_unit = static_cast<double>(unit.count());
  const double count = ReadNumber(
      reader, name, static_cast<double>(fallback.count()) / per_unit);
  return milliseconds(std::llround(count * per_unit));
}

std::size_t ReadBytes(MappingReader& reader, const std::string& name,
                      std::size_t fallback) {
  // One terabyte: far beyond any machine, and exact as a double.
  constexpr double kMaxBytes = 1e12;
  const double bytes = ReadNumber(reader, name, static_cast<double>(fallback));
  if (bytes < 1 || bytes > kMaxBytes) {
    reader.Report(name, "must be a number of bytes");
    return fallback;
  }
  return static_cast<std::size_t>(bytes);
}

EdgeBounds ReadBounds(MappingReader reader) {
  EdgeBounds bounds;
  bounds.order_separation = ReadTime(reader, "order_separation_ms",
                                     kMillisecond, bounds.order_separation);
  bounds.order_thaw =
      ReadTime(reader, "order_thaw_ms", kMillisecond, bounds.order_thaw);
  bounds.shortest_lease = ReadTime(reader, "shortest_lease_ms", kMillisecond,
                                   bounds.shortest_lease);
  bounds.retry_ratio = ReadNumber(reader, "retry_ratio", bounds.retry_ratio);
  bounds.retry_window =
      ReadTime(reader, "retry_window_s", kSecond, bounds.retry_window);
  bounds.retry_allowance =
      ReadNumber(reader, "retry_allowance", bounds.retry_allowance);
  bounds.drain_notice =
      ReadTime(reader, "drain_notice_ms", kMillisecond, bounds.drain_notice);
  bounds.registry_lag =
      ReadTime(reader, "registry_lag_s", kSecond, bounds.registry_lag);
  bounds.stop_grace =
      ReadTime(reader, "stop_grace_s", kSecond, bounds.stop_grace);
  bounds.held_answer_bytes =
      ReadBytes(reader, "held_answer_bytes", bounds.held_answer_bytes);
  bounds.held_answers_bytes =
      ReadBytes(reader, "held_answers_bytes", bounds.held_answers_bytes);
  reader.ReportUnknownFields();
  return bounds;
}

EdgeSettings ReadEdgeSettings(const YAML::Node& document, FindingSink& sink) {
  EdgeSettings settings;
  MappingReader reader(document, "", sink);
  settings.instance = InstanceId(reader.RequiredText("instance"));
  settings.failure_domain = DomainId(reader.RequiredText("failure_domain"));
  MappingReader listen = reader.Mapping("listen");
  settings.listen_callers = ReadAddress(listen, "callers");
  settings.listen_ready = ReadAddress(listen, "ready");
  settings.listen_metrics = ReadAddress(listen, "metrics");
  settings.listen_peers = ReadAddress(listen, "peers");
  listen.ReportUnknownFields();
  MappingReader store = reader.Mapping("store");
  settings.store_address = ReadAddress(store, "address");
  settings.store_prefix = store.Text("prefix", settings.store_prefix);
  settings.store_history =
      ReadTime(store, "history_s", kSecond, settings.store_history);
  store.ReportUnknownFields();
  settings.bounds = ReadBounds(reader.Mapping("bounds"));
  settings.log_lines_per_second =
      ReadNumber(reader, "log_lines_per_second", settings.log_lines_per_second);
  reader.ReportUnknownFields();
  return settings;
}

}  // namespace

Result<EdgeSettings> ParseEdgeSettings(std::string_view yaml,
                                       const std::string& file) {
  return ParseYaml<EdgeSettings>(yaml, file, ReadEdgeSettings);
}

Result<EdgeSettings> LoadEdgeSettings(const std::string& file) {
  const Result<std::string> text = ReadSettingsFile(file);
  if (!text) {
    return tl::unexpected(text.error());
  }
  return ParseEdgeSettings(*text, file);
}

}  // namespace figwell::config
