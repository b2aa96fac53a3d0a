#include "figwell/serving/team_rate_limiter.h"

#include <algorithm>

namespace figwell::serving {
namespace {

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

// Fraction of the burst that a new bucket starts with: all instances may have
// been restarted at the same time, just after a burst was spent.
constexpr double kInitialLevel = 0.25;
// A process that was suspended for longer than this lacks its peers' charges.
constexpr Duration kPause = kPeerReportTimeout;
// A report is urgent if all instances together, charging as much as this one,
// would have charged more than the burst divided by this since the last report.
constexpr Tokens kUrgentPartOfBurst = 2;
constexpr Duration kLongestRetryAfter = std::chrono::seconds(5);

}  // namespace

const TeamRateLimiter::Speaker* TeamRateLimiter::Current(const Peer& peer,
                                                         TimePoint now) {
  const auto found = peer.speakers.find(peer.current);
  return found != peer.speakers.end() &&
                 found->second.heard + kPeerReportTimeout >= now
             ? &found->second
             : nullptr;
}

void TeamRateLimiter::ChooseSpeaker(Peer& peer, std::uint64_t incarnation,
                                    TimePoint now) {
  const Speaker* current = Current(peer, now);
  // If the peer is a single instance, a new incarnation replaces the old one
  // immediately.
  if (current == nullptr || peer.instances == 1 ||
      peer.speakers[incarnation].instances > current->instances) {
    peer.current = incarnation;
  }
  std::erase_if(peer.speakers, [&](const auto& item) {
    return item.second.heard + kPeerReportTimeout < now;
  });
}

double TeamRateLimiter::Part(TimePoint now) const {
  int heard = 1;
  for (const auto& [id, peer] : peers_) {
    if (const Speaker* speaker = Current(peer, now)) {
      heard += std::min(speaker->instances, peer.instances);
    }
  }
  return static_cast<double>(heard) / Instances();
}

int TeamRateLimiter::Instances() const {
  int instances = 1;
  for (const auto& [id, peer] : peers_) {
    instances += peer.instances;
  }
  return instances;
}

void TeamRateLimiter::SetPart(double part) {
  if (part < part_) {
    for (auto& [team, bucket] : buckets_) {
      if (bucket.level > 0) {
        // Instances that no longer report may spend their share of the level.
        bucket.level *= part / part_;
      }
    }
  }
  part_ = part;
}

void TeamRateLimiter::Advance(TimePoint now) {
  if (!last_) {
    last_ = now;
    part_ = Part(now);
    return;
  }
  if (now <= *last_) {
    return;
  }
  const Duration elapsed = now - *last_;
  last_ = now;
  const double part = Part(now);
  const double minted_part = std::min(part_, part);
  const bool paused = elapsed > kPause;
  SetPart(part);
  for (auto& [team, bucket] : buckets_) {
    const double cap = static_cast<double>(bucket.burst) * part;
    if (paused) {
      // Peers may have charged what was refilled in the meantime.
      bucket.level = std::min(bucket.level, cap * minted_part);
      continue;
    }
    bucket.level =
        std::min(cap, bucket.level + static_cast<double>(bucket.rate) *
                                         minted_part * Seconds(elapsed));
  }
}

void TeamRateLimiter::Configure(TimePoint now,
                                const std::map<TeamId, TeamSpec>& teams) {
  Advance(now);
  std::erase_if(buckets_,
                [&](const auto& item) { return !teams.contains(item.first); });
  for (const auto& [id, spec] : teams) {
    const auto [found, added] = buckets_.try_emplace(id);
    Bucket& bucket = found->second;
    if (added) {
      bucket.hash = StableHash(id.value());
    }
    if (added || bucket.rate == 0) {
      bucket.level = static_cast<double>(spec.burst) * kInitialLevel * part_;
    }
    bucket.rate = spec.rate;
    bucket.burst = spec.burst;
    bucket.level =
        std::min(bucket.level, static_cast<double>(bucket.burst) * part_);
  }
}

void TeamRateLimiter::SetPeers(TimePoint now,
                               const std::map<InstanceId, int>& peers) {
  Advance(now);
  peers_known_ = true;
  std::erase_if(peers_,
                [&](const auto& item) { return !peers.contains(item.first); });
  for (const auto& [id, instances] : peers) {
    peers_[id].instances = instances;
  }
  SetPart(Part(now));
}

void TeamRateLimiter::OnPeerReport(TimePoint now, const InstanceId& id,
                                   const SpendingReport& report) {
  Advance(now);
  Peer& peer = peers_[id];
  if (Current(peer, now) == nullptr) {
    peer.joined.clear();
  }
  Speaker& speaker = peer.speakers[report.incarnation];
  if (speaker.heard + kPeerReportTimeout < now) {
    speaker.spent.clear();
  }
  speaker.heard = now;
  speaker.instances = report.instances;
  ChooseSpeaker(peer, report.incarnation, now);
  const bool counts = peer.current == report.incarnation;
  std::map<std::uint64_t, const TeamSpending*> told;
  for (const TeamSpending& item : report.spending) {
    told.emplace(item.team, &item);
  }
  for (auto& [team, bucket] : buckets_) {
    const auto item = told.find(bucket.hash);
    if (item == told.end()) {
      continue;
    }
    const TeamSpending& news = *item->second;
    const auto [before, first] =
        speaker.spent.try_emplace(bucket.hash, news.spent);
    // Reports may arrive out of order.
    const Tokens more = std::max<Tokens>(0, news.spent - before->second);
    before->second += more;
    if (counts) {
      bucket.level -= static_cast<double>(more);
      Join(peer, speaker, news, bucket);
    }
  }
  SetPart(Part(now));
}

void TeamRateLimiter::Join(Peer& peer, const Speaker& speaker,
                           const TeamSpending& news, Bucket& bucket) const {
  const int covered = std::min(speaker.instances, peer.instances);
  int& joined = peer.joined[news.team];
  if (covered > joined) {
    const double part = static_cast<double>(covered - joined) / Instances();
    bucket.level += static_cast<double>(news.level) * part;
  }
  joined = covered;
}

TeamRateLimiter::Verdict TeamRateLimiter::Charge(TimePoint now,
                                                 const TeamId& team,
                                                 Tokens cost) {
  Advance(now);
  const auto found = buckets_.find(team);
  if (found == buckets_.end() || found->second.rate == 0) {
    return {true, 0, Duration{0}, part_ >= 1.0};
  }
  Bucket& bucket = found->second;
  Verdict verdict;
  verdict.all_peers_reporting = part_ >= 1.0;
  verdict.level = static_cast<Tokens>(bucket.level);
  // A request that costs more than the burst is admitted on a full bucket.
  const double needed = std::min(static_cast<double>(cost),
                                 static_cast<double>(bucket.burst) * part_);
  if (bucket.level >= needed && bucket.level > 0) {
    bucket.level -= static_cast<double>(cost);
    bucket.spent += cost;
    verdict.admitted = true;
    return verdict;
  }
  const double minted = static_cast<double>(bucket.rate) * part_;
  const double missing = needed - bucket.level;
  verdict.retry_after = std::min<Duration>(
      kLongestRetryAfter, Duration(static_cast<std::int64_t>(
                              1e6 * missing / std::max(1.0, minted))));
  return verdict;
}

void TeamRateLimiter::Refund(TimePoint now, const TeamId& team, Tokens cost) {
  Advance(now);
  const auto found = buckets_.find(team);
  if (found == buckets_.end() || found->second.rate == 0) {
    return;
  }
  Bucket& bucket = found->second;
  bucket.level = std::min(static_cast<double>(bucket.burst) * part_,
                          bucket.level + static_cast<double>(cost));
  bucket.spent -= cost;
}

std::vector<TeamSpending> TeamRateLimiter::TakeOwnReport(TimePoint now) {
  Advance(now);
  std::vector<TeamSpending> own;
  for (auto& [team, bucket] : buckets_) {
    if (bucket.rate > 0) {
      bucket.reported = bucket.spent;
      own.push_back({bucket.hash, bucket.spent,
                     static_cast<Tokens>(bucket.level / part_)});
    }
  }
  return own;
}

bool TeamRateLimiter::ReportIsUrgent() const {
  const Tokens instances = Instances();
  return std::any_of(buckets_.begin(), buckets_.end(), [&](const auto& item) {
    const Bucket& bucket = item.second;
    return bucket.rate > 0 &&
           (bucket.spent - bucket.reported) * instances * kUrgentPartOfBurst >
               bucket.burst;
  });
}

}  // namespace figwell::serving
