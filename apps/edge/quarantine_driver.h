#ifndef FIGWELL_APPS_EDGE_QUARANTINE_DRIVER_H_
#define FIGWELL_APPS_EDGE_QUARANTINE_DRIVER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "peer_group.h"
#include "permit_client.h"
#include "state.h"

namespace figwell::edge {

/**
 * Finds out which servers have crashed, shares this with the peers, and keeps
 * the entries of the quarantine in the store, where they outlast this process.
 */
class QuarantineDriver {
 public:
  QuarantineDriver(State& state, adapter::StoreClient& store,
                   http::Client& client, PeerGroup& peers,
                   PermitClient& permits);

  /**
   * An attempt broke off before its answer was under way: finds out whether the
   * server process has ended.
   */
  void OnBrokenAttempt(const serving::Choice& choice, const ServiceId& service,
                       const serving::SuspectRequest& request);
  /** The service's answer to a request with these traits is under way. */
  void OnAnswer(const ServiceId& service, const serving::TraitSet& traits);
  void OnCrashMessage(const InstanceId& from,
                      const ServerCrashMessage& message);
  void OnSuspectMessage(const InstanceId& from,
                        const SuspectRequestMessage& message);
  void OnAnsweredMessage(const InstanceId& from,
                         const SuspectAnsweredMessage& message);
  void OnQuarantineMessage(const InstanceId& from,
                           const QuarantineMessage& message);
  /** An entry below EntriesPrefix was written or removed. */
  void OnStoreEntry(const serving::LoggedEntry& entry);

  std::string EntriesPrefix() const;

 private:
  /** Who reported a crash or an entry. */
  enum class Source { kOwn, kPeer, kStore };
  static std::string_view Name(Source source);

  /** A server process, by its id and BackendServer::started_ms. */
  using ServerProcess = std::pair<ServerId, std::int64_t>;

  void CheckServer(const serving::Choice& choice, const ServiceId& service);
  /** Nullopt if the service's servers answer no such request. */
  std::optional<http::Request> MakeCheckRequest(const ServerId& server,
                                                const ServiceId& service) const;
  void OnChecked(const ServerProcess& process, const ServiceId& service,
                 bool ended);
  void OnCrash(const serving::CrashReport& report, Source source);
  /** Attributes crashes to parts once all reports of the last have arrived. */
  void EvaluatePartsLater(Duration delay);
  void EvaluateParts();
  /** Has an entry saved that was found here. */
  void OnFound(const serving::TraitSet& traits, Source source);
  void Add(const serving::TraitSet& traits, Source source);
  void Remove(const serving::TraitSet& traits, Source source);
  static void LogEntry(telemetry::Event event, const serving::TraitSet& traits,
                       Source source);
  /** Tells the peers that an entry is in force, or no longer is. */
  void Announce(const serving::TraitSet& traits, bool active);

  /** Save after a random delay: all instances do the same. */
  void SaveSoon(const serving::TraitSet& traits);
  /** Writes an entry to the store, unless it is there or has been lifted. */
  void Save(const serving::TraitSet& traits);
  void WriteEntry(const serving::TraitSet& traits, store::LeaseId lease);
  /** Removes a lifted entry from the store. */
  void Erase(const serving::TraitSet& traits);
  /** Logs that a call failed, and runs `handler` after a while. */
  void RetryStoreCall(std::string_view call, const Error& error,
                      std::function<void()> handler);
  std::string KeyOf(const serving::TraitSet& traits) const;

  State& state_;
  adapter::StoreClient& store_;
  http::Client& client_;
  PeerGroup& peers_;
  PermitClient& permits_;
  /** Broken attempts at servers that are being checked. */
  std::map<ServerProcess, std::vector<serving::SuspectRequest>> checks_;
  TimePoint last_report_;
  bool evaluation_scheduled_ = false;
  /** Own if one of the reports that await evaluation is. */
  Source reports_source_ = Source::kPeer;
  /** Entries that the store holds, as last seen. */
  std::map<serving::TraitSet, store::Revision> stored_;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_QUARANTINE_DRIVER_H_
