#ifndef FIGWELL_PEERS_ENVELOPE_H_
#define FIGWELL_PEERS_ENVELOPE_H_

/**
 * The envelope of every message:
 *
 *   version 1 | kind 1 | sender length 1 | sender | recipient 8 |
 *   incarnation 8 | sequence 8 | payload | HMAC-SHA-256 32
 *
 * The tag covers everything before it. Only the total length and the version
 * are checked before the tag.
 */

#include <bitset>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "messages.h"

namespace figwell::peers {

inline constexpr std::uint8_t kWireVersion = 1;
inline constexpr std::size_t kMaxSenderBytes = 64;

/** Identifies one incarnation of one process; 0 is any process. */
using Recipient = std::uint64_t;

inline constexpr Recipient kAnyRecipient = 0;

Recipient RecipientOf(const InstanceId& instance, std::uint64_t incarnation);

/** The header and the payload of a message. */
struct Envelope {
  MessageKind kind = MessageKind::kPing;
  InstanceId sender{};
  Recipient recipient = kAnyRecipient;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::string_view payload{};  ///< points into the bytes passed to Open
  /** Index of the secret with which the message was signed; set by Open. */
  std::size_t secret = 0;
};

/** Encodes and signs. Precondition: sender of 1 to kMaxSenderBytes bytes. */
std::string Seal(const Envelope& envelope, std::string_view secret);

/** Checks length, version and tag, in this order, then decodes the header. */
tl::expected<Envelope, DropReason> Open(
    std::string_view bytes, const std::vector<std::string>& secrets);

/**
 * Accepts every (sender, incarnation, sequence) once. Sequences older than the
 * replay window count as replays; incarnations older than the highest one seen
 * are rejected. Beyond kMaxSenders the least recently used sender is evicted.
 */
class ReplayFilter {
 public:
  static constexpr std::size_t kReplayWindow = 1'024;
  static constexpr std::size_t kMaxSenders = 4'096;

  /** Null if the message is accepted. */
  std::optional<DropReason> Check(const Envelope& envelope);

  std::size_t size() const { return senders_.size(); }

 private:
  struct Sender {
    std::uint64_t incarnation = 0;
    std::uint64_t highest_sequence = 0;
    std::uint64_t last_use = 0;
    std::bitset<kReplayWindow> seen;  // by sequence % kReplayWindow
  };
  static std::optional<DropReason> Check(Sender& sender,
                                         std::uint64_t sequence);
  void EvictLeastRecentlyUsed();

  std::map<InstanceId, Sender> senders_;
  std::uint64_t use_count_ = 0;
};

}  // namespace figwell::peers

#endif  // FIGWELL_PEERS_ENVELOPE_H_
