#include "request.h"

namespace figwell::edge {

void CallerRequest::OnHead(int status, const http::Headers& headers) {
  if (done_) {
    return;
  }
  const TimePoint now = MonotonicNow();
  status_ = status;
  answer_headers_ = headers;
  answer_ = adapter::ReadAnswer(head_.id, status, headers);
  if (answer_.load) {
    state_.balancer.OnReportedLoad(now, choice_.server, *answer_.load);
  }
  streaming_ = route_->kind == serving::RequestKind::kStreaming &&
               IsSuccess() && answer_.sealed && answer_.named;
  if (!streaming_ && attempt_) {
    state_.balancer.OnFirstByte(now, *attempt_);
  }
}

void CallerRequest::OnPiece(std::string_view piece,
                            std::function<void()> resume) {
  if (done_) {
    return;
  }
  if (streaming_) {
    OnStreamPiece(piece, std::move(resume));
    return;
  }
  body_ += piece;
  resume();
}

void CallerRequest::StartRelay() {
  if (!relaying_) {
    relaying_ = true;
    caller_->StartStream(status_, adapter::FieldsForCaller(answer_headers_));
  }
}

void CallerRequest::OnStreamPiece(std::string_view piece,
                                  std::function<void()> resume) {
  if (attempt_) {
    state_.balancer.OnFirstByte(MonotonicNow(), *attempt_);
  }
  auto events = reader_.Take(piece);
  if (!events) {
    EndAttempt(
        relaying_ ? serving::Progress::kMidStream : serving::Progress::kUnknown,
        serving::AttemptEnd::kBroken, events.error().message);
    return;
  }
  std::string relayed;
  for (const http::StreamEvent& event : *events) {
    if (event.number && last_event_ && *event.number <= *last_event_) {
      continue;  // the caller has it
    }
    if (event.number) {
      last_event_ = event.number;
    }
    ++events_;
    relayed += event.raw;
  }
  if (relayed.empty()) {
    resume();
    return;
  }
  NoteFirstByte();
  StartRelay();
  caller_->Write(
      std::move(relayed),
      [weak = weak_from_this(), resume = std::move(resume)](bool written) {
        const auto self = weak.lock();
        if (self && written && !self->done_) {
          resume();
        }
      });
}

void CallerRequest::OnEnd() {
  call_.reset();
  if (done_) {
    return;
  }
  if (streaming_) {
    OnStreamEnd();
  } else {
    OnWholeAnswer();
  }
}

void CallerRequest::OnStreamEnd() {
  if (reader_.pending() > 0) {
    EndAttempt(
        relaying_ ? serving::Progress::kMidStream : serving::Progress::kUnknown,
        serving::AttemptEnd::kBroken, "ends within an event");
    return;
  }
  state_.balancer.OnEnd(MonotonicNow(), *attempt_,
                        serving::AttemptEnd::kAnswered);
  attempt_.reset();
  StartRelay();
  caller_->Finish();
  Finish("answered");
}

void CallerRequest::OnWholeAnswer() {
  if (answer_.not_run) {
    OnRejected(status_);
    return;
  }
  const bool whole = answer_.sealed && answer_.named &&
                     !answer_headers_.Contains("Content-Encoding") &&
                     !relaying_;
  if (!whole) {
    EndAttempt(
        relaying_ ? serving::Progress::kMidStream : serving::Progress::kUnknown,
        serving::AttemptEnd::kBroken, "not the server's whole answer");
    return;
  }
  constexpr int kServerErrors = 5;
  const bool failed = status_ / 100 == kServerErrors;
  const int sent_to = static_cast<int>(needs_.tried.size());
  std::optional<serving::Choice> other;
  if (failed && Remaining().count() > 0 &&
      serving::MayTryAgain(*route_, serving::Progress::kRan, sent_to)) {
    other = state_.balancer.Choose(MonotonicNow(), *catalog_, state_.directory,
                                   needs_);
  }
  if (other && state_.retries.TakeRetry(MonotonicNow(), needs_.service)) {
    state_.balancer.OnEnd(MonotonicNow(), *attempt_,
                          serving::AttemptEnd::kFailed);
    attempt_.reset();
    may_have_run_ = true;
    telemetry::Log(telemetry::Event::kAttemptFailed, "the server failed",
                   {{"request", head_.id.value()},
                    {"server", choice_.server.value()},
                    {"status", std::to_string(status_)},
                    {"next", "other_server"}});
    Send(*other);
    return;
  }
  state_.balancer.OnEnd(
      MonotonicNow(), *attempt_,
      failed ? serving::AttemptEnd::kFailed : serving::AttemptEnd::kAnswered);
  attempt_.reset();
  NoteFirstByte();
  caller_->Send(
      {status_, adapter::FieldsForCaller(answer_headers_), std::move(body_)});
  Finish("answered");
}

void CallerRequest::OnRejected(int status) {
  constexpr int kMisdirected = 421;
  if (status == kMisdirected && !needs_.target.model.empty()) {
    // It does not hold what the registry says, or is another server.
    state_.balancer.OnPlacement(MonotonicNow(), choice_.server, needs_.target,
                                false);
  }
  EndAttempt(serving::Progress::kRejected, serving::AttemptEnd::kShed,
             "rejected without running");
}

}  // namespace figwell::edge
