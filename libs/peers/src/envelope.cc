#include "envelope.h"

#include <algorithm>
#include <cstring>

namespace figwell::peers {
namespace {

constexpr std::size_t kFixedHeaderBytes = 3 + 3 * sizeof(std::uint64_t);

void AppendNumber(std::string& out, std::uint64_t number) {
  out.append(reinterpret_cast<const char*>(&number), sizeof(number));
}

std::uint64_t ReadNumber(std::string_view& in) {
  std::uint64_t number = 0;
  std::memcpy(&number, in.data(), sizeof(number));
  in.remove_prefix(sizeof(number));
  return number;
}

// The index of the secret that the tag was made with; the number of secrets if
// it was made with none of them.
std::size_t SecretOfTag(std::string_view signed_bytes,
                        std::string_view tag_bytes,
                        const std::vector<std::string>& secrets) {
  Digest tag;
  std::memcpy(tag.bytes.data(), tag_bytes.data(), kDigestBytes);
  const auto secret =
      std::find_if(secrets.begin(), secrets.end(), [&](const auto& candidate) {
        return ConstantTimeEqual(HmacSha256(candidate, signed_bytes), tag);
      });
  return static_cast<std::size_t>(secret - secrets.begin());
}

}  // namespace

Recipient RecipientOf(const InstanceId& instance, std::uint64_t incarnation) {
  const std::uint64_t hash = StableHash(instance.value(), incarnation);
  return hash == kAnyRecipient ? 1 : hash;
}

std::string Seal(const Envelope& envelope, std::string_view secret) {
  const std::string& sender = envelope.sender.value();
  std::string out;
  out.reserve(kFixedHeaderBytes + sender.size() + envelope.payload.size() +
              kDigestBytes);
  out += static_cast<char>(kWireVersion);
  out += static_cast<char>(envelope.kind);
  out += static_cast<char>(sender.size());
  out += sender;
  AppendNumber(out, envelope.recipient);
  AppendNumber(out, envelope.incarnation);
  AppendNumber(out, envelope.sequence);
  out += envelope.payload;
  const Digest tag = HmacSha256(secret, out);
  out.append(reinterpret_cast<const char*>(tag.bytes.data()), kDigestBytes);
  return out;
}

tl::expected<Envelope, DropReason> Open(
    std::string_view bytes, const std::vector<std::string>& secrets) {
  if (bytes.size() < kFixedHeaderBytes + 1 + kDigestBytes) {
    return tl::unexpected(DropReason::kTruncated);
  }
  if (bytes.size() > kMaxFrameBytes) {
    return tl::unexpected(DropReason::kTooLarge);
  }
  if (static_cast<std::uint8_t>(bytes[0]) != kWireVersion) {
    return tl::unexpected(DropReason::kUnknownVersion);
  }
  std::string_view rest = bytes.substr(0, bytes.size() - kDigestBytes);
  const std::size_t secret =
      SecretOfTag(rest, bytes.substr(rest.size()), secrets);
  if (secret == secrets.size()) {
    return tl::unexpected(DropReason::kBadTag);
  }
  const auto kind = static_cast<std::uint8_t>(rest[1]);
  const auto sender_size = static_cast<std::uint8_t>(rest[2]);
  rest.remove_prefix(3);
  if (sender_size == 0 || sender_size > kMaxSenderBytes ||
      rest.size() < sender_size + 3 * sizeof(std::uint64_t)) {
    return tl::unexpected(DropReason::kMalformed);
  }
  if (kind == 0 || kind > static_cast<std::uint8_t>(kLastMessageKind)) {
    return tl::unexpected(DropReason::kUnknownKind);
  }
  Envelope envelope;
  envelope.kind = static_cast<MessageKind>(kind);
  envelope.sender = InstanceId(std::string(rest.substr(0, sender_size)));
  rest.remove_prefix(sender_size);
  envelope.recipient = ReadNumber(rest);
  envelope.incarnation = ReadNumber(rest);
  envelope.sequence = ReadNumber(rest);
  envelope.payload = rest;
  envelope.secret = secret;
  return envelope;
}

std::optional<DropReason> ReplayFilter::Check(const Envelope& envelope) {
  const auto [it, inserted] = senders_.try_emplace(envelope.sender);
  Sender& sender = it->second;
  if (envelope.incarnation < sender.incarnation) {
    return DropReason::kOldIncarnation;
  }
  if (envelope.incarnation > sender.incarnation) {
    sender = Sender{};
    sender.incarnation = envelope.incarnation;
  }
  sender.last_use = ++use_count_;
  const auto reason = Check(sender, envelope.sequence);
  if (inserted && senders_.size() > kMaxSenders) {
    EvictLeastRecentlyUsed();
  }
  return reason;
}

std::optional<DropReason> ReplayFilter::Check(Sender& sender,
                                              std::uint64_t sequence) {
  if (sequence > sender.highest_sequence) {
    const std::uint64_t gap = sequence - sender.highest_sequence;
    if (gap >= kReplayWindow) {
      sender.seen.reset();
    } else {
      for (std::uint64_t s = sender.highest_sequence + 1; s <= sequence; ++s) {
        sender.seen.reset(s % kReplayWindow);
      }
    }
    sender.highest_sequence = sequence;
  } else if (sender.highest_sequence - sequence >= kReplayWindow ||
             sender.seen.test(sequence % kReplayWindow)) {
    return DropReason::kReplay;
  }
  sender.seen.set(sequence % kReplayWindow);
  return std::nullopt;
}

void ReplayFilter::EvictLeastRecentlyUsed() {
  senders_.erase(std::min_element(
      senders_.begin(), senders_.end(), [](const auto& a, const auto& b) {
        return a.second.last_use < b.second.last_use;
      }));
}

}  // namespace figwell::peers
