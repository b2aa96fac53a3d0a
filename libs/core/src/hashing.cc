#include "figwell/core.h"

namespace figwell {
namespace {

constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;
constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15;

}  // namespace

std::uint64_t MixBits(std::uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111eb;
  return value ^ (value >> 31U);
}

std::uint64_t StableHash(std::string_view data, std::uint64_t seed) {
  std::uint64_t hash = kFnvOffsetBasis ^ MixBits(seed);
  for (const char c : data) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return MixBits(hash);
}

std::uint64_t RendezvousWeight(std::string_view key,
                               std::string_view candidate) {
  return StableHash(candidate, StableHash(key) + kGoldenRatio);
}

}  // namespace figwell
