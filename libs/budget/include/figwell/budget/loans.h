#ifndef FIGWELL_BUDGET_LOANS_H_
#define FIGWELL_BUDGET_LOANS_H_

/** Pools a small team's shares at one gateway; see budget.h. */

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "figwell/budget/buckets.h"
#include "figwell/budget/transfers.h"
#include "figwell/config.h"
#include "figwell/core.h"

namespace figwell::budget {

/** Asks another gateway to lend its shares of some teams. */
struct LoanRequest {
  /** Unique within the borrower's incarnation. */
  std::uint64_t id = 0;
  std::uint64_t incarnation = 0;
  std::vector<TeamHash> teams;

  friend bool operator==(const LoanRequest&, const LoanRequest&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, teams);
  }
};

/** One team's share that is lent. */
struct LoanItem {
  TeamHash team = 0;
  std::uint32_t units = 0;
  std::uint32_t lifetime_ms = 0;
  std::uint64_t tokens = 0;

  friend bool operator==(const LoanItem&, const LoanItem&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(team, units, lifetime_ms, tokens);
  }
};

/** The shares that are lent; teams without a loan are left out. */
struct LoanAnswer {
  std::uint64_t id = 0;
  std::uint64_t incarnation = 0;
  /** The fleet's total, of which the units are a share. */
  std::int64_t total = 1;
  std::vector<LoanItem> loans;

  friend bool operator==(const LoanAnswer&, const LoanAnswer&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, total, loans);
  }
};

/** Maximum teams of one message; receivers drop longer messages. */
inline constexpr std::size_t kMaxLoanItems = 64;

/**
 * A team's shares are pooled if its burst divided by the number of gateways is
 * below this: the first value applies to a fleet that is one group, the second
 * to a larger fleet, in which loans cost more messages.
 */
inline constexpr Tokens kPoolingThreshold = 8192;
inline constexpr Tokens kPoolingThresholdInLargeFleet = 1024;

/**
 * A gateway's share of a small team's burst can be less than the cost of one
 * request, and have no free capacity for refunds. Therefore one gateway of each
 * group, selected by rendezvous hashing, borrows the others' shares of such a
 * team. Gateways need not agree on the borrower: a share is lent to one
 * borrower at a time, and comes back empty when its loan is not renewed.
 */
class Loans {
 public:
  Loans(TransferPeer self, std::uint64_t incarnation);

  /** Puts a configuration's teams in force. */
  void Configure(const config::Configuration& configuration,
                 std::shared_ptr<const BudgetTable> budgets);

  /** The live gateways, this one included. */
  void SetPeers(const std::vector<TransferPeer>& peers);

  /** Requests and renews loans. Call it every kTransferTick. */
  std::vector<Outgoing<LoanRequest>> Tick(TimePoint now);

  /**
   * Lends the shares that can be lent.
   * @return the answer to send; nullopt if the request has too many teams
   */
  std::optional<LoanAnswer> OnRequest(TimePoint now, const InstanceId& from,
                                      const LoanRequest& request);
  void OnAnswer(TimePoint now, const InstanceId& from,
                const LoanAnswer& answer);

 private:
  struct PendingRequest {
    TimePoint at;
    InstanceId lender;
  };

  void SelectPooledTeams();

  TransferPeer self_;
  std::uint64_t incarnation_;
  std::shared_ptr<const BudgetTable> budgets_;
  std::map<TeamId, Tokens> bursts_;
  std::vector<TransferPeer> peers_;
  std::vector<TransferPeer> group_;
  std::vector<TeamHash> pooled_teams_;  // teams whose shares we borrow
  std::map<std::uint64_t, PendingRequest> pending_requests_;
  std::uint64_t next_request_id_ = 1;
  TimePoint next_request_at_;
};

}  // namespace figwell::budget

#endif  // FIGWELL_BUDGET_LOANS_H_
