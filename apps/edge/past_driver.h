#ifndef FIGWELL_APPS_EDGE_PAST_DRIVER_H_
#define FIGWELL_APPS_EDGE_PAST_DRIVER_H_

#include <string>

#include "state.h"
#include "version_driver.h"

namespace figwell::edge {

/**
 * Learns when the store is complete after a restore, and records the era in the
 * store once it is: an instance that starts later then knows it at once.
 */
class PastDriver {
 public:
  PastDriver(State& state, adapter::StoreClient& store,
             const VersionDriver& versions);

  /** All records of the store have been read once. */
  void OnRecordsListed();
  /** The record at Key() was written or removed. */
  void OnStoreEntry(const serving::LoggedEntry& entry);
  /**
   * Records the era if it is complete.
   * @param follows_store whether this instance follows the store and the store
   *   answers
   */
  void Tick(TimePoint now, bool follows_store);

  std::string Key() const;

 private:
  bool ShouldRecord(TimePoint now) const;
  void Record();

  State& state_;
  adapter::StoreClient& store_;
  const VersionDriver& versions_;
  store::Revision revision_ = 0;  ///< of the record; 0 if there is none
  bool recording_ = false;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_PAST_DRIVER_H_
