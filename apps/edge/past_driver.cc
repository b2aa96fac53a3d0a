#include "past_driver.h"

#include <fmt/format.h>

#include "run_after.h"

namespace figwell::edge {

using telemetry::Event;

PastDriver::PastDriver(State& state, adapter::StoreClient& store,
                       const VersionDriver& versions)
    : state_(state), store_(store), versions_(versions) {
  store_.OnNewEra(
      [this](store::Era era) { state_.past.OnEra(MonotonicNow(), era); });
}

std::string PastDriver::Key() const {
  return state_.settings.store_prefix + "complete/era";
}

void PastDriver::OnRecordsListed() {
  state_.past.OnEra(MonotonicNow(), store_.era());
}

void PastDriver::OnStoreEntry(const serving::LoggedEntry& entry) {
  revision_ = entry.removed ? 0 : entry.revision;
  std::optional<store::Era> era;
  if (const auto recorded = ParseInteger(entry.value);
      recorded && !entry.removed) {
    era = *recorded;
  }
  state_.past.OnRecordedEra(era);
  if (era == store_.era()) {
    telemetry::Log(Event::kEraComplete,
                   "what a restore of the store may have lost is written again",
                   {{"era", std::to_string(*era)}});
  }
}

bool PastDriver::ShouldRecord(TimePoint now) const {
  return !state_.past.IsEraRecorded() && state_.past.IsStoreComplete(now) &&
         versions_.AllSaved();
}

void PastDriver::Tick(TimePoint now, bool follows_store) {
  if (recording_ || !follows_store || !ShouldRecord(now)) {
    return;
  }
  recording_ = true;
  RunWithin(state_.context, state_.random, kMaxSaveDelay, [this] {
    state_.catch_up_with_servers([this](bool caught_up) {
      recording_ = false;
      if (caught_up && ShouldRecord(MonotonicNow())) {
        Record();
      }
    });
  });
}

void PastDriver::Record() {
  adapter::Change change;
  change.conditions.push_back({Key(), revision_});
  change.writes.push_back({Key(), std::to_string(store_.era()), 0});
  store_.Commit(change, [](const Result<adapter::ChangeResult>& result) {
    if (!result) {
      telemetry::Log(Event::kDependencyLost,
                     fmt::format("recording that the era is complete failed; "
                                 "will retry: {}",
                                 result.error().message),
                     {{"dependency", "store"}});
    }
  });
}

}  // namespace figwell::edge
