#ifndef FIGWELL_APPS_EDGE_STORE_FOLLOWER_H_
#define FIGWELL_APPS_EDGE_STORE_FOLLOWER_H_

#include <boost/asio.hpp>
#include <functional>
#include <string>
#include <vector>

#include "figwell/adapter.h"

namespace figwell::edge {

/** What a follower tells of the keys below its prefix. */
struct FollowerCallbacks {
  /** All items as of a revision, after a start or a gap. */
  std::function<void(const adapter::Listing&)> on_listing;
  std::function<void(const store::WatchEvent&)> on_event;
  /** The store has not answered for kAwayAfter, or answers again. */
  std::function<void()> on_lost;
  std::function<void(Duration away)> on_recovered;
};

/**
 * Keeps a view of the keys below a prefix: reads them once, then waits for
 * changes. Reads them again when the store no longer has the changes since,
 * or when a peer knows of newer ones.
 */
class StoreFollower {
 public:
  /** Failing for so long makes the store count as away. */
  static constexpr Duration kAwayAfter = std::chrono::milliseconds(1'000);

  StoreFollower(boost::asio::io_context& context, adapter::StoreClient& store,
                std::string prefix, std::chrono::milliseconds history,
                FollowerCallbacks callbacks);

  void Start();
  /**
   * The time between a change and the next watch: changes that come close
   * together then cost one call. None unless this was called.
   */
  void SetPause(std::chrono::milliseconds pause) { pause_ = pause; }
  std::chrono::milliseconds pause() const { return pause_; }
  /** Reads all items again now, besides any call that is under way. */
  void Refresh();
  /** Waits for no more changes; a call that is under way is given up. */
  void Stop();
  /** Goes on after a stop; everything up to `known` was learned elsewhere. */
  void Resume(store::Revision known);

  bool following() const { return following_; }
  /** Whether the last call was answered. */
  bool answering() const { return listed_ && failures_ == 0; }
  bool listed() const { return listed_; }
  bool away() const { return away_; }

 private:
  void List();
  void Watch();
  void OnWatched(const Result<store::WatchBatch>& batch);
  /** Waits anew if the present watch began before the store was away. */
  void OnStoreBack(TimePoint unanswered);
  void OnFailure(const Error& error, bool list_again);
  void OnAnswer();
  void Later(Duration delay, bool list_again);

  boost::asio::steady_timer timer_;
  adapter::StoreClient& store_;
  std::string prefix_;
  std::chrono::milliseconds wait_;
  std::chrono::milliseconds pause_{0};
  FollowerCallbacks callbacks_;
  Random random_;
  /** Answers to calls of an earlier round are ignored. */
  std::uint64_t round_ = 0;
  bool following_ = false;
  bool listed_ = false;
  bool away_ = false;
  int failures_ = 0;
  TimePoint failing_since_;
  /** When the watch that is under way began, if one is. */
  std::optional<TimePoint> watching_since_;
  store::Revision after_ = 0;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_STORE_FOLLOWER_H_
