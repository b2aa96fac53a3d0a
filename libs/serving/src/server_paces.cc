#include "figwell/serving/server_paces.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

// A pace changes many times per second; an older statement says little.
constexpr Duration kStatementLifetime = milliseconds(400);
// Smoothing factors of the usual pace. Most changes are short slow spells, so
// that slower statements have less weight.
constexpr double kUsualSmoothingDown = 0.4;
constexpr double kUsualSmoothingUp = 0.1;
// The usual pace is announced if it differs by more than this fraction from the
// last announcement, and no more often than the interval.
constexpr double kMinAnnouncedChange = 0.2;
constexpr Duration kMinAnnouncementInterval = milliseconds(1'000);
// A peer's announcement is not used while this instance knows the server.
constexpr Duration kOwnKnowledgeLifetime = milliseconds(3'000);
// Bounds what a faulty server can state.
constexpr double kMinPace = 0.1;
constexpr double kMaxPace = 20;

double Bounded(double pace) { return std::clamp(pace, kMinPace, kMaxPace); }

}  // namespace

std::optional<double> ServerPaces::OnStated(TimePoint now,
                                            const ServiceId& service,
                                            const ServerId& server,
                                            double pace) {
  uneven_.insert(service);
  const auto [found, added] = servers_.try_emplace(server);
  Server& state = found->second;
  state.stated = Bounded(pace);
  state.stated_at = now;
  if (added) {
    state.usual = state.stated;
  } else {
    state.usual +=
        (state.stated < state.usual ? kUsualSmoothingDown : kUsualSmoothingUp) *
        (state.stated - state.usual);
  }
  const bool changed = std::abs(state.usual - state.announced) >
                       kMinAnnouncedChange * state.announced;
  if (!changed || now - state.announced_at < kMinAnnouncementInterval) {
    return std::nullopt;
  }
  state.announced = state.usual;
  state.announced_at = now;
  return state.usual;
}

void ServerPaces::OnPeerUsual(TimePoint now, const ServiceId& service,
                              const ServerId& server, double usual) {
  if (!std::isfinite(usual)) {
    return;
  }
  uneven_.insert(service);
  Server& state = servers_[server];
  if (!state.stated_at || now - *state.stated_at >= kOwnKnowledgeLifetime) {
    state.usual = Bounded(usual);
    state.announced = state.usual;
  }
}

double ServerPaces::Pace(TimePoint now, const ServerId& server) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return 1;
  }
  const Server& state = found->second;
  const bool current =
      state.stated_at && now - *state.stated_at < kStatementLifetime;
  return current ? state.stated : state.usual;
}

double ServerPaces::UsualPace(const ServerId& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? 1 : found->second.usual;
}

}  // namespace figwell::serving
