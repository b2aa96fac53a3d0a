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

namespace figwell::serving {

/** What a backend server says of itself in the registry. */
struct BackendServer {
  ServerId id;
  ServiceId service;
  std::string address;  ///< `IP:PORT`
  DomainId domain;
  int slots = 1;
  bool draining = false;
  /** How long a server that was told to leave goes on, if it says so. */
  std::optional<Duration> remaining;
  /** When it started, by its own clock; tells two starts with one id apart. */
  std::int64_t started_ms = 0;
  /** The models it holds, each with its adapters. */
  HeldModels models;

  bool Holds(const ModelTarget& target) const;
  friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

/**
 * An entry that lapsed while the store was away has this long to return, from
 * the store's return on (the users' second letter).
 */
inline constexpr Duration kLapseGrace = std::chrono::milliseconds(2'000);
/**
 * A removal that comes this long after the store's return was not made during
 * the outage: what the store had to catch up on arrives with its first answer.
 */
inline constexpr Duration kCatchUp = std::chrono::milliseconds(200);
/**
 * What such a later removal still gets, in case the entry lapsed just as the
 * store came back. Short beside the notice of a server that really left.
 */
inline constexpr Duration kLateLapseGrace = std::chrono::milliseconds(800);

/**
 * How long a server's word that it leaves is kept: it goes on for seconds after
 * its notice, and its entry may lapse and come back meanwhile.
 */
inline constexpr Duration kLeavingMemory = std::chrono::minutes(10);

/** What a change of the directory did to one server. */
enum class ServerChange {
  kAppeared,
  kRestarted,  ///< the same id, another start: holds nothing of before
  kUpdated,
  kDraining,
  kGone,
  kUnchanged,
};

std::string_view Name(ServerChange change);

/**
 * The registry as last read. A server that is removed counts as gone at once,
 * except while the store has only just come back: entries that lapsed during
 * its outage get kLapseGrace to return. So do removals that peers tell of while
 * the store is away for this instance: it may have come back for them.
 */
class Directory {
 public:
  struct Entry {
    BackendServer server;
    /** When the server counts as gone, if its entry lapsed in an outage. */
    std::optional<TimePoint> gone_at;
  };

  /** An entry was written. */
  ServerChange Put(BackendServer server);
  /**
   * A server itself, or a peer that heard it, says that it leaves. It counts as
   * draining from now on, whatever its entry says, until it starts anew.
   * @param started_ms BackendServer::started_ms of the start that said so
   */
  ServerChange MarkLeaving(TimePoint now, const ServerId& id,
                           std::int64_t started_ms);
  /** An entry was removed, or its content became unreadable. */
  ServerChange Remove(TimePoint now, const ServerId& id);
  /** The store stopped answering, or answers again. */
  void OnStoreLost() { store_away_ = true; }
  void OnStoreRecovered(TimePoint now);

  /** Drops entries whose grace is over. @return their ids */
  std::vector<ServerId> Expire(TimePoint now);

  const std::map<ServerId, Entry>& entries() const { return entries_; }
  const BackendServer* Find(const ServerId& id) const;
  /** Whether new work may go to the server. */
  bool Usable(const ServerId& id) const;
  /** Whether a usable server of the same service but this one has the model. */
  bool HeldElsewhere(const ServerId& id, const ModelId& model) const;

 private:
  /** The end of the grace for an entry that lapses now, if it has any. */
  std::optional<TimePoint> GraceEnd(TimePoint now) const;

  /** A start of a server that said that it leaves. */
  struct Leaving {
    std::int64_t started_ms = 0;
    TimePoint since;
  };

  std::map<ServerId, Entry> entries_;
  std::map<ServerId, Leaving> leaving_;
  bool store_away_ = false;
  std::optional<TimePoint> regained_at_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_DIRECTORY_H_
