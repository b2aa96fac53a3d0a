#include "figwell/peers.h"

namespace figwell::peers {

std::string_view Name(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kDraining:
      return "draining";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

std::string_view Name(ReachabilityLevel reach) {
  switch (reach) {
    case ReachabilityLevel::kConnected:
      return "connected";
    case ReachabilityLevel::kStoreUnreachableHere:
      return "store_away_for_me";
    case ReachabilityLevel::kStoreUnreachableEverywhere:
      return "store_away_for_all";
    case ReachabilityLevel::kDomainIsolated:
      return "domain_alone";
    case ReachabilityLevel::kInstanceIsolated:
      return "instance_alone";
  }
  return "unknown";
}

std::string_view Name(DropReason reason) {
  switch (reason) {
    case DropReason::kTruncated:
      return "truncated";
    case DropReason::kTooLarge:
      return "too_large";
    case DropReason::kUnknownVersion:
      return "unknown_version";
    case DropReason::kUnknownKind:
      return "unknown_kind";
    case DropReason::kBadTag:
      return "bad_tag";
    case DropReason::kWrongRecipient:
      return "wrong_recipient";
    case DropReason::kOldIncarnation:
      return "old_incarnation";
    case DropReason::kReplay:
      return "replay";
    case DropReason::kMalformed:
      return "malformed";
    case DropReason::kUnknownSender:
      return "unknown_sender";
    case DropReason::kCount:
      break;
  }
  return "unknown";
}

}  // namespace figwell::peers
