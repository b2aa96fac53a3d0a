#include "figwell/serving/team_rate_limiter.h"

#include <algorithm>

namespace figwell::serving {
namespace {

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

// Fraction of the burst that a new bucket starts with: all instances may have
// been restarted at the same time, just after a burst was spent.
constexpr double kInitialBurstFraction = 0.25;
// A process that was suspended for longer than this lacks its peers' charges.
constexpr Duration kMaxRefillGap = kPeerReportTimeout;
// A report is urgent if all instances together, charging as much as this one,
// would have charged more than the burst divided by this since the last report.
constexpr Tokens kUrgentBurstDivisor = 2;
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
constexpr Duration kRecentChargesSlot = std::chrono::milliseconds(50);

}  // namespace

void TeamRateLimiter::RecentCharges::Add(TimePoint now, Tokens cost) {
  Forget(now);
  if (charges_.empty() || charges_.back().first + kRecentChargesSlot <= now) {
    charges_.emplace_back(now, 0);
  }
  charges_.back().second += cost;
  sum_ += cost;
}

Tokens TeamRateLimiter::RecentCharges::Sum(TimePoint now) {
  Forget(now);
  return sum_;
}

void TeamRateLimiter::RecentCharges::Forget(TimePoint now) {
  while (!charges_.empty() &&
         charges_.front().first + kPeerReportTimeout < now) {
    sum_ -= charges_.front().second;
    charges_.pop_front();
  }
}

const TeamRateLimiter::ReportSource* TeamRateLimiter::ActiveSource(
    const Peer& peer, TimePoint now) {
  const auto found = peer.sources.find(peer.active);
  return found != peer.sources.end() &&
                 found->second.last_report + kPeerReportTimeout >= now
             ? &found->second
             : nullptr;
}

void TeamRateLimiter::SelectSource(Peer& peer, std::uint64_t incarnation,
                                   TimePoint now) {
  const ReportSource* active = ActiveSource(peer, now);
  // If the peer is a single instance, a new incarnation replaces the old one
  // immediately.
  if (active == nullptr || peer.instances == 1 ||
      peer.sources[incarnation].instances > active->instances) {
    peer.active = incarnation;
  }
  std::erase_if(peer.sources, [&](const auto& item) {
    return item.second.last_report + kPeerReportTimeout < now;
  });
}

int TeamRateLimiter::CoveredInstances(const Peer& peer, TimePoint now) {
  const ReportSource* source = ActiveSource(peer, now);
  return source == nullptr ? 0 : std::min(source->instances, peer.instances);
}

double TeamRateLimiter::ReportingShare() const {
  int reporting = 1;
  for (const auto& [id, peer] : peers_) {
    reporting += peer.covered;
  }
  return static_cast<double>(reporting) / Instances();
}

int TeamRateLimiter::Instances() const {
  int instances = 1;
  for (const auto& [id, peer] : peers_) {
    instances += peer.instances;
  }
  return instances;
}

void TeamRateLimiter::SetShare(double share) {
  if (share < share_) {
    for (auto& [team, bucket] : buckets_) {
      if (bucket.level > 0) {
        // Instances that no longer report may spend their share of the level.
        bucket.level *= share / share_;
      }
    }
  }
  share_ = share;
}

void TeamRateLimiter::WithholdSilent(TimePoint now, TimePoint last_refill) {
  for (auto& [id, peer] : peers_) {
    const int covered = CoveredInstances(peer, now);
    if (covered >= peer.covered) {
      continue;
    }
    for (auto& [team, bucket] : buckets_) {
      int& included = peer.included_instances[bucket.hash];
      if (included > covered) {
        Withhold(peer, included - covered, now, last_refill, bucket);
        included = covered;
      }
    }
    peer.covered = covered;
    share_ = ReportingShare();
  }
}

void TeamRateLimiter::Withhold(Peer& peer, int instances, TimePoint now,
                               TimePoint last_refill, Bucket& bucket) const {
  const double share = static_cast<double>(instances) / Instances();
  // The silent instances do not know of the recent charges, nor does this one
  // of theirs. Each side bears its own.
  const double level_before =
      bucket.level + static_cast<double>(bucket.recent.Sum(now));
  const double level = level_before * share / share_;
  bucket.level -= level;
  Withheld& withheld = peer.withheld[bucket.hash];
  if (withheld.instances > 0) {
    RefillWithheld(withheld, last_refill, bucket);
  }
  withheld.level += level;
  withheld.instances += instances;
  withheld.refilled = last_refill;
  withheld.incarnation = peer.active;
}

void TeamRateLimiter::RefillWithheld(Withheld& withheld, TimePoint now,
                                     const Bucket& bucket) const {
  const double share = static_cast<double>(withheld.instances) / Instances();
  withheld.level += static_cast<double>(bucket.rate) * share *
                    Seconds(now - withheld.refilled);
  withheld.refilled = now;
}

double TeamRateLimiter::TakeWithheld(Withheld& withheld, int instances,
                                     TimePoint now,
                                     const Bucket& bucket) const {
  RefillWithheld(withheld, now, bucket);
  const int taken = std::min(instances, withheld.instances);
  const double level =
      withheld.level * static_cast<double>(taken) / withheld.instances;
  withheld.level -= level;
  withheld.instances -= taken;
  return level;
}

void TeamRateLimiter::Refill(TimePoint now) {
  if (!last_refill_) {
    last_refill_ = now;
    share_ = ReportingShare();
    return;
  }
  if (now <= *last_refill_) {
    return;
  }
  const TimePoint last_refill = *last_refill_;
  const Duration elapsed = now - last_refill;
  last_refill_ = now;
  WithholdSilent(now, last_refill);
  const bool suspended = elapsed > kMaxRefillGap;
  for (auto& [team, bucket] : buckets_) {
    const double cap = static_cast<double>(bucket.burst) * share_;
    if (suspended) {
      // Peers may have charged what was refilled in the meantime.
      bucket.level = std::min(bucket.level, cap * share_);
      continue;
    }
    bucket.level =
        std::min(cap, bucket.level + static_cast<double>(bucket.rate) * share_ *
                                         Seconds(elapsed));
  }
}

void TeamRateLimiter::Configure(TimePoint now,
                                const std::map<TeamId, TeamSpec>& teams) {
  Refill(now);
  std::erase_if(buckets_,
                [&](const auto& item) { return !teams.contains(item.first); });
  for (const auto& [id, spec] : teams) {
    const auto [found, added] = buckets_.try_emplace(id);
    Bucket& bucket = found->second;
    if (added) {
      bucket.hash = StableHash(id.value());
    }
    if (added || bucket.rate == 0) {
      bucket.level =
          static_cast<double>(spec.burst) * kInitialBurstFraction * share_;
    }
    bucket.rate = spec.rate;
    bucket.burst = spec.burst;
    bucket.level =
        std::min(bucket.level, static_cast<double>(bucket.burst) * share_);
  }
}

void TeamRateLimiter::SetPeers(TimePoint now,
                               const std::map<InstanceId, int>& peers) {
  Refill(now);
  peers_known_ = true;
  for (auto& [id, peer] : peers_) {
    const auto found = peers.find(id);
    SetPeerInstances(now, peer, found == peers.end() ? 0 : found->second);
  }
  std::erase_if(peers_,
                [&](const auto& item) { return !peers.contains(item.first); });
  for (const auto& [id, instances] : peers) {
    Peer& peer = peers_[id];
    peer.instances = instances;
    peer.covered = CoveredInstances(peer, now);
  }
  SetShare(ReportingShare());
}

void TeamRateLimiter::SetPeerInstances(TimePoint now, Peer& peer,
                                       int instances) {
  peer.instances = instances;
  for (auto& [team, bucket] : buckets_) {
    int& included = peer.included_instances[bucket.hash];
    included = std::min(included, instances);
    const auto withheld = peer.withheld.find(bucket.hash);
    if (withheld == peer.withheld.end()) {
      continue;
    }
    const int gone = withheld->second.instances - (instances - included);
    if (gone > 0) {
      // What was overspent is paid back by the instances that are left.
      bucket.level +=
          std::min(0.0, TakeWithheld(withheld->second, gone, now, bucket));
    }
  }
}

void TeamRateLimiter::OnPeerReport(TimePoint now, const InstanceId& id,
                                   const SpendingReport& report) {
  Refill(now);
  Peer& peer = peers_[id];
  ReportSource& source = peer.sources[report.incarnation];
  source.last_report = now;
  source.instances = report.instances;
  SelectSource(peer, report.incarnation, now);
  WithholdSilent(now, now);
  const bool is_active = peer.active == report.incarnation;
  std::map<std::uint64_t, const TeamSpending*> spending_by_team;
  for (const TeamSpending& item : report.spending) {
    spending_by_team.emplace(item.team, &item);
  }
  for (auto& [team, bucket] : buckets_) {
    const auto item = spending_by_team.find(bucket.hash);
    if (item == spending_by_team.end()) {
      continue;
    }
    const TeamSpending& update = *item->second;
    const auto [before, first] =
        source.spent.try_emplace(bucket.hash, update.spent);
    // Reports may arrive out of order.
    const Tokens increase = std::max<Tokens>(0, update.spent - before->second);
    before->second += increase;
    if (first) {
      peer.withheld.erase(bucket.hash);  // its charges meanwhile are unknown
    }
    if (is_active) {
      bucket.level += LevelChange(now, peer, update, increase, bucket);
    }
  }
  peer.covered = CoveredInstances(peer, now);
  SetShare(ReportingShare());
}

double TeamRateLimiter::LevelChange(TimePoint now, Peer& peer,
                                    const TeamSpending& update, Tokens increase,
                                    Bucket& bucket) const {
  const auto charged = static_cast<double>(increase);
  int& included = peer.included_instances[update.team];
  const int added = CoveredInstances(peer, now) - included;
  if (added <= 0) {
    bucket.recent.Add(now, increase);
    return -charged;
  }
  included += added;
  const double share = static_cast<double>(added) / Instances();
  const double reported = static_cast<double>(update.level) * share;
  const auto withheld = peer.withheld.find(update.team);
  if (withheld == peer.withheld.end() || withheld->second.instances == 0 ||
      withheld->second.incarnation != peer.active) {
    // Charges of an instance that was unreachable may be of any age.
    return reported - std::min(charged, static_cast<double>(bucket.burst));
  }
  // The charges may have been made at any time since the last report. The peer
  // knows its level better, but not yet whether a partition ended.
  const double regained = TakeWithheld(withheld->second, added, now, bucket);
  const double cap = static_cast<double>(bucket.burst) * share;
  return std::clamp(reported, std::min(cap, regained) - charged,
                    std::min(cap, regained - charged));
}

TeamRateLimiter::ChargeResult TeamRateLimiter::Charge(TimePoint now,
                                                      const TeamId& team,
                                                      Tokens cost) {
  Refill(now);
  const auto found = buckets_.find(team);
  if (found == buckets_.end() || found->second.rate == 0) {
    return {true, 0, Duration{0}, share_ >= 1.0};
  }
  Bucket& bucket = found->second;
  ChargeResult result;
  result.all_peers_reporting = share_ >= 1.0;
  result.level = static_cast<Tokens>(bucket.level);
  // A request that costs more than the burst is admitted on a full bucket.
  const double needed = std::min(static_cast<double>(cost),
                                 static_cast<double>(bucket.burst) * share_);
  if (bucket.level >= needed && bucket.level > 0) {
    bucket.level -= static_cast<double>(cost);
    bucket.spent += cost;
    bucket.recent.Add(now, cost);
    result.admitted = true;
    return result;
  }
  const double refill_per_second = static_cast<double>(bucket.rate) * share_;
  const double shortfall = needed - bucket.level;
  result.retry_after = std::min<Duration>(
      kMaxRetryAfter, Duration(static_cast<std::int64_t>(
                          1e6 * shortfall / std::max(1.0, refill_per_second))));
  return result;
}

void TeamRateLimiter::Refund(TimePoint now, const TeamId& team, Tokens cost) {
  Refill(now);
  const auto found = buckets_.find(team);
  if (found == buckets_.end() || found->second.rate == 0) {
    return;
  }
  Bucket& bucket = found->second;
  bucket.level = std::min(static_cast<double>(bucket.burst) * share_,
                          bucket.level + static_cast<double>(cost));
  bucket.spent -= cost;
  bucket.recent.Add(now, -cost);
}

std::vector<TeamSpending> TeamRateLimiter::TakeOwnReport(TimePoint now) {
  Refill(now);
  std::vector<TeamSpending> own;
  for (auto& [team, bucket] : buckets_) {
    if (bucket.rate > 0) {
      bucket.reported = bucket.spent;
      own.push_back({bucket.hash, bucket.spent,
                     static_cast<Tokens>(bucket.level / share_)});
    }
  }
  return own;
}

bool TeamRateLimiter::ReportIsUrgent() const {
  const Tokens instances = Instances();
  return std::any_of(buckets_.begin(), buckets_.end(), [&](const auto& item) {
    const Bucket& bucket = item.second;
    return bucket.rate > 0 &&
           (bucket.spent - bucket.reported) * instances * kUrgentBurstDivisor >
               bucket.burst;
  });
}

}  // namespace figwell::serving
