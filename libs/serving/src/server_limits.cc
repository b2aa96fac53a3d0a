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
// The fraction of a cold server's rate that permits are given for. The rest is
// for requests of instances that do not know yet that the server is cold.
constexpr double kColdRateFraction = 0.75;

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
  const auto per_second = Find(server);
  if (!per_second) {
    return;
  }
  const Duration until_next =
      permit.granted ? RequestInterval(*per_second) : Duration{0};
  const TimePoint free_at = now + permit.wait + until_next;
  if (const auto found = limits_.find(server); found != limits_.end()) {
    found->second.permit_free_at = free_at;
  }
  if (const auto found = cold_.find(server); found != cold_.end()) {
    found->second.permit_free_at = free_at;
  }
}

bool ServerLimits::OnCold(TimePoint now, const ServerId& server,
                          Duration remaining, double per_second) {
  if (remaining <= Duration{0} || per_second <= 0) {
    cold_.erase(server);
    return false;
  }
  const auto [found, added] = cold_.try_emplace(server);
  found->second.until = now + remaining;
  found->second.per_second = per_second * kColdRateFraction;
  return added;
}

bool ServerLimits::SuspectCold(TimePoint now, const ServerId& server,
                               Duration remaining, double per_second) {
  const auto found = cold_.find(server);
  if (found != cold_.end() && found->second.until >= now + remaining) {
    return false;
  }
  return remaining > Duration{0} && OnCold(now, server, remaining, per_second);
}

std::vector<ServerId> ServerLimits::Tick(TimePoint now) {
  std::vector<ServerId> warm;
  for (const auto& [id, cold] : cold_) {
    if (now >= cold.until) {
      warm.push_back(id);
    }
  }
  for (const ServerId& id : warm) {
    cold_.erase(id);
  }
  return warm;
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
  Duration delay{0};
  if (const auto found = limits_.find(server); found != limits_.end()) {
    delay = std::max(delay, found->second.permit_free_at - now);
  }
  if (const auto found = cold_.find(server); found != cold_.end()) {
    delay = std::max(delay, found->second.permit_free_at - now);
  }
  return delay;
}

void ServerLimits::RemoveServer(const ServerId& server) {
  limits_.erase(server);
  cold_.erase(server);
}

std::optional<double> ServerLimits::Find(const ServerId& server) const {
  const auto stated = FindStated(server);
  const auto cold = cold_.find(server);
  if (cold == cold_.end()) {
    return stated;
  }
  return std::min(stated.value_or(cold->second.per_second),
                  cold->second.per_second);
}

std::optional<double> ServerLimits::FindStated(const ServerId& server) const {
  const auto found = limits_.find(server);
  return found == limits_.end() ? std::nullopt
                                : std::optional(found->second.per_second);
}

}  // namespace figwell::serving
