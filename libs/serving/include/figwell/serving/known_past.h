#ifndef FIGWELL_SERVING_KNOWN_PAST_H_
#define FIGWELL_SERVING_KNOWN_PAST_H_

/** For which time absence shows that something never existed; see serving.h. */

#include <chrono>
#include <optional>

#include "figwell/core.h"
#include "figwell/serving/directory.h"
#include "figwell/store.h"

namespace figwell::serving {

/**
 * What this process knows of the time before now. The registry and the store
 * show what exists when they are read, not what existed before: after a restore
 * the store lacks what was written since its copy was made, until the writers
 * that are alive have written it again. An instance that knows that this has
 * happened records the era; later processes rely on it.
 */
class KnownPast {
 public:
  /**
   * What a restore lost is written again within this time from the store's
   * return. The users state "about two seconds" for servers.
   */
  static constexpr Duration kRewriteTime =
      kLapsedEntryGrace + std::chrono::milliseconds(500);

  /** The store is known to be in this era. */
  void OnEra(TimePoint now, store::Era era);
  /** The era that the store has on record as complete; nullopt: none. */
  void OnRecordedEra(std::optional<store::Era> era) { recorded_era_ = era; }
  /** Whether an instance has recorded that the store's era is complete. */
  bool IsEraRecorded() const { return era_ && recorded_era_ == era_; }
  /** When the store has everything that can be written again. */
  std::optional<TimePoint> CompleteFrom() const;
  /** Whether what the store lacks now was not there before a restore either. */
  bool IsStoreComplete(TimePoint now) const;

 private:
  std::optional<store::Era> era_;
  TimePoint era_known_since_;
  std::optional<store::Era> recorded_era_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_KNOWN_PAST_H_
