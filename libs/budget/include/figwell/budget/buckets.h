#ifndef FIGWELL_BUDGET_BUCKETS_H_
#define FIGWELL_BUDGET_BUCKETS_H_

/** Shares, token buckets and the budgets of all teams; see budget.h. */

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "figwell/config.h"
#include "figwell/core.h"

namespace figwell::budget {

// ------------------------------------------------------------------- shares

/** Whole tokens. */
using Tokens = std::int64_t;

/** Millionths of a token, the unit in which buckets count. */
using MicroTokens = std::int64_t;

inline constexpr MicroTokens kMicroTokensPerToken = 1'000'000;

/**
 * A gateway's share of every team's limit: `units` of `total`;
 * 0 <= units <= total, total > 0.
 */
struct Share {
  std::int64_t units = 0;
  std::int64_t total = 1;

  friend bool operator==(const Share&, const Share&) = default;
};

/** A team's limit over the whole fleet. */
struct Limit {
  Tokens rate = 0;  ///< tokens per second
  Tokens burst = 0;

  friend bool operator==(const Limit&, const Limit&) = default;
};

/**
 * How long the requester may use transferred tokens, counted from the time it
 * sent its request.
 */
inline constexpr Duration kTransferLifetime = std::chrono::milliseconds(250);

/**
 * How long the source of a transfer keeps the capacity of the transferred
 * tokens reserved, so that it is not refilled: kTransferLifetime and a margin
 * for clocks whose rates differ by up to a tenth.
 */
inline constexpr Duration kTransferReservation = std::chrono::milliseconds(300);

/** Maximum duration of a loan, counted from the borrower's request. */
inline constexpr Duration kLoanLifetime = std::chrono::seconds(4);

/**
 * How long a lender does not use its share after it last lent it:
 * kLoanLifetime and a margin for clocks whose rates differ.
 */
inline constexpr Duration kLoanReservation = std::chrono::milliseconds(4800);

/** A share that one gateway lends to another for a limited time. */
struct Loan {
  Share share;
  /** Counted from the borrower's request; at most kLoanLifetime. */
  Duration lifetime{0};
  /** The lender's level at the loan, which is added to the borrower's. */
  std::int64_t tokens = 0;

  friend bool operator==(const Loan&, const Loan&) = default;
};

// -------------------------------------------------------------- TokenBucket

/**
 * One team's tokens at one gateway. Uses integer arithmetic and carries the
 * remainder of each refill over to the next, so that rounding errors do not
 * add up. Not thread-safe. A time before the latest one that was passed is
 * treated as the latest one.
 *
 * A bucket has two kinds of tokens: the level, which is refilled here and
 * bounded by this gateway's share of the burst (the capacity), and grants,
 * which were transferred from other gateways and expire.
 */
class TokenBucket {
 public:
  TokenBucket();

  /**
   * Puts a limit and share in force. The level stays, but is reduced to the
   * new capacity if it exceeds that; added capacity starts empty.
   * @param limit both values at least 0
   */
  void Configure(TimePoint now, Limit limit, Share share);

  /**
   * Lets the bucket use its share until `until`. From then on the share adds
   * no capacity, and the level is reduced accordingly. If a later call extends
   * the time, the capacity that comes back starts empty.
   */
  void SetValidUntil(TimePoint now, TimePoint until);

  /** Spends `cost` tokens, all or none. @return whether they were spent */
  bool Spend(TimePoint now, Tokens cost);

  /**
   * Refunds `unused` tokens of a spend at `admitted`. The level becomes what
   * it would be if the true cost had been charged then: tokens that the bucket
   * could not have gained since, because it would have been full, are not
   * refunded.
   *
   * The spend may have been at another gateway, with tokens transferred from
   * here: a token that was not spent there could have stayed in this bucket,
   * provided that the bucket had free capacity for it the entire time.
   *
   * @return the tokens that could not be refunded for lack of free capacity
   */
  Tokens Refund(TimePoint now, TimePoint admitted, Tokens unused);

  /**
   * Debits up to `requested` tokens from the level for another gateway, leaving
   * at least `keep`, and reserves their capacity for kTransferReservation.
   * @return the tokens debited
   */
  Tokens Debit(TimePoint now, Tokens requested, Tokens keep);

  /** Adds transferred tokens, which can be spent before `expires`. */
  void Credit(TimePoint now, Tokens tokens, TimePoint expires);

  /**
   * Lends this gateway's share and level to another. This gateway does not
   * use the share for kLoanReservation; lending it again before that extends
   * the time.
   * @return an empty loan if the share cannot be lent: it is lent to another
   *   gateway, its validity is over, it has no units, capacity is reserved for
   * a transfer, or this gateway has borrowed shares itself
   */
  Loan Lend(TimePoint now, std::uint64_t borrower);

  /** Adds or extends the loan of `lender`, usable before `until`. */
  void Borrow(TimePoint now, std::uint64_t lender, const Loan& loan,
              TimePoint until);

  /** Whole tokens that can be spent at `now`. */
  Tokens Available(TimePoint now);

  /** Whole tokens of the level at `now`: those that can be transferred. */
  Tokens Level(TimePoint now);

  /** Whole tokens that the level can gain at `now`. */
  Tokens FreeCapacity(TimePoint now);

  /**
   * The time from `now` until this gateway's own refill makes `cost` tokens
   * available; Duration::max() if its capacity is too small for that.
   */
  Duration TimeUntil(TimePoint now, Tokens cost);

 private:
  struct ExpiringAmount {
    TimePoint until;
    MicroTokens amount = 0;
  };
  struct BorrowedShare {
    std::uint64_t lender = 0;
    TimePoint until;
    Share share;
  };

  /** The minimum free capacity since a time. */
  struct FreeCapacityMark {
    TimePoint at;
    MicroTokens min_free_capacity = 0;
  };

  void Advance(TimePoint now);
  void AdvanceTo(TimePoint now);
  TimePoint NextBoundary() const;
  void Expire();
  void Refill(Duration elapsed);
  void LimitLevel();
  void RecordFreeCapacity(TimePoint at);
  void MergeMarks();
  void MoveGrantsToLevel();
  std::int64_t UsableUnits() const;
  MicroTokens Capacity() const;
  MicroTokens FreeCapacity() const;
  MicroTokens Granted() const;

  Limit limit_;
  Share share_;
  TimePoint advanced_to_;
  TimePoint valid_until_;
  MicroTokens level_ = 0;
  // Fraction of a micro-token left by the last refill, in units of
  // 1 / share_.total.
  std::int64_t remainder_ = 0;
  MicroTokens reserved_ = 0;  // reserved capacity, the sum of reservations_
  std::deque<ExpiringAmount> reservations_;
  std::vector<ExpiringAmount> grants_;
  std::vector<FreeCapacityMark> free_capacity_marks_;
  std::vector<BorrowedShare> borrowed_;
  TimePoint lent_until_;
  std::uint64_t lent_to_ = 0;
};

// -------------------------------------------------------------- TeamBudgets

/** Outcome of an attempt to spend. */
struct SpendResult {
  bool admitted = false;
  /** When the cost was charged; an argument of Refund. */
  TimePoint admitted_at;
  /** Tokens that were missing; 0 if admitted. */
  Tokens missing = 0;
  /** If not admitted: time until this gateway's own refill could cover it. */
  Duration retry_after{0};
};

/**
 * One team's bucket, protected by a lock that is held for some tens of
 * nanoseconds and never across I/O. All members are thread-safe.
 */
class TeamBudget {
 public:
  explicit TeamBudget(TeamId team) : team_(std::move(team)) {}

  /**
   * Spends `cost` tokens. The clock is read after the lock is acquired, so
   * that a thread that slept past the end of the gateway's lease on its share
   * spends nothing.
   *
   * @param clock callable that returns the current TimePoint
   */
  template <typename Clock>
  SpendResult Spend(const Clock& clock, Tokens cost) {
    const std::lock_guard lock(mutex_);
    demand_ += cost;
    return SpendLocked(clock(), cost);
  }

  /** Like Spend, for a request that Spend has already counted as demand. */
  template <typename Clock>
  SpendResult Retry(const Clock& clock, Tokens cost) {
    const std::lock_guard lock(mutex_);
    return SpendLocked(clock(), cost);
  }

  Tokens Refund(TimePoint now, TimePoint admitted, Tokens unused);
  Tokens Debit(TimePoint now, Tokens requested, Tokens keep);
  void Credit(TimePoint now, Tokens tokens, TimePoint expires);
  Loan Lend(TimePoint now, std::uint64_t borrower);
  void Borrow(TimePoint now, std::uint64_t lender, const Loan& loan,
              TimePoint until);
  Tokens Available(TimePoint now);
  Tokens Level(TimePoint now);
  Tokens FreeCapacity(TimePoint now);
  Duration TimeUntil(TimePoint now, Tokens cost);
  void Configure(TimePoint now, Limit limit, Share share, TimePoint until);

  /** Tokens requested of this bucket since the last call, admitted or not. */
  Tokens ConsumeDemand();

  const TeamId& team() const { return team_; }

 private:
  SpendResult SpendLocked(TimePoint now, Tokens cost);

  const TeamId team_;
  std::mutex mutex_;
  TokenBucket bucket_;
  Tokens demand_ = 0;
};

/** Budgets sorted by team; traffic threads share it as a snapshot. */
class BudgetTable {
 public:
  /** The team's budget, null if the configuration has no such team. */
  TeamBudget* Find(const TeamId& team) const;
  const std::vector<std::shared_ptr<TeamBudget>>& budgets() const {
    return budgets_;
  }

 private:
  friend class TeamBudgets;
  std::vector<std::shared_ptr<TeamBudget>> budgets_;
};

/** Owns the budgets of all teams. Control thread only, except snapshots. */
class TeamBudgets {
 public:
  TeamBudgets() : table_(std::make_shared<BudgetTable>()) {}

  /** Puts a configuration in force. Teams that are new start empty. */
  void Configure(TimePoint now, const config::Configuration& configuration);

  /** Puts this gateway's share in force, valid before `until`. */
  void SetShare(TimePoint now, Share share, TimePoint until);

  /** The table that traffic threads use until the next configuration. */
  std::shared_ptr<const BudgetTable> snapshot() const { return table_; }

 private:
  void Apply(TimePoint now);

  std::map<TeamId, Limit> limits_;
  Share share_;
  TimePoint valid_until_;
  std::shared_ptr<const BudgetTable> table_;
};

}  // namespace figwell::budget

#endif  // FIGWELL_BUDGET_BUCKETS_H_
