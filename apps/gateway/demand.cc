#include "demand.h"

#include <utility>

namespace figwell::gateway {

namespace {

// Bounds a report such that it fits into one datagram between peers.
constexpr std::size_t kMaxReportBytes = 900;
constexpr std::size_t kEntryOverheadBytes = 24;

std::size_t SizeOf(const config::ModelTarget& target) {
  return kEntryOverheadBytes + target.model.value().size() +
         target.version.value().size() + target.adapter.value().size();
}

}  // namespace

void Demand::Record(config::ModelTarget target, std::uint64_t tokens) {
  const std::lock_guard lock(mutex_);
  tokens_[std::move(target)] += tokens;
}

std::vector<placement::DemandReport> Demand::TakeReports(
    const InstanceId& gateway, std::chrono::milliseconds interval) {
  std::map<config::ModelTarget, std::uint64_t> tokens;
  {
    const std::lock_guard lock(mutex_);
    tokens.swap(tokens_);
  }
  std::vector<placement::DemandReport> reports;
  std::size_t bytes = kMaxReportBytes;
  for (const auto& [target, count] : tokens) {
    if (bytes + SizeOf(target) > kMaxReportBytes) {
      placement::DemandReport report;
      report.gateway = gateway;
      report.sequence = ++sequence_;
      report.interval_ms = static_cast<std::uint32_t>(interval.count());
      reports.push_back(std::move(report));
      bytes = gateway.value().size();
    }
    reports.back().entries.push_back(
        {target.model, target.version, target.adapter, count});
    bytes += SizeOf(target);
  }
  return reports;
}

}  // namespace figwell::gateway
