// Feeds bytes to an agent as a datagram, as a frame, and as the payload of a
// message with a valid tag.

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "../libs/peers/src/agent.h"

namespace {

using figwell::DomainId;
using figwell::InstanceId;
using figwell::TimePoint;
namespace peers = figwell::peers;

const std::string kSecret = "secret";
const TimePoint kNow = TimePoint(std::chrono::hours(1));
constexpr std::uint64_t kIncarnation = 1;

peers::PeerAgent MakeAgent() {
  peers::AgentSettings settings;
  settings.self.instance = InstanceId("a");
  settings.self.domain = DomainId("lahore");
  settings.self.peers_address = "10.0.0.1:7070";
  settings.self.incarnation = kIncarnation;
  settings.secrets = {kSecret};
  return {kNow, std::move(settings)};
}

/** Seals `payload` as a peer that has the secret does. */
std::string SealFrom(std::uint8_t kind, std::string_view payload) {
  return peers::Seal(
      {.kind = static_cast<peers::MessageKind>(kind),
       .sender = InstanceId("b"),
       .recipient = peers::RecipientOf(InstanceId("a"), kIncarnation),
       .incarnation = kIncarnation,
       .sequence = 1,
       .payload = payload},
      kSecret);
}

void Require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view input(reinterpret_cast<const char*>(data), size);
  peers::PeerAgent agent = MakeAgent();
  peers::AgentActions actions;

  // Input without a valid tag must have no effect.
  agent.OnDatagram(kNow, "10.0.0.9:1", input, actions);
  Require(agent.OnFrame(input).empty());
  Require(actions.datagrams.empty() && actions.fetches.empty());
  Require(agent.membership().table().live_count() == 1);

  if (input.empty()) {
    return 0;
  }
  // Malformed messages of a peer with the secret must do no harm. The first
  // byte selects the kind, the rest is the payload.
  const auto kind = static_cast<std::uint8_t>(
      1 + data[0] % static_cast<std::uint8_t>(peers::kLastMessageKind));
  const std::string sealed = SealFrom(kind, input.substr(1));
  agent.OnDatagram(kNow, "10.0.0.9:1", sealed, actions);
  agent.OnDatagram(kNow, "10.0.0.9:1", sealed, actions);
  static_cast<void>(agent.OnFrame(sealed));
  agent.Tick(kNow + std::chrono::seconds(1), actions);
  Require(agent.membership().table().entries().size() <= peers::kMaxMembers);
  Require(agent.denials().size() <= peers::kMaxDenials);
  Require(agent.relay().in_force() == 0);
  for (const peers::Datagram& datagram : actions.datagrams) {
    Require(datagram.bytes.size() <= 2 * peers::kMaxDatagramBytes);
  }
  return 0;
}
