#include "figwell/core.h"

#include <set>

#include "figwell/testing.h"

namespace figwell {
namespace {

TEST_CASE("SHA-256 and HMAC match the published test vectors") {
  CHECK(ToHex(Sha256("abc")) ==
        "ba7816bf8f01cfea414140de5dae2223"
        "b00361a396177a9cb410ff61f20015ad");
  CHECK(ToHex(HmacSha256("Jefe", "what do ya want for nothing?")) ==
        "5bdcc146bf60754e6a042426089575c7"
        "5a003f089d2739839dec58b964ec3843");
}

TEST_CASE(
    "a digest round-trips through hexadecimal and malformed input fails") {
  const Digest digest = Sha256("key");
  CHECK(DigestFromHex(ToHex(digest)) == digest);
  CHECK_FALSE(DigestFromHex("ab"));
  CHECK_FALSE(DigestFromHex(std::string(64, 'x')));
  CHECK(ConstantTimeEqual(digest, Sha256("key")));
  CHECK_FALSE(ConstantTimeEqual(digest, Sha256("kez")));
}

TEST_CASE("removing a rendezvous candidate moves only its own keys") {
  const std::vector<std::string> candidates = {"a", "b", "c", "d"};
  const auto owner = [&](const std::string& key, const std::string& removed) {
    std::string best;
    std::uint64_t best_weight = 0;
    for (const std::string& candidate : candidates) {
      const std::uint64_t weight = RendezvousWeight(key, candidate);
      if (candidate != removed && weight >= best_weight) {
        best = candidate;
        best_weight = weight;
      }
    }
    return best;
  };
  std::set<std::string> owners;
  for (int i = 0; i < 200; ++i) {
    const std::string key = "model-" + std::to_string(i);
    owners.insert(owner(key, ""));
    if (owner(key, "") != "b") {
      CHECK(owner(key, "b") == owner(key, ""));
    }
  }
  CHECK(owners.size() == candidates.size());
}

TEST_CASE("UTF-8 validation follows the standard") {
  CHECK(IsValidUtf8("plain"));
  CHECK(IsValidUtf8("\xd8\xa7\xd8\xb1\xd8\xaf\xd9\x88"));
  CHECK(IsValidUtf8("\xf0\x9f\x9a\x90"));
  CHECK_FALSE(IsValidUtf8("\xc0\x80"));          // overlong
  CHECK_FALSE(IsValidUtf8("\xed\xa0\x80"));      // surrogate
  CHECK_FALSE(IsValidUtf8("\xf4\x90\x80\x80"));  // above U+10FFFF
  CHECK_FALSE(IsValidUtf8("\xe2\x82"));          // truncated
}

TEST_CASE("an integer is parsed only if it is the complete text") {
  CHECK(ParseInteger("-42") == -42);
  CHECK_FALSE(ParseInteger("42x"));
  CHECK_FALSE(ParseInteger(""));
  CHECK_FALSE(ParseInteger("99999999999999999999"));
}

TEST_CASE("Random::Below stays below its bound") {
  testing::CheckSequences(200, [](std::uint64_t seed, std::uint32_t bound) {
    Random random(seed);
    RC_ASSERT(random.Below(bound) < std::max<std::uint64_t>(bound, 1));
    const double unit = random.Unit();
    RC_ASSERT(unit >= 0.0 && unit < 1.0);
  });
}

}  // namespace
}  // namespace figwell
