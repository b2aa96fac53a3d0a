#include <fmt/format.h>

#include "log_text.h"
#include "request.h"
#include "server_state.h"

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

// Added to the remaining time for the timeouts of the HTTP call.
constexpr milliseconds kHeadTimeoutMargin{500};
// How long a request waits for an adapter to be loaded, and how often it checks
// whether a server holds it. The wait is longer than one round of orders of the
// placement leader, and short compared with a latency target.
constexpr Duration kMaxAdapterWait = milliseconds(350);
constexpr milliseconds kAdapterPollInterval{15};
// Attempts that may fail before any byte is sent, typically while connecting,
// until the request is no longer retried: each may take the full connect
// timeout, and to servers behind a partition all of them fail.
constexpr int kMaxUnsentAttempts = 3;
// Load time assumed for a model that the configuration does not name; the next
// version may name it.
constexpr Duration kDefaultLoadTime = milliseconds(1'500);

}  // namespace

void CallerRequest::StartAttempt() {
  if (done_) {
    return;
  }
  if (RefuseIfQuarantined()) {
    return;
  }
  const TimePoint now = MonotonicNow();
  const auto choice =
      state_.balancer.Choose(now, *catalog_, state_.directory, needs_);
  if (!choice) {
    if (RefuseIfAllPaused()) {
      return;
    }
    const bool at_limit = !needs_.at_limit.empty();
    if (sends_ == 0 &&
        MayLoadAdapter(at_limit ? serving::LimitedServers::kExclude
                                : serving::LimitedServers::kInclude)) {
      WaitForAdapter();
    } else {
      RefuseWithoutServer();
    }
    return;
  }
  const serving::Admission admission =
      serving::Admit(*route_, *choice, Elapsed(), Remaining());
  if (sends_ == 0 && admission != serving::Admission::kSend) {
    Refuse(serving::RefusalReason::kOverloaded,
           serving::RetryAfterForLoad(choice->wait, Remaining()),
           fmt::format("{} expected {} wait {} in_flight {} remaining {}",
                       serving::Name(admission), Ms(choice->expected),
                       Ms(choice->wait), choice->in_flight, Ms(Remaining())));
    return;
  }
  AcquirePermit(*choice);
}

bool CallerRequest::RefuseIfQuarantined() {
  const TimePoint now = MonotonicNow();
  const auto end = state_.quarantine.FindEnd(now, traits_);
  if (!end) {
    return false;
  }
  const std::string detail = "traits " + IdsText(traits_);
  if (may_have_run_) {
    FailRequest(adapter::FailureReason::kBroken, detail);
  } else {
    Refuse(serving::RefusalReason::kQuarantined, *end - now, detail);
  }
  return true;
}

void CallerRequest::AcquirePermit(const serving::Choice& choice) {
  const auto limit = state_.balancer.limits().Find(choice.server);
  if (!limit) {
    Send(choice);
    return;
  }
  // Loading an adapter on another server takes less time than most permits.
  const Duration max_wait =
      MayLoadAdapter(serving::LimitedServers::kExclude)
          ? Duration{0}
          : serving::MaxPermitWait(*route_, choice, Elapsed(), Remaining());
  permits_.Acquire(
      choice.server, *limit, max_wait,
      [self = shared_from_this(), choice](const serving::Permit& permit) {
        if (!self->done_) {
          self->OnPermit(choice, permit);
        }
      });
}

void CallerRequest::OnPermit(const serving::Choice& choice,
                             const serving::Permit& permit) {
  if (!permit.granted) {
    needs_.at_limit.insert(choice.server);
    permit_delay_ = std::min(permit_delay_.value_or(permit.wait), permit.wait);
    StartAttempt();
    return;
  }
  if (permit.wait.count() == 0) {
    SendPermitted(choice);
    return;
  }
  state_.metrics.GetCounter("figwell_permit_waits_total").Add();
  permit_timer_.expires_after(permit.wait);
  permit_timer_.async_wait([self = shared_from_this(),
                            choice](const boost::system::error_code& error) {
    if (!error && !self->done_) {
      self->SendPermitted(choice);
    }
  });
}

void CallerRequest::SendPermitted(const serving::Choice& choice) {
  if (!state_.directory.IsUsable(choice.server) ||
      !state_.directory.IsSameStart(choice.server, choice.started_ms) ||
      state_.balancer.IsPaused(MonotonicNow(), choice.server)) {
    StartAttempt();
    return;
  }
  if (!RefuseIfQuarantined()) {
    Send(choice);
  }
}

bool CallerRequest::RefuseIfAllLimited() {
  if (may_have_run_ || !permit_delay_) {
    return false;
  }
  Refuse(serving::RefusalReason::kLimited,
         serving::RetryAfterForLoad(*permit_delay_, Remaining()),
         fmt::format("{} servers at their limits, earliest permit in {}",
                     needs_.at_limit.size(), Ms(*permit_delay_)));
  return true;
}

void CallerRequest::WaitForAdapter() {
  const TimePoint now = MonotonicNow();
  if (!waiting_for_adapter_) {
    waiting_for_adapter_ = true;
    adapter_wait_end_ = now + kMaxAdapterWait;
  }
  if (now >= adapter_wait_end_) {
    RefuseWithoutServer();
    return;
  }
  placement_.RequestAdapter(needs_.target);
  adapter_timer_.expires_after(kAdapterPollInterval);
  // The handler's reference is the only one that keeps the request alive.
  adapter_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error) {
          self->StartAttempt();
        }
      });
}

bool CallerRequest::RefuseIfAllPaused() {
  if (may_have_run_) {
    return false;
  }
  const TimePoint now = MonotonicNow();
  const auto pause_end =
      state_.balancer.EarliestPauseEnd(now, state_.directory, needs_);
  if (!pause_end) {
    return false;
  }
  const Duration retry_after =
      std::max(*pause_end - now, serving::kMinRetryAfter);
  Refuse(serving::RefusalReason::kPaused, retry_after,
         fmt::format("sends {} earliest pause end in {}", sends_,
                     Ms(*pause_end - now)));
  return true;
}

bool CallerRequest::AnyServerHoldsModel(
    serving::LimitedServers limited_servers) const {
  return state_.balancer.AnyServerHolds(
      MonotonicNow(), state_.directory, needs_.service,
      {needs_.target.model, {}}, limited_servers);
}

bool CallerRequest::MayLoadAdapter(
    serving::LimitedServers limited_servers) const {
  return !needs_.target.adapter.empty() && AnyServerHoldsModel(limited_servers);
}

bool CallerRequest::RefuseIfEvacuated() {
  if (may_have_run_ || !state_.directory.IsServiceEvacuated(needs_.service)) {
    return false;
  }
  // When the operator ends it is unknown: as late as the caller accepts.
  Refuse(
      serving::RefusalReason::kEvacuated,
      serving::RetryAfterForLoad(Remaining(), Remaining()),
      "all servers of " + needs_.service.value() + " are in evacuated domains");
  return true;
}

bool CallerRequest::RefuseIfVersionIsGone() {
  if (may_have_run_ || !needs_.version ||
      state_.directory.HasVersion(needs_.service, *needs_.version)) {
    return false;
  }
  Refuse(serving::RefusalReason::kNoVersion, std::nullopt,
         fmt::format("no server has version {:x}", *needs_.version));
  return true;
}

void CallerRequest::RefuseWithoutServer() {
  if (RefuseIfAllLimited() || RefuseIfEvacuated() || RefuseIfVersionIsGone()) {
    return;
  }
  if (may_have_run_) {
    FailRequest(adapter::FailureReason::kBroken,
                "no other server can take the request");
    return;
  }
  const serving::MissingTarget missing = FindMissingTarget();
  Refuse(serving::RefusalReason::kNoServer,
         serving::RetryAfterForMissing(missing, Remaining()),
         fmt::format("{}/{} load {} orders in {}", needs_.target.model.value(),
                     needs_.target.adapter, Ms(missing.load_time),
                     Ms(missing.orders_resume_in)));
}

serving::MissingTarget CallerRequest::FindMissingTarget() const {
  serving::MissingTarget missing;
  const serving::ModelSpec* model =
      catalog_->FindModel(needs_.service, needs_.target.model);
  if (!AnyServerHoldsModel(serving::LimitedServers::kInclude)) {
    missing.load_time = model == nullptr ? kDefaultLoadTime : model->load_time;
  }
  if (!needs_.target.model.empty() && !placement_.leader()) {
    const config::EdgeBounds& bounds = state_.settings.bounds;
    missing.orders_resume_in = bounds.order_separation + bounds.order_thaw;
  }
  return missing;
}

void CallerRequest::Send(const serving::Choice& choice) {
  const TimePoint now = MonotonicNow();
  choice_ = choice;
  const serving::ServiceSpec* service = catalog_->FindService(needs_.service);
  adapter::ServerRequestFields fields;
  fields.server = choice.server;
  fields.team = team_;
  fields.remaining = Remaining();
  if (service != nullptr && service->engine) {
    fields.priority = serving::ServerPriority(*route_);
  }
  fields.resume_after = last_event_number_;
  resumes_ = last_event_number_.has_value();
  event_was_cut_ = event_was_cut_ && resumes_;
  if (sends_ == 0) {
    state_.retries.RecordFirstSend(now, needs_.service);
  }
  ++sends_;
  needs_.tried.insert(choice.server);
  attempt_ = state_.balancer.OnSent(now, choice, needs_);
  telemetry::Log(
      Event::kAttemptSent, {},
      {{"request", head_.id.value()},
       {"team", team_.value()},
       {"route", route_->id.value()},
       {"server", choice.server.value()},
       {"version", fmt::format("{:x}", choice.version)},
       {"first_request", head_.first_request.value()},
       {"after", EventText(last_event_number_ ? last_event_number_
                                              : head_.resume_after)},
       {"target", TargetText(needs_.target)},
       {"prompt", PromptIdText()},
       {"fingerprint", fmt::format("{:x}", suspect_.fingerprint)},
       {"tokens", std::to_string(needs_.prompt_tokens)},
       {"config", std::to_string(catalog_->number())},
       {"expected_ms", Ms(choice.expected)},
       {"wait_ms", Ms(choice.wait)},
       {"in_flight", std::to_string(choice.in_flight)},
       {"cached", std::to_string(choice.cached_tokens)},
       {"pace", fmt::format("{:.2f}", choice.pace)},
       {"remaining_ms", Ms(*fields.remaining)},
       {"limit", LimitText(state_.balancer.limits().Find(choice.server))},
       {"send", std::to_string(sends_)}});
  status_ = 0;
  answer_ = {};
  body_.clear();
  ReleaseBuffer(reserved_bytes_);
  discarded_bytes_ = 0;
  event_reader_ = {};
  attempt_events_ = 0;
  streaming_ = false;
  sent_at_ = now;
  last_progress_at_ = now;
  StartStallTimer();
  http::CallLimits limits;
  // The deadline timer ends the request first; this only guards against a
  // deadline that does not fire.
  limits.head_timeout = std::chrono::duration_cast<milliseconds>(Remaining()) +
                        kHeadTimeoutMargin;
  limits.piece_timeout = limits.head_timeout;
  limits.allow_unframed = true;
  http::ResponseHandlers handlers;
  const auto self = shared_from_this();
  handlers.belongs = [id = head_.id](const http::AnswerHead& answer) {
    return adapter::MayAnswerRequest(id, answer);
  };
  handlers.on_head = [self](int status, const http::Headers& headers) {
    self->OnHead(status, headers);
  };
  handlers.on_piece = [self](std::string_view piece,
                             std::function<void()> resume) {
    self->OnPiece(piece, std::move(resume));
  };
  handlers.on_end = [self] { self->OnEnd(); };
  handlers.on_error = [self](const http::ClientError& error) {
    self->OnError(error);
  };
  call_ = client_.Send(choice.address,
                       adapter::MakeServerRequest(caller_->request(), fields),
                       limits, std::move(handlers));
}

void CallerRequest::OnError(const http::ClientError& error) {
  call_.reset();
  if (done_) {
    return;
  }
  if (error.NothingWasSent()) {
    if (const auto* server = state_.directory.Find(choice_.server)) {
      // It may be down, and cold once it is back.
      SuspectColdServer(state_, *server);
    }
    FailAttempt(serving::Progress::kNotSent, serving::AttemptEnd::kUnreachable,
                error.message);
    return;
  }
  FailBrokenAttempt(error.message);
}

void CallerRequest::FailAttempt(serving::Progress progress,
                                serving::AttemptEnd end,
                                std::string_view detail) {
  const TimePoint now = MonotonicNow();
  if (call_) {
    client_.Cancel(*call_);
    call_.reset();
  }
  if (attempt_) {
    state_.balancer.OnEnd(now, *attempt_, end);
    attempt_.reset();
  }
  state_.metrics
      .GetCounter("figwell_attempts_total",
                  telemetry::Label("end", serving::Name(end)))
      .Add();
  if (!serving::HasNotRun(progress)) {
    may_have_run_ = true;
  }
  const bool unsent = progress == serving::Progress::kNotSent;
  unsent_attempts_ += unsent ? 1 : 0;
  const int sent_to = static_cast<int>(needs_.tried.size());
  const bool may_retry = !passthrough_ && Remaining().count() > 0 &&
                         unsent_attempts_ < kMaxUnsentAttempts &&
                         serving::MayRetry(*route_, progress, sent_to);
  const bool retry = may_retry && (unsent || state_.retries.TryConsumeRetry(
                                                 now, needs_.service));
  telemetry::Log(Event::kAttemptFailed, detail,
                 {{"request", head_.id.value()},
                  {"server", choice_.server.value()},
                  {"progress", std::string(serving::Name(progress))},
                  {"status", std::to_string(status_)},
                  {"sent_to", std::to_string(sent_to)},
                  {"events", std::to_string(attempt_events_)},
                  {"fingerprint", fmt::format("{:x}", suspect_.fingerprint)},
                  {"parts", IdsText(suspect_.parts)},
                  {"next", retry       ? "other_server"
                           : may_retry ? "no_retry_budget"
                                       : "none"}});
  if (!retry) {
    RefuseOrFail(progress, detail);
    return;
  }
  StartAttempt();
}

void CallerRequest::FailBrokenAttempt(std::string_view detail) {
  if (attempt_events_ < kEventsOfSoundAnswer) {
    quarantine_.OnBrokenAttempt(choice_, needs_.service, suspect_);
  }
  event_was_cut_ = event_was_cut_ || event_reader_.pending() > 0;
  FailAttempt(
      relaying_ ? serving::Progress::kMidStream : serving::Progress::kUnknown,
      serving::AttemptEnd::kBroken, detail);
}

void CallerRequest::RefuseOrFail(serving::Progress progress,
                                 std::string_view detail) {
  if (RefuseIfAllPaused()) {
    return;
  }
  if (!may_have_run_) {
    const bool rejected = progress == serving::Progress::kRejected;
    Refuse(rejected ? serving::RefusalReason::kShed
                    : serving::RefusalReason::kNoServer,
           serving::RetryAfterForLoad(choice_.expected, Remaining()), detail);
    return;
  }
  FailRequest(adapter::FailureReason::kBroken, detail);
}

}  // namespace figwell::edge
