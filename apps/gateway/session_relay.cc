#include <boost/json.hpp>

#include "session.h"

namespace figwell::gateway {

namespace json = boost::json;

namespace {

using routing::AnswerFault;
using routing::AttemptOutcome;
using routing::ExchangeStage;
using routing::RetryReason;

constexpr std::string_view kLastEvent = "[DONE]";
constexpr std::size_t kMaxAnswerBytes = 16'777'216;

// The header fields of a server's answer that are relayed to callers.
constexpr std::array<std::string_view, 8> kRelayedFields = {
    "Content-Type",  "Content-Language", "Cache-Control", "ETag",
    "Last-Modified", "Location",         "Retry-After",   "Vary"};

http::Headers RelayedHeaders(const http::Headers& answer,
                             const std::string& request_id) {
  http::Headers headers;
  for (const std::string_view name : kRelayedFields) {
    if (answer.Contains(name)) {
      headers.Add(std::string(name), std::string(answer.Find(name)));
    }
  }
  if (answer.Contains("Figwell-Replayed")) {
    headers.Add("Figwell-Replayed", "true");
  }
  if (!request_id.empty()) {
    headers.Add("X-Request-Id", request_id);
  }
  return headers;
}

RetryReason ReasonOf(AnswerFault fault) {
  return fault == AnswerFault::kLate ? RetryReason::kLateAnswer
                                     : RetryReason::kCrossedAnswer;
}

}  // namespace

void Session::OnHead(int status, const http::Headers& headers) {
  exchange_->OnWriteStarted();
  const AnswerFault fault = exchange_->CheckHead(headers.Find("X-Request-Id"));
  const bool must_echo = status < 300;
  if (fault != AnswerFault::kNone && must_echo) {
    telemetry::Log(telemetry::Event::kAnswerCrossed,
                   "the answer's X-Request-Id names another request",
                   {{"server", choice_->Server().id.value()}});
    FailAttempt(ExchangeStage::kAnswerHead, ReasonOf(fault));
    return;
  }
  status_ = status;
  answer_headers_ = headers;
}

void Session::OnPiece(std::string_view piece, std::function<void()> resume) {
  if (done_) {
    return;
  }
  if (traits_.streamed && status_ == 200) {
    OnStreamPiece(piece, std::move(resume));
    return;
  }
  answer_body_ += piece;
  if (answer_body_.size() > kMaxAnswerBytes) {
    FailAttempt(ExchangeStage::kMidAnswer, RetryReason::kTruncatedAnswer);
    return;
  }
  resume();
}

void Session::OnStreamPiece(std::string_view piece,
                            std::function<void()> resume) {
  const auto events = events_.Append(piece);
  if (!events) {
    FailAttempt(ExchangeStage::kMidAnswer, RetryReason::kTruncatedAnswer);
    return;
  }
  std::string relayed;
  for (const http::StreamEvent& event : *events) {
    ProcessEvent(event, relayed);
    if (done_ || !call_) {
      break;
    }
  }
  if (relayed.empty()) {
    if (!done_ && call_) {
      resume();
    }
    return;
  }
  StartRelay();
  const bool broken = done_ || !call_;
  caller_->Write(std::move(relayed),
                 [broken, resume = std::move(resume)](bool ok) {
                   if (ok && !broken) {
                     resume();
                   }
                 });
}

void Session::ProcessEvent(const http::StreamEvent& event,
                           std::string& relayed) {
  if (event.data == kLastEvent) {
    // Withheld until the answer's HTTP framing is complete as well.
    last_event_seen_ = true;
    last_event_ = event.raw;
    last_event_number_ = event.number;
    return;
  }
  switch (exchange_->OnEvent(event.number)) {
    case routing::EventVerdict::kRelay:
      relayed += event.raw;
      RecordUsage(event.data);
      thread_.shared.balancer.Progress(Now(), *choice_, 1);
      return;
    case routing::EventVerdict::kDrop:
      return;
    case routing::EventVerdict::kGap:
      FailAttempt(ExchangeStage::kMidAnswer, RetryReason::kTruncatedAnswer);
      return;
  }
}

void Session::StartRelay() {
  if (relaying_) {
    return;
  }
  relaying_ = true;
  thread_.shared.metrics.first_token_seconds.Record(
      std::chrono::duration<double>(Now() - arrived_).count());
  exchange_->OnRelayStarted();
  caller_->StartStream(status_,
                       RelayedHeaders(answer_headers_, options_.request_id));
}

void Session::OnEnd() {
  call_.reset();
  if (done_) {
    return;
  }
  if (traits_.streamed && status_ == 200) {
    OnStreamEnd();
  } else {
    OnCompleteAnswer();
  }
}

void Session::OnStreamEnd() {
  routing::AnswerEnd end;
  end.framing_complete = true;
  end.last_event_seen = last_event_seen_;
  end.last_event_number = last_event_number_;
  if (exchange_->CheckEnd(end) != AnswerFault::kNone) {
    FailAttempt(ExchangeStage::kMidAnswer, RetryReason::kTruncatedAnswer);
    return;
  }
  EndChoice(AttemptOutcome::kSuccess);
  StartRelay();
  caller_->Write(last_event_, nullptr);
  caller_->Finish();
  thread_.shared.metrics.answered.Add();
  thread_.shared.metrics.request_seconds.Record(
      std::chrono::duration<double>(Now() - arrived_).count());
  Finish();
}

void Session::OnCompleteAnswer() {
  if (!resume_of_.empty()) {
    // A resume was answered by an error: the server no longer has the stream.
    FailAttempt(ExchangeStage::kMidAnswer, RetryReason::kTruncatedAnswer);
    return;
  }
  const auto decision =
      exchange_->OnStatus(Now(), status_, thread_.shared.retries);
  const bool overloaded = status_ == 429 || status_ == 503;
  const bool failed = status_ >= 500 && !overloaded;
  EndChoice(overloaded ? AttemptOutcome::kOverloaded
            : failed   ? AttemptOutcome::kServerError
                       : AttemptOutcome::kSuccess);
  ExecuteDecision(decision);
}

void Session::RelayAnswer() {
  http::Response response{status_,
                          RelayedHeaders(answer_headers_, options_.request_id),
                          std::move(answer_body_)};
  if (model_) {
    RecordUsage(response.body);
  }
  EndClaim(&response);
  const double seconds =
      std::chrono::duration<double>(Now() - arrived_).count();
  thread_.shared.metrics.first_token_seconds.Record(seconds);
  thread_.shared.metrics.request_seconds.Record(seconds);
  thread_.shared.metrics.answered.Add();
  caller_->Send(std::move(response));
  Finish();
}

void Session::EndStreamWithError(Refusal refusal) {
  thread_.shared.metrics.broken.Add();
  thread_.shared.metrics.Refused(refusal).Add();
  const std::string event =
      "data: " + ErrorObject(refusal, "the stream has broken") + "\n\n";
  // Without the last event and the last chunk no client can treat the answer as
  // complete.
  caller_->Write(event, [caller = caller_](bool) { caller->Abort(); });
  Finish();
}

void Session::RecordUsage(std::string_view text) {
  if (text.find("\"usage\"") == std::string_view::npos) {
    return;
  }
  boost::system::error_code error;
  const json::value value =
      json::parse(json::string_view(text.data(), text.size()), error);
  const auto* object = error ? nullptr : value.if_object();
  const auto* usage =
      object == nullptr ? nullptr : object->if_contains("usage");
  const auto* fields = usage == nullptr ? nullptr : usage->if_object();
  const auto* total =
      fields == nullptr ? nullptr : fields->if_contains("total_tokens");
  if (total != nullptr && total->is_int64() && total->get_int64() >= 0) {
    used_ = total->get_int64();
  }
}

}  // namespace figwell::gateway
