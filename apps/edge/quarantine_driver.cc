#include "quarantine_driver.h"

#include <fmt/format.h>

#include <algorithm>

#include "log_text.h"
#include "run_after.h"
#include "server_state.h"

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

// A process that ends closes its connections before its listener.
constexpr Duration kCheckDelay = milliseconds(50);
constexpr milliseconds kCheckTimeout{600};
constexpr Duration kStoreRetryInterval = milliseconds(1'000);

// Whether the response shows that the server process no longer runs. A timeout
// does not: the server may be partitioned or stopped.
bool HasEnded(const ServerId& server,
              const tl::expected<http::Response, http::ClientError>& response) {
  return response ? adapter::IsFromOtherServer(server, *response)
                  : response.error().stage == http::Stage::kConnect &&
                        !response.error().timed_out;
}

}  // namespace

QuarantineDriver::QuarantineDriver(State& state, adapter::StoreClient& store,
                                   http::Client& client, PeerGroup& peers,
                                   PermitClient& permits)
    : state_(state),
      store_(store),
      client_(client),
      peers_(peers),
      permits_(permits) {}

std::string_view QuarantineDriver::Name(Source source) {
  switch (source) {
    case Source::kOwn:
      return "own";
    case Source::kPeer:
      return "peer";
    case Source::kStore:
      return "store";
  }
  return "unknown";
}

// ------------------------------------------------------------------ crashes

void QuarantineDriver::OnBrokenAttempt(const serving::Choice& choice,
                                       const ServiceId& service,
                                       const serving::SuspectRequest& request) {
  auto& requests = checks_[{choice.server, choice.started_ms}];
  requests.push_back(request);
  if (requests.size() == 1) {
    RunAfter(state_.context, kCheckDelay,
             [this, choice, service] { CheckServer(choice, service); });
  }
}

void QuarantineDriver::CheckServer(const serving::Choice& choice,
                                   const ServiceId& service) {
  const TimePoint now = MonotonicNow();
  const ServerProcess process{choice.server, choice.started_ms};
  const auto request = MakeCheckRequest(choice.server, service);
  if (!request || !permits_.MayCall(now, choice.server)) {
    OnChecked(process, service, false);
    return;
  }
  permits_.OnInternalCall(now, choice.server);
  http::CallLimits limits = InternalCallLimits(kCheckTimeout);
  limits.fresh_connection = true;
  client_.Fetch(
      choice.address, *request, limits,
      [this, process, service](
          const tl::expected<http::Response, http::ClientError>& response) {
        OnChecked(process, service, HasEnded(process.first, response));
      },
      adapter::MayAnswerInternalCall);
}

std::optional<http::Request> QuarantineDriver::MakeCheckRequest(
    const ServerId& server, const ServiceId& service) const {
  const serving::ServiceSpec* spec =
      state_.catalog ? state_.catalog->FindService(service) : nullptr;
  if (spec == nullptr) {
    return std::nullopt;
  }
  if (spec->engine) {
    return adapter::MakeReportRequest(server);
  }
  return spec->health_path.empty() ? std::nullopt
                                   : std::optional(adapter::MakeHealthRequest(
                                         server, spec->health_path));
}

void QuarantineDriver::OnChecked(const ServerProcess& process,
                                 const ServiceId& service, bool ended) {
  const auto requests = checks_.extract(process);
  if (!ended || requests.empty()) {
    return;
  }
  const auto& [server, started_ms] = process;
  for (const serving::SuspectRequest& request : requests.mapped()) {
    OnCrash({server, started_ms, service, request}, Source::kOwn);
    peers_.Announce(
        MessageKind::kSuspectRequest,
        SuspectRequestMessage{server.value(),
                              started_ms,
                              service.value(),
                              request.fingerprint,
                              {request.parts.begin(), request.parts.end()}},
        std::nullopt);
  }
}

void QuarantineDriver::OnCrashMessage(const InstanceId& from,
                                      const ServerCrashMessage& message) {
  const serving::BackendServer* server =
      state_.directory.Find(ServerId(message.server));
  OnCrash({ServerId(message.server),
           message.started_ms,
           server == nullptr ? ServiceId() : server->service,
           {0, {message.parts.begin(), message.parts.end()}}},
          Source::kPeer);
  peers_.Announce(MessageKind::kServerCrash, message, from);
}

void QuarantineDriver::OnSuspectMessage(const InstanceId& from,
                                        const SuspectRequestMessage& message) {
  OnCrash({ServerId(message.server),
           message.started_ms,
           ServiceId(message.service),
           {message.fingerprint, {message.parts.begin(), message.parts.end()}}},
          Source::kPeer);
  peers_.Announce(MessageKind::kSuspectRequest, message, from);
}

void QuarantineDriver::OnCrash(const serving::CrashReport& report,
                               Source source) {
  state_.metrics
      .GetCounter("figwell_server_crash_reports_total",
                  telemetry::Label("source", Name(source)))
      .Add();
  telemetry::Log(
      Event::kServerCrashed, Name(source),
      {{"server", report.server.value()},
       {"started_ms", std::to_string(report.started_ms)},
       {"fingerprint", fmt::format("{:x}", report.request.fingerprint)},
       {"parts", IdsText(report.request.parts)}});
  const TimePoint now = MonotonicNow();
  state_.quarantine.OnCrash(now, report);
  if (const auto request =
          state_.quarantine.EvaluateRequest(now, report.request.fingerprint)) {
    OnFound(*request, source);
  }
  last_report_ = now;
  if (source == Source::kOwn) {
    reports_source_ = source;
  }
  if (!evaluation_scheduled_) {
    evaluation_scheduled_ = true;
    EvaluatePartsLater(serving::RequestQuarantine::kReportTime);
  }
}

void QuarantineDriver::EvaluatePartsLater(Duration delay) {
  RunAfter(state_.context, delay, [this] { EvaluateParts(); });
}

void QuarantineDriver::EvaluateParts() {
  const TimePoint now = MonotonicNow();
  if (const auto parts = state_.quarantine.EvaluateParts(now)) {
    OnFound(*parts, reports_source_);
  }
  const Duration remaining =
      last_report_ + serving::RequestQuarantine::kReportTime - now;
  evaluation_scheduled_ = remaining.count() > 0;
  if (evaluation_scheduled_) {
    EvaluatePartsLater(remaining);
  } else {
    reports_source_ = Source::kPeer;
  }
}

void QuarantineDriver::OnFound(const serving::TraitSet& traits, Source source) {
  LogEntry(Event::kPromptQuarantined, traits, Source::kOwn);
  if (source == Source::kOwn) {
    Announce(traits, true);
    Save(traits);
    return;
  }
  SaveSoon(traits);
}

void QuarantineDriver::OnAnswer(const ServiceId& service,
                                const serving::TraitSet& traits) {
  const auto refuted =
      state_.quarantine.OnAnswer(MonotonicNow(), service, traits);
  if (!refuted.suspects.empty()) {
    peers_.Announce(MessageKind::kSuspectAnswered,
                    SuspectAnsweredMessage{
                        service.value(),
                        {refuted.suspects.begin(), refuted.suspects.end()}},
                    std::nullopt);
  }
  for (const serving::TraitSet& lifted : refuted.entries) {
    LogEntry(Event::kQuarantineLifted, lifted, Source::kOwn);
    Announce(lifted, false);
    Erase(lifted);
  }
}

void QuarantineDriver::OnAnsweredMessage(
    const InstanceId& from, const SuspectAnsweredMessage& message) {
  const auto refuted = state_.quarantine.OnAnswer(
      MonotonicNow(), ServiceId(message.service),
      {message.traits.begin(), message.traits.end()});
  for (const serving::TraitSet& lifted : refuted.entries) {
    LogEntry(Event::kQuarantineLifted, lifted, Source::kPeer);
    Erase(lifted);
  }
  peers_.Announce(MessageKind::kSuspectAnswered, message, from);
}

// ------------------------------------------------------------------ entries

void QuarantineDriver::Add(const serving::TraitSet& traits, Source source) {
  if (state_.quarantine.Add(MonotonicNow(), traits)) {
    LogEntry(Event::kPromptQuarantined, traits, source);
  }
}

void QuarantineDriver::Remove(const serving::TraitSet& traits, Source source) {
  if (state_.quarantine.Remove(traits)) {
    LogEntry(Event::kQuarantineLifted, traits, source);
  }
}

void QuarantineDriver::LogEntry(Event event, const serving::TraitSet& traits,
                                Source source) {
  telemetry::Log(event, Name(source), {{"parts", IdsText(traits)}});
}

void QuarantineDriver::Announce(const serving::TraitSet& traits, bool active) {
  peers_.Announce(MessageKind::kQuarantine,
                  QuarantineMessage{{traits.begin(), traits.end()}, active},
                  std::nullopt);
}

void QuarantineDriver::OnQuarantineMessage(const InstanceId& from,
                                           const QuarantineMessage& message) {
  const serving::TraitSet traits(message.traits.begin(), message.traits.end());
  if (message.active) {
    Add(traits, Source::kPeer);
  } else {
    Remove(traits, Source::kPeer);
  }
  peers_.Announce(MessageKind::kQuarantine, message, from);
}

std::string QuarantineDriver::EntriesPrefix() const {
  return state_.settings.store_prefix + "quarantine/";
}

std::string QuarantineDriver::KeyOf(const serving::TraitSet& traits) const {
  return EntriesPrefix() + IdsText(traits);
}

void QuarantineDriver::OnStoreEntry(const serving::LoggedEntry& entry) {
  const std::string_view key = entry.key;
  const serving::TraitSet traits = ParseIds(key.substr(EntriesPrefix().size()));
  if (!entry.removed) {
    stored_[traits] = entry.revision;
    Add(traits, Source::kStore);
    return;
  }
  const auto stored = stored_.extract(traits);
  if (stored.empty()) {
    return;
  }
  if (store::EraOf(stored.mapped()) < store::EraOf(entry.revision)) {
    // Not lifted: the copy that the store was restored from lacks it.
    SaveSoon(traits);
    return;
  }
  Remove(traits, Source::kStore);
}

void QuarantineDriver::RetryStoreCall(std::string_view call, const Error& error,
                                      std::function<void()> handler) {
  telemetry::Log(Event::kDependencyLost,
                 fmt::format("{} a quarantine failed; will retry: {}", call,
                             error.message),
                 {{"dependency", "store"}});
  RunAfter(state_.context, kStoreRetryInterval, std::move(handler));
}

void QuarantineDriver::SaveSoon(const serving::TraitSet& traits) {
  RunWithin(state_.context, state_.random, kMaxSaveDelay,
            [this, traits] { Save(traits); });
}

void QuarantineDriver::Save(const serving::TraitSet& traits) {
  if (stored_.contains(traits) ||
      !state_.quarantine.Contains(MonotonicNow(), traits)) {
    return;
  }
  store_.GrantLease(std::chrono::duration_cast<milliseconds>(
                        serving::RequestQuarantine::kQuarantineTime),
                    [this, traits](const Result<store::LeaseId>& lease) {
                      if (lease) {
                        WriteEntry(traits, *lease);
                      } else {
                        RetryStoreCall("saving", lease.error(),
                                       [this, traits] { Save(traits); });
                      }
                    });
}

void QuarantineDriver::WriteEntry(const serving::TraitSet& traits,
                                  store::LeaseId lease) {
  adapter::Change change;
  // If another instance has written the entry, the lease expires unused.
  change.conditions.push_back({KeyOf(traits), 0});
  change.writes.push_back({KeyOf(traits), IdsText(traits), lease});
  store_.Commit(change,
                [this, traits](const Result<adapter::ChangeResult>& result) {
                  if (!result) {
                    RetryStoreCall("saving", result.error(),
                                   [this, traits] { Save(traits); });
                  }
                });
}

void QuarantineDriver::Erase(const serving::TraitSet& traits) {
  if (state_.quarantine.Contains(MonotonicNow(), traits)) {
    return;  // it is in quarantine again
  }
  adapter::Change change;
  change.removals.push_back(KeyOf(traits));
  store_.Commit(change,
                [this, traits](const Result<adapter::ChangeResult>& result) {
                  if (!result) {
                    RetryStoreCall("lifting", result.error(),
                                   [this, traits] { Erase(traits); });
                  }
                });
}

}  // namespace figwell::edge
