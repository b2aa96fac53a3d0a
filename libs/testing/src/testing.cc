#include "figwell/testing.h"

#include <algorithm>
#include <cstdlib>

namespace figwell::testing {
namespace {

constexpr std::uint64_t kDefaultSeed = 1;
constexpr std::int64_t kDefaultPercent = 100;
constexpr std::int64_t kMaxPercent = 100'000;

std::int64_t NumberFromEnvironment(const char* name, std::int64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoll(text, nullptr, 10);
}

}  // namespace

std::uint64_t TestSeed() {
  return static_cast<std::uint64_t>(
      NumberFromEnvironment("FIGWELL_TEST_SEED", kDefaultSeed));
}

int ScaledSequences(int sequences) {
  const std::int64_t percent = std::clamp<std::int64_t>(
      NumberFromEnvironment("FIGWELL_TEST_PERCENT", kDefaultPercent), 1,
      kMaxPercent);
  return static_cast<int>(std::max<std::int64_t>(1, sequences * percent / 100));
}

}  // namespace figwell::testing
