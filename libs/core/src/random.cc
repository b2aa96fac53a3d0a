#include <cmath>

#include "figwell/core.h"

namespace figwell {
namespace {

constexpr std::uint64_t kIncrement = 0x9e3779b97f4a7c15;
constexpr double kTwoToMinus53 = 0x1.0p-53;

}  // namespace

Random::result_type Random::operator()() {
  state_ += kIncrement;
  return MixBits(state_);
}

std::uint64_t Random::Below(std::uint64_t bound) {
  return bound == 0 ? 0 : (*this)() % bound;
}

double Random::Unit() {
  return static_cast<double>((*this)() >> 11U) * kTwoToMinus53;
}

double Random::Exponential(double mean) { return -mean * std::log1p(-Unit()); }

}  // namespace figwell
