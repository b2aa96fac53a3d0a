#include "store_follower.h"

#include <algorithm>

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

// Upper bound of one watch, close to the longest wait that the store accepts. A
// connection that broke silently is detected sooner: peers report newer
// revisions.
constexpr milliseconds kLongestWait{25'000};
// A watch that waits longer than the store keeps its history may find its start
// revision compacted.
constexpr int kWaitTenthsOfHistory = 8;
constexpr Duration kFirstRetry = milliseconds(100);
constexpr Duration kLongestRetry = milliseconds(1'000);
constexpr int kMostDoublings = 4;

}  // namespace

StoreFollower::StoreFollower(boost::asio::io_context& context,
                             adapter::StoreClient& store, std::string prefix,
                             milliseconds history, FollowerCallbacks callbacks)
    : timer_(context),
      store_(store),
      prefix_(std::move(prefix)),
      wait_(std::min(kLongestWait, history * kWaitTenthsOfHistory / 10)),
      callbacks_(std::move(callbacks)),
      random_(StableHash(RandomHex(8))) {
  store_.OnRecovery([this](TimePoint unanswered) { OnStoreBack(unanswered); });
}

void StoreFollower::Start() {
  following_ = true;
  List();
}

void StoreFollower::Refresh() {
  following_ = true;
  ++round_;
  timer_.cancel();
  List();
}

void StoreFollower::Stop() {
  following_ = false;
  ++round_;
  timer_.cancel();
}

void StoreFollower::Resume(store::Revision known) {
  following_ = true;
  ++round_;
  timer_.cancel();
  after_ = std::max(after_, known);
  if (listed_) {
    Watch();
  } else {
    List();
  }
}

void StoreFollower::List() {
  watching_since_.reset();
  store_.List(prefix_,
              [this, round = round_](const Result<adapter::Listing>& listing) {
                if (round != round_) {
                  return;
                }
                if (!listing) {
                  OnFailure(listing.error(), /*list_again=*/true);
                  return;
                }
                OnAnswer();
                listed_ = true;
                after_ = std::max(after_, listing->revision);
                callbacks_.on_listing(*listing);
                Watch();
              });
}

void StoreFollower::OnStoreBack(TimePoint unanswered) {
  if (!following_ || !watching_since_ || *watching_since_ > unanswered) {
    return;
  }
  telemetry::Log(
      Event::kDependencyRegained,
      "store reachable again; restarting a watch from before the outage",
      {{"dependency", "store"},
       {"prefix", prefix_},
       {"after", std::to_string(after_)}});
  ++round_;
  Watch();
}

void StoreFollower::Watch() {
  watching_since_ = MonotonicNow();
  store_.Watch(prefix_, after_, wait_,
               [this, round = round_](const Result<store::WatchBatch>& batch) {
                 if (round == round_) {
                   OnWatched(batch);
                 }
               });
}

void StoreFollower::OnWatched(const Result<store::WatchBatch>& batch) {
  watching_since_.reset();
  if (!batch) {
    const bool compacted = batch.error().code == ErrorCode::kConflict;
    if (compacted) {
      telemetry::Log(
          Event::kDependencyLost,
          "store compacted the changes since the last read; listing all keys",
          {{"dependency", "store"},
           {"prefix", prefix_},
           {"after", std::to_string(after_)}});
      OnAnswer();
      List();
      return;
    }
    OnFailure(batch.error(), /*list_again=*/false);
    return;
  }
  OnAnswer();
  after_ = std::max(after_, batch->revision);
  const std::uint64_t round = round_;
  for (const store::WatchEvent& event : batch->events) {
    callbacks_.on_event(event);
  }
  if (round != round_) {
    return;
  }
  if (batch->events.empty() || pause_.count() == 0) {
    Watch();
  } else {
    Later(pause_, /*list_again=*/false);
  }
}

void StoreFollower::OnAnswer() {
  failures_ = 0;
  if (away_) {
    away_ = false;
    const Duration away = MonotonicNow() - failing_since_;
    telemetry::Log(Event::kDependencyRegained, "store reachable again",
                   {{"dependency", "store"},
                    {"prefix", prefix_},
                    {"away_ms", std::to_string(away / milliseconds(1))}});
    callbacks_.on_recovered(away);
  }
}

void StoreFollower::OnFailure(const Error& error, bool list_again) {
  const TimePoint now = MonotonicNow();
  if (failures_ == 0) {
    failing_since_ = now;
  }
  if (!away_ && failures_ > 0 && now - failing_since_ >= kAwayAfter) {
    away_ = true;
    telemetry::Log(Event::kDependencyLost, error.message,
                   {{"dependency", "store"},
                    {"prefix", prefix_},
                    {"failures", std::to_string(failures_)}});
    callbacks_.on_lost();
  }
  const Duration longest = std::min(
      kLongestRetry, kFirstRetry * (1 << std::min(failures_, kMostDoublings)));
  ++failures_;
  // Half of the delay is random, so that instances do not call in lockstep.
  const Duration delay =
      longest / 2 + Duration(static_cast<std::int64_t>(random_.Below(
                        static_cast<std::uint64_t>(longest.count() / 2 + 1))));
  Later(delay, list_again);
}

void StoreFollower::Later(Duration delay, bool list_again) {
  timer_.expires_after(delay);
  timer_.async_wait([this, round = round_,
                     list_again](const boost::system::error_code& error) {
    if (error || round != round_) {
      return;
    }
    if (list_again) {
      List();
    } else {
      Watch();
    }
  });
}

}  // namespace figwell::edge
