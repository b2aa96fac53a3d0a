// Feeds bytes to the decoders of the messages between edge processes. Envelopes
// are authenticated, so malformed messages can come only from a faulty peer.

#include <cstdint>
#include <string_view>

#include "../apps/edge/messages.h"

namespace {

namespace edge = figwell::edge;
namespace peers = figwell::peers;

template <typename Message>
void TryUnpack(std::string_view input) {
  static_cast<void>(peers::Unpack<Message>(input));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view input(reinterpret_cast<const char*>(data), size);
  TryUnpack<edge::StatusMessage>(input);
  TryUnpack<edge::DomainStatusMessage>(input);
  TryUnpack<edge::DemandMessage>(input);
  TryUnpack<edge::PlacementMessage>(input);
  TryUnpack<edge::ServerLeavingMessage>(input);
  TryUnpack<edge::ServerLimitMessage>(input);
  TryUnpack<edge::PermitRequestMessage>(input);
  TryUnpack<edge::ServerCrashMessage>(input);
  TryUnpack<edge::SuspectRequestMessage>(input);
  TryUnpack<edge::SuspectAnsweredMessage>(input);
  TryUnpack<edge::StreamsBeganMessage>(input);
  TryUnpack<edge::QuarantineMessage>(input);
  TryUnpack<edge::PermitReplyMessage>(input);
  TryUnpack<edge::AdapterRequestMessage>(input);
  TryUnpack<edge::ChangesRequestMessage>(input);
  if (const auto changes = peers::Unpack<edge::ChangesMessage>(input)) {
    figwell::serving::ChangeLog log;
    log.ApplyPart(changes->changes);
  }
  static_cast<void>(edge::UnpackServer(input));
  return 0;
}
