#include "reachability.h"

#include <algorithm>

namespace figwell::peers {

void Reachability::OnStoreAnswer(TimePoint now, bool reached) {
  store_access_ = reached ? StoreAccess::kReached : StoreAccess::kFailed;
  if (reached) {
    store_evidence_ = now;
  }
}

void Reachability::RecordHeartbeat(TimePoint now, const Heartbeat& heartbeat,
                                   bool own_domain) {
  MergeAge(now, heartbeat.store_age_ms, store_evidence_);
  if (own_domain) {
    own_domain_evidence_ = now;
    MergeAge(now, heartbeat.other_domain_age_ms, other_domain_evidence_);
  } else {
    other_domain_evidence_ = now;
  }
}

ReachabilityLevel Reachability::Evaluate(TimePoint now, std::size_t own_members,
                                         bool other_domains) const {
  if (StoreReachedRecently(now)) {
    return store_access_ == StoreAccess::kFailed
               ? ReachabilityLevel::kStoreUnreachableHere
               : ReachabilityLevel::kConnected;
  }
  const bool other_domains_reached =
      !other_domains || OtherDomainReachedRecently(now);
  if (other_domains && other_domains_reached) {
    return ReachabilityLevel::kStoreUnreachableEverywhere;
  }
  if (own_members > 0 && !OwnDomainReachedRecently(now)) {
    return ReachabilityLevel::kInstanceIsolated;
  }
  return other_domains_reached ? ReachabilityLevel::kStoreUnreachableEverywhere
                               : ReachabilityLevel::kDomainIsolated;
}

bool Reachability::IsRecent(TimePoint now, const Evidence& evidence) const {
  // Before the first evidence, the timeout runs from the start.
  return now - evidence.value_or(start_) <= kEvidenceMaxAge;
}

std::uint32_t Reachability::Age(TimePoint now, const Evidence& evidence) {
  if (!evidence) {
    return kNoEvidenceAgeMs;
  }
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - *evidence + kTransitAllowance);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(age.count(), 0, kNoEvidenceAgeMs - 1));
}

void Reachability::MergeAge(TimePoint now, std::uint32_t age_ms,
                            Evidence& evidence) {
  if (age_ms == kNoEvidenceAgeMs) {
    return;
  }
  const TimePoint contact = now - std::chrono::milliseconds(age_ms);
  if (!evidence || contact > *evidence) {
    evidence = contact;
  }
}

}  // namespace figwell::peers
