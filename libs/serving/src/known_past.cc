#include "figwell/serving/known_past.h"

namespace figwell::serving {

void KnownPast::OnEra(TimePoint now, store::Era era) {
  if (era_ != era) {
    era_ = era;
    era_known_since_ = now;
  }
}

std::optional<TimePoint> KnownPast::CompleteFrom() const {
  if (!era_) {
    return std::nullopt;
  }
  return IsEraRecorded() ? era_known_since_ : era_known_since_ + kRewriteTime;
}

bool KnownPast::IsStoreComplete(TimePoint now) const {
  const auto from = CompleteFrom();
  return from && now >= *from;
}

}  // namespace figwell::serving
