#include "session.h"

#include <boost/json.hpp>

namespace figwell::gateway {

namespace json = boost::json;

namespace {

constexpr std::string_view kBearer = "Bearer ";

bool IsModelPath(std::string_view path) {
  return path == "/v1/chat/completions" || path == "/v1/completions" ||
         path == "/v1/embeddings";
}

// The key after `Bearer`; empty if there is none.
std::string_view BearerKey(const http::Headers& headers) {
  std::string_view value = headers.Find("Authorization");
  if (value.size() <= kBearer.size() ||
      !EqualsIgnoreCase(value.substr(0, kBearer.size()), kBearer)) {
    return {};
  }
  return value.substr(kBearer.size());
}

}  // namespace

const config::KeyOwner* Snapshot::FindKey(const Digest& digest) const {
  if (denied->contains(digest)) {
    return nullptr;
  }
  return keys->Find(digest);
}

Session::Session(ThreadState& thread, http::ExchangePtr exchange)
    : thread_(thread),
      caller_(std::move(exchange)),
      arrived_(MonotonicNow()),
      deadline_timer_(thread.context),
      wait_timer_(thread.context) {
  ++thread_.active_sessions;
  thread_.shared.metrics.active.Add(1);
}

Session::~Session() {
  --thread_.active_sessions;
  thread_.shared.metrics.active.Add(-1);
}

void Session::Start() {
  caller_->OnClosed([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  if (thread_.snapshot->draining) {
    Refuse(Refusal::kDraining, "this instance is shutting down", 1);
  } else if (thread_.snapshot->isolated) {
    Refuse(Refusal::kIsolated, "this instance has no news of withdrawn keys",
           1);
  } else {
    Route();
  }
}

void Session::Route() {
  const http::Request& request = caller_->request();
  const std::string_view path = http::PathOf(request.target);
  const bool is_model = request.method == "POST" && IsModelPath(path);
  const bool is_list = request.method == "GET" && path == "/v1/models";
  const auto* service =
      is_model || is_list
          ? nullptr
          : config::FindService(*thread_.snapshot->configuration, path);
  if (!is_model && !is_list && service == nullptr) {
    Refuse(Refusal::kNotFound, "nothing is offered at this path");
    return;
  }
  open_route_ = service != nullptr && service->second.open;
  if (!open_route_ && !Authenticate()) {
    return;
  }
  const config::Team* team = FindTeam();
  const auto options = ReadCallerOptions(
      request.headers, team == nullptr ? 0 : team->max_priority);
  if (!options) {
    Refuse(options.error().refusal, options.error().message);
    return;
  }
  options_ = *options;
  if (is_list) {
    ListModels();
  } else if (is_model) {
    StartModel();
  } else {
    StartService(service->first, service->second);
  }
}

bool Session::Authenticate() {
  const http::Headers& headers = caller_->request().headers;
  if (headers.Count("Authorization") > 1) {
    Refuse(Refusal::kBadRequest, "more than one Authorization header");
    return false;
  }
  presented_key_ = std::string(BearerKey(headers));
  if (presented_key_.empty()) {
    Refuse(Refusal::kMissingKey, "send `Authorization: Bearer KEY`");
    return false;
  }
  key_digest_ = Sha256(presented_key_);
  const config::KeyOwner* owner = thread_.snapshot->FindKey(key_digest_);
  if (owner == nullptr) {
    Refuse(Refusal::kUnknownKey, "the key is not known or was withdrawn");
    return false;
  }
  team_ = owner->team;
  return true;
}

bool Session::KeyIsValid() const {
  if (open_route_) {
    return true;
  }
  const config::KeyOwner* owner = thread_.snapshot->FindKey(key_digest_);
  return owner != nullptr && owner->team == team_;
}

const config::Team* Session::FindTeam() const {
  const auto& teams = thread_.snapshot->configuration->teams;
  const auto found = teams.find(team_);
  return found == teams.end() ? nullptr : &found->second;
}

void Session::ListModels() {
  const config::Configuration& configuration = *thread_.snapshot->configuration;
  json::array data;
  const auto add = [&](const std::string& id) {
    data.push_back({{"id", id}, {"object", "model"}, {"owned_by", "figwell"}});
  };
  for (const ModelId& id : FindTeam()->models) {
    const auto model = configuration.models.find(id);
    if (model == configuration.models.end()) {
      continue;
    }
    add(id.value());
    for (const auto& [version, unused] : model->second.versions) {
      add(id.value() + ":" + version.value());
    }
    for (const auto& [adapter, unused] : model->second.adapters) {
      add(adapter.value());
    }
  }
  done_ = true;
  caller_->Send(http::JsonResponse(
      200, json::serialize(json::value{{"object", "list"}, {"data", data}})));
  thread_.shared.metrics.answered.Add();
}

void Session::StartModel() {
  auto request = ParseModelRequest(
      caller_->request().body, *thread_.snapshot->configuration, *FindTeam());
  if (!request) {
    Refuse(request.error().refusal, request.error().message);
    return;
  }
  model_ = std::move(*request);
  FallBackToReadyVersion();
  facts_.target = model_->target;
  facts_.prefix = routing::MakePrefixKey(facts_.target, model_->prefix);
  routing::RouteTraits traits;
  traits.idempotent = true;
  traits.streamed = model_->streamed;
  traits.resumable = model_->streamed;
  BeginExchange(traits);
  Admit();
}

// If no server has the default version ready, as while a new default is being
// loaded, another version that is ready answers, unless the caller named one.
void Session::FallBackToReadyVersion() {
  const routing::FleetViewPtr& fleet = thread_.fleet;
  if (model_->version_named || !fleet ||
      !fleet->CandidatesFor(model_->target).empty()) {
    return;
  }
  const auto version =
      fleet->AnyReadyVersion(model_->target.model, model_->target.adapter);
  if (version) {
    UseVersion(*model_, *version);
  }
}

void Session::StartService(const ServiceId& id,
                           const config::Service& service) {
  const config::Team* team = FindTeam();
  if (!open_route_ && !team->services.contains(id)) {
    Refuse(Refusal::kNotAllowed, "the team may not use this service");
    return;
  }
  service_ = id;
  facts_.target = id;
  const auto repeatable = service.idempotent.find(caller_->request().method);
  routing::RouteTraits traits;
  traits.idempotent =
      repeatable != service.idempotent.end() && repeatable->second;
  traits.echoes_id = false;
  BeginExchange(traits);
  if (traits.idempotent || options_.idempotency_key.empty() || open_route_) {
    Attempt();
  } else {
    Claim();
  }
}

void Session::BeginExchange(routing::RouteTraits traits) {
  traits_ = traits;
  thread_.shared.retries.OnFreshRequest();
  const std::string id =
      thread_.request_prefix + std::to_string(thread_.next_request++);
  const TimePoint deadline = arrived_ + options_.deadline;
  exchange_.emplace(RequestId(id), traits, deadline);
  deadline_timer_.expires_after(deadline - Now());
  deadline_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error) {
          self->OnDeadline();
        }
      });
}

// Closes the connection, which cancels the work at the engine. It is unknown
// how much of the request was sent, so the request counts as possibly run.
void Session::CancelCall() {
  if (!call_) {
    return;
  }
  thread_.client.Cancel(*call_);
  call_.reset();
  exchange_->OnWriteStarted();
}

void Session::OnDeadline() {
  if (done_) {
    return;
  }
  CancelCall();
  EndChoice(routing::AttemptOutcome::kTimedOut);
  if (relaying_) {
    EndStreamWithError(Refusal::kDeadline);
  } else {
    Refuse(Refusal::kDeadline, "the deadline has passed");
  }
}

void Session::OnCallerGone() {
  if (done_) {
    return;
  }
  CancelCall();
  EndChoice(routing::AttemptOutcome::kCancelled);
  thread_.shared.metrics.cancelled.Add();
  EndClaim(nullptr);
  Finish();
}

void Session::Refuse(Refusal refusal, std::string_view message,
                     std::optional<std::int64_t> retry_after_s) {
  if (done_) {
    return;
  }
  const bool certainly_not_run = !exchange_ || exchange_->CertainlyNotRun();
  thread_.shared.metrics.Refused(refusal).Add();
  telemetry::Log(telemetry::Event::kRequestRefused, CodeOf(refusal),
                 {{"team", team_.value()}});
  http::Response response = MakeRefusal(
      refusal, certainly_not_run ? NotRun::kCertain : NotRun::kUnknown, message,
      retry_after_s);
  if (!options_.request_id.empty()) {
    response.headers.Add("X-Request-Id", options_.request_id);
  }
  if (certainly_not_run) {
    used_ = 0;
  }
  EndClaim(nullptr);
  caller_->Send(std::move(response));
  Finish();
}

void Session::Finish() {
  done_ = true;
  StopWaiting();
  deadline_timer_.cancel();
  wait_timer_.cancel();
  SettleCharge();
  caller_->OnClosed(nullptr);
}

}  // namespace figwell::gateway
