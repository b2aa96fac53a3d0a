#include "version_driver.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "log_text.h"
#include "run_after.h"

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

constexpr Duration kTickInterval = milliseconds(5'000);
// What the store lost is saved again before others take it to be complete.
constexpr Duration kMaxResaveDelay = kMaxSaveDelay / 2;
constexpr Duration kMaxCompletionCheckInterval = milliseconds(100);
// Fits into a datagram.
constexpr std::size_t kMaxStreamsPerMessage = 100;

}  // namespace

VersionDriver::VersionDriver(State& state, adapter::StoreClient& store,
                             PeerGroup& peers)
    : state_(state), store_(store), peers_(peers) {}

// ------------------------------------------------------------------ streams

void VersionDriver::OnServer(const serving::BackendServer& server) {
  // A draining entry that came from a peer may lack its version.
  if (server.version == 0 && server.draining) {
    return;
  }
  const TimePoint now = MonotonicNow();
  if (!state_.stream_versions.OnServer(now, server.service, server.version)) {
    return;
  }
  telemetry::Log(Event::kVersionAppeared, {},
                 {{"service", server.service.value()},
                  {"version", fmt::format("{:x}", server.version)},
                  {"versions", IdsText(state_.stream_versions.Versions(
                                   now, server.service))}});
  if (state_.stream_versions.IsMixed(now, server.service)) {
    AnnounceStreams(server.service);
  }
  SaveSoon(server.service);
}

void VersionDriver::OnBegan(const ServiceId& service,
                            const RequestId& first_request,
                            serving::VersionHash version) {
  if (first_request.empty()) {
    return;  // a caller that does not name it cannot take the stream up
  }
  const TimePoint now = MonotonicNow();
  const serving::StreamHash stream = serving::HashOfStream(first_request);
  state_.stream_versions.OnBegan(now, service, stream, version);
  if (state_.stream_versions.IsMixed(now, service)) {
    Announce(version, {stream});
  }
}

void VersionDriver::OnCompleted(const RequestId& first_request) {
  state_.stream_versions.OnCompleted(serving::HashOfStream(first_request));
}

void VersionDriver::AnnounceStreams(const ServiceId& service) {
  for (const auto& [version, streams] :
       state_.stream_versions.OwnIncomplete(MonotonicNow(), service)) {
    for (std::size_t begin = 0; begin < streams.size();
         begin += kMaxStreamsPerMessage) {
      const std::size_t end =
          std::min(streams.size(), begin + kMaxStreamsPerMessage);
      Announce(version, {streams.begin() + static_cast<std::ptrdiff_t>(begin),
                         streams.begin() + static_cast<std::ptrdiff_t>(end)});
    }
  }
}

void VersionDriver::Announce(serving::VersionHash version,
                             const std::vector<serving::StreamHash>& streams) {
  peers_.Announce(MessageKind::kStreamsBegan,
                  StreamsBeganMessage{version, streams}, std::nullopt);
}

void VersionDriver::OnMessage(const InstanceId& from,
                              const StreamsBeganMessage& message) {
  for (const serving::StreamHash stream : message.streams) {
    state_.stream_versions.OnBeganElsewhere(MonotonicNow(), stream,
                                            message.version);
  }
  peers_.Announce(MessageKind::kStreamsBegan, message, from);
}

void VersionDriver::Find(
    const ServiceId& service, const RequestId& first_request,
    TimePoint needed_by,
    std::function<void(std::optional<serving::VersionHash>)> on_found) {
  const TimePoint now = MonotonicNow();
  const serving::StreamHash stream = serving::HashOfStream(first_request);
  if (!records_listed_) {
    on_found(std::nullopt);
    return;
  }
  if (const auto version = state_.stream_versions.FindBegun(now, stream)) {
    on_found(version);
    return;
  }
  const auto complete_from = state_.past.CompleteFrom();
  if (!complete_from || *complete_from >= needed_by) {
    on_found(std::nullopt);
    return;
  }
  if (*complete_from > now) {
    state_.metrics.GetCounter("figwell_streams_held_total").Add();
  }
  searches_.push_back({service, stream, std::move(on_found)});
  CatchUp();
}

void VersionDriver::AwaitCompleteStore(TimePoint now) {
  // A restore may begin another era meanwhile, so it is checked again.
  const TimePoint from = state_.past.CompleteFrom().value_or(now);
  RunAfter(state_.context, std::min(from - now, kMaxCompletionCheckInterval),
           [this] {
             catching_up_ = false;
             CatchUp();
           });
}

void VersionDriver::CatchUp() {
  if (catching_up_ || searches_.empty()) {
    return;
  }
  catching_up_ = true;
  if (const TimePoint now = MonotonicNow(); !state_.past.IsStoreComplete(now)) {
    AwaitCompleteStore(now);
    return;
  }
  // Searches that come later need another read of the store.
  state_.catch_up_with_servers(
      [this, searches = std::exchange(searches_, {})](bool caught_up) {
        catching_up_ = false;
        const TimePoint now = MonotonicNow();
        if (!state_.past.IsStoreComplete(now)) {
          // An answer meanwhile has shown that the store was restored.
          searches_.insert(searches_.end(), searches.begin(), searches.end());
          CatchUp();
          return;
        }
        for (const Search& search : searches) {
          search.on_found(caught_up ? state_.stream_versions.Find(
                                          now, search.service, search.stream)
                                    : std::nullopt);
        }
        CatchUp();
      });
}

// ------------------------------------------------------------------ records

std::string VersionDriver::RecordsPrefix() const {
  return state_.settings.store_prefix + "versions/";
}

void VersionDriver::OnStoreEntry(const serving::LoggedEntry& entry) {
  const ServiceId service(entry.key.substr(RecordsPrefix().size()));
  if (entry.removed) {
    records_.erase(service);
  } else {
    records_[service] = {ParseIds(entry.value), entry.revision};
    state_.stream_versions.OnRecord(MonotonicNow(), service,
                                    records_[service].versions);
  }
  if (!state_.past.IsEraRecorded()) {
    SaveSoon(service);  // the store may have lost what is known here
  }
}

std::set<ServiceId> VersionDriver::Services() const {
  std::set<ServiceId> services;
  for (const auto& [id, entry] : state_.directory.entries()) {
    services.insert(entry.server.service);
  }
  return services;
}

std::set<serving::VersionHash> VersionDriver::Registered(
    const ServiceId& service) const {
  std::set<serving::VersionHash> versions;
  for (const auto& [id, entry] : state_.directory.entries()) {
    if (entry.server.service == service && !entry.server.draining) {
      versions.insert(entry.server.version);
    }
  }
  return versions;
}

std::set<serving::VersionHash> VersionDriver::Wanted(
    TimePoint now, const ServiceId& service) const {
  std::set<serving::VersionHash> wanted = Registered(service);
  const auto remembered = state_.stream_versions.Versions(now, service);
  if (!state_.past.IsEraRecorded()) {
    // The record may be from an older copy of the store.
    wanted.insert(remembered.begin(), remembered.end());
    return wanted;
  }
  // Versions that only the record has are kept while they are remembered here,
  // and never written again after another instance has removed them.
  if (const auto record = records_.find(service); record != records_.end()) {
    std::set_intersection(record->second.versions.begin(),
                          record->second.versions.end(), remembered.begin(),
                          remembered.end(),
                          std::inserter(wanted, wanted.end()));
  }
  return wanted;
}

void VersionDriver::Tick(TimePoint now) {
  if (now - last_tick_ < kTickInterval) {
    return;
  }
  last_tick_ = now;
  for (const auto& [id, entry] : state_.directory.entries()) {
    OnServer(entry.server);
  }
  for (const ServiceId& service : Services()) {
    SaveSoon(service);
  }
}

bool VersionDriver::IsSaved(const ServiceId& service) const {
  const auto record = records_.find(service);
  // The store may have lost a record of an earlier era.
  return record != records_.end() &&
         store::EraOf(record->second.revision) == store_.era() &&
         record->second.versions == Wanted(MonotonicNow(), service);
}

bool VersionDriver::AllSaved() const {
  const std::set<ServiceId> services = Services();
  return std::all_of(
      services.begin(), services.end(),
      [this](const ServiceId& service) { return IsSaved(service); });
}

void VersionDriver::SaveSoon(const ServiceId& service) {
  if (IsSaved(service) || !saving_.insert(service).second) {
    return;
  }
  RunWithin(state_.context, state_.random,
            state_.past.IsEraRecorded() ? kMaxSaveDelay : kMaxResaveDelay,
            [this, service] { Save(service); });
}

void VersionDriver::Save(const ServiceId& service) {
  saving_.erase(service);
  if (IsSaved(service)) {
    return;
  }
  const auto record = records_.find(service);
  adapter::Change change;
  const std::string key = RecordsPrefix() + service.value();
  change.conditions.push_back(
      {key, record == records_.end() ? 0 : record->second.revision});
  change.writes.push_back({key, IdsText(Wanted(MonotonicNow(), service)), 0});
  store_.Commit(change, [service](const Result<adapter::ChangeResult>& result) {
    if (!result) {
      telemetry::Log(Event::kDependencyLost,
                     fmt::format("saving the versions of {} failed; will retry "
                                 "at the next check: {}",
                                 service.value(), result.error().message),
                     {{"dependency", "store"}});
    }
  });
}

}  // namespace figwell::edge
