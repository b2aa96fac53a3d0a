#include <array>

#include "figwell/telemetry.h"

namespace figwell::telemetry {
namespace {

constexpr std::array kCatalogue = {
    EventInfo{Event::kStarted, "started", Level::kInfo},
    EventInfo{Event::kStopping, "stopping", Level::kInfo},
    EventInfo{Event::kStopped, "stopped", Level::kInfo},
    EventInfo{Event::kStartFailed, "start_failed", Level::kError},
    EventInfo{Event::kListening, "listening", Level::kInfo},
    EventInfo{Event::kSecondSignal, "second_signal", Level::kWarning},
    EventInfo{Event::kReloaded, "reloaded", Level::kInfo},
    EventInfo{Event::kReloadFailed, "reload_failed", Level::kError},
    EventInfo{Event::kUnexpectedError, "unexpected_error", Level::kError},
    EventInfo{Event::kDescriptorsShort, "descriptors_short", Level::kError},
    EventInfo{Event::kDependencyLost, "dependency_lost", Level::kWarning},
    EventInfo{Event::kDependencyRegained, "dependency_regained", Level::kInfo},
    EventInfo{Event::kFollowingChanged, "following_changed", Level::kInfo},
    EventInfo{Event::kWatchSilent, "watch_silent", Level::kWarning},
    EventInfo{Event::kStoreRestored, "store_restored", Level::kWarning},
    EventInfo{Event::kSecretAdded, "secret_added", Level::kWarning},
    EventInfo{Event::kEraComplete, "era_complete", Level::kInfo},
    EventInfo{Event::kConfigRejected, "config_rejected", Level::kError},
    EventInfo{Event::kConfigInForce, "config_in_force", Level::kInfo},
    EventInfo{Event::kPatchAccepted, "patch_accepted", Level::kInfo},
    EventInfo{Event::kPatchRefused, "patch_refused", Level::kInfo},
    EventInfo{Event::kPatchUnknown, "patch_unknown", Level::kWarning},
    EventInfo{Event::kStoreBehind, "store_behind", Level::kError},
    EventInfo{Event::kStoreForked, "store_forked", Level::kError},
    EventInfo{Event::kSnapshotWritten, "snapshot_written", Level::kInfo},
    EventInfo{Event::kSnapshotFailed, "snapshot_failed", Level::kWarning},
    EventInfo{Event::kKeyDenied, "key_denied", Level::kInfo},
    EventInfo{Event::kOperatorRefused, "operator_refused", Level::kWarning},
    EventInfo{Event::kCutOffChanged, "cut_off_changed", Level::kWarning},
    EventInfo{Event::kUnitsClaimed, "units_claimed", Level::kInfo},
    EventInfo{Event::kUnitsReleased, "units_released", Level::kInfo},
    EventInfo{Event::kMintingStopped, "minting_stopped", Level::kWarning},
    EventInfo{Event::kRequestRefused, "request_refused", Level::kInfo},
    EventInfo{Event::kRequestEnded, "request_ended", Level::kInfo},
    EventInfo{Event::kAttemptFailed, "attempt_failed", Level::kInfo},
    EventInfo{Event::kAnswerCrossed, "answer_crossed", Level::kError},
    EventInfo{Event::kServerLeaving, "server_leaving", Level::kInfo},
    EventInfo{Event::kServerUnreachable, "server_unreachable", Level::kWarning},
    EventInfo{Event::kServerReachable, "server_reachable", Level::kInfo},
    EventInfo{Event::kAttemptSent, "attempt_sent", Level::kInfo},
    EventInfo{Event::kServerChanged, "server_changed", Level::kInfo},
    EventInfo{Event::kEntryUnreadable, "entry_unreadable", Level::kWarning},
    EventInfo{Event::kServerPaused, "server_paused", Level::kInfo},
    EventInfo{Event::kServerLimitChanged, "server_limit_changed", Level::kInfo},
    EventInfo{Event::kServerCrashed, "server_crashed", Level::kWarning},
    EventInfo{Event::kPromptQuarantined, "prompt_quarantined", Level::kWarning},
    EventInfo{Event::kQuarantineLifted, "quarantine_lifted", Level::kInfo},
    EventInfo{Event::kVersionAppeared, "version_appeared", Level::kInfo},
    EventInfo{Event::kEvacuationChanged, "evacuation_changed", Level::kWarning},
    EventInfo{Event::kServerCold, "server_cold", Level::kInfo},
    EventInfo{Event::kServerPaceChanged, "server_pace_changed", Level::kInfo},
    EventInfo{Event::kLeaseAcquired, "lease_acquired", Level::kInfo},
    EventInfo{Event::kLeaseLost, "lease_lost", Level::kWarning},
    EventInfo{Event::kOrderSent, "order_sent", Level::kInfo},
    EventInfo{Event::kOrderEnded, "order_ended", Level::kInfo},
    EventInfo{Event::kPlacementState, "placement_state", Level::kInfo},
    EventInfo{Event::kPlacementHeard, "placement_heard", Level::kInfo},
};

}  // namespace

std::span<const EventInfo> EventCatalogue() { return kCatalogue; }

}  // namespace figwell::telemetry
