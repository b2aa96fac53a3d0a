#ifndef FIGWELL_APPS_EDGE_MESSAGES_H_
#define FIGWELL_APPS_EDGE_MESSAGES_H_

/** What edge processes tell each other, as cereal carries it. */

#include <cstdint>
#include <string>
#include <vector>

#include "figwell/peers.h"
#include "figwell/serving.h"

namespace figwell::edge {

enum class MessageKind : std::uint16_t {
  kStatus = 1,
  kDemand = 2,
  kPlacement = 3,
  kAdapterWanted = 4,
  kDomainStatus = 5,
  kChangesWanted = 6,
  kChanges = 7,
  kServerLeaving = 8,
};

/** What a sender has under way at one server. */
struct ServerLoadItem {
  std::uint64_t server = 0;  ///< StableHash of its id
  std::uint16_t in_flight = 0;
  std::uint16_t prefill_backlog_ms = 0;

  friend bool operator==(const ServerLoadItem&,
                         const ServerLoadItem&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, in_flight, prefill_backlog_ms);
  }
};

/** Goes to every peer of the own domain some times a second, in parts. */
struct StatusMessage {
  std::uint64_t incarnation = 0;
  /** The first part replaces the loads that the sender told before. */
  bool first = true;
  /** Whether the sender follows the store, and reaches it. */
  bool follows = false;
  /** The newest changes that the sender knows, of servers and instances. */
  std::int64_t servers_revision = 0;
  std::int64_t instances_revision = 0;
  std::vector<ServerLoadItem> loads;
  std::vector<serving::TeamSpending> spending;

  friend bool operator==(const StatusMessage&, const StatusMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, first, follows, servers_revision, instances_revision,
            loads, spending);
  }
};

/** The sums over a domain; goes to the other domains' delegates, and on. */
struct DomainStatusMessage {
  std::string domain;
  /** Instances that the sums cover. */
  std::uint16_t instances = 1;
  StatusMessage sums;

  friend bool operator==(const DomainStatusMessage&,
                         const DomainStatusMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, instances, sums);
  }
};

/** Demand for one model, or with a name for an adapter of it. */
struct DemandItem {
  std::string model;
  std::string adapter;
  /** Milliseconds of work a second, or requests a second for an adapter. */
  float amount = 0;

  friend bool operator==(const DemandItem&, const DemandItem&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, adapter, amount);
  }
};

/** Goes to the instance that orders the servers. */
struct DemandMessage {
  /** The first of a series replaces what the sender told before. */
  bool first = true;
  std::vector<DemandItem> items;

  friend bool operator==(const DemandMessage&, const DemandMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(first, items);
  }
};

/** What the store's changes are about. */
enum class ViewId : std::uint8_t { kServers = 0, kInstances = 1 };

/** Asks a peer for what changed after a revision. */
struct ChangesWantedMessage {
  ViewId view = ViewId::kServers;
  store::Revision after = 0;

  friend bool operator==(const ChangesWantedMessage&,
                         const ChangesWantedMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(view, after);
  }
};

struct ChangesMessage {
  ViewId view = ViewId::kServers;
  serving::ChangeSet changes;

  friend bool operator==(const ChangesMessage&,
                         const ChangesMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(view, changes);
  }
};

/** A backend server as instances tell each other of it. */
std::string PackServer(const serving::BackendServer& server);
Result<serving::BackendServer> UnpackServer(std::string_view bytes);

/** Packs rates into messages that fit into datagrams. */
std::vector<DemandMessage> ToMessages(const serving::Demand& demand);
/** Takes up a message of a series. */
void AddItems(const DemandMessage& message, serving::Demand& demand);

/** A server holds a target, or is about to lose it. */
struct PlacementItem {
  std::string server;
  std::string model;
  std::string adapter;
  bool present = false;

  friend bool operator==(const PlacementItem&, const PlacementItem&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, model, adapter, present);
  }
};

/** What changed at servers, in order; goes to every peer. */
struct PlacementMessage {
  std::vector<PlacementItem> items;

  friend bool operator==(const PlacementMessage&,
                         const PlacementMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(items);
  }
};

/** Items that fit into one message with names of 24 bytes. */
inline constexpr std::size_t kPlacementItems = 10;

/**
 * A server said in an answer that it leaves. Goes to the own domain and to the
 * other domains' delegates, which pass it on if it is news to them.
 */
struct ServerLeavingMessage {
  std::string server;
  std::int64_t started_ms = 0;

  friend bool operator==(const ServerLeavingMessage&,
                         const ServerLeavingMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, started_ms);
  }
};

/** A request waits for an adapter that no server holds. */
struct AdapterWantedMessage {
  std::string model;
  std::string adapter;

  friend bool operator==(const AdapterWantedMessage&,
                         const AdapterWantedMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, adapter);
  }
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_MESSAGES_H_
