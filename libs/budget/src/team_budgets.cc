#include <algorithm>

#include "figwell/budget.h"

namespace figwell::budget {

// --------------------------------------------------------------- TeamBudget

SpendResult TeamBudget::SpendLocked(TimePoint now, Tokens cost) {
  SpendResult result;
  if (bucket_.Spend(now, cost)) {
    result.admitted = true;
    result.admitted_at = now;
    return result;
  }
  result.missing = cost - bucket_.Available(now);
  result.retry_after = bucket_.TimeUntil(now, cost);
  return result;
}

Tokens TeamBudget::Refund(TimePoint now, TimePoint admitted, Tokens unused) {
  const std::lock_guard lock(mutex_);
  return bucket_.Refund(now, admitted, unused);
}

Tokens TeamBudget::Debit(TimePoint now, Tokens requested, Tokens keep) {
  const std::lock_guard lock(mutex_);
  return bucket_.Debit(now, requested, keep);
}

void TeamBudget::Credit(TimePoint now, Tokens tokens, TimePoint expires) {
  const std::lock_guard lock(mutex_);
  bucket_.Credit(now, tokens, expires);
}

Loan TeamBudget::Lend(TimePoint now, std::uint64_t borrower) {
  const std::lock_guard lock(mutex_);
  return bucket_.Lend(now, borrower);
}

void TeamBudget::Borrow(TimePoint now, std::uint64_t lender, const Loan& loan,
                        TimePoint until) {
  const std::lock_guard lock(mutex_);
  bucket_.Borrow(now, lender, loan, until);
}

Tokens TeamBudget::Available(TimePoint now) {
  const std::lock_guard lock(mutex_);
  return bucket_.Available(now);
}

Tokens TeamBudget::Level(TimePoint now) {
  const std::lock_guard lock(mutex_);
  return bucket_.Level(now);
}

Tokens TeamBudget::FreeCapacity(TimePoint now) {
  const std::lock_guard lock(mutex_);
  return bucket_.FreeCapacity(now);
}

Duration TeamBudget::TimeUntil(TimePoint now, Tokens cost) {
  const std::lock_guard lock(mutex_);
  return bucket_.TimeUntil(now, cost);
}

void TeamBudget::Configure(TimePoint now, Limit limit, Share share,
                           TimePoint until) {
  const std::lock_guard lock(mutex_);
  bucket_.Configure(now, limit, share);
  bucket_.SetValidUntil(now, until);
}

Tokens TeamBudget::ConsumeDemand() {
  const std::lock_guard lock(mutex_);
  return std::exchange(demand_, 0);
}

// -------------------------------------------------------------- BudgetTable

TeamBudget* BudgetTable::Find(const TeamId& team) const {
  const auto found = std::lower_bound(
      budgets_.begin(), budgets_.end(), team,
      [](const auto& budget, const TeamId& id) { return budget->team() < id; });
  const bool hit = found != budgets_.end() && (*found)->team() == team;
  return hit ? found->get() : nullptr;
}

// -------------------------------------------------------------- TeamBudgets

void TeamBudgets::Configure(TimePoint now,
                            const config::Configuration& configuration) {
  auto table = std::make_shared<BudgetTable>();
  std::map<TeamId, Limit> limits;
  for (const auto& [id, team] : configuration.teams) {
    limits.emplace(id, Limit{team.rate, team.burst});
    const auto old = std::find_if(
        table_->budgets_.begin(), table_->budgets_.end(),
        [&team = id](const auto& budget) { return budget->team() == team; });
    table->budgets_.push_back(old != table_->budgets_.end()
                                  ? *old
                                  : std::make_shared<TeamBudget>(id));
  }
  // A request that still uses the old snapshot can spend nothing of a removed
  // team.
  for (const auto& budget : table_->budgets_) {
    if (!limits.contains(budget->team())) {
      budget->Configure(now, Limit{}, Share{}, now);
    }
  }
  limits_ = std::move(limits);
  table_ = std::move(table);
  Apply(now);
}

void TeamBudgets::SetShare(TimePoint now, Share share, TimePoint until) {
  share_ = share;
  valid_until_ = until;
  Apply(now);
}

void TeamBudgets::Apply(TimePoint now) {
  for (const auto& budget : table_->budgets()) {
    budget->Configure(now, limits_.at(budget->team()), share_, valid_until_);
  }
}

}  // namespace figwell::budget
