#include "reachability.h"

#include <algorithm>

namespace figwell::peers {

void Reachability::StoreAnswered(TimePoint now, bool reached) {
  access_ = reached ? StoreAccess::kReached : StoreAccess::kFailed;
  if (reached) {
    store_ = now;
  }
}

void Reachability::Heard(TimePoint now, const Heartbeat& heartbeat,
                         bool own_domain) {
  Learn(now, heartbeat.store_age_ms, store_);
  if (own_domain) {
    own_domain_ = now;
    Learn(now, heartbeat.other_domain_age_ms, other_domain_);
  } else {
    other_domain_ = now;
  }
}

ReachabilityLevel Reachability::Judge(TimePoint now, std::size_t own_members,
                                      bool other_domains) const {
  if (StoreSeen(now)) {
    return access_ == StoreAccess::kFailed
               ? ReachabilityLevel::kStoreUnreachableHere
               : ReachabilityLevel::kConnected;
  }
  const bool others_heard = !other_domains || OtherDomainSeen(now);
  if (other_domains && others_heard) {
    return ReachabilityLevel::kStoreUnreachableEverywhere;
  }
  if (own_members > 0 && !OwnDomainHeard(now)) {
    return ReachabilityLevel::kInstanceIsolated;
  }
  return others_heard ? ReachabilityLevel::kStoreUnreachableEverywhere
                      : ReachabilityLevel::kDomainIsolated;
}

bool Reachability::Fresh(TimePoint now, const Evidence& evidence) const {
  // Before the first evidence, the timeout runs from the start.
  return now - evidence.value_or(start_) <= kEvidenceTimeout;
}

std::uint32_t Reachability::Age(TimePoint now, const Evidence& evidence) {
  if (!evidence) {
    return kNever;
  }
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - *evidence + kTransitAllowance);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(age.count(), 0, kNever - 1));
}

void Reachability::Learn(TimePoint now, std::uint32_t age_ms,
                         Evidence& evidence) {
  if (age_ms == kNever) {
    return;
  }
  const TimePoint heard = now - std::chrono::milliseconds(age_ms);
  if (!evidence || heard > *evidence) {
    evidence = heard;
  }
}

}  // namespace figwell::peers
