#include "figwell/serving/server_limits.h"

#include <algorithm>
#include <cmath>

namespace figwell::serving {
namespace {

// A server may adapt its limit with each answer. Peers are notified of changes
// by more than this fraction.
constexpr double kMinChangeFraction = 0.1;
// Announcements may be lost, and instances that have started know no limits.
constexpr Duration kAnnouncementInterval = std::chrono::seconds(3);
// How long a limit counts as current: several announcements, and several
// requests at the limit.
constexpr Duration kMinLifetime = std::chrono::seconds(10);
constexpr int kLifetimeIntervals = 3;

}  // namespace

std::string_view Name(LimitChange change) {
  switch (change) {
    case LimitChange::kNone:
      return "none";
    case LimitChange::kBegan:
      return "began";
    case LimitChange::kChanged:
      return "changed";
    case LimitChange::kConfirmed:
      return "confirmed";
    case LimitChange::kEnded:
      return "ended";
  }
  return "unknown";
}

LimitChange ServerLimits::Set(TimePoint now, const ServerId& server,
                              double per_second) {
  const auto [found, added] = limits_.try_emplace(server);
  Limit& limit = found->second;
  limit.per_second = per_second;
  limit.stated_at = now;
  const double difference = std::abs(per_second - limit.per_second_at_change);
  if (!added && difference <= kMinChangeFraction * limit.per_second_at_change) {
    return LimitChange::kNone;
  }
  limit.per_second_at_change = per_second;
  return added ? LimitChange::kBegan : LimitChange::kChanged;
}

LimitChange ServerLimits::OnAnswer(TimePoint now, TimePoint sent,
                                   const ServerId& server,
                                   std::optional<double> per_second) {
  if (per_second) {
    const LimitChange change = Set(now, server, *per_second);
    Limit& limit = limits_.at(server);
    const bool announce = change != LimitChange::kNone ||
                          now - limit.announced_at >= kAnnouncementInterval;
    if (!announce) {
      return LimitChange::kNone;
    }
    limit.announced_at = now;
    return change == LimitChange::kNone ? LimitChange::kConfirmed : change;
  }
  const auto found = limits_.find(server);
  // An answer to an earlier request may have been written before the limit
  // began: answers on different connections overtake each other.
  if (found == limits_.end() || sent < found->second.stated_at) {
    return LimitChange::kNone;
  }
  limits_.erase(found);
  return LimitChange::kEnded;
}

LimitChange ServerLimits::OnPeerStatement(TimePoint now, const ServerId& server,
                                          std::optional<double> per_second) {
  if (per_second) {
    const LimitChange change = Set(now, server, *per_second);
    limits_.at(server).announced_at = now;
    return change;
  }
  return limits_.erase(server) > 0 ? LimitChange::kEnded : LimitChange::kNone;
}

void ServerLimits::OnPermit(TimePoint now, const ServerId& server,
                            const Permit& permit) {
  const auto found = limits_.find(server);
  if (found != limits_.end()) {
    const Duration until_next = permit.granted
                                    ? RequestInterval(found->second.per_second)
                                    : Duration{0};
    found->second.permit_free_at = now + permit.wait + until_next;
  }
}

bool ServerLimits::IsCurrent(TimePoint now, const ServerId& server) const {
  const auto found = limits_.find(server);
  return found != limits_.end() &&
         now - found->second.stated_at <
             std::max(kMinLifetime,
                      kLifetimeIntervals *
                          RequestInterval(found->second.per_second));
}

Duration ServerLimits::PermitDelay(TimePoint now,
                                   const ServerId& server) const {
  const auto found = limits_.find(server);
  return found == limits_.end()
             ? Duration{0}
             : std::max(Duration{0}, found->second.permit_free_at - now);
}

void ServerLimits::RemoveServer(const ServerId& server) {
  limits_.erase(server);
}

std::optional<double> ServerLimits::Find(const ServerId& server) const {
  const auto found = limits_.find(server);
  return found == limits_.end() ? std::nullopt
                                : std::optional(found->second.per_second);
}

}  // namespace figwell::serving
