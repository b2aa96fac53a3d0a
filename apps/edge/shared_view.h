#ifndef FIGWELL_APPS_EDGE_SHARED_VIEW_H_
#define FIGWELL_APPS_EDGE_SHARED_VIEW_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "figwell/serving.h"
#include "store_follower.h"

namespace figwell::edge {

struct SharedViewCallbacks {
  /** What instances need of an item; nullopt if it cannot be used. */
  std::function<std::optional<std::string>(const store::KeyValue&)> encode;
  /** What is new here, from the store or from a peer. */
  std::function<void(const std::vector<serving::LoggedEntry>&)> on_changes;
  /** The store has not answered for some time, or answers again. */
  std::function<void()> on_lost;
  std::function<void()> on_recovered;
  /** Asks a peer for what changed after a revision. */
  std::function<void(const InstanceId&, store::Revision)> ask;
  /** Peers have known more for too long. */
  std::function<void()> on_stale_view;
};

/**
 * The keys below a prefix, as the store tells them if this instance follows
 * it, and as peers pass them on if it does not, or if the store turns this
 * instance away.
 */
class SharedView {
 public:
  SharedView(boost::asio::io_context& context, adapter::StoreClient& store,
             std::string prefix, std::chrono::milliseconds history,
             SharedViewCallbacks callbacks);

  void Start() { follower_.Start(); }
  void SetPause(std::chrono::milliseconds pause) { follower_.SetPause(pause); }
  /** Begins or ends to follow the store; no change: does nothing. */
  void SetFollowing(bool following);
  /** Reads all items again, also if another call is under way. */
  void Refresh() { follower_.Refresh(); }

  /** A peer has everything up to this revision. */
  void OnPeerRevision(TimePoint now, const InstanceId& peer,
                      store::Revision newest);
  /** A part of a peer's answer. */
  void OnChanges(const serving::ChangeSet& set);
  /**
   * What a peer that asks has missed, in parts that fit into datagrams; nothing
   * while answers to others take what the link can carry. It asks again.
   */
  std::vector<serving::ChangeSet> Since(TimePoint now, store::Revision after);

  /** Whether peers may rely on this instance. */
  bool Follows() const {
    return follower_.following() && follower_.answering();
  }
  bool following() const { return follower_.following(); }
  bool listed() const { return follower_.listed(); }
  store::Revision newest() const { return log_.newest(); }

 private:
  serving::LoggedEntry ToEntry(const store::KeyValue& item) const;
  void OnListing(const adapter::Listing& listing);
  void OnEvent(const store::WatchEvent& event);

  SharedViewCallbacks callbacks_;
  StoreFollower follower_;
  serving::ChangeLog log_;
  store::Revision highest_heard_ = 0;
  /** A revision that a peer knows and this instance does not, and since when.
   */
  store::Revision missing_ = 0;
  std::optional<TimePoint> behind_since_;
  TimePoint asked_;
  /** When the answers that were given will have left. */
  TimePoint answered_until_;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_SHARED_VIEW_H_
