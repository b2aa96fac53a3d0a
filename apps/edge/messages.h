#ifndef FIGWELL_APPS_EDGE_MESSAGES_H_
#define FIGWELL_APPS_EDGE_MESSAGES_H_

/** Messages between edge processes, serialized with cereal. */

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
  kAdapterRequest = 4,
  kDomainStatus = 5,
  kChangesRequest = 6,
  kChanges = 7,
  kServerLeaving = 8,
  kServerLimit = 9,
  kPermitRequest = 10,
  kPermitReply = 11,
  kServerCrash = 12,
  kQuarantine = 13,
  kSuspectRequest = 14,
  kSuspectAnswered = 15,
  kStreamsBegan = 16,
  kBuild = 17,
  kEvacuations = 18,
  kServersCold = 19,
  kServerPace = 20,
};

/**
 * Set in the kind of a message whose revisions contain the store's era. Builds
 * that know no eras ignore such kinds; they are sent revisions without eras.
 */
inline constexpr std::uint16_t kErasFlag = 0x100;

constexpr MessageKind WithEras(MessageKind kind) {
  return static_cast<MessageKind>(static_cast<std::uint16_t>(kind) | kErasFlag);
}
constexpr MessageKind BaseKind(MessageKind kind) {
  return static_cast<MessageKind>(static_cast<std::uint16_t>(kind) &
                                  ~kErasFlag);
}
constexpr bool HasEras(MessageKind kind) { return kind != BaseKind(kind); }

/** Tells a peer that this build understands messages with eras. */
struct BuildMessage {
  std::uint16_t messages = 2;  ///< version of the messages

  friend bool operator==(const BuildMessage&, const BuildMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(messages);
  }
};

/** Work that the sender has in flight at one server. */
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

/** Sent several times a second to every peer of the own domain, in parts. */
struct StatusMessage {
  std::uint64_t incarnation = 0;
  /** The first part replaces the loads that the sender reported before. */
  bool first = true;
  /** Whether the sender follows the store and the store answers it. */
  bool follows = false;
  /** The newest revisions of servers and instances that the sender knows. */
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

/**
 * Sums over a domain. Sent to the other domains' delegates, which forward it to
 * their domains.
 */
struct DomainStatusMessage {
  std::string domain;
  /** Number of instances that the sums cover. */
  std::uint16_t instances = 1;
  StatusMessage sums;

  friend bool operator==(const DomainStatusMessage&,
                         const DomainStatusMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, instances, sums);
  }
};

/** Demand for one model or, if `adapter` is not empty, for that adapter. */
struct DemandItem {
  std::string model;
  std::string adapter;
  /** For a model milliseconds of work per second, else requests per second. */
  float amount = 0;

  friend bool operator==(const DemandItem&, const DemandItem&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, adapter, amount);
  }
};

/** Sent to the leader, the instance that sends orders to the servers. */
struct DemandMessage {
  /** The first of a series replaces the sender's earlier demand. */
  bool first = true;
  std::vector<DemandItem> items;

  friend bool operator==(const DemandMessage&, const DemandMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(first, items);
  }
};

/** The part of the store's contents that changes belong to. */
enum class ViewId : std::uint8_t { kServers = 0, kInstances = 1 };

/** Requests the changes after a revision from a peer. */
struct ChangesRequestMessage {
  ViewId view = ViewId::kServers;
  store::Revision after = 0;

  friend bool operator==(const ChangesRequestMessage&,
                         const ChangesRequestMessage&) = default;

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

/** The messages as builds that know no eras understand them. */
StatusMessage WithoutEras(StatusMessage message);
DomainStatusMessage WithoutEras(DomainStatusMessage message);
ChangesMessage WithoutEras(ChangesMessage message);
ChangesRequestMessage WithoutEras(ChangesRequestMessage message);
/** The message of a build without eras, as of this era. */
ChangesMessage WithEra(store::Era era, ChangesMessage message);

/** Serializes a backend server for messages between instances. */
std::string PackServer(const serving::BackendServer& server);
Result<serving::BackendServer> UnpackServer(std::string_view bytes);

/** Packs rates into messages that fit into datagrams. */
std::vector<DemandMessage> ToDemandMessages(const serving::Demand& demand);
/** Applies one message of a series to the sender's demand. */
void ApplyDemandMessage(const DemandMessage& message, serving::Demand& demand);

/** A server holds a target (`present`) or is about to unload it. */
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

/** Placement changes at servers, in order; sent to every peer. */
struct PlacementMessage {
  std::vector<PlacementItem> items;

  friend bool operator==(const PlacementMessage&,
                         const PlacementMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(items);
  }
};

/** Number of items that fit into one message if names have 24 bytes. */
inline constexpr std::size_t kMaxPlacementItems = 10;

/**
 * A server announced in an answer that it is leaving. Sent to the own domain
 * and to the other domains' delegates, which forward it unless they already
 * know.
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

/**
 * A server's limit began, changed, still holds or ended. Sent and forwarded
 * like ServerLeavingMessage.
 */
struct ServerLimitMessage {
  std::string server;
  std::int64_t started_ms = 0;
  bool limited = false;
  double per_second = 0;  ///< if limited

  friend bool operator==(const ServerLimitMessage&,
                         const ServerLimitMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, started_ms, limited, per_second);
  }
};

/**
 * How long work usually takes at a server; see serving::ServerPaces. Sent and
 * forwarded like ServerLeavingMessage.
 */
struct ServerPaceMessage {
  std::string server;
  std::int64_t started_ms = 0;
  float usual = 1;

  friend bool operator==(const ServerPaceMessage&,
                         const ServerPaceMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, started_ms, usual);
  }
};

/** Asks a server's arbiter for a permit for one request. */
struct PermitRequestMessage {
  /** Marks a request that is sent anyway: the arbiter counts it. */
  static constexpr std::uint64_t kNoReply = 0;

  std::uint64_t number = kNoReply;
  std::string server;
  /** The server's limit, as far as the sender knows. */
  double per_second = 0;
  /** How long the request can wait for its permit. */
  std::uint32_t max_wait_ms = 0;

  friend bool operator==(const PermitRequestMessage&,
                         const PermitRequestMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, server, per_second, max_wait_ms);
  }
};

/** The arbiter's reply; see serving::Permit. */
struct PermitReplyMessage {
  std::uint64_t number = 0;
  bool granted = false;
  std::uint32_t wait_ms = 0;

  friend bool operator==(const PermitReplyMessage&,
                         const PermitReplyMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, granted, wait_ms);
  }
};

/** SuspectRequestMessage as earlier builds send it, without fingerprint. */
struct ServerCrashMessage {
  std::string server;
  std::int64_t started_ms = 0;
  std::vector<std::uint64_t> parts;

  friend bool operator==(const ServerCrashMessage&,
                         const ServerCrashMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, started_ms, parts);
  }
};

/**
 * A server process ended while this request was waiting for its answer. Sent
 * and forwarded like ServerLeavingMessage.
 */
struct SuspectRequestMessage {
  std::string server;
  std::int64_t started_ms = 0;
  std::string service;
  std::uint64_t fingerprint = 0;
  std::vector<std::uint64_t> parts;

  friend bool operator==(const SuspectRequestMessage&,
                         const SuspectRequestMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, started_ms, service, fingerprint, parts);
  }
};

/**
 * A request with these traits, which were suspects of crashes, was answered.
 * Sent and forwarded like ServerLeavingMessage.
 */
struct SuspectAnsweredMessage {
  std::string service;
  std::vector<std::uint64_t> traits;

  friend bool operator==(const SuspectAnsweredMessage&,
                         const SuspectAnsweredMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, traits);
  }
};

/**
 * Requests with these traits are in quarantine (`active`) or no longer are.
 * Sent and forwarded like ServerLeavingMessage.
 */
struct QuarantineMessage {
  std::vector<std::uint64_t> traits;
  bool active = false;

  friend bool operator==(const QuarantineMessage&,
                         const QuarantineMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(traits, active);
  }
};

/**
 * Streams that began at this software version. Sent and forwarded like
 * ServerLeavingMessage.
 */
struct StreamsBeganMessage {
  std::uint64_t version = 0;
  std::vector<std::uint64_t> streams;  ///< see serving::StreamHash

  friend bool operator==(const StreamsBeganMessage&,
                         const StreamsBeganMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, streams);
  }
};

/** How long a server stays cold; 0 if it is warm. */
struct ServerColdItem {
  std::string server;
  std::int64_t started_ms = 0;
  std::uint32_t remaining_ms = 0;

  friend bool operator==(const ServerColdItem&,
                         const ServerColdItem&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, started_ms, remaining_ms);
  }
};

/**
 * What an instance that follows the store has read of cold servers, for its own
 * domain. Serialized servers do not contain it, since earlier builds accept no
 * further fields there.
 */
struct ServersColdMessage {
  std::vector<ServerColdItem> items;

  friend bool operator==(const ServersColdMessage&,
                         const ServersColdMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(items);
  }
};

/** Number of items that fit into one message if names have 24 bytes. */
inline constexpr std::size_t kMaxServerColdItems = 24;

/**
 * The evacuations that a domain's delegate knows, for peers that the store does
 * not answer. Sent and forwarded like ServerLeavingMessage.
 */
struct EvacuationsMessage {
  std::vector<serving::EvacuationRecord> records;

  friend bool operator==(const EvacuationsMessage&,
                         const EvacuationsMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(records);
  }
};

/** A request is waiting for an adapter that no server holds. */
struct AdapterRequestMessage {
  std::string model;
  std::string adapter;

  friend bool operator==(const AdapterRequestMessage&,
                         const AdapterRequestMessage&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, adapter);
  }
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_MESSAGES_H_
