#include <algorithm>
#include <bit>
#include <cmath>
#include <tuple>

#include "figwell/budget.h"

namespace figwell::budget {
namespace {

/** Weight of the latest tick in the moving average of a team's demand. */
constexpr double kDemandWeight = 0.02;

/** A source keeps the tokens that its own callers need in this time. */
constexpr double kReserveSeconds = 0.25;

/** Prefetching covers the demand of this time; below kTransferLifetime. */
constexpr double kPrefetchSeconds = 0.2;

/** Bounds of TransferItem::retry_ms in an answer. */
constexpr Duration kMinRetry = std::chrono::milliseconds(20);
constexpr Duration kMaxRetry = std::chrono::milliseconds(500);

/** Prefetches of fewer tokens are not worth a message. */
constexpr Tokens kMinPrefetch = 256;

/** After this, an unanswered request counts as lost and may be repeated. */
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);

/** Bounds of the exponential backoff after prefetches that got no tokens. */
constexpr Duration kMinBackoff = std::chrono::milliseconds(200);
constexpr Duration kMaxBackoff = std::chrono::seconds(8);

/** Up to this number, tokens are requested from one peer, all or nothing. */
constexpr Tokens kMaxWhole = 8192;

/** Maximum peers that one call requests a team's tokens from. */
constexpr std::size_t kMaxAskedPeers = 3;

/** Older level reports are dropped. */
constexpr Duration kReportLifetime = std::chrono::seconds(10);

/**
 * A fleet with up to kReportFanout peers reports to all of them; a gateway of a
 * larger one reports to kGroupReports peers of its group and one random peer.
 */
constexpr std::size_t kReportFanout = 8;
constexpr std::size_t kGroupReports = 2;

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
  number_ = number;
  budgets_ = std::move(budgets);
  index_.clear();
  demand_.clear();
  known_.clear();
  asked_.clear();
  stamps_.clear();
  for (const auto& budget : budgets_->budgets()) {
    index_[HashTeam(budget->team())] = demand_.size();
    Demand demand = old[budget->team()];
    demand.on_the_way = 0;
    demand_.push_back(demand);
  }
}

void Transfers::SetPeers(const std::vector<TransferPeer>& peers) {
  peers_.clear();
  std::copy_if(peers.begin(), peers.end(), std::back_inserter(peers_),
               [&](const TransferPeer& peer) {
                 return peer.instance != self_.instance;
               });
  group_ = NearGroup(self_, peers);
  std::erase(group_, self_);
  std::erase_if(known_, [&](const auto& entry) {
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
      return peer.instance == entry.first;
    });
  });
}

std::optional<std::size_t> Transfers::IndexOf(TeamHash team) const {
  const auto found = index_.find(team);
  return found == index_.end() ? std::nullopt
                               : std::optional<std::size_t>(found->second);
}

/** Tokens that this gateway's own callers will need soon. */
Tokens Transfers::Reserve(std::size_t team) const {
  return static_cast<Tokens>(demand_[team].tokens_per_second * kReserveSeconds);
}

void Transfers::MeasureDemand(TimePoint now) {
  const double elapsed = Seconds(now - measured_);
  if (elapsed <= 0) {
    return;
  }
  measured_ = now;
  const double weight =
      1 - std::pow(1 - kDemandWeight, elapsed / Seconds(kTransferTick));
  for (std::size_t i = 0; i < demand_.size(); ++i) {
    const auto asked =
        static_cast<double>(budgets_->budgets()[i]->TakeDemand());
    double& average = demand_[i].tokens_per_second;
    average += weight * (asked / elapsed - average);
  }
}

/**
 * Removes expired requests and level reports, and recomputes the tokens in
 * flight.
 */
void Transfers::Forget(TimePoint now) {
  std::erase_if(asked_, [&](const auto& entry) {
    return now - entry.second.at >= kTransferLifetime;
  });
  std::erase_if(known_, [&](const auto& entry) {
    return now - entry.second.heard >= kReportLifetime;
  });
  for (Demand& demand : demand_) {
    demand.on_the_way = 0;
  }
  for (const auto& [id, asked] : asked_) {
    if (now - asked.at < kAnswerTimeout) {
      for (const AskedItem& item : asked.items) {
        demand_[item.team].on_the_way += item.tokens;
      }
    }
  }
}

TransferActions Transfers::Tick(TimePoint now) {
  TransferActions actions;
  MeasureDemand(now);
  Forget(now);
  Report(now, actions.reports);
  Requests requests;
  Prefetch(now, requests);
  actions.requests = Send(now, requests);
  actions.returns = TakeReturns();
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
  for (std::size_t i = 0; i < std::min(kGroupReports, group_.size()); ++i) {
    targets.push_back(group_[next_of_group_++ % group_.size()].instance);
  }
  targets.push_back(peers_[random_.Below(peers_.size())].instance);
  return targets;
}

void Transfers::Report(TimePoint now, std::vector<Outgoing<LevelReport>>& out) {
  if (now < next_report_ || peers_.empty()) {
    return;
  }
  LevelReport report;
  report.configuration = number_;
  for (std::size_t i = 0; i < demand_.size(); ++i) {
    const Tokens level = budgets_->budgets()[i]->Level(now);
    // A gateway with any capacity reports at least 1, so that peers keep
    // requesting tokens from it.
    const bool has_part = budgets_->budgets()[i]->Room(now) + level > 0;
    report.levels.push_back(
        PackLevel(std::max<Tokens>(has_part ? 1 : 0, level - Reserve(i))));
  }
  for (const InstanceId& target : PickReportTargets()) {
    out.push_back({target, report});
  }
  const auto bytes =
      static_cast<std::int64_t>(out.size()) *
      (kReportHeaderBytes + static_cast<std::int64_t>(report.levels.size()));
  const auto paced = std::chrono::duration_cast<Duration>(
      std::chrono::seconds(bytes) / kReportBytesPerSecond);
  next_report_ = now + std::max(kMinReportInterval, paced);
}

void Transfers::Prefetch(TimePoint now, Requests& requests) {
  for (std::size_t i = 0; i < demand_.size(); ++i) {
    Demand& demand = demand_[i];
    const auto coming =
        static_cast<Tokens>(demand.tokens_per_second * kPrefetchSeconds);
    if (coming < kMinPrefetch || now < demand.not_before) {
      continue;
    }
    TeamBudget& budget = *budgets_->budgets()[i];
    const Tokens have = budget.Available(now) + demand.on_the_way;
    // Tokens beyond the level's free capacity would expire.
    const Tokens wanted = std::min(coming - have, budget.Room(now));
    if (have >= coming / 2 || wanted < kMinPrefetch) {
      continue;
    }
    const Tokens asked = Spread(now, i, wanted, requests);
    // Doubled at each prefetch; an answer that grants tokens resets it.
    demand.backoff = std::clamp(demand.backoff * 2, kMinBackoff, kMaxBackoff);
    demand.not_before = now + (asked > 0 ? demand.backoff : kMinBackoff);
  }
}

/**
 * The peer to request tokens from next: one that has enough, preferably in the
 * own domain, otherwise the one with the highest level. Null if no peer
 * reported any capacity or all of them are waiting out a retry time.
 */
Transfers::Known* Transfers::Richest(TimePoint now, std::size_t team,
                                     Tokens wanted, InstanceId& giver) {
  Known* best = nullptr;
  std::tuple<bool, bool, Tokens> best_rank;
  for (auto& [instance, known] : known_) {
    const Tokens level = known.levels[team];
    if (level <= 0 || now < known.retry_at[team]) {
      continue;
    }
    const bool enough = level >= wanted;
    const std::tuple rank(enough, enough && known.domain == self_.domain,
                          level);
    if (best == nullptr || rank > best_rank) {
      best = &known;
      best_rank = rank;
      giver = instance;
    }
  }
  return best;
}

/**
 * Requests all of `wanted` from one peer: a part of the tokens that a caller
 * needs would expire unspent. Only a number above kMaxWhole, which may be more
 * than any one peer has, is split over several peers.
 * @return the tokens requested
 */
Tokens Transfers::Spread(TimePoint now, std::size_t team, Tokens wanted,
                         Requests& requests) {
  Tokens left = wanted;
  const bool whole = wanted <= kMaxWhole;
  for (std::size_t n = 0; n < kMaxAskedPeers && left > 0; ++n) {
    InstanceId giver;
    Known* best = Richest(now, team, left, giver);
    if (best == nullptr) {
      break;
    }
    const Tokens part = whole ? left : std::min(left, best->levels[team]);
    best->levels[team] = std::max<Tokens>(1, best->levels[team] - part);
    left -= part;
    Asked& asked = requests[giver];
    asked.at = now;
    asked.giver = giver;
    asked.items.push_back({team, part, whole});
    demand_[team].on_the_way += part;
  }
  return wanted - left;
}

std::vector<Outgoing<TransferRequest>> Transfers::Send(
    TimePoint, const Requests& requests) {
  std::vector<Outgoing<TransferRequest>> out;
  for (const auto& [giver, asked] : requests) {
    TransferRequest request;
    request.id = next_id_++;
    for (const AskedItem& item : asked.items) {
      if (request.wanted.size() < kMaxTransferItems) {
        request.wanted.push_back(
            {HashTeam(budgets_->budgets()[item.team]->team()),
             static_cast<std::uint32_t>(
                 std::min<Tokens>(item.tokens, UINT32_MAX)),
             item.whole, 0});
      }
    }
    asked_.emplace(request.id, asked);
    out.push_back({giver, std::move(request)});
  }
  return out;
}

TransferActions Transfers::Ask(TimePoint now, const TeamId& team,
                               Tokens missing) {
  TransferActions actions;
  const auto index = IndexOf(HashTeam(team));
  if (!index.has_value()) {
    return actions;
  }
  Forget(now);
  const Tokens wanted = missing - demand_[*index].on_the_way;
  if (wanted > 0) {
    Requests requests;
    Spread(now, *index, wanted, requests);
    actions.requests = Send(now, requests);
  }
  return actions;
}

std::optional<TransferAnswer> Transfers::OnRequest(
    TimePoint now, const TransferRequest& request) {
  if (request.wanted.size() > kMaxTransferItems) {
    return std::nullopt;
  }
  TransferAnswer answer;
  answer.id = request.id;
  answer.incarnation = incarnation_;
  answer.given_at = now.time_since_epoch().count();
  for (const TransferItem& item : request.wanted) {
    const auto team = IndexOf(item.team);
    answer.given.push_back(team.has_value() ? GiveItem(now, *team, item)
                                            : TransferItem{item.team});
  }
  return answer;
}

TransferItem Transfers::GiveItem(TimePoint now, std::size_t team,
                                 const TransferItem& wanted) {
  TeamBudget& budget = *budgets_->budgets()[team];
  const Tokens keep = Reserve(team);
  TransferItem given{wanted.team};
  // A part of the tokens that one caller needs would expire unspent.
  const bool enough =
      !wanted.whole || budget.Level(now) - keep >= Tokens{wanted.tokens};
  if (enough) {
    given.tokens =
        static_cast<std::uint32_t>(budget.Give(now, wanted.tokens, keep));
  }
  if (given.tokens < wanted.tokens) {
    const Duration wait = std::clamp<Duration>(
        budget.TimeUntil(now, wanted.tokens + keep), kMinRetry, kMaxRetry);
    given.retry_ms = static_cast<std::uint16_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
  }
  return given;
}

bool Transfers::OnAnswer(TimePoint now, const InstanceId& from,
                         const TransferAnswer& answer) {
  const auto found = asked_.find(answer.id);
  if (found == asked_.end() || found->second.giver != from) {
    return false;
  }
  // Erased before the credit, so that a repeated answer has no effect.
  Asked asked = std::move(found->second);
  asked_.erase(found);
  bool credited = false;
  for (const TransferItem& item : answer.given) {
    const auto team = IndexOf(item.team);
    const auto wanted = std::find_if(
        asked.items.begin(), asked.items.end(),
        [&](const AskedItem& entry) { return entry.team == team; });
    if (!team.has_value() || wanted == asked.items.end()) {
      continue;
    }
    const Tokens tokens = std::min<Tokens>(item.tokens, wanted->tokens);
    budgets_->budgets()[*team]->Credit(now, tokens,
                                       asked.at + kTransferLifetime);
    if (tokens > 0) {
      NoteStamp(*team, {now, from, answer.incarnation, answer.given_at});
      credited = true;
      demand_[*team].backoff = Duration::zero();
    }
    const auto known = known_.find(from);
    if (tokens < wanted->tokens && known != known_.end()) {
      known->second.levels[*team] = 1;
      known->second.retry_at[*team] =
          now + std::chrono::milliseconds(item.retry_ms);
    }
    asked.items.erase(wanted);
  }
  return credited;
}

void Transfers::OnReport(TimePoint now, const InstanceId& from,
                         const LevelReport& report) {
  const auto peer = std::find_if(
      peers_.begin(), peers_.end(),
      [&](const TransferPeer& known) { return known.instance == from; });
  if (peer == peers_.end() || report.configuration != number_ ||
      report.levels.size() != demand_.size()) {
    return;
  }
  Known& known = known_[from];
  known.domain = peer->domain;
  known.heard = now;
  known.levels.clear();
  for (const std::uint8_t level : report.levels) {
    known.levels.push_back(UnpackLevel(level));
  }
  known.retry_at.resize(known.levels.size());
}

}  // namespace figwell::budget
