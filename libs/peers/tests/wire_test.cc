// Received bytes: the envelope, the replay filter and the codec's bounds.

#include <cereal/types/map.hpp>
#include <cstring>

#include "envelope.h"
#include "figwell/testing.h"

namespace figwell::peers {
namespace {

const std::vector<std::string> kSecrets = {"new secret", "old secret"};

Envelope Sample() {
  return {.kind = MessageKind::kApplication,
          .sender = InstanceId("lahore-1"),
          .recipient = RecipientOf(InstanceId("multan-1"), 7),
          .incarnation = 3,
          .sequence = 9,
          .payload = "payload"};
}

TEST_CASE("an envelope opens with either secret and with no other") {
  for (const std::string& secret : kSecrets) {
    const std::string bytes = Seal(Sample(), secret);
    const auto opened = Open(bytes, kSecrets);
    REQUIRE(opened);
    CHECK(opened->sender == Sample().sender);
    CHECK(opened->recipient == Sample().recipient);
    CHECK(opened->incarnation == 3);
    CHECK(opened->sequence == 9);
    CHECK(opened->payload == "payload");
    CHECK(Open(bytes, {"another"}).error() == DropReason::kBadTag);
  }
}

TEST_CASE("every truncated and every altered envelope is dropped") {
  const std::string good = Seal(Sample(), kSecrets[0]);
  for (std::size_t size = 0; size < good.size(); ++size) {
    CHECK_FALSE(Open(good.substr(0, size), kSecrets));
  }
  for (std::size_t i = 0; i < good.size() * 8; ++i) {
    std::string bad = good;
    bad[i / 8] = static_cast<char>(bad[i / 8] ^ (1 << i % 8));
    const DropReason expected =
        i < 8 ? DropReason::kUnknownVersion : DropReason::kBadTag;
    CHECK(Open(bad, kSecrets).error() == expected);
  }
  CHECK(Open(good.substr(0, 20), kSecrets).error() == DropReason::kTruncated);
}

TEST_CASE("a malformed header is rejected even with a valid tag") {
  const auto seal = [](const std::string& head) {
    const Digest tag = HmacSha256(kSecrets[0], head);
    return head + std::string(tag.bytes.begin(), tag.bytes.end());
  };
  const std::string numbers(3 * sizeof(std::uint64_t), '\1');
  const auto header = [&](char kind, char size) {
    return std::string{'\1', kind, size, 'a'} + numbers;
  };
  CHECK(Open(seal(header('\1', '\1')), kSecrets));
  CHECK(Open(seal(header('\0', '\1')), kSecrets).error() ==
        DropReason::kUnknownKind);
  CHECK(Open(seal(header('\x7f', '\1')), kSecrets).error() ==
        DropReason::kUnknownKind);
  CHECK(Open(seal(header('\1', '\0')), kSecrets).error() ==
        DropReason::kMalformed);
  CHECK(Open(seal(header('\1', '\x40')), kSecrets).error() ==
        DropReason::kMalformed);
}

TEST_CASE("the replay filter accepts each message once") {
  struct Row {
    std::uint64_t incarnation;
    std::uint64_t sequence;
    std::optional<DropReason> expected;
  };
  const std::uint64_t window = ReplayFilter::kReplayWindow;
  const std::vector<Row> rows = {
      {5, 1, {}},
      {5, 1, DropReason::kReplay},
      {5, 3, {}},
      {5, 2, {}},  // out of order, not a replay
      {5, 2, DropReason::kReplay},
      {5, window + 3, {}},
      {5, 3, DropReason::kReplay},  // older than the replay window
      {5, 4, {}},
      {5, 10 * window, {}},
      {5, 9 * window, DropReason::kReplay},
      {5, 8 * window + 7, DropReason::kReplay},  // older, bit is clear
      {5, 9 * window + 1, {}},
      {6, 1, {}},  // a restart starts a new window
      {5, 10 * window + 1, DropReason::kOldIncarnation},
      {6, 1, DropReason::kReplay},
  };
  ReplayFilter filter;
  for (const Row& row : rows) {
    Envelope envelope = Sample();
    envelope.incarnation = row.incarnation;
    envelope.sequence = row.sequence;
    INFO(row.incarnation << "/" << row.sequence);
    CHECK((filter.Check(envelope) == row.expected));
  }
}

TEST_CASE(
    "the replay filter is bounded and evicts the least recently used sender") {
  ReplayFilter filter;
  Envelope envelope = Sample();
  for (std::size_t i = 0; i <= ReplayFilter::kMaxSenders; ++i) {
    envelope.sender = InstanceId(std::to_string(i));
    CHECK_FALSE(filter.Check(envelope));
  }
  CHECK(filter.size() == ReplayFilter::kMaxSenders);
  CHECK(filter.Check(envelope) == DropReason::kReplay);
  envelope.sender = InstanceId("0");
  CHECK_FALSE(filter.Check(envelope));
}

TEST_CASE("a message round-trips, and bad input is an error") {
  Heartbeat heartbeat;
  heartbeat.in_force = 12;
  heartbeat.payload = "levels";
  heartbeat.updates.push_back({.instance = InstanceId("a"),
                               .domain = DomainId("lahore"),
                               .peers_address = "10.0.0.1:7070",
                               .incarnation = 4,
                               .state = MemberState::kDraining});
  const std::string packed = Pack(heartbeat);
  const auto unpacked = Unpack<Heartbeat>(packed);
  REQUIRE(unpacked);
  CHECK(unpacked->updates == heartbeat.updates);
  CHECK(unpacked->payload == "levels");
  for (std::size_t size = 0; size < packed.size(); ++size) {
    CHECK(Unpack<Heartbeat>(packed.substr(0, size)).error().code ==
          ErrorCode::kProtocol);
  }
  CHECK_FALSE(Unpack<Heartbeat>(packed + "x"));
}

TEST_CASE("every length is checked against its bound") {
  const std::string huge("\xff\xff\xff\x7f", 4);
  CHECK_FALSE(Unpack<std::string>(huge + "abc"));
  CHECK_FALSE(Unpack<std::vector<std::uint64_t>>(huge + "abc"));
  CHECK_FALSE(Unpack<DenialList>(huge));
  // Enough input, too many elements.
  const std::uint32_t many = kMaxElements + 1;
  std::string long_list(sizeof(many), '\0');
  std::memcpy(long_list.data(), &many, sizeof(many));
  long_list.append(many, '\1');
  CHECK_FALSE(Unpack<std::vector<std::uint8_t>>(long_list));
  CHECK(Unpack<std::string>(long_list));
  using Levels = std::map<std::string, std::int64_t>;
  const Levels levels = {{"drivers", 5}, {"clerks", -3}};
  CHECK(Unpack<Levels>(Pack(levels)) == levels);
}

TEST_CASE("a byte other than 0 and 1 does not decode as a bool") {
  const std::string good = Pack(true);
  CHECK(Unpack<bool>(good) == true);
  for (int byte = 2; byte < 256; ++byte) {
    CHECK_FALSE(Unpack<bool>(std::string(1, static_cast<char>(byte))));
  }
}

}  // namespace
}  // namespace figwell::peers
