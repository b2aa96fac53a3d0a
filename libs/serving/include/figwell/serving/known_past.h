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
 * show what exists when they are read, not what existed before:
 *
 * - A server that appears may have had an earlier start under its id, unless
 *   this process has seen every change of the registry since.
 * - After a restore the store lacks what was written since its copy was made,
 *   until the writers that are alive have written it again. An instance that
 *   knows that this has happened records the era; later processes rely on it.
 */
class KnownPast {
 public:
  /**
   * What a restore lost is written again within this time from the store's
   * return. The users state "about two seconds" for servers.
   */
  static constexpr Duration kRewriteTime =
      kLapsedEntryGrace + std::chrono::milliseconds(500);
  /**
   * Bound on the difference between the time of day of this machine and that of
   * a server; either may jump by seconds.
   */
  static constexpr Duration kMaxClockError = std::chrono::seconds(5);

  /** Changes of the registry before `now` may never have been seen here. */
  void OnRegistryGap(TimePoint now) { registry_known_since_ = now; }
  /** No instance had sent orders before `now`. */
  void OnNoOrdersBefore(TimePoint now) { no_orders_before_ = now; }
  /**
   * The latest time at which another process may have sent an order to an
   * earlier start, unknown here, of a server that has appeared; nullopt: never.
   * @param age how long ago the server started, by the time of day; nullopt if
   *   it does not state that
   */
  std::optional<TimePoint> LatestUnknownOrder(
      TimePoint now, std::optional<Duration> age) const;

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
  std::optional<TimePoint> registry_known_since_;
  std::optional<TimePoint> no_orders_before_;
  std::optional<store::Era> era_;
  TimePoint era_known_since_;
  std::optional<store::Era> recorded_era_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_KNOWN_PAST_H_
