#ifndef FIGWELL_APPS_COMMON_CONFIGURATION_FEED_H_
#define FIGWELL_APPS_COMMON_CONFIGURATION_FEED_H_

#include <functional>
#include <optional>

#include "figwell/platform.h"
#include "figwell/versions.h"

namespace figwell::daemon {

/** Callbacks from a ConfigurationFeed to its daemon. */
struct FeedCallbacks {
  /** A newer version is in force. */
  std::function<void()> on_advanced;
  /** A call to the store ended; `head` is its newest version, if read. */
  std::function<void(bool reached, std::optional<config::VersionNumber> head)>
      on_store_answer;
};

/**
 * Reads configuration versions from the store into a VersionLog. Belongs to the
 * control thread.
 */
class ConfigurationFeed {
 public:
  ConfigurationFeed(platform::EtcdStore& store, versions::VersionLog& log,
                    FeedCallbacks callbacks);

  /** Reads missing versions; does nothing while a read is in flight. */
  void ReadStore();

  /** Starts or stops watching the store. */
  void SetWatching(bool watching);
  bool watching() const { return watching_; }

 private:
  void OnRead(const versions::VersionLog::Read& read,
              const Result<store::TransactionResult>& result);
  void OnWatch(const Result<store::WatchBatch>& batch);
  void StartWatch();
  void HandleStep(versions::Step step);

  platform::EtcdStore& store_;
  versions::VersionLog& log_;
  FeedCallbacks callbacks_;
  bool read_in_flight_ = false;
  bool watching_ = false;
  std::optional<std::uint64_t> watch_id_;
};

}  // namespace figwell::daemon

#endif  // FIGWELL_APPS_COMMON_CONFIGURATION_FEED_H_
