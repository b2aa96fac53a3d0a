#ifndef FIGWELL_APPS_EDGE_VERSION_DRIVER_H_
#define FIGWELL_APPS_EDGE_VERSION_DRIVER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "peer_group.h"
#include "state.h"

namespace figwell::edge {

/**
 * Tells the peers at which software version streams began while a service has
 * several, and keeps the versions of each service in the store, where they
 * outlast this process.
 */
class VersionDriver {
 public:
  VersionDriver(State& state, adapter::StoreClient& store, PeerGroup& peers);

  /** The registry has this entry. */
  void OnServer(const serving::BackendServer& server);
  /** The first event of a stream is about to be sent to its caller. */
  void OnBegan(const ServiceId& service, const RequestId& first_request,
               serving::VersionHash version);
  /** The caller of a stream that began here has all of it. */
  void OnCompleted(const RequestId& first_request);
  void OnMessage(const InstanceId& from, const StreamsBeganMessage& message);
  /**
   * Finds the version at which a stream may go on; nullopt if it is not known,
   * if the records have not been read, or if it cannot be known in time. That
   * all streams of a service began at its single version is assumed only once
   * all servers are known that have registered: an instance that was cut off or
   * stood still may not know them, and a store that was restored may lack them.
   * @param needed_by when the caller no longer waits for the stream
   */
  void Find(const ServiceId& service, const RequestId& first_request,
            TimePoint needed_by,
            std::function<void(std::optional<serving::VersionHash>)> on_found);
  /** All records of the store have been read once. */
  void OnRecordsListed() { records_listed_ = true; }
  /** A record below RecordsPrefix was written or removed. */
  void OnStoreEntry(const serving::LoggedEntry& entry);
  /** Looks at the registry and the records again, now and then. */
  void Tick(TimePoint now);

  std::string RecordsPrefix() const;
  /** Whether the store has the versions of all services as known here. */
  bool AllSaved() const;

 private:
  /** The versions of a service as the store has them. */
  struct Record {
    std::set<serving::VersionHash> versions;
    store::Revision revision = 0;
  };

  struct Search {
    ServiceId service;
    serving::StreamHash stream = 0;
    std::function<void(std::optional<serving::VersionHash>)> on_found;
  };

  /** Continues the searches once all servers are known. */
  void CatchUp();
  void AwaitCompleteStore(TimePoint now);
  void AnnounceStreams(const ServiceId& service);
  void Announce(serving::VersionHash version,
                const std::vector<serving::StreamHash>& streams);
  /** The services of all servers in the registry. */
  std::set<ServiceId> Services() const;
  /** The versions of a service's entries in the registry. */
  std::set<serving::VersionHash> Registered(const ServiceId& service) const;
  /** What the store's record is to be. */
  std::set<serving::VersionHash> Wanted(TimePoint now,
                                        const ServiceId& service) const;
  /** Whether the store's record is as wanted. */
  bool IsSaved(const ServiceId& service) const;
  void SaveSoon(const ServiceId& service);
  void Save(const ServiceId& service);

  State& state_;
  adapter::StoreClient& store_;
  PeerGroup& peers_;
  std::map<ServiceId, Record> records_;
  /** Services whose records are about to be written. */
  std::set<ServiceId> saving_;
  std::vector<Search> searches_;  // wait for the next CatchUp
  bool catching_up_ = false;
  bool records_listed_ = false;
  TimePoint last_tick_;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_VERSION_DRIVER_H_
