#include <algorithm>
#include <bit>
#include <cmath>
#include <tuple>

#include "figwell/budget.h"

namespace figwell::budget {
namespace {

/** Weight of the latest tick in the moving average of a team's demand. */
constexpr double kDemandSmoothingFactor = 0.02;

/** A source keeps the tokens that its own callers need in this time. */
constexpr double kLocalReserveSeconds = 0.25;

/** Prefetching covers the demand of this time; below kTransferLifetime. */
constexpr double kPrefetchSeconds = 0.2;

/** Bounds of TransferItem::retry_ms in an answer. */
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(500);

/** Prefetches of fewer tokens are not worth a message. */
constexpr Tokens kMinPrefetchTokens = 256;

/** After this, an unanswered request counts as lost and may be repeated. */
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);

/** Bounds of the exponential backoff after prefetches that got no tokens. */
constexpr Duration kMinPrefetchBackoff = std::chrono::milliseconds(200);
constexpr Duration kMaxPrefetchBackoff = std::chrono::seconds(8);

/** Up to this number, tokens are requested from one peer, all or nothing. */
constexpr Tokens kMaxAllOrNothingTokens = 8192;

/** Maximum peers that one call requests a team's tokens from. */
constexpr std::size_t kMaxRequestedPeers = 3;

/** Older level reports are dropped. */
constexpr Duration kReportMaxAge = std::chrono::seconds(10);

/**
 * A fleet with up to kReportFanout peers reports to all of them; a gateway of a
 * larger one reports to kGroupReportFanout peers of its group and one random
 * peer.
 */
constexpr std::size_t kReportFanout = 8;
constexpr std::size_t kGroupReportFanout = 2;

/** Bandwidth limit of sent reports, headers included. */
constexpr std::int64_t kReportBytesPerSecond = 1200;
constexpr std::int64_t kReportHeaderBytes = 120;
constexpr Duration kMinReportInterval = std::chrono::milliseconds(200);

constexpr double kMicrosecondsPerSecond = 1e6;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

}  // namespace

TeamHash HashTeam(const TeamId& team) { return StableHash(team.value()); }

// A packed level has five bits of exponent and three bits of mantissa, rounded
// down.
constexpr unsigned kMantissaBits = 3;
constexpr std::uint64_t kMantissas = 1U << kMantissaBits;
constexpr Tokens kMaxPackable = Tokens{1} << 33U;

std::uint8_t PackLevel(Tokens tokens) {
  const auto value =
      static_cast<std::uint64_t>(std::clamp<Tokens>(tokens, 0, kMaxPackable));
  if (value < kMantissas) {
    return static_cast<std::uint8_t>(value);
  }
  const auto exponent =
      static_cast<unsigned>(std::bit_width(value)) - kMantissaBits - 1;
  const std::uint64_t mantissa = (value >> exponent) - kMantissas;
  return static_cast<std::uint8_t>((exponent + 1) * kMantissas + mantissa);
}

Tokens UnpackLevel(std::uint8_t packed) {
  const std::uint64_t mantissa = packed % kMantissas;
  const std::uint64_t exponent = packed / kMantissas;
  if (exponent == 0) {
    return static_cast<Tokens>(mantissa);
  }
  return static_cast<Tokens>((kMantissas + mantissa) << (exponent - 1));
}

Transfers::Transfers(TransferPeer self, std::uint64_t incarnation)
    : self_(std::move(self)),
      incarnation_(incarnation),
      random_(incarnation),
      budgets_(std::make_shared<BudgetTable>()) {}

void Transfers::Configure(config::VersionNumber number,
                          std::shared_ptr<const BudgetTable> budgets) {
  std::map<TeamId, Demand> old;
  for (std::size_t i = 0; i < demand_.size(); ++i) {
    old[budgets_->budgets()[i]->team()] = demand_[i];
  }
  configuration_number_ = number;
  budgets_ = std::move(budgets);
  index_by_hash_.clear();
  demand_.clear();
  peer_levels_.clear();
  pending_requests_.clear();
  source_clocks_.clear();
  for (const auto& budget : budgets_->budgets()) {
    index_by_hash_[HashTeam(budget->team())] = demand_.size();
    Demand demand = old[budget->team()];
    demand.in_flight = 0;
    demand_.push_back(demand);
  }
}

void Transfers::SetPeers(const std::vector<TransferPeer>& peers) {
  peers_.clear();
  std::copy_if(peers.begin(), peers.end(), std::back_inserter(peers_),
               [&](const TransferPeer& peer) {
                 return peer.instance != self_.instance;
               });
  group_ = LendingGroup(self_, peers);
  std::erase(group_, self_);
  std::erase_if(peer_levels_, [&](const auto& entry) {
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
      return peer.instance == entry.first;
    });
  });
}

std::optional<std::size_t> Transfers::IndexOf(TeamHash team) const {
  const auto found = index_by_hash_.find(team);
  return found == index_by_hash_.end()
             ? std::nullopt
             : std::optional<std::size_t>(found->second);
}

/** Tokens that this gateway's own callers will need soon. */
Tokens Transfers::LocalReserve(std::size_t team) const {
  return static_cast<Tokens>(demand_[team].tokens_per_second *
                             kLocalReserveSeconds);
}

void Transfers::MeasureDemand(TimePoint now) {
  const double elapsed = Seconds(now - demand_measured_at_);
  if (elapsed <= 0) {
    return;
  }
  demand_measured_at_ = now;
  const double weight = 1 - std::pow(1 - kDemandSmoothingFactor,
                                     elapsed / Seconds(kTransferTick));
  for (std::size_t i = 0; i < demand_.size(); ++i) {
    const auto demanded =
        static_cast<double>(budgets_->budgets()[i]->ConsumeDemand());
    double& average = demand_[i].tokens_per_second;
    average += weight * (demanded / elapsed - average);
  }
}

/**
 * Removes expired requests and level reports, and recomputes the tokens in
 * flight.
 */
void Transfers::ExpireState(TimePoint now) {
  std::erase_if(pending_requests_, [&](const auto& entry) {
    return now - entry.second.at >= kTransferLifetime;
  });
  std::erase_if(peer_levels_, [&](const auto& entry) {
    return now - entry.second.reported_at >= kReportMaxAge;
  });
  for (Demand& demand : demand_) {
    demand.in_flight = 0;
  }
  for (const auto& [id, pending] : pending_requests_) {
    if (now - pending.at < kAnswerTimeout) {
      for (const PendingItem& item : pending.items) {
        demand_[item.team].in_flight += item.tokens;
      }
    }
  }
}

TransferActions Transfers::Tick(TimePoint now) {
  TransferActions actions;
  MeasureDemand(now);
  ExpireState(now);
  ReportLevels(now, actions.reports);
  Requests requests;
  Prefetch(now, requests);
  actions.requests = BuildRequests(now, requests);
  actions.returns = DrainReturns();
  return actions;
}

/**
 * All peers in a small fleet; in a large one, peers of the group in turn and
 * one random peer.
 */
std::vector<InstanceId> Transfers::PickReportTargets() {
  std::vector<InstanceId> targets;
  if (peers_.size() <= kReportFanout) {
    for (const TransferPeer& peer : peers_) {
      targets.push_back(peer.instance);
    }
    return targets;
  }
  for (std::size_t i = 0; i < std::min(kGroupReportFanout, group_.size());
       ++i) {
    targets.push_back(group_[next_group_peer_++ % group_.size()].instance);
  }
  targets.push_back(peers_[random_.Below(peers_.size())].instance);
  return targets;
}

void Transfers::ReportLevels(TimePoint now,
                             std::vector<Outgoing<LevelReport>>& out) {
  if (now < next_report_ || peers_.empty()) {
    return;
  }
  LevelReport report;
  report.configuration = configuration_number_;
  for (std::size_t i = 0; i < demand_.size(); ++i) {
    const Tokens level = budgets_->budgets()[i]->Level(now);
    // A gateway with any capacity reports at least 1, so that peers keep
    // requesting tokens from it.
    const bool has_capacity =
        budgets_->budgets()[i]->FreeCapacity(now) + level > 0;
    report.levels.push_back(PackLevel(
        std::max<Tokens>(has_capacity ? 1 : 0, level - LocalReserve(i))));
  }
  for (const InstanceId& target : PickReportTargets()) {
    out.push_back({target, report});
  }
  const auto bytes =
      static_cast<std::int64_t>(out.size()) *
      (kReportHeaderBytes + static_cast<std::int64_t>(report.levels.size()));
  const auto bandwidth_interval = std::chrono::duration_cast<Duration>(
      std::chrono::seconds(bytes) / kReportBytesPerSecond);
  next_report_ = now + std::max(kMinReportInterval, bandwidth_interval);
}

void Transfers::Prefetch(TimePoint now, Requests& requests) {
  for (std::size_t i = 0; i < demand_.size(); ++i) {
    Demand& demand = demand_[i];
    const auto upcoming =
        static_cast<Tokens>(demand.tokens_per_second * kPrefetchSeconds);
    if (upcoming < kMinPrefetchTokens || now < demand.next_prefetch) {
      continue;
    }
    TeamBudget& budget = *budgets_->budgets()[i];
    const Tokens available = budget.Available(now) + demand.in_flight;
    // Tokens beyond the level's free capacity would expire.
    const Tokens shortfall =
        std::min(upcoming - available, budget.FreeCapacity(now));
    if (available >= upcoming / 2 || shortfall < kMinPrefetchTokens) {
      continue;
    }
    const Tokens requested = RequestFromPeers(now, i, shortfall, requests);
    // Doubled at each prefetch; an answer that grants tokens resets it.
    demand.backoff = std::clamp(demand.backoff * 2, kMinPrefetchBackoff,
                                kMaxPrefetchBackoff);
    demand.next_prefetch =
        now + (requested > 0 ? demand.backoff : kMinPrefetchBackoff);
  }
}

/**
 * The peer to request tokens from next: one that has enough, preferably in the
 * own domain, otherwise the one with the highest level. Null if no peer
 * reported any capacity or all of them are waiting out a retry time.
 */
Transfers::PeerLevels* Transfers::SelectSource(TimePoint now, std::size_t team,
                                               Tokens requested,
                                               InstanceId& source) {
  PeerLevels* best = nullptr;
  std::tuple<bool, bool, Tokens> best_rank;
  for (auto& [instance, peer_levels] : peer_levels_) {
    const Tokens level = peer_levels.levels[team];
    if (level <= 0 || now < peer_levels.retry_at[team]) {
      continue;
    }
    const bool enough = level >= requested;
    const std::tuple rank(enough, enough && peer_levels.domain == self_.domain,
                          level);
    if (best == nullptr || rank > best_rank) {
      best = &peer_levels;
      best_rank = rank;
      source = instance;
    }
  }
  return best;
}

/**
 * Requests all of `requested` from one peer: a part of the tokens that a caller
 * needs would expire unspent. Only a number above kMaxAllOrNothingTokens, which
 * may be more than any one peer has, is split over several peers.
 * @return the tokens requested
 */
Tokens Transfers::RequestFromPeers(TimePoint now, std::size_t team,
                                   Tokens requested, Requests& requests) {
  Tokens left = requested;
  const bool all_or_nothing = requested <= kMaxAllOrNothingTokens;
  for (std::size_t n = 0; n < kMaxRequestedPeers && left > 0; ++n) {
    InstanceId source;
    PeerLevels* best = SelectSource(now, team, left, source);
    if (best == nullptr) {
      break;
    }
    const Tokens part =
        all_or_nothing ? left : std::min(left, best->levels[team]);
    best->levels[team] = std::max<Tokens>(1, best->levels[team] - part);
    left -= part;
    PendingRequest& pending = requests[source];
    pending.at = now;
    pending.source = source;
    pending.items.push_back({team, part, all_or_nothing});
    demand_[team].in_flight += part;
  }
  return requested - left;
}

std::vector<Outgoing<TransferRequest>> Transfers::BuildRequests(
    TimePoint, const Requests& requests) {
  std::vector<Outgoing<TransferRequest>> out;
  for (const auto& [source, pending] : requests) {
    TransferRequest request;
    request.id = next_request_id_++;
    for (const PendingItem& item : pending.items) {
      if (request.requested.size() < kMaxTransferItems) {
        request.requested.push_back(
            {HashTeam(budgets_->budgets()[item.team]->team()),
             static_cast<std::uint32_t>(
                 std::min<Tokens>(item.tokens, UINT32_MAX)),
             item.all_or_nothing, 0});
      }
    }
    pending_requests_.emplace(request.id, pending);
    out.push_back({source, std::move(request)});
  }
  return out;
}

TransferActions Transfers::RequestTokens(TimePoint now, const TeamId& team,
                                         Tokens missing) {
  TransferActions actions;
  const auto index = IndexOf(HashTeam(team));
  if (!index.has_value()) {
    return actions;
  }
  ExpireState(now);
  const Tokens shortfall = missing - demand_[*index].in_flight;
  if (shortfall > 0) {
    Requests requests;
    RequestFromPeers(now, *index, shortfall, requests);
    actions.requests = BuildRequests(now, requests);
  }
  return actions;
}

std::optional<TransferAnswer> Transfers::OnRequest(
    TimePoint now, const TransferRequest& request) {
  if (request.requested.size() > kMaxTransferItems) {
    return std::nullopt;
  }
  TransferAnswer answer;
  answer.id = request.id;
  answer.incarnation = incarnation_;
  answer.granted_at = now.time_since_epoch().count();
  for (const TransferItem& item : request.requested) {
    const auto team = IndexOf(item.team);
    answer.granted.push_back(team.has_value() ? GrantItem(now, *team, item)
                                              : TransferItem{item.team});
  }
  return answer;
}

TransferItem Transfers::GrantItem(TimePoint now, std::size_t team,
                                  const TransferItem& requested) {
  TeamBudget& budget = *budgets_->budgets()[team];
  const Tokens keep = LocalReserve(team);
  TransferItem granted{requested.team};
  // A part of the tokens that one caller needs would expire unspent.
  const bool enough = !requested.all_or_nothing ||
                      budget.Level(now) - keep >= Tokens{requested.tokens};
  if (enough) {
    granted.tokens =
        static_cast<std::uint32_t>(budget.Debit(now, requested.tokens, keep));
  }
  if (granted.tokens < requested.tokens) {
    const Duration wait =
        std::clamp<Duration>(budget.TimeUntil(now, requested.tokens + keep),
                             kMinRetryAfter, kMaxRetryAfter);
    granted.retry_ms = static_cast<std::uint16_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
  }
  return granted;
}

bool Transfers::OnAnswer(TimePoint now, const InstanceId& from,
                         const TransferAnswer& answer) {
  const auto found = pending_requests_.find(answer.id);
  if (found == pending_requests_.end() || found->second.source != from) {
    return false;
  }
  // Erased before the credit, so that a repeated answer has no effect.
  PendingRequest pending = std::move(found->second);
  pending_requests_.erase(found);
  bool credited = false;
  for (const TransferItem& item : answer.granted) {
    const auto team = IndexOf(item.team);
    const auto requested = std::find_if(
        pending.items.begin(), pending.items.end(),
        [&](const PendingItem& entry) { return entry.team == team; });
    if (!team.has_value() || requested == pending.items.end()) {
      continue;
    }
    const Tokens tokens = std::min<Tokens>(item.tokens, requested->tokens);
    budgets_->budgets()[*team]->Credit(now, tokens,
                                       pending.at + kTransferLifetime);
    if (tokens > 0) {
      RecordSourceClock(*team,
                        {now, from, answer.incarnation, answer.granted_at});
      credited = true;
      demand_[*team].backoff = Duration::zero();
    }
    const auto peer_levels = peer_levels_.find(from);
    if (tokens < requested->tokens && peer_levels != peer_levels_.end()) {
      peer_levels->second.levels[*team] = 1;
      peer_levels->second.retry_at[*team] =
          now + std::chrono::milliseconds(item.retry_ms);
    }
    pending.items.erase(requested);
  }
  return credited;
}

void Transfers::OnReport(TimePoint now, const InstanceId& from,
                         const LevelReport& report) {
  const auto peer = std::find_if(peers_.begin(), peers_.end(),
                                 [&](const TransferPeer& candidate) {
                                   return candidate.instance == from;
                                 });
  if (peer == peers_.end() || report.configuration != configuration_number_ ||
      report.levels.size() != demand_.size()) {
    return;
  }
  PeerLevels& peer_levels = peer_levels_[from];
  peer_levels.domain = peer->domain;
  peer_levels.reported_at = now;
  peer_levels.levels.clear();
  for (const std::uint8_t level : report.levels) {
    peer_levels.levels.push_back(UnpackLevel(level));
  }
  peer_levels.retry_at.resize(peer_levels.levels.size());
}

}  // namespace figwell::budget
