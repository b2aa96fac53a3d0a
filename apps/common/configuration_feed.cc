#include "configuration_feed.h"

#include "figwell/telemetry.h"

namespace figwell::daemon {

using telemetry::Event;
using versions::Step;

ConfigurationFeed::ConfigurationFeed(platform::EtcdStore& store,
                                     versions::VersionLog& log,
                                     FeedCallbacks callbacks)
    : store_(store), log_(log), callbacks_(std::move(callbacks)) {}

void ConfigurationFeed::ReadStore() {
  if (read_in_flight_) {
    return;
  }
  read_in_flight_ = true;
  const versions::VersionLog::Read read = log_.NextRead();
  store_.Execute(read.transaction,
                 [this, read](const Result<store::TransactionResult>& result) {
                   OnRead(read, result);
                 });
}

void ConfigurationFeed::OnRead(const versions::VersionLog::Read& read,
                               const Result<store::TransactionResult>& result) {
  read_in_flight_ = false;
  if (!result) {
    callbacks_.on_store_answer(false, std::nullopt);
    return;
  }
  const Step step = log_.ApplyRead(read, *result);
  HandleStep(step);
  callbacks_.on_store_answer(true, log_.Number());
  if (step == Step::kGap && !read.with_snapshot) {
    ReadStore();
    return;
  }
  // A gap after reading the snapshot means that stored records are missing or
  // damaged; the next periodic read tries again.
  if (watching_ && !watch_id_ && step != Step::kGap) {
    StartWatch();
  }
}

void ConfigurationFeed::SetWatching(bool watching) {
  watching_ = watching;
  if (!watching && watch_id_) {
    store_.CancelWatch(*watch_id_);
    watch_id_.reset();
  }
  if (watching && !watch_id_) {
    // OnRead starts the watch at the revision after the one read, so that no
    // change in between is missed.
    ReadStore();
  }
}

void ConfigurationFeed::StartWatch() {
  watch_id_ = store_.Watch(
      log_.WatchKey(), log_.WatchEnd(), log_.StoreRevision() + 1,
      [this](const Result<store::WatchBatch>& batch) { OnWatch(batch); });
}

void ConfigurationFeed::OnWatch(const Result<store::WatchBatch>& batch) {
  if (!batch) {
    // The next read, periodic or requested, starts the watch again.
    watch_id_.reset();
    const bool reached = batch.error().code == ErrorCode::kConflict;
    callbacks_.on_store_answer(reached, std::nullopt);
    if (reached) {
      ReadStore();
    }
    return;
  }
  const Step step = log_.ApplyWatch(*batch);
  HandleStep(step);
  if (step == Step::kGap) {
    ReadStore();
  }
}

void ConfigurationFeed::HandleStep(Step step) {
  switch (step) {
    case Step::kAdvanced:
      callbacks_.on_advanced();
      return;
    case Step::kBehind:
      telemetry::Log(Event::kStoreBehind,
                     "the store's newest configuration version is older than "
                     "the one in force; "
                     "keeping the version in force",
                     {{"number", std::to_string(log_.Number())}});
      return;
    case Step::kForked:
      telemetry::Log(
          Event::kStoreForked,
          "the store's version history differs from the one in force; "
          "keeping the version in force",
          {{"number", std::to_string(log_.Number())}});
      return;
    case Step::kInvalid:
      telemetry::Log(
          Event::kConfigRejected,
          "the store's configuration records cannot be decoded or applied; "
          "keeping the version in force",
          {{"number", std::to_string(log_.Number())}});
      return;
    case Step::kUnchanged:
    case Step::kGap:
      return;
  }
}

}  // namespace figwell::daemon
