#include "request.h"

#include <fmt/format.h>

#include "log_text.h"

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

// Time limit of a request; its own deadline or its route's timeout may be
// shorter.
constexpr Duration kMaxRequestDuration = std::chrono::minutes(10);
// Retry-After when it is unknown what the caller should wait for: no
// configuration yet, or the time ran out before a server took the request.
constexpr Duration kDefaultRetryAfter = milliseconds(500);

std::string_view KindName(serving::RequestKind kind) {
  switch (kind) {
    case serving::RequestKind::kIdempotent:
      return "idempotent";
    case serving::RequestKind::kAtMostOnce:
      return "once";
    case serving::RequestKind::kStreaming:
      return "streaming";
  }
  return "unknown";
}

}  // namespace

CallerRequest::CallerRequest(State& state, http::Client& client,
                             PlacementDriver& placement, PermitClient& permits,
                             QuarantineDriver& quarantine,
                             VersionDriver& versions, http::ExchangePtr caller)
    : state_(state),
      client_(client),
      placement_(placement),
      permits_(permits),
      quarantine_(quarantine),
      versions_(versions),
      caller_(std::move(caller)),
      catalog_(state.catalog),
      number_(state.next_request_number++),
      arrived_(MonotonicNow()),
      deadline_(arrived_ + kMaxRequestDuration),
      deadline_timer_(state.context),
      adapter_timer_(state.context),
      permit_timer_(state.context),
      stall_timer_(state.context) {
  ++state_.active_requests;
}

CallerRequest::~CallerRequest() {
  state_.on_stopping.erase(number_);
  --state_.active_requests;
}

void CallerRequest::Start() {
  head_ = adapter::DecodeRequestHead(caller_->request());
  caller_->OnClosed([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerDisconnected();
    }
  });
  if (!catalog_ || !state_.rate_limiter.PeersKnown()) {
    Refuse(serving::RefusalReason::kNoConfiguration, kDefaultRetryAfter, {});
    return;
  }
  route_ = catalog_->FindRoute(head_.host, head_.path);
  if (route_ == nullptr) {
    Refuse(serving::RefusalReason::kNoRoute, std::nullopt,
           head_.host + head_.path);
    return;
  }
  if (state_.stopping_since &&
      serving::MayOutliveProcess(*route_, arrived_ - *state_.stopping_since,
                                 *state_.stops_at - arrived_)) {
    Refuse(serving::RefusalReason::kStopping, Duration{0}, {});
    return;
  }
  if (!Authenticate() || !ChargeTeam()) {
    return;
  }
  BuildNeeds();
  SetDeadline();
  state_.on_stopping[number_] = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->done_) {
      self->SetDeadline();
    }
  };
  if (TakesUpStream()) {
    FindStreamVersion();
  } else {
    StartAttempt();
  }
}

bool CallerRequest::TakesUpStream() const {
  return head_.resume_after && route_->resumable &&
         route_->kind == serving::RequestKind::kStreaming;
}

void CallerRequest::FindStreamVersion() {
  versions_.Find(
      needs_.service, head_.first_request, deadline_,
      [self = shared_from_this()](std::optional<serving::VersionHash> version) {
        if (!self->done_) {
          self->OnStreamVersion(version);
        }
      });
}

void CallerRequest::OnStreamVersion(
    std::optional<serving::VersionHash> version) {
  needs_.version = version;
  state_.metrics
      .GetCounter(
          "figwell_streams_taken_up_total",
          telemetry::Label("version", needs_.version ? "known" : "unknown"))
      .Add();
  if (!needs_.version) {
    // It will not be known later either.
    Refuse(serving::RefusalReason::kNoVersion, std::nullopt,
           "unknown version of stream " + head_.first_request.value());
    return;
  }
  StartAttempt();
}

bool CallerRequest::Authenticate() {
  const serving::TeamSpec* team = catalog_->FindTeamOfKey(head_.key);
  if (team != nullptr) {
    team_ = team->id;
    return true;
  }
  if (route_->open || !catalog_->RequiresKeys()) {
    return true;
  }
  Refuse(serving::RefusalReason::kNoKey, std::nullopt,
         head_.key.empty() ? "no key" : "unknown key");
  return false;
}

bool CallerRequest::ChargeTeam() {
  const auto team = catalog_->teams().find(team_);
  if (team == catalog_->teams().end()) {
    return true;
  }
  const serving::Tokens cost = head_.prompt_tokens
                                   ? *head_.prompt_tokens + head_.output_tokens
                                   : team->second.plain_tokens;
  const auto verdict = state_.rate_limiter.Charge(MonotonicNow(), team_, cost);
  if (verdict.admitted) {
    charged_tokens_ = cost;
    if (state_.rate_limiter.ReportIsUrgent()) {
      state_.send_interim_status();
    }
    return true;
  }
  Refuse(serving::RefusalReason::kOverRate, verdict.retry_after,
         "cost " + std::to_string(cost) + " level " +
             std::to_string(verdict.level) +
             (verdict.all_peers_reporting ? ""
                                          : " no report from some instances"));
  return false;
}

std::string CallerRequest::PromptIdText() const {
  return head_.parts.empty() ? "" : fmt::format("{:x}", head_.parts.back().id);
}

void CallerRequest::RefundTeam() {
  if (charged_tokens_ > 0) {
    state_.rate_limiter.Refund(MonotonicNow(), team_, charged_tokens_);
    charged_tokens_ = 0;
  }
}

void CallerRequest::BuildNeeds() {
  if (const ServiceId* service =
          serving::ChooseService(*route_, state_.random.Unit())) {
    needs_.service = *service;
  }
  const http::Request& request = caller_->request();
  suspect_.fingerprint = serving::RequestFingerprint(
      team_, request.method, head_.host, request.target, request.body);
  needs_.target = head_.target;
  needs_.prompt_tokens = head_.prompt_tokens.value_or(0);
  needs_.output_tokens = head_.output_tokens;
  needs_.prefixes = serving::PrefixesOf(head_.target, head_.parts);
  const serving::ServiceSpec* service = catalog_->FindService(needs_.service);
  if (service == nullptr || !service->engine) {
    needs_.target = {};
  } else {
    suspect_.parts = serving::SharedParts(head_.parts);
  }
  traits_ = suspect_.Traits();
  if (!needs_.target.model.empty()) {
    const double ms = static_cast<double>(needs_.prompt_tokens) *
                      state_.balancer.MillisecondsPerToken(needs_.target.model);
    state_.demand.OnRequest(arrived_, needs_.target,
                            Duration(static_cast<std::int64_t>(ms * 1e3)));
    needs_.unreported_work = serving::UnreportedWork(
        state_.demand.Work(arrived_, needs_.target.model), state_.instances);
  }
}

void CallerRequest::SetDeadline() {
  if (head_.caller_timeout) {
    deadline_ = std::min(deadline_, arrived_ + *head_.caller_timeout);
  }
  if (route_->timeout.count() > 0) {
    deadline_ = std::min(deadline_, arrived_ + route_->timeout);
  }
  if (state_.stops_at) {
    deadline_ = std::min(deadline_, *state_.stops_at);
  }
  deadline_timer_.expires_after(Remaining());
  deadline_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->done_) {
          self->OnDeadline();
        }
      });
}

void CallerRequest::OnDeadline() {
  AbortAttempt(serving::AttemptEnd::kAbandoned);
  if (may_have_run_) {
    FailRequest(adapter::FailureReason::kTimedOut, "deadline");
  } else {
    Refuse(serving::RefusalReason::kTimedOut, kDefaultRetryAfter, "deadline");
  }
}

void CallerRequest::OnCallerDisconnected() {
  if (done_) {
    return;
  }
  AbortAttempt(serving::AttemptEnd::kAbandoned);
  if (!may_have_run_) {
    RefundTeam();
  }
  Finish("caller_gone");
}

void CallerRequest::AbortAttempt(serving::AttemptEnd end) {
  if (call_) {
    client_.Cancel(*call_);
    call_.reset();
    // The server may run what it received until it sees the connection reset.
    may_have_run_ = true;
  }
  if (attempt_) {
    state_.balancer.OnEnd(MonotonicNow(), *attempt_, end);
    attempt_.reset();
  }
}

void CallerRequest::Refuse(serving::RefusalReason reason,
                           std::optional<Duration> retry_after,
                           std::string_view detail) {
  RefundTeam();
  state_.metrics
      .GetCounter("figwell_refusals_total",
                  telemetry::Label("reason", serving::Name(reason)))
      .Add();
  telemetry::Log(Event::kRequestRefused, serving::Name(reason),
                 {{"request", head_.id.value()},
                  {"team", team_.value()},
                  {"route", route_ == nullptr ? "" : route_->id.value()},
                  {"config", std::to_string(catalog_ ? catalog_->number() : 0)},
                  {"after_ms", Ms(Elapsed())},
                  {"retry_after_ms", retry_after ? Ms(*retry_after) : ""},
                  {"sends", std::to_string(sends_)},
                  {"target", TargetText(head_.target)},
                  {"prompt", PromptIdText()},
                  {"tokens", std::to_string(head_.prompt_tokens.value_or(0))},
                  {"detail", std::string(detail)}});
  caller_->Send(adapter::MakeRefusal(head_.id, reason, retry_after));
  Finish("refused");
}

void CallerRequest::FailRequest(adapter::FailureReason reason,
                                std::string_view detail) {
  if (relaying_) {
    // The head was sent: closing the connection shows the caller that the
    // answer is incomplete.
    caller_->OnClosed(nullptr);
    caller_->Abort();
    Finish("broken_off " + std::string(detail));
    return;
  }
  caller_->Send(adapter::MakeFailure(head_.id, reason));
  Finish("failed " + std::string(detail));
}

void CallerRequest::Finish(std::string_view outcome) {
  if (done_) {
    return;
  }
  done_ = true;
  deadline_timer_.cancel();
  adapter_timer_.cancel();
  permit_timer_.cancel();
  stall_timer_.cancel();
  ReleaseBuffer(reserved_bytes_);
  caller_->OnClosed(nullptr);
  state_.metrics
      .GetCounter(
          "figwell_requests_total",
          telemetry::Label("outcome", outcome.substr(0, outcome.find(' '))))
      .Add();
  if (route_ != nullptr) {
    state_.metrics
        .GetHistogram("figwell_answer_seconds",
                      telemetry::Label("kind", KindName(route_->kind)))
        .Record(std::chrono::duration<double>(Elapsed()).count());
  }
  telemetry::Log(Event::kRequestEnded, outcome,
                 {{"request", head_.id.value()},
                  {"server", choice_.server.value()},
                  {"status", std::to_string(status_)},
                  {"sends", std::to_string(sends_)},
                  {"events", std::to_string(relayed_events_)},
                  {"first_ms", first_byte_sent_ ? Ms(first_byte_delay_) : ""},
                  {"pause_ms", Ms(max_event_gap_)},
                  {"took_ms", Ms(Elapsed())}});
}

void CallerRequest::RecordFirstByte() {
  if (first_byte_sent_) {
    return;
  }
  first_byte_sent_ = true;
  first_byte_delay_ = Elapsed();
  state_.metrics
      .GetHistogram("figwell_first_byte_seconds",
                    telemetry::Label("kind", KindName(route_->kind)))
      .Record(std::chrono::duration<double>(Elapsed()).count());
}

}  // namespace figwell::edge
