#ifndef FIGWELL_SERVING_TEAM_RATE_LIMITER_H_
#define FIGWELL_SERVING_TEAM_RATE_LIMITER_H_

/** Limits teams' rates and bursts over all instances; see serving.h. */

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"

namespace figwell::serving {

/** An instance's report on one team. */
struct TeamSpending {
  std::uint64_t team = 0;  ///< StableHash of its id
  /** Tokens charged by the sender since its process started. */
  Tokens spent = 0;
  /**
   * Estimated level of the full bucket: the sender's level divided by its share
   * of the limit, as if unreachable instances had as much left for theirs. May
   * be below 0.
   */
  Tokens level = 0;

  friend bool operator==(const TeamSpending&, const TeamSpending&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(team, spent, level);
  }
};

/** Charges of one instance, or sums over its failure domain. */
struct SpendingReport {
  /** Identifies the sender's process; counts start at 0 in each process. */
  std::uint64_t incarnation = 0;
  /** Instances whose charges are in the counts, including the sender. */
  int instances = 1;
  std::vector<TeamSpending> spending;

  friend bool operator==(const SpendingReport&,
                         const SpendingReport&) = default;
};

/**
 * A peer without a report for longer than this is assumed to be partitioned
 * away and to spend its own share of the limits. Covers two of the intervals at
 * which instances report. Until then both sides spend the same level, which
 * has to stay within the slack of the limits.
 */
inline constexpr Duration kPeerReportTimeout = std::chrono::milliseconds(450);

/**
 * One token bucket per team, replicated on all instances. Each instance
 * subtracts its own charges and those that its peers report. While reports of
 * some peers are missing, this instance refills and holds only the share of
 * the limit that belongs to the reporting instances: the other side of a
 * partition uses the rest, so that all sides together stay within the limit.
 * Until a partition is noticed, each side spends the whole level. Both pay it
 * back: a side keeps its share of the level from before the partition, less
 * what it has charged since. When a peer reports again after a timeout, the
 * level withheld for it is regained, less what it has charged meanwhile. When
 * it reports for the first time, the level that it reports for its share is
 * added.
 *
 * Instances admit requests while reports are in transit. The overspend is at
 * most what the other instances admit in one reporting interval. It is paid
 * back because the level may go below 0.
 */
class TeamRateLimiter {
 public:
  /** Result of a charge. */
  struct ChargeResult {
    bool admitted = false;
    Tokens level = 0;
    /** Time until the bucket covers the cost; only if not admitted. */
    Duration retry_after{0};
    /** Whether reports of all known instances are recent. */
    bool all_peers_reporting = true;
  };

  /**
   * Applies the limits of a configuration. New teams start with a fraction of
   * their burst.
   */
  void Configure(TimePoint now, const std::map<TeamId, TeamSpec>& teams);

  /**
   * Sets the peers that may be charging, reporting or not, and the number of
   * instances that each represents.
   */
  void SetPeers(TimePoint now, const std::map<InstanceId, int>& peers);
  void OnPeerReport(TimePoint now, const InstanceId& peer,
                    const SpendingReport& report);

  ChargeResult Charge(TimePoint now, const TeamId& team, Tokens cost);
  /** Returns the cost of a charged request that did not run. */
  void Refund(TimePoint now, const TeamId& team, Tokens cost);

  /** The report to send to the peers; its charges count as reported. */
  std::vector<TeamSpending> TakeOwnReport(TimePoint now);
  /**
   * Whether enough was charged since the last report that the next one should
   * be sent before it is due.
   */
  bool ReportIsUrgent() const;
  /** Whether the peers are known, so that requests can be charged. */
  bool PeersKnown() const { return peers_known_; }

 private:
  /** Charges within kPeerReportTimeout, own and reported. */
  class RecentCharges {
   public:
    void Add(TimePoint now, Tokens cost);
    Tokens Sum(TimePoint now);

   private:
    void Forget(TimePoint now);

    std::deque<std::pair<TimePoint, Tokens>> charges_;  // by start of the slot
    Tokens sum_ = 0;
  };
  struct Bucket {
    Tokens rate = 0;
    Tokens burst = 0;
    double level = 0;
    Tokens spent = 0;
    Tokens reported = 0;
    RecentCharges recent;
    std::uint64_t hash = 0;
  };
  /** The level that belongs to instances whose reports timed out. */
  struct Withheld {
    double level = 0;
    int instances = 0;
    TimePoint refilled;
    /** Of the source that reported before. */
    std::uint64_t incarnation = 0;
  };
  /** A process that sends reports for a peer, with its counts by team. */
  struct ReportSource {
    TimePoint last_report;
    int instances = 1;
    std::map<std::uint64_t, Tokens> spent;
  };
  /**
   * An instance, or a domain represented by its delegate. While members of a
   * domain discover each other, several act as its delegate and their counts
   * overlap. Only the counts of the one that covers the most instances are
   * charged.
   */
  struct Peer {
    int instances = 1;
    std::map<std::uint64_t, ReportSource> sources;  // by incarnation
    std::uint64_t active = 0;
    int covered = 0;  ///< instances that are in the share
    /** By team: instances whose share of the bucket is in the level here. */
    std::map<std::uint64_t, int> included_instances;
    std::map<std::uint64_t, Withheld> withheld;  // by team
  };

  /** The source whose counts are charged; null if its reports timed out. */
  static const ReportSource* ActiveSource(const Peer& peer, TimePoint now);
  static void SelectSource(Peer& peer, std::uint64_t incarnation,
                           TimePoint now);
  /** Instances of the peer whose charges are reported. */
  static int CoveredInstances(const Peer& peer, TimePoint now);
  void Refill(TimePoint now);
  /** If the share shrinks, scales down the levels by as much. */
  void SetShare(double share);
  /** Withholds the levels of instances that no report covers any more. */
  void WithholdSilent(TimePoint now, TimePoint last_refill);
  void Withhold(Peer& peer, int instances, TimePoint now, TimePoint last_refill,
                Bucket& bucket) const;
  void RefillWithheld(Withheld& withheld, TimePoint now,
                      const Bucket& bucket) const;
  /** Takes the level withheld for these instances, with what was refilled. */
  double TakeWithheld(Withheld& withheld, int instances, TimePoint now,
                      const Bucket& bucket) const;
  void SetPeerInstances(TimePoint now, Peer& peer, int instances);
  /**
   * How a report of the active source changes the level: by the charges since
   * the last one, and by the shares of instances that it did not cover before.
   */
  double LevelChange(TimePoint now, Peer& peer, const TeamSpending& update,
                     Tokens increase, Bucket& bucket) const;
  /** The share of the limits that belongs to the reporting instances. */
  double ReportingShare() const;
  int Instances() const;

  std::map<TeamId, Bucket> buckets_;
  std::map<InstanceId, Peer> peers_;
  std::optional<TimePoint> last_refill_;
  double share_ = 1.0;
  bool peers_known_ = false;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_TEAM_RATE_LIMITER_H_
