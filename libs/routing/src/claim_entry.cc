#include "claim_entry.h"

namespace figwell::routing {

bool NeedsCall(ClaimPhase phase) {
  return IsUrgent(phase) || phase == ClaimPhase::kToFinish ||
         phase == ClaimPhase::kToRelease;
}

bool IsUrgent(ClaimPhase phase) {
  return phase == ClaimPhase::kToClaim || phase == ClaimPhase::kToRead;
}

ClaimPhase InFlightPhase(ClaimPhase phase) {
  switch (phase) {
    case ClaimPhase::kToClaim:
      return ClaimPhase::kClaiming;
    case ClaimPhase::kToRead:
      return ClaimPhase::kReading;
    case ClaimPhase::kToFinish:
      return ClaimPhase::kFinishing;
    case ClaimPhase::kToRelease:
      return ClaimPhase::kReleasing;
    default:
      return phase;
  }
}

namespace {

store::Transaction MakeClaim(const ClaimEntry& entry) {
  ClaimRecord record;
  record.request = entry.request;
  record.owner = entry.owner;
  store::Transaction claim;
  claim.compares = {{entry.key, 0}};
  claim.success = {store::Put{entry.key, EncodeClaim(record), entry.lease}};
  claim.failure = {store::Range{entry.key, {}}};
  return claim;
}

store::Transaction MakeFinish(const ClaimEntry& entry) {
  ClaimRecord record;
  record.state = ClaimRecord::State::kFinished;
  record.request = entry.request;
  record.owner = entry.owner;
  record.answer = entry.answer;
  store::Transaction finish;
  finish.compares = {{entry.key, entry.revision}};
  // The same lease, so that the record expires when the claim would have.
  finish.success = {store::Put{entry.key, EncodeClaim(record), entry.lease}};
  return finish;
}

}  // namespace

store::Transaction MakeOperation(const ClaimEntry& entry) {
  store::Transaction operation;
  switch (entry.phase) {
    case ClaimPhase::kToClaim:
      return MakeClaim(entry);
    case ClaimPhase::kToFinish:
      return MakeFinish(entry);
    case ClaimPhase::kToRelease:
      operation.compares = {{entry.key, entry.revision}};
      operation.success = {store::Delete{entry.key, {}}};
      return operation;
    default:
      operation.success = {store::Range{entry.key, {}}};
      return operation;
  }
}

ClaimAnswer EvaluateRecord(const ClaimEntry& entry, const ClaimRecord& record) {
  ClaimAnswer answer;
  answer.claim = entry.id;
  if (record.request != entry.request) {
    answer.verdict = ClaimVerdict::kConflict;
  } else if (record.state == ClaimRecord::State::kFinished) {
    answer.verdict = ClaimVerdict::kReplay;
    answer.answer = record.answer;
  } else {
    answer.verdict = ClaimVerdict::kUnknown;
  }
  return answer;
}

}  // namespace figwell::routing
