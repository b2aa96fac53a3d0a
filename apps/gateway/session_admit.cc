#include <algorithm>

#include "session.h"

namespace figwell::gateway {

namespace {

std::int64_t CeilToSeconds(Duration span) {
  constexpr std::int64_t kMaxRetryAfterSeconds = 3600;
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(
          std::min<Duration>(span, std::chrono::seconds(kMaxRetryAfterSeconds)))
          .count();
  return std::max<std::int64_t>(1, seconds);
}

}  // namespace

void Session::Admit() {
  const config::Team* team = FindTeam();
  admission::RequestSize size;
  size.prompt_bytes = model_->prompt_bytes;
  size.messages = 0;  // prompt_bytes include the JSON of the messages
  size.max_tokens = model_->max_tokens;
  admission::RateGate::Request request;
  request.team = team_;
  request.limit = {team->rate, team->burst};
  request.cost = admission::UpperBoundCost().Cost(size, model_->max_tokens);
  request.deadline = exchange_->Deadline();
  facts_.tokens = std::max<std::int64_t>(1, request.cost);
  thread_.shared.control.RecordDemand(
      model_->target, static_cast<std::uint64_t>(facts_.tokens));
  wait_ = thread_.admission.Spend(
      request, [self = shared_from_this()](const auto& decision) {
        self->OnRate(decision);
      });
}

void Session::OnRate(const admission::RateDecision& decision) {
  wait_.reset();
  if (decision.kind == admission::RateDecision::Kind::kRefused) {
    Refuse(RefusalFromCode(admission::Code(decision.reason)),
           "the team's rate is used up", CeilToSeconds(decision.retry_after));
    return;
  }
  charged_ = facts_.tokens;
  charged_at_ = decision.admitted_at;
  if (done_) {
    used_ = 0;
    SettleCharge();
    return;
  }
  AttemptOrQueue();
}

void Session::AttemptOrQueue() {
  if (thread_.admission.HasCapacity(model_->target)) {
    Attempt();
    return;
  }
  admission::QueuedRequest request;
  request.key = key_digest_;
  request.cost = facts_.tokens;
  request.priority = options_.priority;
  request.enqueued = Now();
  request.deadline = exchange_->Deadline();
  ticket_ = thread_.admission.Queue(
      model_->target, team_, FindTeam()->weight, request,
      [self = shared_from_this()](auto reason) { self->OnDequeued(reason); });
  if (!ticket_) {
    Refuse(Refusal::kOverloaded, "too many requests wait", 1);
  }
}

void Session::OnDequeued(std::optional<admission::RefusalReason> reason) {
  ticket_.reset();
  if (reason) {
    Refuse(RefusalFromCode(admission::Code(*reason)),
           "the request waited and was not run", 1);
    return;
  }
  Attempt();
}

void Session::StopWaiting() {
  if (wait_) {
    thread_.admission.StopWaiting(*wait_);
    wait_.reset();
  }
  if (ticket_) {
    thread_.admission.LeaveQueue(model_->target, *ticket_);
    ticket_.reset();
  }
}

void Session::SettleCharge() {
  if (charged_ == 0) {
    return;
  }
  // Without reported usage the full charge remains: the request may have run.
  const budget::Tokens used = std::min(charged_, used_.value_or(charged_));
  if (used < charged_) {
    thread_.shared.control.SettleCharge(team_, charged_at_, charged_ - used);
  }
  charged_ = 0;
}

void Session::Claim() {
  const http::Request& request = caller_->request();
  ClaimRequest claim;
  claim.team = team_;
  claim.idempotency_key = options_.idempotency_key;
  claim.request = routing::RequestDigest(request.method, request.target,
                                         request.headers.Find("Content-Type"),
                                         request.body);
  claim.deadline = exchange_->Deadline();
  thread_.shared.control.Claim(
      std::move(claim),
      [self = shared_from_this()](const routing::ClaimAnswer& answer) {
        self->OnClaim(answer);
      });
}

void Session::OnClaim(const routing::ClaimAnswer& answer) {
  thread_.shared.metrics.Claimed(answer.verdict).Add();
  if (answer.verdict == routing::ClaimVerdict::kDispatch) {
    claim_ = answer.claim;
    if (done_) {
      EndClaim(nullptr);
    } else {
      Attempt();
    }
    return;
  }
  if (done_) {
    return;
  }
  switch (answer.verdict) {
    case routing::ClaimVerdict::kReplay:
      status_ = answer.answer.status;
      answer_headers_ = {{"Content-Type", answer.answer.content_type},
                         {"Figwell-Replayed", "true"}};
      answer_body_ = answer.answer.body;
      RelayAnswer();
      return;
    case routing::ClaimVerdict::kConflict:
      Refuse(Refusal::kIdempotencyConflict,
             "the Idempotency-Key belongs to a different request");
      return;
    case routing::ClaimVerdict::kUnknown:
      exchange_->OnWriteStarted();
      Refuse(Refusal::kOutcomeUnknown,
             "a request with this Idempotency-Key may have run");
      return;
    default:
      Refuse(Refusal::kStoreUnavailable,
             "the Idempotency-Key cannot be claimed now", 1);
  }
}

void Session::EndClaim(const http::Response* answer) {
  if (!claim_) {
    return;
  }
  ControlPort& control = thread_.shared.control;
  if (answer != nullptr) {
    control.FinishClaim(
        *claim_,
        {answer->status, std::string(answer->headers.Find("Content-Type")),
         answer->body, true});
  } else if (exchange_->CertainlyNotRun()) {
    control.ReleaseClaim(*claim_);
  } else {
    control.AbandonClaim(*claim_);
  }
  claim_.reset();
}

}  // namespace figwell::gateway
