#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <mutex>

#include "figwell/telemetry.h"

namespace figwell::telemetry {
namespace {

struct MetricKey {
  std::string name;
  std::string label;

  friend auto operator<=>(const MetricKey&, const MetricKey&) = default;
};

template <typename Metric>
using MetricMap = std::map<MetricKey, std::unique_ptr<Metric>>;

template <typename Metric>
Metric& GetOrCreate(MetricMap<Metric>& metrics, std::string_view name,
                    std::string_view label) {
  auto& metric = metrics[{std::string(name), std::string(label)}];
  if (!metric) {
    metric = std::make_unique<Metric>();
  }
  return *metric;
}

std::string Series(const MetricKey& key, std::string_view suffix = {},
                   std::string_view extra_label = {}) {
  std::string labels = key.label;
  if (!labels.empty() && !extra_label.empty()) {
    labels += ',';
  }
  labels += extra_label;
  return labels.empty() ? fmt::format("{}{}", key.name, suffix)
                        : fmt::format("{}{}{{{}}}", key.name, suffix, labels);
}

std::string Header(std::string_view name) {
  for (const MetricInfo& info : MetricCatalogue()) {
    if (info.name == name) {
      return fmt::format("# HELP {} {}\n# TYPE {} {}\n", info.name, info.help,
                         info.name, info.type);
    }
  }
  return {};
}

std::string RenderSummary(const MetricKey& key,
                          const Distribution::Summary& summary) {
  std::string text;
  const std::pair<std::string_view, double> quantiles[] = {
      {"0.5", summary.p50}, {"0.95", summary.p95}, {"0.99", summary.p99}};
  for (const auto& [name, value] : quantiles) {
    text +=
        fmt::format("{} {}\n", Series(key, {}, Label("quantile", name)), value);
  }
  text += fmt::format("{} {}\n", Series(key, "_sum"), summary.sum);
  text += fmt::format("{} {}\n", Series(key, "_count"), summary.count);
  return text;
}

std::string RenderHistogram(const MetricKey& key,
                            const Histogram::Summary& summary) {
  std::string text;
  for (const Histogram::Bucket& bucket : summary.buckets) {
    const std::string upper =
        std::isinf(bucket.upper) ? "+Inf" : fmt::format("{}", bucket.upper);
    text += fmt::format("{} {}\n", Series(key, "_bucket", Label("le", upper)),
                        bucket.cumulative);
  }
  text += fmt::format("{} {}\n", Series(key, "_sum"), summary.sum);
  text += fmt::format("{} {}\n", Series(key, "_count"),
                      summary.buckets.back().cumulative);
  return text;
}

}  // namespace

struct Registry::State {
  mutable std::mutex mutex;
  MetricMap<Counter> counters;
  MetricMap<Gauge> gauges;
  MetricMap<Distribution> distributions;
  MetricMap<Histogram> histograms;
};

Registry::Registry() : state_(std::make_unique<State>()) {}
Registry::~Registry() = default;

Counter& Registry::GetCounter(std::string_view name, std::string_view label) {
  const std::lock_guard lock(state_->mutex);
  return GetOrCreate(state_->counters, name, label);
}

Gauge& Registry::GetGauge(std::string_view name, std::string_view label) {
  const std::lock_guard lock(state_->mutex);
  return GetOrCreate(state_->gauges, name, label);
}

Distribution& Registry::GetDistribution(std::string_view name,
                                        std::string_view label) {
  const std::lock_guard lock(state_->mutex);
  return GetOrCreate(state_->distributions, name, label);
}

Histogram& Registry::GetHistogram(std::string_view name,
                                  std::string_view label) {
  const std::lock_guard lock(state_->mutex);
  return GetOrCreate(state_->histograms, name, label);
}

std::string Registry::Render() const {
  const std::lock_guard lock(state_->mutex);
  std::string text;
  std::string_view last_name;
  const auto begin_metric = [&](const MetricKey& key) {
    if (key.name != last_name) {
      text += Header(key.name);
      last_name = key.name;
    }
  };
  for (const auto& [key, counter] : state_->counters) {
    begin_metric(key);
    text += fmt::format("{} {}\n", Series(key), counter->value());
  }
  for (const auto& [key, gauge] : state_->gauges) {
    begin_metric(key);
    text += fmt::format("{} {}\n", Series(key), gauge->value());
  }
  for (const auto& [key, distribution] : state_->distributions) {
    begin_metric(key);
    text += RenderSummary(key, distribution->Summarize());
  }
  for (const auto& [key, histogram] : state_->histograms) {
    begin_metric(key);
    text += RenderHistogram(key, histogram->Summarize());
  }
  return text;
}

std::string Label(std::string_view name, std::string_view value) {
  std::string label = fmt::format("{}=\"", name);
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      label += '\\';
    }
    label += c == '\n' ? ' ' : c;
  }
  return label + '"';
}

}  // namespace figwell::telemetry
