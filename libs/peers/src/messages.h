#ifndef FIGWELL_PEERS_MESSAGES_H_
#define FIGWELL_PEERS_MESSAGES_H_

/**
 * The messages that peers exchange. Each travels in an envelope
 * (envelope.h); a datagram stays below kMaxDatagramBytes.
 */

#include <chrono>
#include <string>
#include <vector>

#include "figwell/peers.h"

namespace figwell::peers {

inline constexpr std::size_t kMaxDatagramBytes = 1'400;
inline constexpr std::size_t kMaxFrameBytes = 8'000'000;

enum class MessageKind : std::uint8_t {
  kPing = 1,        ///< Heartbeat; an ack is expected
  kAck,             ///< Heartbeat that answers a ping
  kGossip,          ///< Heartbeat sent immediately after a change; no ack
  kPingRequest,     ///< asks a third member to ping the target
  kIndirectAck,     ///< the third member received the target's ack
  kSyncRequest,     ///< digests of the member table's buckets
  kSyncReply,       ///< records of the buckets that differ
  kDenials,         ///< new denials
  kApplication,     ///< an application message
  kFetchRequest,    ///< over TCP: asks for patches
  kFetchReply,      ///< over TCP
  kDenialsRequest,  ///< over TCP: asks for all denials
  kDenialsReply,    ///< over TCP
};

inline constexpr MessageKind kLastMessageKind = MessageKind::kDenialsReply;

/** The age to report while there has been no evidence yet. */
inline constexpr std::uint32_t kNoEvidenceAgeMs = 0xffffffff;

struct Heartbeat {
  config::VersionNumber in_force = 0;
  /** The highest number that any source reported to the sender. */
  config::VersionNumber highest_known = 0;
  std::uint64_t members_digest = 0;
  std::uint64_t denials_digest = 0;
  StoreAccess store_access = StoreAccess::kUntried;
  /**
   * Milliseconds since the most recent contact with the store, by any member,
   * that the sender knows of, or kNoEvidenceAgeMs.
   */
  std::uint32_t store_age_ms = kNoEvidenceAgeMs;
  /**
   * Milliseconds since the sender's domain last received a heartbeat from
   * another domain, or kNoEvidenceAgeMs.
   */
  std::uint32_t other_domain_age_ms = kNoEvidenceAgeMs;
  std::vector<MemberRecord> updates;
  std::string payload;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(in_force, highest_known, members_digest, denials_digest,
            store_access, store_age_ms, other_domain_age_ms, updates, payload);
  }
};

struct PingRequest {
  /** The full record, as the recipient may not know the target yet. */
  MemberRecord target;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target);
  }
};

struct IndirectAck {
  InstanceId target;
  std::uint64_t incarnation = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target, incarnation);
  }
};

struct SyncRequest {
  std::vector<std::uint32_t> buckets;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(buckets);
  }
};

struct SyncReply {
  std::vector<MemberRecord> records;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(records);
  }
};

/** Denies a key; obsolete once a version >= `as_of` without it is in force. */
struct Denial {
  Digest digest;
  config::VersionNumber as_of = 0;

  friend auto operator<=>(const Denial&, const Denial&) = default;
  friend bool operator==(const Denial&, const Denial&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(digest, as_of);
  }
};

struct DenialList {
  std::vector<Denial> denials;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(denials);
  }
};

struct ApplicationMessage {
  std::uint16_t kind = 0;
  std::string bytes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, bytes);
  }
};

struct FetchRequest {
  config::VersionNumber after = 0;
  bool want_snapshot = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(after, want_snapshot);
  }
};

}  // namespace figwell::peers

#endif  // FIGWELL_PEERS_MESSAGES_H_
