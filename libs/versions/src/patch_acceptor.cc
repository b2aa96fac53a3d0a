#include <algorithm>

#include "record_json.h"

namespace figwell::versions {
namespace {

using Kind = PatchOutcome::Kind;

bool IsPatchId(std::string_view id) {
  const auto allowed = [](char c) { return c > ' ' && c < 127 && c != '/'; };
  return !id.empty() && id.size() <= kMaxPatchIdLength &&
         std::all_of(id.begin(), id.end(), allowed);
}

Findings CheckRequest(const PatchRequest& request) {
  Findings findings;
  if (!IsPatchId(request.id.value())) {
    findings.push_back({"Idempotency-Key",
                        "must be 1 to 128 printable characters without '/'"});
  }
  if (request.merge_patch.size() > kMaxPatchBytes) {
    findings.push_back(
        {"patch", "is " + std::to_string(request.merge_patch.size()) +
                      " bytes, but may be at most " +
                      std::to_string(kMaxPatchBytes)});
  }
  return findings;
}

}  // namespace

/** The patch that is being accepted. */
struct PatchAcceptor::Job {
  PatchRequest request;
  TimePoint deadline;
  /** The call whose result decides the next step; 0 before a retry. */
  CallId call = 0;
  TimePoint call_deadline;
  TimePoint retry_at;
  VersionLog::Read read;
  /** If the call's result shows an older head, the store was restored. */
  VersionNumber min_head = 0;
  /** Sent writes that may have taken effect or still may. */
  std::set<CallId> unsettled_writes;
  /** The record that the job writes; empty before its first write. */
  std::string record;
  /** The lineage of the version that the record is based on. */
  Digest parent;
  store::Revision head_revision = 0;
};

PatchAcceptor::PatchAcceptor(VersionLog& log, Retention retention)
    : log_(log), retention_(retention) {}

PatchAcceptor::~PatchAcceptor() = default;

void PatchAcceptor::RecordPeerNumber(VersionNumber number) {
  max_peer_number_ = std::max(max_peer_number_, number);
}

void PatchAcceptor::Submit(TimePoint now, PatchRequest request,
                           Actions& actions) {
  Findings findings = CheckRequest(request);
  if (!findings.empty()) {
    actions.replies.push_back(
        {request.ticket,
         {Kind::kInvalid, log_.Number(), std::move(findings), ""}});
    return;
  }
  if (queue_.size() >= kMaxQueuedPatches) {
    actions.replies.push_back(
        {request.ticket,
         {Kind::kNotRun, log_.Number(), {}, "too many patches are queued"}});
    return;
  }
  queue_.push_back({now + kDeadline, std::move(request)});
  StartNext(now, actions);
}

// Replies to the queued patches whose deadline has passed.
void PatchAcceptor::ExpireQueued(TimePoint now, Actions& actions) {
  while (!queue_.empty() && now >= queue_.front().deadline) {
    actions.replies.push_back({queue_.front().request.ticket,
                               {Kind::kNotRun,
                                log_.Number(),
                                {},
                                "the store did not answer in time"}});
    queue_.pop_front();
  }
}

void PatchAcceptor::StartNext(TimePoint now, Actions& actions) {
  ExpireQueued(now, actions);
  if (job_ || queue_.empty()) {
    return;
  }
  QueuedPatch next = std::move(queue_.front());
  queue_.pop_front();
  job_ = std::make_unique<Job>();
  job_->request = std::move(next.request);
  job_->deadline = next.deadline;
  Advance(now, actions);
}

// Writes immediately if the log is at the version that the patch is made for
// and has its head revision; otherwise reads the store first.
void PatchAcceptor::Advance(TimePoint now, Actions& actions) {
  const bool current = log_.Number() == job_->request.base &&
                       log_.Number() >= max_peer_number_ &&
                       log_.HeadRevision().has_value();
  if (job_->record.empty() && !current) {
    SendRead(now, actions);
    return;
  }
  if (!job_->record.empty() || PrepareRecord(actions)) {
    SendWrite(now, actions);
    return;
  }
  job_.reset();
  StartNext(now, actions);
}

void PatchAcceptor::SendRead(TimePoint now, Actions& actions) {
  job_->read = log_.NextRead();
  store::Transaction transaction = job_->read.transaction;
  transaction.success.emplace_back(
      store::Range{log_.Keys().IdKey(job_->request.id), ""});
  Send(now, std::move(transaction), /*is_write=*/false, actions);
}

// Checks the patch and encodes the record to write, whose bytes are the same
// in every retry. If the patch is invalid, replies and returns false.
bool PatchAcceptor::PrepareRecord(Actions& actions) {
  const PatchRequest& request = job_->request;
  const auto next = config::ApplyPatch(*log_.InForce(), request.merge_patch);
  if (!next) {
    actions.replies.push_back(
        {request.ticket,
         {Kind::kInvalid, log_.Number(), next.error().findings, ""}});
    return false;
  }
  job_->parent = log_.Lineage();
  job_->record = Encode(PatchRecord{request.base + 1, request.id,
                                    request.author, request.accepted_at,
                                    job_->parent, request.merge_patch});
  job_->head_revision = *log_.HeadRevision();
  return true;
}

void PatchAcceptor::SendWrite(TimePoint now, Actions& actions) {
  const PatchRequest& request = job_->request;
  const Layout& layout = log_.Keys();
  const VersionNumber number = request.base + 1;
  job_->read = log_.NextRead();
  store::Transaction write;
  write.compares = {{layout.HeadKey(), job_->head_revision},
                    {layout.IdKey(request.id), 0}};
  if (request.base > 0) {
    // A restored store may reuse the revision, but for another lineage.
    write.compares.push_back(
        {layout.PatchKey(request.base, job_->parent), job_->head_revision});
  }
  const Digest lineage = Sha256(job_->record);
  write.success.emplace_back(store::Put{
      layout.HeadKey(), Encode(VersionHeader{number, lineage, {}}), 0});
  write.success.emplace_back(
      store::Put{layout.PatchKey(number, lineage), job_->record, 0});
  write.success.emplace_back(
      store::Put{layout.IdKey(request.id),
                 Encode(PatchReceipt{
                     number, RequestDigest(request.base, request.merge_patch)}),
                 0});
  write.failure = job_->read.transaction.success;
  write.failure.emplace_back(store::Range{layout.IdKey(request.id), ""});
  Send(now, std::move(write), /*is_write=*/true, actions);
}

void PatchAcceptor::Send(TimePoint now, store::Transaction transaction,
                         bool is_write, Actions& actions) {
  job_->call = ++last_call_;
  job_->call_deadline = now + kCallTimeout;
  job_->min_head = max_peer_number_;
  if (is_write) {
    job_->unsettled_writes.insert(job_->call);
  }
  actions.calls.push_back({job_->call, std::move(transaction)});
}

void PatchAcceptor::RetryLater(TimePoint now) {
  job_->call = 0;
  job_->retry_at = now + kRetryDelay;
}

void PatchAcceptor::OnResult(TimePoint now, CallId call,
                             const Result<store::TransactionResult>& result,
                             Actions& actions) {
  if (!job_) {
    return;
  }
  const bool is_write = job_->unsettled_writes.contains(call);
  if (is_write && result && result->succeeded) {
    OnAccepted(now, *result, actions);
    return;
  }
  // A write whose compares failed or that was not executed has no effect.
  if (result || result.error().code == ErrorCode::kUnavailable) {
    job_->unsettled_writes.erase(call);
  }
  if (call != job_->call) {
    return;
  }
  if (!result) {
    RetryLater(now);
    return;
  }
  OnRead(now, *result, actions);
}

void PatchAcceptor::OnAccepted(TimePoint now,
                               const store::TransactionResult& result,
                               Actions& actions) {
  const VersionNumber number = job_->request.base + 1;
  log_.ApplyPatchRecord(job_->record, result.revision);
  Finish(now, {Kind::kAccepted, number, {}, ""}, actions);
}

// Decides from one consistent read of the store: first the id, then the head.
void PatchAcceptor::OnRead(TimePoint now,
                           const store::TransactionResult& result,
                           Actions& actions) {
  if (FinishByReceipt(now, result, actions)) {
    return;
  }
  const Step step = log_.ApplyRead(job_->read, result);
  VersionHeader head;
  if (!result.ranges.empty() && !result.ranges[0].empty()) {
    head = DecodeVersionHeader(result.ranges[0].front().value).value_or(head);
  }
  if (!StoreIsUsable(now, step, head.number, actions)) {
    return;
  }
  if (head.number != job_->request.base) {
    FinishStale(now, head.number, actions);
    return;
  }
  if (log_.Number() == job_->request.base) {
    job_->head_revision = *log_.HeadRevision();
    Advance(now, actions);
  } else if (job_->read.with_snapshot) {
    // The snapshot found by the previous read has been replaced since.
    RetryLater(now);
  } else {
    SendRead(now, actions);
  }
}

// The head has advanced without this id: writes that were sent for the older
// head can no longer take effect.
void PatchAcceptor::FinishStale(TimePoint now, VersionNumber head,
                                Actions& actions) {
  const VersionNumber base = job_->request.base;
  if (head > base && head - base > retention_.history) {
    // This may repeat a patch whose id has been removed since.
    Finish(now,
           {Kind::kUnknown,
            head,
            {},
            "unknown whether it was accepted: its base version is so "
            "old that patch ids of that time are no longer kept"},
           actions);
    return;
  }
  Finish(now, {Kind::kConflict, head, {}, ""}, actions);
}

bool PatchAcceptor::FinishByReceipt(TimePoint now,
                                    const store::TransactionResult& result,
                                    Actions& actions) {
  if (result.ranges.empty() || result.ranges.back().empty()) {
    return false;
  }
  const auto receipt = DecodePatchReceipt(result.ranges.back().front().value);
  if (!receipt) {
    AbandonJob(now, receipt.error().message, actions);
    return true;
  }
  const PatchRequest& request = job_->request;
  if (receipt->request != RequestDigest(request.base, request.merge_patch)) {
    Finish(
        now,
        {Kind::kInvalid,
         log_.Number(),
         {{"Idempotency-Key", "was already used for another patch, version " +
                                  std::to_string(receipt->number)}},
         ""},
        actions);
    return true;
  }
  log_.ApplyRead(job_->read, result);
  Finish(now, {Kind::kAccepted, receipt->number, {}, ""}, actions);
  return true;
}

bool PatchAcceptor::StoreIsUsable(TimePoint now, Step step, VersionNumber head,
                                  Actions& actions) {
  std::string message;
  if (step == Step::kBehind || head < job_->min_head) {
    message = "the store holds version " + std::to_string(head) +
              ", older than the version in force: the store was restored";
    actions.notices.push_back({Notice::Kind::kStoreBehind, head, message});
  } else if (step == Step::kForked) {
    message =
        "the store holds another lineage of versions than the one in force";
    actions.notices.push_back({Notice::Kind::kStoreForked, head, message});
  } else if (step == Step::kInvalid) {
    message = "a configuration record in the store cannot be decoded";
    actions.notices.push_back({Notice::Kind::kRecordInvalid, head, message});
  } else {
    return true;
  }
  AbandonJob(now, std::move(message), actions);
  return false;
}

void PatchAcceptor::OnTimer(TimePoint now, Actions& actions) {
  if (job_ && now >= job_->deadline) {
    AbandonJob(now, "the store did not answer in time", actions);
  } else if (job_ &&
             now >= (job_->call != 0 ? job_->call_deadline : job_->retry_at)) {
    Advance(now, actions);
  }
  StartNext(now, actions);
}

void PatchAcceptor::AbandonJob(TimePoint now, std::string message,
                               Actions& actions) {
  const Kind kind =
      job_->unsettled_writes.empty() ? Kind::kNotRun : Kind::kUnknown;
  Finish(now, {kind, log_.Number(), {}, std::move(message)}, actions);
}

void PatchAcceptor::Finish(TimePoint now, PatchOutcome outcome,
                           Actions& actions) {
  actions.replies.push_back({job_->request.ticket, std::move(outcome)});
  job_.reset();
  StartNext(now, actions);
}

}  // namespace figwell::versions
