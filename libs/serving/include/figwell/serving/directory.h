#ifndef FIGWELL_SERVING_DIRECTORY_H_
#define FIGWELL_SERVING_DIRECTORY_H_

/** The backend servers that registered themselves; see serving.h. */

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"
#include "figwell/store.h"

namespace figwell::serving {

/**
 * Hash of the name of a software version; 0 if the server states none.
 * Versions have no order.
 */
using VersionHash = std::uint64_t;

/** A backend server's entry in the registry. */
struct BackendServer {
  ServerId id;
  ServiceId service;
  std::string address;  ///< `IP:PORT`
  DomainId domain;
  int slots = 1;
  bool draining = false;
  /** How long a draining server continues to serve, if it reports that. */
  std::optional<Duration> remaining;
  /** How long the server stays cold, as of the writing of its entry. */
  Duration cold_remaining{0};
  /**
   * Start time by the server's own clock; distinguishes starts with the same
   * id.
   */
  std::int64_t started_ms = 0;
  VersionHash version = 0;
  /** Models that the server holds, each with its adapters. */
  HeldModels models;

  bool Holds(const ModelTarget& target) const;
  friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

/**
 * An entry that lapsed while the store was unreachable has this long to be
 * written again, counted from the store's recovery. The users require two
 * seconds.
 */
inline constexpr Duration kLapsedEntryGrace = std::chrono::milliseconds(2'000);
/**
 * A removal that arrives this long after the store's recovery was not made
 * during the outage: the changes of the outage arrive with the store's first
 * answer.
 */
inline constexpr Duration kOutageChangesMaxDelay =
    std::chrono::milliseconds(200);
/**
 * Grace for such a later removal, in case the entry lapsed just as the store
 * recovered. It is short compared with the notice of a server that leaves for
 * good.
 */
inline constexpr Duration kLateRemovalGrace = std::chrono::milliseconds(800);

/**
 * How long a server's announcement that it leaves is remembered: the server
 * continues to serve for seconds after it, and its entry may lapse and return
 * meanwhile.
 */
inline constexpr Duration kLeavingMarkLifetime = std::chrono::minutes(10);

/**
 * The entry of a server that left may be back in an older copy of the store. If
 * the server does not write it again, it lapses within this time: its lease
 * lasts three heartbeats, and watchers pause between changes.
 */
inline constexpr Duration kRestoredEntryLifetime =
    std::chrono::milliseconds(5'000);

/** When an entry was read from the store, and in which era of it. */
struct EntryReading {
  TimePoint at;
  store::Era era = 0;

  friend bool operator==(const EntryReading&, const EntryReading&) = default;
};

/** Effect of a directory update on one server. */
enum class ServerChange {
  kAppeared,
  kRestarted,  ///< same id, new start: holds nothing from before
  kUpdated,
  kDraining,
  kGone,
  kUnchanged,
};

std::string_view Name(ServerChange change);

/**
 * The registry as last read. A removed server counts as gone immediately,
 * except shortly after the store has recovered from an outage: entries that
 * lapsed in the outage get kLapsedEntryGrace to return. Removals that peers
 * report while the store is unreachable from this instance get the same grace,
 * since it may have recovered for the peers only.
 *
 * What a server has reported holds over restores of the store to an older copy:
 * one that drains stays draining until it starts again, and one that was gone
 * is used again only once it has written its entry since, or once an entry that
 * it does not renew would have lapsed.
 */
class Directory {
 public:
  struct Entry {
    BackendServer server;
    /**
     * When the server counts as gone, if its entry lapsed in a store outage.
     */
    std::optional<TimePoint> expires_at;
    /** The store's era in which the entry was removed. */
    store::Era removed_in = 0;
  };

  /** Applies an entry that was written. */
  ServerChange Put(BackendServer server, const EntryReading& reading = {});
  /**
   * Marks a server as draining after it announced that it leaves, or a peer
   * reported its announcement. It stays draining until it starts again,
   * whatever its entry says.
   * @param started_ms BackendServer::started_ms of the start that announced it
   */
  ServerChange MarkLeaving(TimePoint now, const ServerId& id,
                           std::int64_t started_ms);
  /** Applies the removal of an entry, or of one that became unreadable. */
  ServerChange Remove(TimePoint now, const ServerId& id, store::Era era = 0);
  /** The store became unreachable, or is reachable again. */
  void OnStoreLost() { store_unreachable_ = true; }
  void OnStoreRecovered(TimePoint now);

  /**
   * Drops entries whose grace has ended.
   * @return their ids
   */
  std::vector<ServerId> Expire(TimePoint now);
  /**
   * Accepts entries that came back with a restore and have not lapsed.
   * @return their servers, which appear
   */
  std::vector<ServerId> AcceptRestored(TimePoint now);

  /** Sets the domains whose servers are to get nothing; see Evacuations. */
  void SetEvacuated(std::set<DomainId> domains) {
    evacuated_ = std::move(domains);
  }
  const std::set<DomainId>& evacuated() const { return evacuated_; }
  bool IsEvacuated(const DomainId& domain) const {
    return evacuated_.contains(domain);
  }

  const std::map<ServerId, Entry>& entries() const { return entries_; }
  const BackendServer* Find(const ServerId& id) const;
  /** Whether the entry is that of a server process started at this time. */
  bool IsSameStart(const ServerId& id, std::int64_t started_ms) const;
  /** Whether new requests may be sent to the server. */
  bool IsUsable(const ServerId& id) const;
  bool IsUsable(const BackendServer& server) const {
    return !server.draining && !IsEvacuated(server.domain);
  }
  /**
   * Whether evacuations leave the service no usable server, although it would
   * have one without them.
   */
  bool IsServiceEvacuated(const ServiceId& service) const;
  /** Whether a usable server of the service has this version. */
  bool HasVersion(const ServiceId& service, VersionHash version) const;
  /** Whether another usable server of the same service holds the model. */
  bool IsHeldElsewhere(const ServerId& id, const ModelId& model) const;

 private:
  /** End of the grace for an entry that lapses now; nullopt if it gets none. */
  std::optional<TimePoint> GraceEnd(TimePoint now) const;

  /** A start of a server that announced that it leaves. */
  struct LeavingMark {
    std::int64_t started_ms = 0;
    TimePoint marked_at;
  };
  /** A start of a server whose entry was removed. */
  struct Departure {
    std::int64_t started_ms = 0;
    store::Era era = 0;
    TimePoint at;
  };
  /** An entry that came back with a restore. */
  struct RestoredEntry {
    BackendServer server;
    TimePoint accepted_at;
  };

  /** Also forgets the marks that have expired. */
  void AddLeavingMark(TimePoint now, const ServerId& id,
                      std::int64_t started_ms);
  /** Remembers that the entry is gone. */
  void RecordDeparture(TimePoint now, const Entry& entry);
  /** Whether an older copy of the store brought the entry back. */
  bool IsRestored(const BackendServer& server,
                  const EntryReading& reading) const;

  std::map<ServerId, Entry> entries_;
  std::map<ServerId, LeavingMark> leaving_marks_;
  std::map<ServerId, Departure> departures_;
  std::map<ServerId, RestoredEntry> restored_;
  std::set<DomainId> evacuated_;
  bool store_unreachable_ = false;
  std::optional<TimePoint> recovered_at_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_DIRECTORY_H_
