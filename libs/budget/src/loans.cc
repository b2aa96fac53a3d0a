#include "figwell/budget/loans.h"

#include <algorithm>
#include <tuple>

namespace figwell::budget {
namespace {

/** Short enough to renew loans in time even if a message is lost. */
constexpr Duration kLoanRenewalInterval = std::chrono::milliseconds(1250);

/** Maximum members of a group. */
constexpr std::size_t kMaxGroupSize = 9;

TeamBudget* FindByHash(const BudgetTable& budgets, TeamHash team) {
  for (const auto& budget : budgets.budgets()) {
    if (HashTeam(budget->team()) == team) {
      return budget.get();
    }
  }
  return nullptr;
}

}  // namespace

std::vector<TransferPeer> LendingGroup(const TransferPeer& self,
                                       std::vector<TransferPeer> peers) {
  if (std::find(peers.begin(), peers.end(), self) == peers.end()) {
    peers.push_back(self);
  }
  if (peers.size() > kMaxGroupSize) {
    std::erase_if(peers, [&](const TransferPeer& peer) {
      return peer.domain != self.domain;
    });
  }
  std::sort(peers.begin(), peers.end(),
            [](const TransferPeer& a, const TransferPeer& b) {
              return a.instance < b.instance;
            });
  const auto own = std::find(peers.begin(), peers.end(), self);
  const std::size_t position = own - peers.begin();
  const std::size_t groups = (peers.size() + kMaxGroupSize - 1) / kMaxGroupSize;
  // Neighbours in sorted order, split evenly: ten gateways make two groups of
  // five.
  const std::size_t group = position * groups / peers.size();
  std::vector<TransferPeer> members;
  for (std::size_t i = 0; i < peers.size(); ++i) {
    if (i * groups / peers.size() == group) {
      members.push_back(peers[i]);
    }
  }
  return members;
}

Loans::Loans(TransferPeer self, std::uint64_t incarnation)
    : self_(std::move(self)),
      incarnation_(incarnation),
      budgets_(std::make_shared<BudgetTable>()) {}

void Loans::Configure(const config::Configuration& configuration,
                      std::shared_ptr<const BudgetTable> budgets) {
  budgets_ = std::move(budgets);
  bursts_.clear();
  for (const auto& [id, team] : configuration.teams) {
    bursts_.emplace(id, team.burst);
  }
  SelectPooledTeams();
}

void Loans::SetPeers(const std::vector<TransferPeer>& peers) {
  peers_ = peers;
  group_ = LendingGroup(self_, peers);
  SelectPooledTeams();
}

/** The small teams for which this gateway is the group's borrower. */
void Loans::SelectPooledTeams() {
  pooled_teams_.clear();
  const auto fleet =
      static_cast<Tokens>(std::max<std::size_t>(1, peers_.size()));
  const Tokens threshold = group_.size() < peers_.size()
                               ? kPoolingThresholdInLargeFleet
                               : kPoolingThreshold;
  for (const auto& [id, burst] : bursts_) {
    // Older versions of clang cannot capture a structured binding in a lambda.
    const TeamId& team = id;
    const auto weight = [&](const TransferPeer& peer) {
      return RendezvousWeight(team.value(), peer.instance.value());
    };
    const bool selected = std::none_of(
        group_.begin(), group_.end(),
        [&](const TransferPeer& peer) { return weight(peer) > weight(self_); });
    if (selected && burst / fleet < threshold &&
        pooled_teams_.size() < kMaxLoanItems) {
      pooled_teams_.push_back(HashTeam(team));
    }
  }
}

std::vector<Outgoing<LoanRequest>> Loans::Tick(TimePoint now) {
  std::vector<Outgoing<LoanRequest>> requests;
  if (now < next_request_at_ || pooled_teams_.empty()) {
    return requests;
  }
  next_request_at_ = now + kLoanRenewalInterval;
  std::erase_if(pending_requests_, [&](const auto& entry) {
    return now - entry.second.at >= kLoanLifetime;
  });
  for (const TransferPeer& peer : group_) {
    if (peer.instance != self_.instance) {
      const std::uint64_t id = next_request_id_++;
      pending_requests_.emplace(id, PendingRequest{now, peer.instance});
      requests.push_back({peer.instance, {id, incarnation_, pooled_teams_}});
    }
  }
  return requests;
}

std::optional<LoanAnswer> Loans::OnRequest(TimePoint now,
                                           const InstanceId& from,
                                           const LoanRequest& request) {
  if (request.teams.size() > kMaxLoanItems) {
    return std::nullopt;
  }
  LoanAnswer answer{request.id, incarnation_, 1, {}};
  const std::uint64_t borrower = StableHash(from.value(), request.incarnation);
  for (const TeamHash team : request.teams) {
    TeamBudget* budget = FindByHash(*budgets_, team);
    const Loan loan = budget == nullptr ? Loan() : budget->Lend(now, borrower);
    if (loan.share.units > 0) {
      answer.total = loan.share.total;
      answer.loans.push_back(
          {team, static_cast<std::uint32_t>(loan.share.units),
           static_cast<std::uint32_t>(
               std::chrono::duration_cast<std::chrono::milliseconds>(
                   loan.lifetime)
                   .count()),
           static_cast<std::uint64_t>(loan.tokens)});
    }
  }
  return answer;
}

void Loans::OnAnswer(TimePoint now, const InstanceId& from,
                     const LoanAnswer& answer) {
  const auto found = pending_requests_.find(answer.id);
  if (found == pending_requests_.end() || found->second.lender != from) {
    return;
  }
  const TimePoint requested_at = found->second.at;
  // Erased before the loans are applied, so that a repeated answer has no
  // effect.
  pending_requests_.erase(found);
  std::set<TeamHash> seen;
  for (const LoanItem& item : answer.loans) {
    TeamBudget* budget = FindByHash(*budgets_, item.team);
    if (budget == nullptr || !seen.insert(item.team).second) {
      continue;
    }
    const Duration lifetime = std::min<Duration>(
        kLoanLifetime, std::chrono::milliseconds(item.lifetime_ms));
    budget->Borrow(now, StableHash(from.value(), answer.incarnation),
                   {{item.units, answer.total},
                    lifetime,
                    static_cast<Tokens>(item.tokens)},
                   requested_at + lifetime);
  }
}

}  // namespace figwell::budget
