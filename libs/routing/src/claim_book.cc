#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "call_rate.h"
#include "claim_entry.h"

namespace figwell::routing {
namespace {

/** Operations reserved for finishes and releases when claims fill a call. */
constexpr std::size_t kBackgroundReserve = kMaxClaimsPerCall / 4;

/** Bytes of values per call; etcd's default limit is 1.5 MiB. */
constexpr std::size_t kMaxCallBytes = store::kMaxValueBytes;

constexpr std::size_t kRecordOverheadBytes = 512;

/** A new lease is requested when the current one is older than this. */
constexpr std::chrono::hours kMaxLeaseAge = kClaimLeaseTtl - kMinClaimLifetime;

}  // namespace

struct ClaimBook::State {
  State(std::string process_name, ClaimPolicy chosen_policy)
      : process(std::move(process_name)),
        policy(std::move(chosen_policy)),
        rate(policy.calls_per_second, policy.call_burst) {}

  ClaimEntry* Find(ClaimId id);
  void Answer(ClaimEntry& entry, ClaimAnswer answer);
  void Answer(ClaimEntry& entry, ClaimVerdict verdict);
  void AnswerRepeat(ClaimId id, const ClaimEntry& first, const Digest& request);
  void Enqueue(ClaimEntry& entry, ClaimPhase phase);
  void Erase(const ClaimEntry& entry);
  void RefuseExpired(TimePoint now);
  bool HasLease(TimePoint now) const;
  ClaimStoreCall MakeCall(TimePoint now);
  void AppendOperations(ClaimStoreCall& call, std::deque<ClaimId>& queue,
                        std::size_t max_operations, TimePoint now);
  void OnCallFailed(TimePoint now, ErrorCode code);
  void OnOperationOutcomeUnknown(ClaimEntry& entry);
  void OnOperationNotExecuted(ClaimEntry& entry);
  void OnOperationExecuted(ClaimEntry& entry, store::Revision revision,
                           const store::TransactionResult& result);
  void OnRecordRead(ClaimEntry& entry, const store::TransactionResult& result);
  void OnClaimStored(ClaimEntry& entry, store::Revision revision);

  const std::string process;
  const ClaimPolicy policy;
  CallRateLimiter rate;
  ClaimId last_id = 0;
  std::unordered_map<ClaimId, ClaimEntry> entries;
  /** One entry per key: the store rejects a call with a repeated key. */
  std::unordered_map<std::string, ClaimId> by_key;
  std::set<std::pair<TimePoint, ClaimId>> deadlines;
  std::deque<ClaimId> urgent;
  std::deque<ClaimId> background;
  std::vector<ClaimAnswer> answers;
  std::uint64_t last_call = 0;
  /** The claims of the call in flight, in its order; empty: none. */
  std::vector<ClaimId> in_flight;
  store::LeaseId lease = 0;
  TimePoint lease_requested_at;
};

ClaimEntry* ClaimBook::State::Find(ClaimId id) {
  const auto found = entries.find(id);
  return found == entries.end() ? nullptr : &found->second;
}

void ClaimBook::State::Answer(ClaimEntry& entry, ClaimAnswer answer) {
  deadlines.erase({entry.deadline, entry.id});
  entry.answered = true;
  answers.push_back(std::move(answer));
}

void ClaimBook::State::Answer(ClaimEntry& entry, ClaimVerdict verdict) {
  ClaimAnswer answer;
  answer.claim = entry.id;
  answer.verdict = verdict;
  Answer(entry, std::move(answer));
}

void ClaimBook::State::AnswerRepeat(ClaimId id, const ClaimEntry& first,
                                    const Digest& request) {
  ClaimAnswer answer;
  answer.claim = id;
  switch (first.phase) {
    case ClaimPhase::kToFinish:
    case ClaimPhase::kFinishing:
      answer.verdict = ClaimVerdict::kReplay;
      answer.answer = first.answer;
      break;
    case ClaimPhase::kToRelease:
    case ClaimPhase::kReleasing:
      answer.verdict = ClaimVerdict::kNotRun;
      break;
    default:
      answer.verdict = ClaimVerdict::kUnknown;
  }
  if (first.request != request) {
    answer.verdict = ClaimVerdict::kConflict;
    answer.answer = {};
  }
  answers.push_back(std::move(answer));
}

void ClaimBook::State::Enqueue(ClaimEntry& entry, ClaimPhase phase) {
  entry.phase = phase;
  (IsUrgent(phase) ? urgent : background).push_back(entry.id);
}

void ClaimBook::State::Erase(const ClaimEntry& entry) {
  deadlines.erase({entry.deadline, entry.id});
  by_key.erase(entry.key);
  entries.erase(entry.id);
}

void ClaimBook::State::RefuseExpired(TimePoint now) {
  while (!deadlines.empty() && deadlines.begin()->first <= now) {
    ClaimEntry& entry = entries.at(deadlines.begin()->second);
    Answer(entry, ClaimVerdict::kNotRun);
    if (entry.phase == ClaimPhase::kToClaim) {
      Erase(entry);  // no store call has it
    }
  }
}

bool ClaimBook::State::HasLease(TimePoint now) const {
  return lease != 0 && now < lease_requested_at + kMaxLeaseAge;
}

void ClaimBook::State::AppendOperations(ClaimStoreCall& call,
                                        std::deque<ClaimId>& queue,
                                        std::size_t max_operations,
                                        TimePoint now) {
  std::size_t bytes = 0;
  while (!queue.empty() && in_flight.size() < max_operations &&
         bytes < kMaxCallBytes / 2) {
    const ClaimId id = queue.front();
    queue.pop_front();
    ClaimEntry* entry = Find(id);
    if (entry == nullptr || !NeedsCall(entry->phase)) {
      continue;  // already ended, or the phase changed meanwhile
    }
    if (entry->phase == ClaimPhase::kToClaim) {
      entry->claim_sent_at = now;
      entry->lease = lease;
    } else if (now >= entry->claim_sent_at + kMinClaimLifetime) {
      Erase(*entry);  // its lease may have ended, and its record with it
      continue;
    }
    bytes += entry->answer.body.size() + kRecordOverheadBytes;
    call.transaction.success.emplace_back(MakeOperation(*entry));
    entry->phase = InFlightPhase(entry->phase);
    in_flight.push_back(id);
  }
}

ClaimStoreCall ClaimBook::State::MakeCall(TimePoint now) {
  ClaimStoreCall call;
  call.call = ++last_call;
  const std::size_t reserved = std::min(background.size(), kBackgroundReserve);
  if (HasLease(now)) {
    AppendOperations(call, urgent, kMaxClaimsPerCall - reserved, now);
  }
  AppendOperations(call, background, kMaxClaimsPerCall, now);
  return call;
}

void ClaimBook::State::OnOperationNotExecuted(ClaimEntry& entry) {
  switch (entry.phase) {
    case ClaimPhase::kClaiming:
      if (entry.answered) {
        Erase(entry);
      } else {
        Enqueue(entry, ClaimPhase::kToClaim);
      }
      return;
    case ClaimPhase::kReading:
      Enqueue(entry, ClaimPhase::kToRead);
      return;
    case ClaimPhase::kFinishing:
      Enqueue(entry, ClaimPhase::kToFinish);
      return;
    default:
      Enqueue(entry, ClaimPhase::kToRelease);
  }
}

void ClaimBook::State::OnOperationOutcomeUnknown(ClaimEntry& entry) {
  if (entry.phase == ClaimPhase::kClaiming) {
    // The claim may be in the store: it is not granted before a read confirms
    // that.
    Enqueue(entry, ClaimPhase::kToRead);
  } else {
    // A repeated read is harmless; the other operations compare the revision.
    OnOperationNotExecuted(entry);
  }
}

void ClaimBook::State::OnCallFailed(TimePoint now, ErrorCode code) {
  rate.OnFailure(now);
  if (code == ErrorCode::kNotFound || code == ErrorCode::kInvalid) {
    lease = 0;  // the store may no longer have this lease
  }
  for (const ClaimId id : std::exchange(in_flight, {})) {
    ClaimEntry& entry = entries.at(id);
    if (code == ErrorCode::kUnavailable) {
      OnOperationNotExecuted(entry);
    } else {
      OnOperationOutcomeUnknown(entry);
    }
  }
}

void ClaimBook::State::OnClaimStored(ClaimEntry& entry,
                                     store::Revision revision) {
  entry.revision = revision;
  if (entry.answered) {
    // The caller was already answered kNotRun, so it must never be sent.
    Enqueue(entry, ClaimPhase::kToRelease);
    return;
  }
  entry.phase = ClaimPhase::kGranted;
  Answer(entry, ClaimVerdict::kDispatch);
}

void ClaimBook::State::OnRecordRead(ClaimEntry& entry,
                                    const store::TransactionResult& result) {
  if (result.ranges.empty() || result.ranges.front().empty()) {
    // No record: the claim may be sent again under the same owner, since the
    // store accepts only one of the two writes.
    if (entry.answered) {
      Erase(entry);
    } else {
      Enqueue(entry, ClaimPhase::kToClaim);
    }
    return;
  }
  const store::KeyValue& stored = result.ranges.front().front();
  const Result<ClaimRecord> record = DecodeClaim(stored.value);
  if (record && record->owner == entry.owner) {
    entry.lease = stored.lease;
    OnClaimStored(entry, stored.mod_revision);
    return;
  }
  if (!entry.answered) {
    if (record) {
      Answer(entry, EvaluateRecord(entry, *record));
    } else {
      Answer(entry, ClaimVerdict::kUnknown);
    }
  }
  Erase(entry);
}

void ClaimBook::State::OnOperationExecuted(
    ClaimEntry& entry, store::Revision revision,
    const store::TransactionResult& result) {
  switch (entry.phase) {
    case ClaimPhase::kClaiming:
      if (result.succeeded) {
        OnClaimStored(entry, revision);
      } else {
        OnRecordRead(entry, result);
      }
      return;
    case ClaimPhase::kReading:
      OnRecordRead(entry, result);
      return;
    default:
      // Finished or released. A failed compare means that an earlier call did
      // it, or that the lease has ended.
      Erase(entry);
  }
}

ClaimBook::ClaimBook(std::string process, ClaimPolicy policy)
    : state_(std::make_unique<State>(std::move(process), std::move(policy))) {}

ClaimBook::~ClaimBook() = default;

ClaimId ClaimBook::Claim(TimePoint now, const TeamId& team,
                         std::string_view idempotency_key,
                         const Digest& request, TimePoint deadline) {
  State& state = *state_;
  const ClaimId id = ++state.last_id;
  std::string key = ClaimKey(state.policy.key_prefix, team, idempotency_key);
  const auto [position, is_new] = state.by_key.emplace(key, id);
  if (!is_new) {
    state.AnswerRepeat(id, state.entries.at(position->second), request);
    return id;
  }
  ClaimEntry& entry = state.entries[id];
  entry.id = id;
  entry.key = std::move(key);
  entry.request = request;
  entry.owner = state.process + "/" + std::to_string(id);
  entry.deadline = std::min(deadline, now + state.policy.claim_timeout);
  state.deadlines.emplace(entry.deadline, id);
  state.Enqueue(entry, ClaimPhase::kToClaim);
  return id;
}

bool ClaimBook::TryDispatch(TimePoint now, ClaimId claim) {
  ClaimEntry* entry = state_->Find(claim);
  if (entry == nullptr || entry->phase != ClaimPhase::kGranted) {
    return false;
  }
  if (now >= entry->claim_sent_at + kClaimDispatchTimeout) {
    state_->Enqueue(*entry, ClaimPhase::kToRelease);
    return false;
  }
  entry->phase = ClaimPhase::kDispatched;
  return true;
}

void ClaimBook::Finish(ClaimId claim, FinishedAnswer answer) {
  ClaimEntry* entry = state_->Find(claim);
  if (entry == nullptr || entry->phase != ClaimPhase::kDispatched) {
    return;
  }
  if (answer.body.size() > kMaxKeptAnswerBytes) {
    answer.body.clear();
    answer.kept = false;
  }
  entry->answer = std::move(answer);
  state_->Enqueue(*entry, ClaimPhase::kToFinish);
}

void ClaimBook::Release(ClaimId claim) {
  ClaimEntry* entry = state_->Find(claim);
  if (entry != nullptr && (entry->phase == ClaimPhase::kGranted ||
                           entry->phase == ClaimPhase::kDispatched)) {
    state_->Enqueue(*entry, ClaimPhase::kToRelease);
  }
}

void ClaimBook::Abandon(ClaimId claim) {
  const ClaimEntry* entry = state_->Find(claim);
  if (entry != nullptr && entry->phase == ClaimPhase::kDispatched) {
    state_->Erase(*entry);
  }
}

void ClaimBook::SetLease(store::LeaseId lease, TimePoint at) {
  state_->lease = lease;
  state_->lease_requested_at = at;
}

ClaimActions ClaimBook::Step(TimePoint now) {
  State& state = *state_;
  state.RefuseExpired(now);
  ClaimActions actions;
  const bool has_work = !state.urgent.empty() || !state.background.empty();
  const bool has_lease = state.HasLease(now);
  actions.needs_lease = !has_lease && !state.urgent.empty();
  if (has_work && state.in_flight.empty()) {
    const TimePoint next = state.rate.NextCall();
    if (next > now) {
      actions.wake_at = next;
    } else if (ClaimStoreCall call = state.MakeCall(now);
               !state.in_flight.empty()) {
      state.rate.OnCall(now);
      actions.store_call = std::move(call);
    }
  }
  if (!state.deadlines.empty()) {
    const TimePoint first = state.deadlines.begin()->first;
    actions.wake_at = std::min(first, actions.wake_at.value_or(first));
  }
  actions.answers = std::exchange(state.answers, {});
  return actions;
}

void ClaimBook::OnStoreResult(TimePoint now, std::uint64_t call,
                              const Result<store::TransactionResult>& result) {
  State& state = *state_;
  if (call != state.last_call || state.in_flight.empty()) {
    return;
  }
  if (!result || result->nested.size() != state.in_flight.size()) {
    state.OnCallFailed(now,
                       result ? ErrorCode::kProtocol : result.error().code);
    return;
  }
  state.rate.OnSuccess();
  const std::vector<ClaimId> done = std::exchange(state.in_flight, {});
  for (std::size_t i = 0; i < done.size(); ++i) {
    state.OnOperationExecuted(state.entries.at(done[i]), result->revision,
                              result->nested[i]);
  }
}

std::size_t ClaimBook::size() const { return state_->entries.size(); }

}  // namespace figwell::routing
