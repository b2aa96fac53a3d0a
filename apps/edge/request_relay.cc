#include <algorithm>
#include <utility>

#include "request.h"
#include "server_state.h"

namespace figwell::edge {
namespace {

// Bytes of a rejection's body that are read and discarded: its head has all
// that is needed. Beyond them the connection is closed.
constexpr std::size_t kMaxDiscardedBytes = 16'384;

// Events of a resumable stream have ids; comments need none.
bool MayContinueStream(const http::StreamEvent& event) {
  return event.number.has_value() || event.raw.starts_with(':');
}

}  // namespace

void CallerRequest::OnHead(int status, const http::Headers& headers) {
  if (done_) {
    return;
  }
  const TimePoint now = MonotonicNow();
  status_ = status;
  answer_headers_ = headers;
  answer_ = adapter::DecodeResponseHead(head_.id, status, headers);
  if (answer_.load) {
    const auto announced = state_.balancer.OnReportedLoad(
        now, needs_.service, choice_.server, *answer_.load);
    if (announced) {
      state_.on_pace_learned(choice_.server, choice_.started_ms, *announced);
    }
  }
  ApplyServerState(state_,
                   {choice_.server, choice_.started_ms, sent_at_, head_.id},
                   answer_);
  const bool continues = !relaying_ || status_ == relayed_status_;
  streaming_ = route_->kind == serving::RequestKind::kStreaming &&
               IsSuccess() && IsAuthentic() && continues;
  if (!streaming_ && IsSuccess() && attempt_) {
    state_.balancer.OnFirstByte(now, *attempt_);
  }
}

bool CallerRequest::ReserveBuffer(std::size_t bytes) {
  if (!state_.answer_buffers.TryReserve(reserved_bytes_, bytes)) {
    return false;
  }
  reserved_bytes_ += bytes;
  return true;
}

void CallerRequest::ReleaseBuffer(std::size_t bytes) {
  state_.answer_buffers.Release(bytes);
  reserved_bytes_ -= bytes;
}

bool CallerRequest::IsAuthentic() const {
  return answer_.sealed && answer_.names_this_request &&
         !answer_headers_.Contains("Content-Encoding");
}

void CallerRequest::OnPiece(std::string_view piece,
                            std::function<void()> resume) {
  if (done_) {
    return;
  }
  if (streaming_) {
    OnStreamPiece(piece, std::move(resume));
  } else {
    OnNonStreamPiece(piece, std::move(resume));
  }
}

void CallerRequest::OnNonStreamPiece(std::string_view piece,
                                     std::function<void()> resume) {
  if (answer_.not_run) {
    discarded_bytes_ += piece.size();
    if (discarded_bytes_ > kMaxDiscardedBytes) {
      OnRejected(status_);
      return;
    }
    resume();
    return;
  }
  if (passthrough_) {
    WriteToCaller(std::string(piece), std::move(resume));
    return;
  }
  if (ReserveBuffer(piece.size())) {
    body_ += piece;
    resume();
    return;
  }
  if (!IsAuthentic() || relaying_) {
    FailBrokenAttempt(
        "answer exceeds the buffer limit and cannot be passed through");
    return;
  }
  // From here on no other server can answer: if the answer breaks off, so does
  // the caller's.
  passthrough_ = true;
  RecordFirstByte();
  StartRelay();
  body_ += piece;
  ReleaseBuffer(reserved_bytes_);
  WriteToCaller(std::exchange(body_, {}), std::move(resume));
}

void CallerRequest::StartRelay() {
  if (!relaying_) {
    relaying_ = true;
    relayed_status_ = status_;
    caller_->StartStream(status_, adapter::HeadersForCaller(answer_headers_));
  }
}

void CallerRequest::WriteToCaller(std::string bytes,
                                  std::function<void()> resume) {
  write_pending_ = true;
  caller_->Write(std::move(bytes), [weak = weak_from_this(),
                                    resume = std::move(resume)](bool written) {
    const auto self = weak.lock();
    if (self && written && !self->done_) {
      self->write_pending_ = false;
      self->last_progress_at_ = MonotonicNow();
      resume();
    }
  });
}

void CallerRequest::RecordEvents(std::size_t count) {
  const TimePoint now = MonotonicNow();
  if (relaying_) {
    max_event_gap_ = std::max(max_event_gap_, now - last_event_at_);
  }
  last_event_at_ = now;
  last_progress_at_ = now;
  const bool was_sound = attempt_events_ >= kEventsOfSoundAnswer;
  attempt_events_ += count;
  if (!was_sound && attempt_events_ >= kEventsOfSoundAnswer) {
    quarantine_.OnAnswer(needs_.service, traits_);
  }
}

void CallerRequest::OnStreamPiece(std::string_view piece,
                                  std::function<void()> resume) {
  if (attempt_) {
    state_.balancer.OnFirstByte(MonotonicNow(), *attempt_);
  }
  auto events = event_reader_.Append(piece);
  ReleaseBuffer(reserved_bytes_);
  if (!events || !ReserveBuffer(event_reader_.pending())) {
    FailBrokenAttempt("event exceeds the size or buffer limit");
    return;
  }
  if (resumes_ &&
      !std::all_of(events->begin(), events->end(), MayContinueStream)) {
    FailBrokenAttempt("event without an id in a resumed stream");
    return;
  }
  if (!events->empty()) {
    RecordEvents(events->size());
  }
  std::string relayed;
  for (const http::StreamEvent& event : *events) {
    if (event.number && last_event_number_ &&
        *event.number <= *last_event_number_) {
      continue;  // the caller already has this event
    }
    if (event.number) {
      last_event_number_ = event.number;
      event_was_cut_ = false;
    }
    ++relayed_events_;
    relayed += event.raw;
  }
  if (relayed.empty()) {
    resume();
    return;
  }
  if (!relaying_) {
    OnStreamBegan();
  }
  RecordFirstByte();
  StartRelay();
  WriteToCaller(std::move(relayed), std::move(resume));
}

void CallerRequest::OnStreamBegan() {
  if (!route_->resumable) {
    return;
  }
  needs_.version = choice_.version;
  versions_.OnBegan(needs_.service, FirstRequest(), choice_.version);
}

void CallerRequest::OnEnd() {
  call_.reset();
  if (done_) {
    return;
  }
  if (streaming_ || passthrough_) {
    OnStreamEnd();
  } else {
    OnCompleteAnswer();
  }
}

void CallerRequest::OnStreamEnd() {
  if (event_reader_.pending() > 0) {
    FailBrokenAttempt("answer ended inside an event");
    return;
  }
  if (event_was_cut_) {
    FailBrokenAttempt("answer lacks the event that an earlier one broke off");
    return;
  }
  state_.balancer.OnEnd(MonotonicNow(), *attempt_,
                        serving::AttemptEnd::kAnswered);
  attempt_.reset();
  if (attempt_events_ < kEventsOfSoundAnswer) {
    quarantine_.OnAnswer(needs_.service, traits_);
  }
  StartRelay();
  caller_->Finish();
  if (route_->resumable) {
    versions_.OnCompleted(FirstRequest());
  }
  Finish("answered");
}

void CallerRequest::OnCompleteAnswer() {
  if (answer_.not_run) {
    OnRejected(status_);
    return;
  }
  if (!IsAuthentic() || relaying_) {
    FailBrokenAttempt(
        "answer has no seal, is not for this request, is encoded, or does not "
        "continue the stream");
    return;
  }
  constexpr int kServerErrors = 5;
  const bool failed = status_ / 100 == kServerErrors;
  const int sent_to = static_cast<int>(needs_.tried.size());
  std::optional<serving::Choice> other;
  if (failed && Remaining().count() > 0 &&
      serving::MayRetry(*route_, serving::Progress::kRan, sent_to)) {
    other = state_.balancer.Choose(MonotonicNow(), *catalog_, state_.directory,
                                   needs_);
  }
  // The answer at hand is not held back for a permit.
  if (other && state_.balancer.limits().Find(other->server)) {
    other.reset();
  }
  if (other && state_.retries.TryConsumeRetry(MonotonicNow(), needs_.service)) {
    state_.balancer.OnEnd(MonotonicNow(), *attempt_,
                          serving::AttemptEnd::kFailed);
    attempt_.reset();
    may_have_run_ = true;
    telemetry::Log(telemetry::Event::kAttemptFailed,
                   "server answered with a failure",
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
  quarantine_.OnAnswer(needs_.service, traits_);
  RecordFirstByte();
  caller_->Send(
      {status_, adapter::HeadersForCaller(answer_headers_), std::move(body_)});
  Finish("answered");
}

void CallerRequest::OnRejected(int status) {
  constexpr int kMisdirected = 421;
  if (status == kMisdirected && !needs_.target.model.empty()) {
    // The registry is out of date: the server does not hold the target, or
    // another server has taken over its address.
    state_.balancer.OnPlacementAnnounced(MonotonicNow(), choice_.server,
                                         needs_.target, false);
  }
  FailAttempt(serving::Progress::kRejected, serving::AttemptEnd::kShed,
              "server rejected the request without running it");
}

}  // namespace figwell::edge
