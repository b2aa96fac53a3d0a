#ifndef FIGWELL_SERVING_TEAM_RATE_LIMITER_H_
#define FIGWELL_SERVING_TEAM_RATE_LIMITER_H_

/** Teams' rates and bursts over all instances, by gossip; see serving.h. */

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"

namespace figwell::serving {

/** What an instance tells of one team. */
struct TeamSpending {
  std::uint64_t team = 0;  ///< StableHash of its id
  /** Tokens charged here since the process began. */
  Tokens spent = 0;
  /**
   * What the whole bucket holds if those that the sender does not hear have as
   * much left for their parts as it has for its own; may be below 0.
   */
  Tokens level = 0;

  friend bool operator==(const TeamSpending&, const TeamSpending&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(team, spent, level);
  }
};

/** What one instance tells of its own charges, or of its domain's. */
struct SpendingReport {
  /** Tells one series of counts from the next, and speakers apart. */
  std::uint64_t incarnation = 0;
  /** Instances whose charges are in the counts, the sender's included. */
  int instances = 1;
  std::vector<TeamSpending> spending;

  friend bool operator==(const SpendingReport&,
                         const SpendingReport&) = default;
};

/** A peer that was not heard for so long spends from its own part. */
inline constexpr Duration kPeerReportTimeout = std::chrono::milliseconds(700);

/**
 * One bucket a team that all instances share. Each instance subtracts what it
 * charges itself and what the others say that they charged. While some are
 * silent, this instance mints and holds only the part of the limit that
 * belongs to those it hears: whoever is on the other side of a partition has
 * the rest, so that all sides together stay within the limit. When instances
 * are heard again, or for the first time, what they say is left of their part
 * is added.
 *
 * Charges cross while reports are under way: the overspend is at most what the
 * other instances admit in one reporting interval, and is paid back since the
 * level goes below 0.
 */
class TeamRateLimiter {
 public:
  /** What came of a charge. */
  struct Verdict {
    bool admitted = false;
    Tokens level = 0;
    /** When the cost could be covered; only if not admitted. */
    Duration retry_after{0};
    /** Whether all known instances were heard lately. */
    bool all_peers_reporting = true;
  };

  /** Puts a configuration's limits in force. New teams begin with a part of
   * their burst.
   */
  void Configure(TimePoint now, const std::map<TeamId, TeamSpec>& teams);

  /**
   * All others that may be charging, heard or not, and how many instances each
   * stands for.
   */
  void SetPeers(TimePoint now, const std::map<InstanceId, int>& peers);
  void OnPeerReport(TimePoint now, const InstanceId& peer,
                    const SpendingReport& report);

  Verdict Charge(TimePoint now, const TeamId& team, Tokens cost);
  /** A charged request turned out not to run. */
  void Refund(TimePoint now, const TeamId& team, Tokens cost);

  /** What to tell the peers; counts as told. */
  std::vector<TeamSpending> TakeOwnReport(TimePoint now);
  /**
   * Whether so much was charged since the last report that the peers should
   * hear of it before the next regular one.
   */
  bool ReportIsUrgent() const;
  /** Whether the other instances are known, so that charges may begin. */
  bool PeersKnown() const { return peers_known_; }

 private:
  struct Bucket {
    Tokens rate = 0;
    Tokens burst = 0;
    double level = 0;
    Tokens spent = 0;
    Tokens reported = 0;
    std::uint64_t hash = 0;
  };
  /** One series of counts. */
  struct Speaker {
    TimePoint heard;
    int instances = 1;
    std::map<std::uint64_t, Tokens> spent;
  };
  /**
   * While members learn of each other, several speak for one domain and their
   * counts overlap. Only those of one of them are charged: of the one that
   * speaks for the most instances.
   */
  struct Peer {
    int instances = 1;
    std::map<std::uint64_t, Speaker> speakers;  // by incarnation
    std::uint64_t current = 0;
    /** Instances whose part of a team's bucket is in the level here. */
    std::map<std::uint64_t, int> joined;
  };

  /** The speaker that counts, if it was heard lately. */
  static const Speaker* Current(const Peer& peer, TimePoint now);
  static void ChooseSpeaker(Peer& peer, std::uint64_t incarnation,
                            TimePoint now);
  void Advance(TimePoint now);
  /** Gives up the parts of instances that are no longer heard. */
  void SetPart(double part);
  /** Adds the part of instances that were not heard before. */
  void Join(Peer& peer, const Speaker& speaker, const TeamSpending& news,
            Bucket& bucket) const;
  /** The part of the limits that belongs to the instances heard. */
  double Part(TimePoint now) const;
  int Instances() const;

  std::map<TeamId, Bucket> buckets_;
  std::map<InstanceId, Peer> peers_;
  std::optional<TimePoint> last_;
  double part_ = 1.0;
  bool peers_known_ = false;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_TEAM_RATE_LIMITER_H_
