#include <boost/json.hpp>

#include "session.h"

namespace figwell::gateway {

namespace {

using routing::AttemptOutcome;
using routing::ExchangeAction;
using routing::ExchangeStage;
using routing::RetryReason;

/** An answer with no data for this long has broken. */
constexpr std::chrono::milliseconds kPieceTimeout{30'000};

// The stage at which an attempt broke, in the terms of routing's retry table.
// An error within the answer's head leaves no usable answer, so it counts as
// kWritten.
ExchangeStage StageOf(http::Stage stage, bool body_started) {
  switch (stage) {
    case http::Stage::kResolve:
      return ExchangeStage::kResolve;
    case http::Stage::kConnect:
    case http::Stage::kFirstByte:
      return ExchangeStage::kConnect;
    case http::Stage::kPartlyWritten:
      return ExchangeStage::kPartlyWritten;
    case http::Stage::kWritten:
    case http::Stage::kHead:
      return ExchangeStage::kWritten;
    case http::Stage::kBody:
      break;
  }
  return body_started ? ExchangeStage::kMidAnswer : ExchangeStage::kAnswerHead;
}

RetryReason ReasonOf(const http::ClientError& error) {
  switch (error.stage) {
    case http::Stage::kResolve:
      return RetryReason::kResolveFailed;
    case http::Stage::kConnect:
    case http::Stage::kFirstByte:
      return error.timed_out ? RetryReason::kConnectTimeout
                             : RetryReason::kConnectFailed;
    case http::Stage::kPartlyWritten:
      return RetryReason::kWriteFailed;
    case http::Stage::kWritten:
    case http::Stage::kHead:
      return error.timed_out ? RetryReason::kAnswerTimeout
                             : RetryReason::kConnectionLost;
    case http::Stage::kBody:
      break;
  }
  return error.timed_out ? RetryReason::kAnswerTimeout
                         : RetryReason::kTruncatedAnswer;
}

std::string Describe(Refusal refusal) {
  return refusal == Refusal::kOutcomeUnknown
             ? "the server broke off; the request may have run"
             : "no server could answer";
}

}  // namespace

void Session::Attempt() {
  if (done_) {
    return;
  }
  if (!KeyIsValid()) {
    Refuse(Refusal::kUnknownKey, "the key was withdrawn");
    return;
  }
  const auto choice =
      thread_.shared.balancer.Choose(Now(), facts_, exchange_->TriedServers());
  if (!choice) {
    if (exchange_->TriedServers().empty()) {
      Refuse(Refusal::kNoServer, "no server can take the request", 1);
    } else {
      ExecuteDecision(exchange_->OnNoServer());
    }
    return;
  }
  choice_ = *choice;
  SendAttempt(exchange_->Begin(choice_->Server().id));
}

void Session::SendAttempt(const routing::AttemptId& attempt) {
  const bool resuming = !resume_of_.empty();
  const auto request =
      resuming ? MakeResumeRequest(attempt) : MakeBackendRequest(attempt);
  if (!request) {
    EndChoice(AttemptOutcome::kCancelled);
    Refuse(Refusal::kBadRequest, "the path holds a key");
    return;
  }
  status_ = 0;
  answer_body_.clear();
  events_ = {};
  http::CallLimits limits;
  limits.head_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      exchange_->Deadline() - Now() + std::chrono::milliseconds(1));
  limits.piece_timeout = kPieceTimeout;
  limits.fresh_connection = exchange_->NeedsFreshConnection();
  const auto self = shared_from_this();
  http::ResponseHandlers handlers;
  handlers.on_head = [self](int status, const http::Headers& headers) {
    self->OnHead(status, headers);
  };
  handlers.on_piece = [self](std::string_view piece,
                             std::function<void()> resume) {
    self->OnPiece(piece, std::move(resume));
  };
  handlers.on_end = [self] { self->OnEnd(); };
  handlers.on_error = [self](const http::ClientError& error) {
    self->OnBackendError(error);
  };
  call_ = thread_.client.Send(choice_->Server().address, *request, limits,
                              std::move(handlers));
}

std::optional<http::Request> Session::MakeBackendRequest(
    const routing::AttemptId& attempt) const {
  const http::Request& original = caller_->request();
  routing::CallerHead head;
  for (const http::HeaderField& field : original.headers.fields()) {
    head.headers.push_back({field.name, field.value});
  }
  head.target = original.target;
  head.presented_key = presented_key_;
  const auto kind =
      model_ ? routing::BackendKind::kEngine : routing::BackendKind::kService;
  const auto backend = routing::HeadForBackend(
      head, kind, attempt, [this](const Digest& digest) {
        return thread_.snapshot->keys->Find(digest) != nullptr;
      });
  if (!backend) {
    return std::nullopt;
  }
  http::Request request;
  request.method = original.method;
  request.target = backend->target;
  for (const routing::HeaderField& field : backend->headers) {
    request.headers.Add(field.name, field.value);
  }
  request.body = model_ ? model_->engine_body : original.body;
  return request;
}

http::Request Session::MakeResumeRequest(
    const routing::AttemptId& attempt) const {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/resume";
  request.headers.Add("Content-Type", "application/json");
  request.headers.Add("X-Request-Id", attempt.value());
  request.body = boost::json::serialize(boost::json::value{
      {"request_id", resume_of_.value()}, {"offset", resume_offset_}});
  return request;
}

void Session::EndChoice(AttemptOutcome outcome) {
  if (choice_) {
    thread_.shared.balancer.End(Now(), *choice_, outcome);
    choice_.reset();
    thread_.admission.OnCapacityFreed();
  }
}

void Session::OnBackendError(const http::ClientError& error) {
  call_.reset();
  if (done_) {
    return;
  }
  if (!error.NothingWasSent()) {
    exchange_->OnWriteStarted();
  }
  FailAttempt(StageOf(error.stage, relaying_ || !answer_body_.empty()),
              ReasonOf(error));
}

void Session::FailAttempt(ExchangeStage stage, RetryReason reason) {
  if (call_) {
    thread_.client.Cancel(*call_);
    call_.reset();
  }
  const ServerId server = choice_->Server().id;
  telemetry::Log(
      telemetry::Event::kAttemptFailed, Name(reason),
      {{"server", server.value()}, {"stage", std::string(Name(stage))}});
  const auto decision =
      exchange_->OnBreak(Now(), stage, reason, thread_.shared.retries);
  if (decision.action != ExchangeAction::kResume) {
    EndChoice(routing::OutcomeOf(reason));
    thread_.shared.control.OnServerFailure(server);
  }
  ExecuteDecision(decision);
}

void Session::ExecuteDecision(const routing::ExchangeDecision& decision) {
  switch (decision.action) {
    case ExchangeAction::kRetry:
      thread_.shared.metrics.Retried(decision.reason).Add();
      // The previous attempt may have been a resume; this one starts over.
      resume_of_ = {};
      RetryAfter(decision.delay);
      return;
    case ExchangeAction::kResume:
      thread_.shared.metrics.Retried(decision.reason).Add();
      resume_of_ = decision.resume_of;
      resume_offset_ = decision.resume_offset;
      RetryAfter(decision.delay);
      return;
    case ExchangeAction::kRelay:
      RelayAnswer();
      return;
    case ExchangeAction::kEndStream:
      thread_.shared.metrics.RetryDenied(decision.denied).Add();
      EndStreamWithError(Refusal::kBackendFailed);
      return;
    case ExchangeAction::kRefuseNotRun:
    case ExchangeAction::kRefuseUnknown:
      break;
  }
  thread_.shared.metrics.RetryDenied(decision.denied).Add();
  const Refusal refusal =
      RefusalFromCode(routing::RefusalCode(decision, traits_.idempotent));
  Refuse(refusal, Describe(refusal), 1);
}

void Session::RetryAfter(Duration delay) {
  wait_timer_.expires_after(delay);
  // The timer's handler keeps the session alive: between two attempts no other
  // callback holds it.
  wait_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->done_) {
          return;
        }
        if (self->resume_of_.empty()) {
          self->Attempt();
        } else {
          self->SendAttempt(self->exchange_->Begin(self->choice_->Server().id));
        }
      });
}

}  // namespace figwell::gateway
