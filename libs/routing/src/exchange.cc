#include <algorithm>
#include <utility>

#include "figwell/routing.h"

namespace figwell::routing {
namespace {

constexpr std::size_t kCellsPerStage = 4;

bool IsOverloadStatus(int status) { return status == 429 || status == 503; }

bool IsFailureStatus(int status) {
  return status == 500 || status == 502 || status == 504;
}

}  // namespace

const FaultCell& FindFaultCell(ExchangeStage stage, bool idempotent,
                               bool streamed) {
  const std::size_t kind = (idempotent ? 0U : 2U) + (streamed ? 1U : 0U);
  return kFaultTable[static_cast<std::size_t>(stage) * kCellsPerStage + kind];
}

Exchange::Exchange(RequestId request, RouteTraits traits, TimePoint deadline)
    : request_(std::move(request)), traits_(traits), deadline_(deadline) {}

AttemptId Exchange::Begin(const ServerId& server) {
  const std::string number = std::to_string(attempts_.size() + 1);
  attempts_.emplace_back(request_.value() + "-" + number);
  if (!is_resuming_) {
    stream_attempt_ = attempts_.back();
    tried_servers_.push_back(server);
  }
  write_started_ = false;
  return attempts_.back();
}

void Exchange::OnWriteStarted() {
  write_started_ = true;
  bytes_written_ = true;
}

AnswerFault Exchange::CheckHead(std::string_view echoed_id) const {
  if (attempts_.empty()) {
    return AnswerFault::kCrossed;
  }
  if (echoed_id == attempts_.back().value()) {
    return AnswerFault::kNone;
  }
  if (echoed_id.empty()) {
    return traits_.echoes_id ? AnswerFault::kCrossed : AnswerFault::kNone;
  }
  const bool earlier =
      std::any_of(attempts_.begin(), attempts_.end(),
                  [&](const AttemptId& id) { return id.value() == echoed_id; });
  return earlier ? AnswerFault::kLate : AnswerFault::kCrossed;
}

EventVerdict Exchange::OnEvent(std::optional<std::uint64_t> number) {
  if (number && *number < events_relayed_) {
    return EventVerdict::kDrop;
  }
  if (number && *number > events_relayed_) {
    return EventVerdict::kGap;
  }
  ++events_relayed_;
  caller_has_bytes_ = true;
  return EventVerdict::kRelay;
}

AnswerFault Exchange::CheckEnd(const AnswerEnd& end) const {
  const bool short_body =
      end.content_length && *end.content_length != end.body_bytes;
  const bool incomplete_stream = traits_.streamed && !end.last_event_seen;
  // If the event before the last one is lost, only the number shows it.
  const bool lost_event =
      end.last_event_number && *end.last_event_number != events_relayed_;
  return end.framing_complete && !short_body && !incomplete_stream &&
                 !lost_event
             ? AnswerFault::kNone
             : AnswerFault::kTruncated;
}

bool Exchange::MayReuseConnection(AnswerFault fault, const AnswerEnd& end) {
  return fault == AnswerFault::kNone && end.framing_complete &&
         (!end.content_length || *end.content_length == end.body_bytes);
}

ExchangeStage Exchange::EffectiveStage(ExchangeStage stage) const {
  return write_started_ ? std::max(stage, ExchangeStage::kFirstByteWritten)
                        : stage;
}

bool Exchange::CanResume() const {
  return traits_.streamed && traits_.resumable && resumes_ < kMaxResumes;
}

ExchangeAction Exchange::NextAction(ExchangeAction action) const {
  if (action == ExchangeAction::kRelay) {
    return action;
  }
  // Once a stream is being resumed, only its rest may be requested: another
  // server would run the request again.
  if (is_resuming_ || (action == ExchangeAction::kRetry && caller_has_bytes_)) {
    action = ExchangeAction::kResume;
  }
  if (action != ExchangeAction::kResume || CanResume()) {
    return action;
  }
  if (caller_has_bytes_) {
    return ExchangeAction::kEndStream;
  }
  return traits_.idempotent ? ExchangeAction::kRetry
                            : ExchangeAction::kRefuseUnknown;
}

ExchangeAction Exchange::FinalAction(ExchangeAction action) const {
  if (action == ExchangeAction::kRelay) {
    return action;
  }
  if (caller_has_bytes_) {
    return ExchangeAction::kEndStream;
  }
  return bytes_written_ ? ExchangeAction::kRefuseUnknown
                        : ExchangeAction::kRefuseNotRun;
}

DenyReason Exchange::CheckFurtherAttempt(TimePoint now, ExchangeAction action,
                                         RetryBudget& budget) const {
  if (action == ExchangeAction::kEndStream) {
    return DenyReason::kCallerHasBytes;
  }
  if (action != ExchangeAction::kRetry && action != ExchangeAction::kResume) {
    return DenyReason::kNotRepeatable;
  }
  if (now >= deadline_) {
    return DenyReason::kDeadline;
  }
  if (action == ExchangeAction::kRetry && retries_ + 1 >= kMaxAttempts) {
    return DenyReason::kAttempts;
  }
  return budget.TryConsume() ? DenyReason::kNone : DenyReason::kBudget;
}

ExchangeDecision Exchange::MakeFinalDecision(DenyReason denied) const {
  const FaultCell& cell =
      FindFaultCell(last_stage_, traits_.idempotent, traits_.streamed);
  ExchangeDecision decision;
  decision.action = FinalAction(cell.final_action);
  decision.denied = denied;
  return decision;
}

ExchangeDecision Exchange::Continue(ExchangeAction action, RetryReason reason) {
  ExchangeDecision decision;
  decision.action = action;
  decision.reason = reason;
  is_resuming_ = action == ExchangeAction::kResume;
  if (is_resuming_) {
    decision.resume_of = stream_attempt_;
    decision.resume_offset = events_relayed_;
    decision.delay = kResumeBackoff * (1 << resumes_);
    ++resumes_;
  } else {
    ++retries_;
  }
  return decision;
}

ExchangeDecision Exchange::OnBreak(TimePoint now, ExchangeStage stage,
                                   RetryReason reason, RetryBudget& budget) {
  last_stage_ = EffectiveStage(stage);
  bytes_written_ =
      bytes_written_ || last_stage_ >= ExchangeStage::kFirstByteWritten;
  if (is_resuming_ && reason == RetryReason::kConnectFailed) {
    // The server no longer accepts connections, so its stream is lost.
    resumes_ = kMaxResumes;
  }
  const FaultCell& cell =
      FindFaultCell(last_stage_, traits_.idempotent, traits_.streamed);
  const ExchangeAction action = NextAction(cell.action);
  if (action == ExchangeAction::kRelay) {
    ExchangeDecision decision;
    decision.action = action;
    return decision;
  }
  const DenyReason denied = CheckFurtherAttempt(now, action, budget);
  return denied == DenyReason::kNone ? Continue(action, reason)
                                     : MakeFinalDecision(denied);
}

ExchangeDecision Exchange::OnStatus(TimePoint now, int status,
                                    RetryBudget& budget) {
  bytes_written_ = true;
  last_stage_ = ExchangeStage::kBeforeRelay;
  ExchangeDecision decision;
  decision.action = ExchangeAction::kRelay;
  const bool failed = IsOverloadStatus(status) || IsFailureStatus(status);
  if (!failed || !traits_.idempotent || caller_has_bytes_) {
    return decision;
  }
  decision.denied = CheckFurtherAttempt(now, ExchangeAction::kRetry, budget);
  if (decision.denied != DenyReason::kNone) {
    return decision;
  }
  return Continue(ExchangeAction::kRetry, IsOverloadStatus(status)
                                              ? RetryReason::kServerOverloaded
                                              : RetryReason::kServerError);
}

ExchangeDecision Exchange::OnNoServer() const {
  return MakeFinalDecision(DenyReason::kNoServer);
}

}  // namespace figwell::routing
