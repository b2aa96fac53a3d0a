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
  /** The value as instances share it; nullopt if the item is invalid. */
  std::function<std::optional<std::string>(const store::KeyValue&)> encode;
  /**
   * Entries follow that did not come as single events from the store: changes
   * before them may be missing.
   */
  std::function<void()> on_gap;
  /** Entries that are new here, from the store or from a peer. */
  std::function<void(const std::vector<serving::LoggedEntry>&)> on_changes;
  /** The store became unreachable, or is reachable again. */
  std::function<void()> on_store_unreachable;
  std::function<void()> on_store_recovered;
  /** Requests the changes after a revision from a peer. */
  std::function<void(const InstanceId&, store::Revision)> request_changes;
  /** Peers have had newer entries for too long. */
  std::function<void()> on_stale_view;
};

/**
 * The keys below a prefix. An instance that follows the store reads changes
 * from it. One that does not, or that cannot reach the store, receives them
 * from peers.
 */
class SharedView {
 public:
  SharedView(boost::asio::io_context& context, adapter::StoreClient& store,
             std::string prefix, std::chrono::milliseconds max_watch_wait,
             SharedViewCallbacks callbacks);

  void Start() { follower_.Start(); }
  void SetWatchPause(std::chrono::milliseconds watch_pause) {
    follower_.SetWatchPause(watch_pause);
  }
  /** Starts or stops following the store. No effect without a change. */
  void SetFollowing(bool following);
  /** Lists all items again, also while another call is in flight. */
  void Refresh() { follower_.Refresh(); }

  /**
   * Reads the changes that the view may lack from the store.
   * @param on_done gets whether the view has all changes up to this call
   */
  void CatchUp(std::function<void(bool)> on_done);

  /**
   * A peer reported that it has everything up to this revision.
   * @param may_request whether the peer's changes can be used
   */
  void OnPeerRevision(TimePoint now, const InstanceId& peer,
                      store::Revision newest, bool may_request = true);
  /** Applies one part of a peer's answer. */
  void OnChanges(const serving::ChangeSet& set);
  /**
   * The changes after a revision, for a peer that requested them, in parts that
   * fit into datagrams. Empty while earlier answers use up the bandwidth for
   * answers; the peer requests the changes again.
   */
  std::vector<serving::ChangeSet> ChangesSince(TimePoint now,
                                               store::Revision after);

  /** Whether this instance follows the store and the store answers. */
  bool IsActiveFollower() const {
    return follower_.following() && follower_.answering();
  }
  /** Whether a peer has reported changes that are missing here. */
  bool IsBehindPeers() const { return max_peer_revision_ > log_.newest(); }
  bool following() const { return follower_.following(); }
  bool listed() const { return follower_.listed(); }
  store::Revision newest() const { return log_.newest(); }

 private:
  serving::LoggedEntry ToEntry(const store::KeyValue& item) const;
  void OnListing(const adapter::Listing& listing);
  void OnEvent(const store::WatchEvent& event);

  SharedViewCallbacks callbacks_;
  adapter::StoreClient& store_;
  StoreFollower follower_;
  serving::ChangeLog log_;
  store::Revision max_peer_revision_ = 0;
  /** A revision that a peer has and this instance lacks, and since when. */
  store::Revision missing_revision_ = 0;
  std::optional<TimePoint> missing_since_;
  TimePoint last_request_;
  /** When all answers so far will have been sent, at the limited rate. */
  TimePoint answers_drained_at_;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_SHARED_VIEW_H_
