#include "figwell/serving/server_paces.h"

#include <algorithm>
#include <chrono>

namespace figwell::serving {
namespace {

// A pace changes many times per second; an older statement says little.
constexpr Duration kStatementLifetime = std::chrono::milliseconds(1'000);
// Bounds what a faulty server can state.
constexpr double kMinPace = 0.1;
constexpr double kMaxPace = 20;

}  // namespace

void ServerPaces::OnStated(TimePoint now, const ServiceId& service,
                           const ServerId& server, double pace) {
  uneven_.insert(service);
  stated_[server] = {std::clamp(pace, kMinPace, kMaxPace), now};
}

double ServerPaces::Pace(TimePoint now, const ServerId& server) const {
  const auto found = stated_.find(server);
  return found != stated_.end() && now - found->second.at < kStatementLifetime
             ? found->second.pace
             : 1;
}

}  // namespace figwell::serving
