#include "shared_view.h"

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

// Leaves room for the frame within peers::kMaxApplicationBytes.
constexpr std::size_t kMaxChangeSetBytes = 850;
// Interval of requests for changes; a lost request or answer is repeated.
constexpr Duration kChangesRequestInterval = milliseconds(60);
// Half of the smallest machine's link of 20 Mbit/s. Datagrams beyond the link's
// capacity would be lost, and requested again.
constexpr std::int64_t kMaxAnswerBytesPerSecond = 1'250'000;
constexpr Duration kMaxAnswerBacklog = milliseconds(250);
// An instance that follows the store asks a peer only if its own watch has not
// delivered a change within this time after the pause between watches.
constexpr Duration kWatchDeliveryGrace = milliseconds(300);
// The store answers a watch at once if it has changes, else after this time.
constexpr milliseconds kCatchUpWait{1};
// The view counts as stale if a peer has had a change for this long that is
// missing here. Where changes come from peers, this has to be noticed within
// the drain notice of a leaving server.
constexpr Duration kFollowerStaleTimeout = milliseconds(2'000);
constexpr Duration kNonFollowerStaleTimeout = milliseconds(600);

}  // namespace

SharedView::SharedView(boost::asio::io_context& context,
                       adapter::StoreClient& store, std::string prefix,
                       milliseconds max_watch_wait,
                       SharedViewCallbacks callbacks)
    : callbacks_(std::move(callbacks)),
      store_(store),
      follower_(
          context, store, std::move(prefix), max_watch_wait,
          {[this](const adapter::Listing& listing) { OnListing(listing); },
           [this](const store::WatchEvent& event) { OnEvent(event); },
           [this] { callbacks_.on_store_unreachable(); },
           [this](Duration) { callbacks_.on_store_recovered(); }}) {}

void SharedView::SetFollowing(bool following) {
  if (following == follower_.following()) {
    return;
  }
  if (following) {
    follower_.Resume(log_.newest());
  } else if (follower_.answering()) {
    follower_.Stop();
  }
}

serving::LoggedEntry SharedView::ToEntry(const store::KeyValue& item) const {
  auto value = callbacks_.encode(item);
  const bool usable = value.has_value();
  return {item.key, usable ? std::move(*value) : std::string(),
          item.mod_revision, !usable};
}

void SharedView::OnListing(const adapter::Listing& listing) {
  std::vector<serving::LoggedEntry> entries;
  for (const store::KeyValue& item : listing.items) {
    entries.push_back(ToEntry(item));
  }
  callbacks_.on_gap();
  callbacks_.on_changes(log_.Replace(entries, listing.revision));
}

void SharedView::OnEvent(const store::WatchEvent& event) {
  const bool removed = event.type == store::WatchEvent::Type::kDelete;
  const serving::LoggedEntry entry =
      removed ? serving::LoggedEntry{event.entry.key,
                                     {},
                                     event.entry.mod_revision,
                                     true}
              : ToEntry(event.entry);
  if (log_.ApplyEvent(entry)) {
    callbacks_.on_changes({entry});
  }
}

void SharedView::CatchUp(std::function<void(bool)> on_done) {
  if (!follower_.listed()) {
    on_done(false);
    return;
  }
  store_.Watch(follower_.prefix(), log_.newest(), kCatchUpWait,
               [this, on_done = std::move(on_done)](
                   const Result<store::WatchBatch>& batch) {
                 if (batch) {
                   for (const store::WatchEvent& event : batch->events) {
                     OnEvent(event);
                   }
                 } else if (follower_.answering()) {
                   // The follower logs an outage that it knows of.
                   telemetry::Log(Event::kDependencyLost, batch.error().message,
                                  {{"dependency", "store"},
                                   {"prefix", follower_.prefix()}});
                 }
                 on_done(batch.has_value());
               });
}

void SharedView::OnPeerRevision(TimePoint now, const InstanceId& peer,
                                store::Revision newest, bool may_request) {
  max_peer_revision_ = std::max(max_peer_revision_, newest);
  if (max_peer_revision_ <= log_.newest()) {
    missing_since_.reset();
    return;
  }
  // Under a steady stream of changes some peer always has a newer revision, so
  // the time is taken for which the same revision has been missing.
  if (!missing_since_ || missing_revision_ <= log_.newest()) {
    missing_since_ = now;
    missing_revision_ = max_peer_revision_;
  }
  const Duration missing_for = now - *missing_since_;
  const bool relies_on_peers = !IsActiveFollower();
  if (may_request && newest > log_.newest() &&
      now - last_request_ >= kChangesRequestInterval &&
      (relies_on_peers ||
       missing_for >= follower_.watch_pause() + kWatchDeliveryGrace)) {
    last_request_ = now;
    callbacks_.request_changes(peer, log_.request_after());
  }
  if (missing_for >= (relies_on_peers
                          ? kNonFollowerStaleTimeout
                          : follower_.watch_pause() + kFollowerStaleTimeout)) {
    missing_since_ = now;
    callbacks_.on_stale_view();
  }
}

void SharedView::OnChanges(const serving::ChangeSet& set) {
  const auto changes = log_.ApplyPart(set);
  if (!changes.empty() && IsActiveFollower()) {
    telemetry::Log(
        Event::kWatchSilent,
        "a peer had changes that the own watch did not deliver",
        {{"prefix", follower_.prefix()},
         {"age_ms", std::to_string(follower_.WatchAge() / milliseconds(1))},
         {"revision", std::to_string(log_.newest())}});
    follower_.RestartWatch();
  }
  if (log_.has_partial_answer()) {
    last_request_ = MonotonicNow();  // the other parts are still in flight
  }
  if (!changes.empty()) {
    callbacks_.on_gap();
    callbacks_.on_changes(changes);
  }
  if (max_peer_revision_ <= log_.newest()) {
    missing_since_.reset();
  }
}

std::vector<serving::ChangeSet> SharedView::ChangesSince(
    TimePoint now, store::Revision after) {
  if (answers_drained_at_ > now + kMaxAnswerBacklog) {
    return {};
  }
  auto sets = log_.ChangesSince(after, kMaxChangeSetBytes);
  const auto bytes =
      static_cast<std::int64_t>(sets.size() * kMaxChangeSetBytes);
  answers_drained_at_ =
      std::max(answers_drained_at_, now) +
      Duration(bytes * Duration::period::den / kMaxAnswerBytesPerSecond);
  return sets;
}

}  // namespace figwell::edge
