#include "figwell/serving/permits.h"

#include <algorithm>

namespace figwell::serving {
namespace {

// A limit below this counts as this: without any request, figwell would not
// learn that the limit has ended.
constexpr double kMinRequestsPerSecond = 0.1;
// How long a server has to be idle to take a burst at the limit's rate.
constexpr Duration kBurstPeriod = std::chrono::seconds(1);

// How far ahead of even spacing requests may be sent.
Duration BurstAllowance(double per_second) {
  return std::max(Duration{0}, kBurstPeriod - RequestInterval(per_second));
}

}  // namespace

Duration RequestInterval(double per_second) {
  // The comparison also replaces a NaN.
  const double rate =
      per_second > kMinRequestsPerSecond ? per_second : kMinRequestsPerSecond;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1.0 / rate));
}

TimePoint& PermitScheduler::Next(TimePoint now, const ServerId& server,
                                 double per_second) {
  // A new arbiter does not know what its predecessor has granted: no burst.
  return next_.try_emplace(server, now + BurstAllowance(per_second))
      .first->second;
}

Permit PermitScheduler::Request(TimePoint now, const ServerId& server,
                                double per_second, Duration max_wait) {
  TimePoint& next = Next(now, server, per_second);
  const Duration wait =
      std::max(Duration{0}, next - BurstAllowance(per_second) - now);
  if (wait > max_wait) {
    return {false, wait};
  }
  next = std::max(next, now) + RequestInterval(per_second);
  return {true, wait};
}

void PermitScheduler::Charge(TimePoint now, const ServerId& server,
                             double per_second) {
  TimePoint& next = Next(now, server, per_second);
  next = std::max(next, now) + RequestInterval(per_second);
}

InstanceId SelectArbiter(const ServerId& server, const DomainId& domain,
                         const std::map<InstanceId, DomainId>& instances) {
  const bool has_local =
      std::any_of(instances.begin(), instances.end(),
                  [&](const auto& item) { return item.second == domain; });
  InstanceId arbiter;
  std::uint64_t max_weight = 0;
  for (const auto& [instance, instance_domain] : instances) {
    if (has_local && instance_domain != domain) {
      continue;
    }
    const std::uint64_t weight =
        RendezvousWeight(server.value(), instance.value());
    if (arbiter.empty() || weight > max_weight) {
      arbiter = instance;
      max_weight = weight;
    }
  }
  return arbiter;
}

}  // namespace figwell::serving
