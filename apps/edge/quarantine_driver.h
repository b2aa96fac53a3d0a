#ifndef FIGWELL_APPS_EDGE_QUARANTINE_DRIVER_H_
#define FIGWELL_APPS_EDGE_QUARANTINE_DRIVER_H_

#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "peer_group.h"
#include "permit_client.h"
#include "state.h"

namespace figwell::edge {

/**
 * Finds out which servers have crashed, shares this with the peers, and keeps
 * the prompt parts in quarantine in the store, where they outlast this process.
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
  void OnBrokenAttempt(const serving::Choice& choice,
                       const serving::TraitSet& parts);
  /** The answer to a request with these parts is under way. */
  void OnAnswer(const serving::TraitSet& parts);
  void OnCrashMessage(const InstanceId& from,
                      const ServerCrashMessage& message);
  void OnQuarantineMessage(const InstanceId& from,
                           const QuarantineMessage& message);
  /** An entry below EntriesPrefix was written or removed. */
  void OnStoreEntry(const serving::LoggedEntry& entry);

  std::string EntriesPrefix() const;

 private:
  /** Who reported a crash or an entry. */
  enum class Source { kOwn, kPeer, kStore };
  static std::string_view Name(Source source);

  void CheckServer(const serving::Choice& choice,
                   const serving::TraitSet& parts);
  void OnCrash(const serving::CrashReport& report, Source source);
  void Evaluate(Source source);
  void Add(const serving::TraitSet& parts, Source source);
  void Remove(const serving::TraitSet& parts, Source source);
  static void LogEntry(telemetry::Event event, const serving::TraitSet& parts,
                       Source source);
  /** Tells the peers that an entry is in force, or no longer is. */
  void Announce(const serving::TraitSet& parts, bool active);

  /** Writes an entry to the store, unless it is there or has been lifted. */
  void Save(const serving::TraitSet& parts);
  void WriteEntry(const serving::TraitSet& parts, store::LeaseId lease);
  /** Removes a lifted entry from the store. */
  void Erase(const serving::TraitSet& parts);
  /** Logs that a call failed, and runs `handler` after a while. */
  void RetryStoreCall(std::string_view call, const Error& error,
                      std::function<void()> handler);
  std::string KeyOf(const serving::TraitSet& parts) const;

  State& state_;
  adapter::StoreClient& store_;
  http::Client& client_;
  PeerGroup& peers_;
  PermitClient& permits_;
  /** Entries that the store holds, as last seen. */
  std::set<serving::TraitSet> stored_;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_QUARANTINE_DRIVER_H_
