#include "quarantine_driver.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "log_text.h"
#include "run_after.h"

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

// A process that ends closes its connections before its listener.
constexpr Duration kCheckDelay = milliseconds(50);
constexpr milliseconds kCheckTimeout{600};
// Several instances find the same parts. All but one of them see its entry in
// the store before they write their own.
constexpr Duration kMaxSaveDelay = milliseconds(2'000);
constexpr Duration kStoreRetryInterval = milliseconds(1'000);

// Whether the response shows that the server process no longer runs. A timeout
// does not: the server may be partitioned or stopped.
bool HasEnded(const tl::expected<http::Response, http::ClientError>& response) {
  constexpr int kMisdirected = 421;
  return response ? response->status == kMisdirected
                  : response.error().stage == http::Stage::kConnect &&
                        !response.error().timed_out;
}

// Parses TraitsText; skips what is not an id.
serving::TraitSet ParseTraits(std::string_view text) {
  constexpr int kHexBase = 16;
  serving::TraitSet parts;
  while (!text.empty()) {
    const std::string_view id = text.substr(0, text.find(','));
    std::uint64_t part = 0;
    const auto [end, error] =
        std::from_chars(id.data(), id.data() + id.size(), part, kHexBase);
    if (error == std::errc() && end == id.data() + id.size()) {
      parts.insert(part);
    }
    text.remove_prefix(std::min(text.size(), id.size() + 1));
  }
  return parts;
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
                                       const serving::TraitSet& parts) {
  if (!parts.empty()) {
    RunAfter(state_.context, kCheckDelay,
             [this, choice, parts] { CheckServer(choice, parts); });
  }
}

void QuarantineDriver::CheckServer(const serving::Choice& choice,
                                   const serving::TraitSet& parts) {
  const TimePoint now = MonotonicNow();
  if (!permits_.MayCall(now, choice.server)) {
    return;
  }
  permits_.OnInternalCall(now, choice.server);
  http::CallLimits limits;
  limits.head_timeout = kCheckTimeout;
  limits.piece_timeout = kCheckTimeout;
  limits.fresh_connection = true;
  client_.Fetch(
      choice.address, adapter::MakeReportRequest(choice.server), limits,
      [this, choice,
       parts](const tl::expected<http::Response, http::ClientError>& response) {
        if (HasEnded(response)) {
          OnCrash({choice.server, choice.started_ms, parts}, Source::kOwn);
          peers_.Announce(MessageKind::kServerCrash,
                          ServerCrashMessage{choice.server.value(),
                                             choice.started_ms,
                                             {parts.begin(), parts.end()}},
                          std::nullopt);
        }
      },
      adapter::MayAnswerInternalCall);
}

void QuarantineDriver::OnCrashMessage(const InstanceId& from,
                                      const ServerCrashMessage& message) {
  OnCrash({ServerId(message.server),
           message.started_ms,
           {message.parts.begin(), message.parts.end()}},
          Source::kPeer);
  peers_.Announce(MessageKind::kServerCrash, message, from);
}

void QuarantineDriver::OnCrash(const serving::CrashReport& report,
                               Source source) {
  state_.metrics
      .GetCounter("figwell_server_crash_reports_total",
                  telemetry::Label("source", Name(source)))
      .Add();
  telemetry::Log(Event::kServerCrashed, Name(source),
                 {{"server", report.server.value()},
                  {"started_ms", std::to_string(report.started_ms)},
                  {"parts", TraitsText(report.parts)}});
  state_.quarantine.OnCrash(MonotonicNow(), report);
  RunAfter(state_.context, serving::RequestQuarantine::kReportTime,
           [this, source] { Evaluate(source); });
}

void QuarantineDriver::Evaluate(Source source) {
  const auto parts = state_.quarantine.Evaluate(MonotonicNow());
  if (!parts) {
    return;
  }
  LogEntry(Event::kPromptQuarantined, *parts, Source::kOwn);
  if (source == Source::kOwn) {
    Announce(*parts, true);
    Save(*parts);
    return;
  }
  RunAfter(
      state_.context,
      Duration(static_cast<std::int64_t>(
          state_.random.Unit() * static_cast<double>(kMaxSaveDelay.count()))),
      [this, parts = *parts] { Save(parts); });
}

void QuarantineDriver::OnAnswer(const serving::TraitSet& parts) {
  for (const serving::TraitSet& lifted :
       state_.quarantine.OnAnswer(MonotonicNow(), parts)) {
    LogEntry(Event::kQuarantineLifted, lifted, Source::kOwn);
    Announce(lifted, false);
    Erase(lifted);
  }
}

// ------------------------------------------------------------------ entries

void QuarantineDriver::Add(const serving::TraitSet& parts, Source source) {
  if (state_.quarantine.Add(MonotonicNow(), parts)) {
    LogEntry(Event::kPromptQuarantined, parts, source);
  }
}

void QuarantineDriver::Remove(const serving::TraitSet& parts, Source source) {
  if (state_.quarantine.Remove(parts)) {
    LogEntry(Event::kQuarantineLifted, parts, source);
  }
}

void QuarantineDriver::LogEntry(Event event, const serving::TraitSet& parts,
                                Source source) {
  telemetry::Log(event, Name(source), {{"parts", TraitsText(parts)}});
}

void QuarantineDriver::Announce(const serving::TraitSet& parts, bool active) {
  peers_.Announce(MessageKind::kQuarantine,
                  QuarantineMessage{{parts.begin(), parts.end()}, active},
                  std::nullopt);
}

void QuarantineDriver::OnQuarantineMessage(const InstanceId& from,
                                           const QuarantineMessage& message) {
  const serving::TraitSet parts(message.parts.begin(), message.parts.end());
  if (message.active) {
    Add(parts, Source::kPeer);
  } else {
    Remove(parts, Source::kPeer);
  }
  peers_.Announce(MessageKind::kQuarantine, message, from);
}

std::string QuarantineDriver::EntriesPrefix() const {
  return state_.settings.store_prefix + "quarantine/";
}

std::string QuarantineDriver::KeyOf(const serving::TraitSet& parts) const {
  return EntriesPrefix() + TraitsText(parts);
}

void QuarantineDriver::OnStoreEntry(const serving::LoggedEntry& entry) {
  const std::string_view key = entry.key;
  const serving::TraitSet parts =
      ParseTraits(key.substr(EntriesPrefix().size()));
  if (!entry.removed) {
    stored_.insert(parts);
    Add(parts, Source::kStore);
  } else if (stored_.erase(parts) > 0) {
    Remove(parts, Source::kStore);
  }
}

void QuarantineDriver::RetryStoreCall(std::string_view call, const Error& error,
                                      std::function<void()> handler) {
  telemetry::Log(Event::kDependencyLost,
                 fmt::format("{} a quarantine failed; will retry: {}", call,
                             error.message),
                 {{"dependency", "store"}});
  RunAfter(state_.context, kStoreRetryInterval, std::move(handler));
}

void QuarantineDriver::Save(const serving::TraitSet& parts) {
  if (stored_.contains(parts) ||
      !state_.quarantine.Contains(MonotonicNow(), parts)) {
    return;
  }
  store_.GrantLease(std::chrono::duration_cast<milliseconds>(
                        serving::RequestQuarantine::kQuarantineTime),
                    [this, parts](const Result<store::LeaseId>& lease) {
                      if (lease) {
                        WriteEntry(parts, *lease);
                      } else {
                        RetryStoreCall("saving", lease.error(),
                                       [this, parts] { Save(parts); });
                      }
                    });
}

void QuarantineDriver::WriteEntry(const serving::TraitSet& parts,
                                  store::LeaseId lease) {
  adapter::Change change;
  // If another instance has written the entry, the lease expires unused.
  change.conditions.push_back({KeyOf(parts), 0});
  change.writes.push_back({KeyOf(parts), TraitsText(parts), lease});
  store_.Commit(change, [this,
                         parts](const Result<adapter::ChangeResult>& result) {
    if (!result) {
      RetryStoreCall("saving", result.error(), [this, parts] { Save(parts); });
    }
  });
}

void QuarantineDriver::Erase(const serving::TraitSet& parts) {
  if (state_.quarantine.Contains(MonotonicNow(), parts)) {
    return;  // it is in quarantine again
  }
  adapter::Change change;
  change.removals.push_back(KeyOf(parts));
  store_.Commit(change,
                [this, parts](const Result<adapter::ChangeResult>& result) {
                  if (!result) {
                    RetryStoreCall("lifting", result.error(),
                                   [this, parts] { Erase(parts); });
                  }
                });
}

}  // namespace figwell::edge
