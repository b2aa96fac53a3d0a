#include <algorithm>
#include <cmath>

#include "figwell/placement/reports.h"

namespace figwell::placement {

void DemandTracker::Add(TimePoint now, const DemandReport& report) {
  if (report.interval_ms == 0) {
    return;
  }
  Gateway& gateway = gateways_[report.gateway];
  if (report.sequence <= gateway.sequence) {
    return;
  }
  const bool is_first = gateway.sequence == 0;
  gateway.sequence = report.sequence;
  gateway.last_report_at = now;
  const double seconds = report.interval_ms / 1000.0;
  const double smoothing =
      std::chrono::duration<double>(kSmoothingTime).count();
  const double decay = is_first ? 0 : std::exp(-seconds / smoothing);
  for (auto& [item, rate] : gateway.rates) {
    rate *= decay;
  }
  for (const DemandEntry& entry : report.entries) {
    const Item base{entry.model, entry.version, {}};
    gateway.rates[base] +=
        (1 - decay) * static_cast<double>(entry.tokens) / seconds;
  }
}

Demand DemandTracker::Rates(TimePoint now) const {
  Demand total;
  for (const auto& [id, gateway] : gateways_) {
    if (now - gateway.last_report_at > kGatewayReportTimeout) {
      continue;
    }
    for (const auto& [item, rate] : gateway.rates) {
      total[item] += rate;
    }
  }
  return total;
}

}  // namespace figwell::placement
