#ifndef FIGWELL_PEERS_H_
#define FIGWELL_PEERS_H_

/**
 * Gossip membership and messages between the daemons of a fleet, by section:
 *
 *   codec         Pack and Unpack: cereal over bounded input
 *   members       the members of the fleet and their states
 *   reachability  which parts of the fleet and whether the store is reachable
 *   relay         configuration updates that peers fetch from each other
 *   counters      messages sent, and messages dropped by reason
 *   node          PeerNode: the above over UDP and TCP on one thread
 *
 * The protocol logic is in src/ and does no I/O; PeerNode adds sockets and
 * timers.
 */

#include <array>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "figwell/config.h"
#include "figwell/core.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace figwell::peers {

// -------------------------------------------------------------------- codec

/** Maximum number of elements in a decoded container. */
inline constexpr std::size_t kMaxElements = 16'384;

/** A cereal archive that appends to a string. Numbers are little-endian. */
class OutputArchive
    : public cereal::OutputArchive<OutputArchive,
                                   cereal::AllowEmptyClassElision> {
 public:
  explicit OutputArchive(std::string& out)
      : cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>(
            this),
        out_(&out) {}
  void saveBinary(const void* data, std::size_t size);

 private:
  std::string* out_;
};

/**
 * A cereal archive that reads from a view and never past its end. A length
 * is checked against the remaining input, and for containers against
 * kMaxElements, before any memory is allocated for it. Throws
 * cereal::Exception, which Unpack turns into an Error.
 */
class InputArchive
    : public cereal::InputArchive<InputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit InputArchive(std::string_view input)
      : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(
            this),
        input_(input) {}
  void loadBinary(void* data, std::size_t size);
  /** Reads a length; throws if it exceeds `max` or the remaining input. */
  std::size_t LoadLength(std::size_t max);
  std::size_t remaining() const { return input_.size(); }

 private:
  std::string_view input_;
};

/** The bytes of a value whose type has a cereal `serialize`. */
template <typename T>
std::string Pack(const T& value) {
  std::string out;
  OutputArchive archive(out);
  archive(value);
  return out;
}

/** Decodes the output of Pack; kProtocol unless that is all of the input. */
template <typename T>
Result<T> Unpack(std::string_view input) {
  T value{};
  try {
    InputArchive archive(input);
    archive(value);
    if (archive.remaining() != 0) {
      return Fail(ErrorCode::kProtocol, "unexpected bytes after the message");
    }
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kProtocol, error.what());
  }
  return value;
}

// ------------------------------------------------------------------ members

/** Of two records of the same version, the one with the higher state wins. */
enum class MemberState : std::uint8_t {
  kAlive = 0,
  kDraining,  ///< leaving: finishes its work and accepts no new work
  kSuspect,   ///< did not answer probes; not yet declared dead
  kDead,      ///< declared dead after the suspicion timeout
  kLeft,      ///< announced that it has stopped
};

std::string_view Name(MemberState state);

/** Result of a member's own last call to the store. */
enum class StoreAccess : std::uint8_t { kUntried = 0, kReached, kFailed };

/** The record of one member that members exchange. */
struct MemberRecord {
  InstanceId instance{};
  DomainId domain{};
  std::string peers_address{};  ///< `IP:PORT`, UDP and TCP
  std::string admin_address{};  ///< `IP:PORT`
  /** Increases with each start of the process. */
  std::uint64_t incarnation = 0;
  /** Increases with each change that the process itself makes to its record. */
  std::uint32_t version = 0;
  MemberState state = MemberState::kAlive;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(instance, domain, peers_address, admin_address, incarnation,
            version, state);
  }
};

/** A member as this process sees it. */
struct Member {
  MemberRecord record{};
  /** As of `heard`; 0 if no heartbeat arrived directly from it. */
  config::VersionNumber number_in_force = 0;
  StoreAccess store_access = StoreAccess::kUntried;
  /** The last heartbeat from it to this incarnation of this process. */
  std::optional<TimePoint> heard{};

  friend bool operator==(const Member&, const Member&) = default;
};

// ------------------------------------------------------------- reachability

/**
 * Which parts of the fleet and whether the store is reachable. Bounds of
 * detection: docs/design/peers.md.
 */
enum class ReachabilityLevel : std::uint8_t {
  kConnected,                   ///< the store is reachable, as far as is known
  kStoreUnreachableHere,        ///< reached by peers, not by this process
  kStoreUnreachableEverywhere,  ///< no reachable member reaches the store
  kDomainIsolated,    ///< neither the store nor any other domain is reachable
  kInstanceIsolated,  ///< nor are the known members of the own domain
};

std::string_view Name(ReachabilityLevel reach);

struct ReachabilityStatus {
  ReachabilityLevel reach = ReachabilityLevel::kConnected;
  /** When `reach` changed to its current value. */
  TimePoint since{};
  /**
   * Members of the own domain that stopped answering without leaving. While
   * it is above 0, they may run on the other side of a partition, so `reach`
   * says nothing about them.
   */
  std::size_t unresponsive_domain_members = 0;

  friend bool operator==(const ReachabilityStatus&,
                         const ReachabilityStatus&) = default;
};

// -------------------------------------------------------------------- relay

/** One accepted patch, as the bytes in the store. */
struct Patch {
  config::VersionNumber number = 0;  ///< of the resulting configuration
  std::string bytes{};

  friend bool operator==(const Patch&, const Patch&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, bytes);
  }
};

/** A snapshot (number 0: none), then the patches that follow it, in order. */
struct ConfigurationUpdate {
  Patch snapshot{};
  std::vector<Patch> patches{};

  friend bool operator==(const ConfigurationUpdate&,
                         const ConfigurationUpdate&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(snapshot, patches);
  }
};

// ----------------------------------------------------------------- counters

/** Why a received message was dropped. */
enum class DropReason : std::uint8_t {
  kTruncated,
  kTooLarge,
  kUnknownVersion,
  kUnknownKind,
  kBadTag,
  kWrongRecipient,  ///< addressed to another process or incarnation
  kOldIncarnation,  ///< from an earlier incarnation of the sender
  kReplay,
  kMalformed,  ///< the tag is valid, the payload does not decode
  kUnknownSender,
  kCount,
};

std::string_view Name(DropReason reason);

inline constexpr std::size_t kDropReasons =
    static_cast<std::size_t>(DropReason::kCount);

struct Counters {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t fetches = 0;
  std::uint64_t fetches_failed = 0;
  std::uint64_t store_reads_requested = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  /** Times that this process had to raise its own incarnation. */
  std::uint64_t incarnation_conflicts = 0;
  /** Store answers with a lower head number than the one in force. */
  std::uint64_t store_regressions = 0;
  std::uint64_t denials_refused = 0;  ///< the set of denials was full
  std::array<std::uint64_t, kDropReasons> dropped{};

  friend bool operator==(const Counters&, const Counters&) = default;
};

// --------------------------------------------------------------------- node

/** Size limits of an application message and of a heartbeat's payload. */
inline constexpr std::size_t kMaxApplicationBytes = 1'024;
inline constexpr std::size_t kMaxHeartbeatPayloadBytes = 256;

/** Settings of a node, fixed at its start. */
struct PeerSettings {
  InstanceId instance{};
  DomainId domain{};
  std::string listen{};  ///< `IP:PORT`; port 0 binds any free port
  std::string admin_address{};
  std::vector<std::string> seeds{};  ///< `IP:PORT`
  /**
   * All are accepted. A message is signed with the one that its recipient used
   * last, or else with the first.
   */
  std::vector<std::string> secrets{};
  /** Increases with each start, such as wall-clock microseconds; above 0. */
  std::uint64_t incarnation = 0;
  std::uint64_t random_seed = 0;
};

/** A node's calls to the daemon; all run on the io_context's thread. */
struct PeerCallbacks {
  /** Start (true) or stop watching the store for new patches. */
  std::function<void(bool)> watch;
  /**
   * Read the head number and the missing patches; report them by OfferUpdate
   * and OnStoreAnswer.
   */
  std::function<void()> read_store;
  /** Put in force, then call SetInForce; otherwise call OnUpdateFailed. */
  std::function<void(const ConfigurationUpdate&)> apply;
  /** A snapshot of the configuration in force, for a peer too far behind. */
  std::function<Patch()> snapshot;
  /** A message that a peer sent by Send or BroadcastInDomain. */
  std::function<void(const InstanceId&, std::uint16_t, std::string_view)>
      message;
  /** The payload of a peer's heartbeat. */
  std::function<void(const InstanceId&, std::string_view)> payload;
  /** The set of denied digests changed. */
  std::function<void(const std::set<Digest>&)> denials;
  /** The members or the reachability may have changed. */
  std::function<void()> members;
};

/**
 * This process as a member of the fleet. Every call and callback runs on the
 * thread of the io_context, which has to outlive the node. Precondition of all
 * calls but IsCaughtUp and Stop: Start has succeeded.
 */
class PeerNode {
 public:
  PeerNode(boost::asio::io_context& context, PeerSettings settings,
           PeerCallbacks callbacks);
  ~PeerNode();
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  /**
   * Opens the sockets. Returns the bound address; kInvalid for bad settings,
   * kUnavailable if the address cannot be bound.
   */
  Result<std::string> Start();
  /** Closes the sockets; no callback runs afterwards. */
  void Stop();

  /** Announces that this process accepts no new work; the node continues. */
  void Drain();
  /** Announces that this process stops. Call once, before Stop. */
  void Leave();

  /**
   * Sets the payload of every heartbeat; kTooLarge over
   * kMaxHeartbeatPayloadBytes.
   */
  Result<void> SetPayload(std::string payload);
  /**
   * Sends one datagram without acknowledgement. kNotFound for an unknown
   * member, kTooLarge over kMaxApplicationBytes.
   */
  Result<void> Send(const InstanceId& to, std::uint16_t kind,
                    std::string_view bytes);
  /**
   * Sends to every other alive member of the own domain; returns their number.
   */
  std::size_t BroadcastInDomain(std::uint16_t kind, std::string_view bytes);

  /** Accepts another secret; members that sign with it are answered with it. */
  void AddSecret(std::string secret);
  /** Addresses (`IP:PORT`) of the platform's instance list: hints only. */
  void SetInstanceHints(std::vector<std::string> addresses);
  /**
   * Pings every live member, so that Members() is up to date a moment later;
   * at most once in 5 s.
   */
  void RefreshMembers();
  /** All members but this one; dead and left ones are kept for some time. */
  std::vector<Member> Members() const;
  ReachabilityStatus GetReachability() const;

  /** Patches or a snapshot that the daemon read from the store. */
  void OfferUpdate(const ConfigurationUpdate& update);
  /** Reports the result of a call to the store, and head's number if read. */
  void OnStoreAnswer(bool reached, std::optional<config::VersionNumber> head);
  /** `has_key` returns whether the configuration now in force has a key. */
  void SetInForce(config::VersionNumber number,
                  const std::function<bool(const Digest&)>& has_key);
  /** Applying the last update failed: a snapshot is needed. */
  void OnUpdateFailed();
  /**
   * Whether the configuration in force is at least as new as every number
   * that the store or the peers reported since the start. A process is not
   * ready before; once true it stays true.
   */
  bool IsCaughtUp() const;

  /** Denies a key on all members; kTooLarge when the set is full. */
  Result<void> Deny(const Digest& digest);

  const Counters& counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Functions that cereal finds by argument-dependent lookup.

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(
    OutputArchive& archive, const T& value) {
  archive.saveBinary(&value, sizeof(value));
}

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(
    InputArchive& archive, T& value) {
  archive.loadBinary(&value, sizeof(value));
}

/** A bool is 0 or 1 on the wire; any other byte is an error. */
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, bool& value);

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive,
                               const cereal::SizeTag<T>& tag) {
  const auto length = static_cast<std::uint32_t>(tag.size);
  archive.saveBinary(&length, sizeof(length));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, cereal::SizeTag<T>& tag) {
  tag.size = archive.LoadLength(kMaxElements);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(OutputArchive& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(InputArchive& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

/** A string's length is bounded only by the remaining input. */
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const std::string& text);
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, std::string& text);

}  // namespace figwell::peers

CEREAL_REGISTER_ARCHIVE(figwell::peers::OutputArchive)
CEREAL_REGISTER_ARCHIVE(figwell::peers::InputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(figwell::peers::InputArchive,
                            figwell::peers::OutputArchive)

#endif  // FIGWELL_PEERS_H_
