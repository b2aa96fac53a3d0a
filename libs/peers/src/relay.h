#ifndef FIGWELL_PEERS_RELAY_H_
#define FIGWELL_PEERS_RELAY_H_

/**
 * Distribution of configuration updates. A few members of each domain watch
 * the store. All others learn of a new number from heartbeats, fetch the
 * missing patches from a peer that reported it, and read the store themselves,
 * with jitter, only if that makes no progress. The number in force never
 * decreases.
 */

#include <deque>
#include <set>
#include <string>
#include <vector>

#include "messages.h"

namespace figwell::peers {

inline constexpr std::size_t kWatchersPerDomain = 3;
/** Time without a reply after which another peer is asked. */
inline constexpr Duration kFetchTimeout = std::chrono::seconds(1);
/**
 * A member that stays behind for this time, plus a jitter of up to as much,
 * reads the store.
 */
inline constexpr Duration kNoProgressTimeout = std::chrono::seconds(2);
/** How often a watcher reads head: a watch can fail without an error. */
inline constexpr Duration kWatcherReadInterval = std::chrono::seconds(3);
inline constexpr Duration kMaxStoreBackoff = std::chrono::seconds(8);
/** How long a start waits for the store before it relies on its peers. */
inline constexpr Duration kStartTimeout = std::chrono::seconds(10);

/** The watchers of a domain: the candidates of highest rendezvous weight. */
std::vector<InstanceId> ChooseWatchers(const DomainId& domain,
                                       std::vector<InstanceId> candidates);

/** Actions for the caller; absent fields request nothing. */
struct RelayActions {
  std::optional<bool> watch;
  bool read_store = false;
  std::optional<std::pair<InstanceId, FetchRequest>> fetch;
  std::optional<ConfigurationUpdate> apply;
  /** The number in force increased: announce it to some peers now. */
  bool announce = false;
};

/** The relay's view of the members. */
struct RelayView {
  bool watcher = false;
  std::size_t domain_members = 1;
  /** Whether any reachable member reached the store recently. */
  bool store_reached_recently = true;
};

class ConfigurationRelay {
 public:
  ConfigurationRelay(TimePoint now, std::uint64_t random_seed);

  void Tick(TimePoint now, const RelayView& view, RelayActions& actions);
  /** A peer's heartbeat to this incarnation of this process. */
  void OnPeerVersions(TimePoint now, const InstanceId& peer,
                      config::VersionNumber in_force,
                      config::VersionNumber highest_known,
                      RelayActions& actions);
  /** The reply to a fetch; null if none came or it was invalid. */
  void OnFetched(TimePoint now, const InstanceId& peer,
                 const ConfigurationUpdate* update, RelayActions& actions);
  /** Patches or a snapshot, from the store or from a peer. */
  void OnOffer(const ConfigurationUpdate& update, RelayActions& actions);
  void OnStoreAnswered(TimePoint now, bool reached,
                       std::optional<config::VersionNumber> head);
  /** A lower number than the one in force is ignored. */
  void OnInForce(TimePoint now, config::VersionNumber number,
                 RelayActions& actions);
  void OnUpdateFailed();

  /**
   * The patches after `request.after`. Empty and without a snapshot when the
   * log does not have them: then a snapshot is needed.
   */
  ConfigurationUpdate AnswerFetch(const FetchRequest& request) const;

  config::VersionNumber in_force() const { return in_force_; }
  config::VersionNumber highest_known() const { return highest_known_; }
  bool caught_up() const { return caught_up_; }
  std::uint64_t store_regressions() const { return store_regressions_; }

 private:
  struct UpdateSource {
    InstanceId peer;
    config::VersionNumber number;
  };

  void RaiseHighestKnown(TimePoint now, config::VersionNumber number);
  void TryFetch(TimePoint now, RelayActions& actions);
  void Remember(const ConfigurationUpdate& update);
  void ReadStoreIfDue(TimePoint now, const RelayView& view,
                      RelayActions& actions);
  void CheckCaughtUp(TimePoint now);
  Duration Jitter(Duration max_jitter);
  bool behind() const { return highest_known_ > in_force_; }

  Random random_;
  TimePoint start_;
  config::VersionNumber in_force_ = 0;
  config::VersionNumber highest_known_ = 0;
  std::deque<Patch> log_;  // consecutive numbers, up to in_force_
  std::size_t log_bytes_ = 0;
  /** Patches that were passed to `apply` and are not yet in force. */
  std::vector<Patch> pending_;
  std::vector<UpdateSource> sources_;
  std::optional<InstanceId> fetching_;
  TimePoint fetch_deadline_{};
  bool want_snapshot_ = false;
  bool watching_ = false;
  bool store_failed_ = false;
  bool store_read_ = false;
  bool store_reached_recently_ = true;
  std::set<InstanceId> reporting_peers_;  // cleared once caught up
  bool caught_up_ = false;
  TimePoint next_store_read_;
  Duration backoff_;
  std::uint64_t store_regressions_ = 0;
};

}  // namespace figwell::peers

#endif  // FIGWELL_PEERS_RELAY_H_
