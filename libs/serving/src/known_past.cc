#include "figwell/serving/known_past.h"

#include <algorithm>

namespace figwell::serving {

std::optional<TimePoint> KnownPast::LatestUnknownOrder(
    TimePoint now, std::optional<Duration> age) const {
  TimePoint latest = std::min(now, registry_known_since_.value_or(now));
  if (age) {
    latest = std::min(latest, now - *age + kMaxClockError);
  }
  return no_orders_before_ && latest <= *no_orders_before_
             ? std::nullopt
             : std::optional(latest);
}

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
