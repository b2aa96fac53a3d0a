#include <algorithm>

#include "figwell/budget.h"

namespace figwell::budget {
namespace {

__extension__ using Int128 = __int128;

/** At this size, the history of free capacity is merged pairwise. */
constexpr std::size_t kMaxFreeCapacityMarks = 256;

constexpr Duration kClockTick{1};

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
static_assert(kMicroTokensPerToken == kMicrosecondsPerSecond,
              "tokens per second equal micro-tokens per microsecond");

}  // namespace

TokenBucket::TokenBucket() {
  free_capacity_marks_.reserve(kMaxFreeCapacityMarks);
}

/** The units usable at advanced_to_: this gateway's own and those borrowed. */
std::int64_t TokenBucket::UsableUnits() const {
  const bool own = advanced_to_ < valid_until_ && advanced_to_ >= lent_until_;
  std::int64_t units = own ? share_.units : 0;
  for (const BorrowedShare& borrowed : borrowed_) {
    units += borrowed.share.units;
  }
  return units;
}

MicroTokens TokenBucket::Capacity() const {
  return static_cast<MicroTokens>(Int128{limit_.burst} * kMicroTokensPerToken *
                                  UsableUnits() / share_.total);
}

/** Free capacity for refills, refunds and grants moved into the level. */
MicroTokens TokenBucket::FreeCapacity() const {
  return std::max<MicroTokens>(0, Capacity() - reserved_ - level_);
}

MicroTokens TokenBucket::Granted() const {
  MicroTokens sum = 0;
  for (const ExpiringAmount& grant : grants_) {
    sum += grant.amount;
  }
  return sum;
}

void TokenBucket::Refill(Duration elapsed) {
  const Int128 refilled =
      Int128{limit_.rate} * UsableUnits() * elapsed.count() +
      Int128{remainder_};
  const Int128 whole = refilled / share_.total;
  const MicroTokens free_capacity = FreeCapacity();
  if (whole >= free_capacity) {
    level_ += free_capacity;
    remainder_ = 0;
    return;
  }
  level_ += static_cast<MicroTokens>(whole);
  remainder_ = static_cast<std::int64_t>(refilled % share_.total);
}

/**
 * The next time after advanced_to_ at which the usable units or the reserved
 * capacity change.
 */
TimePoint TokenBucket::NextBoundary() const {
  TimePoint next = TimePoint::max();
  const auto consider = [&](TimePoint when) {
    next = when > advanced_to_ ? std::min(next, when) : next;
  };
  consider(valid_until_);
  consider(lent_until_);
  if (!reservations_.empty()) {
    consider(reservations_.front().until);
  }
  for (const BorrowedShare& borrowed : borrowed_) {
    consider(borrowed.until);
  }
  return next;
}

/** Brings the state to `now`, in steps that end at each boundary. */
void TokenBucket::Advance(TimePoint now) {
  for (TimePoint next = NextBoundary(); next <= now; next = NextBoundary()) {
    AdvanceTo(next);
  }
  AdvanceTo(now);
}

void TokenBucket::AdvanceTo(TimePoint now) {
  if (now <= advanced_to_) {
    return;
  }
  Refill(now - advanced_to_);
  // Dated one tick before `now`: a spend at `now` comes after this refill, so
  // its refund must not be limited by this mark.
  RecordFreeCapacity(now - kClockTick);
  advanced_to_ = now;
  Expire();
}

/** Removes reservations, grants and loans that have expired by advanced_to_. */
void TokenBucket::Expire() {
  while (!reservations_.empty() &&
         reservations_.front().until <= advanced_to_) {
    reserved_ -= reservations_.front().amount;
    reservations_.pop_front();
  }
  std::erase_if(grants_, [&](const ExpiringAmount& grant) {
    return grant.until <= advanced_to_;
  });
  std::erase_if(borrowed_, [&](const BorrowedShare& borrowed) {
    return borrowed.until <= advanced_to_;
  });
  LimitLevel();
}

/** Reduces the level to the unreserved capacity of the usable units. */
void TokenBucket::LimitLevel() {
  const MicroTokens max_level =
      std::max<MicroTokens>(0, Capacity() - reserved_);
  if (level_ > max_level) {
    level_ = max_level;
    remainder_ = 0;
    RecordFreeCapacity(advanced_to_);
  }
}

/**
 * Records the current free capacity; must be called whenever it may have
 * shrunk. Marks are kept such that the first one at or after a time has the
 * minimum free capacity since that time.
 */
void TokenBucket::RecordFreeCapacity(TimePoint at) {
  const MicroTokens free_capacity = FreeCapacity();
  while (!free_capacity_marks_.empty() &&
         free_capacity_marks_.back().min_free_capacity >= free_capacity) {
    free_capacity_marks_.pop_back();
  }
  if (free_capacity_marks_.size() >= kMaxFreeCapacityMarks) {
    MergeMarks();
  }
  free_capacity_marks_.push_back({at, free_capacity});
}

/**
 * Merges neighbouring marks in pairs, each with the later time and the smaller
 * free capacity.
 */
void TokenBucket::MergeMarks() {
  const std::size_t pairs = free_capacity_marks_.size() / 2;
  for (std::size_t i = 0; i < pairs; ++i) {
    free_capacity_marks_[i] = {free_capacity_marks_[2 * i + 1].at,
                               free_capacity_marks_[2 * i].min_free_capacity};
  }
  free_capacity_marks_.resize(pairs);
}

void TokenBucket::Configure(TimePoint now, Limit limit, Share share) {
  Advance(now);
  if (limit == limit_ && share == share_) {
    return;
  }
  // Shares with different totals cannot be added up.
  if (share.total != share_.total) {
    borrowed_.clear();
  }
  limit_ = limit;
  share_ = share;
  remainder_ = 0;
  LimitLevel();
  RecordFreeCapacity(advanced_to_);
}

void TokenBucket::SetValidUntil(TimePoint now, TimePoint until) {
  Advance(now);
  valid_until_ = until;
  LimitLevel();
}

bool TokenBucket::Spend(TimePoint now, Tokens cost) {
  Advance(now);
  MicroTokens due = cost * kMicroTokensPerToken;
  if (level_ + Granted() < due) {
    return false;
  }
  // Grants expire, so they are spent before the level, the oldest first.
  for (ExpiringAmount& grant : grants_) {
    const MicroTokens spent = std::min(due, grant.amount);
    grant.amount -= spent;
    due -= spent;
  }
  std::erase_if(grants_,
                [](const ExpiringAmount& grant) { return grant.amount == 0; });
  level_ -= due;
  return true;
}

Tokens TokenBucket::Refund(TimePoint now, TimePoint admitted, Tokens unused) {
  Advance(now);
  const auto since = std::find_if(
      free_capacity_marks_.begin(), free_capacity_marks_.end(),
      [&](const FreeCapacityMark& mark) { return mark.at >= admitted; });
  // If the cost had been lower, the level would have been higher since. Where
  // the bucket had less free capacity than that, the refill would have been cut
  // off, so that the refund is bounded by the minimum free capacity since.
  MicroTokens refund = std::min(unused * kMicroTokensPerToken, FreeCapacity());
  if (since != free_capacity_marks_.end()) {
    refund = std::min(refund, since->min_free_capacity);
  }
  // Whole tokens, so that the rest can be returned to another gateway.
  refund -= refund % kMicroTokensPerToken;
  if (refund <= 0) {
    return unused;
  }
  level_ += refund;
  for (auto mark = since; mark != free_capacity_marks_.end(); ++mark) {
    mark->min_free_capacity -= refund;
  }
  if (since != free_capacity_marks_.end()) {
    const MicroTokens min_since = since->min_free_capacity;
    free_capacity_marks_.erase(std::find_if(free_capacity_marks_.begin(), since,
                                            [&](const FreeCapacityMark& mark) {
                                              return mark.min_free_capacity >=
                                                     min_since;
                                            }),
                               since);
  }
  return unused - refund / kMicroTokensPerToken;
}

Tokens TokenBucket::Debit(TimePoint now, Tokens requested, Tokens keep) {
  Advance(now);
  const Tokens spare =
      std::max<Tokens>(0, level_ / kMicroTokensPerToken - keep);
  const Tokens debited = std::clamp<Tokens>(requested, 0, spare);
  if (debited > 0) {
    level_ -= debited * kMicroTokensPerToken;
    reserved_ += debited * kMicroTokensPerToken;
    reservations_.push_back(
        {advanced_to_ + kTransferReservation, debited * kMicroTokensPerToken});
  }
  return debited;
}

Loan TokenBucket::Lend(TimePoint now, std::uint64_t borrower) {
  Advance(now);
  const bool lent_elsewhere =
      advanced_to_ < lent_until_ && lent_to_ != borrower;
  const Duration lifetime =
      std::min<Duration>(kLoanLifetime, valid_until_ - advanced_to_);
  // Transferred tokens that may still be spent occupy a part of the capacity.
  // A gateway that borrows shares lends neither them nor its own.
  const bool unavailable = reserved_ > 0 || !borrowed_.empty();
  if (lent_elsewhere || unavailable || share_.units == 0 ||
      lifetime <= Duration::zero()) {
    return {};
  }
  // The full level goes along: while the share is lent, the capacity is 0.
  Loan loan{share_, lifetime, level_ / kMicroTokensPerToken};
  lent_until_ = advanced_to_ + kLoanReservation;
  lent_to_ = borrower;
  level_ = 0;
  RecordFreeCapacity(advanced_to_);
  return loan;
}

void TokenBucket::Borrow(TimePoint now, std::uint64_t lender, const Loan& loan,
                         TimePoint until) {
  Advance(now);
  if (until <= advanced_to_ || loan.share.total != share_.total) {
    return;
  }
  std::erase_if(borrowed_, [&](const BorrowedShare& borrowed) {
    return borrowed.lender == lender;
  });
  borrowed_.push_back({lender, until, loan.share});
  level_ += loan.tokens * kMicroTokensPerToken;
  LimitLevel();
  RecordFreeCapacity(advanced_to_);
}

void TokenBucket::Credit(TimePoint now, Tokens tokens, TimePoint expires) {
  Advance(now);
  if (tokens > 0 && advanced_to_ < expires) {
    grants_.push_back({expires, tokens * kMicroTokensPerToken});
    MoveGrantsToLevel();
  }
}

/**
 * Moves grants into the level as far as there is free capacity: tokens within
 * this gateway's own capacity need not expire.
 */
void TokenBucket::MoveGrantsToLevel() {
  MicroTokens free_capacity = FreeCapacity();
  for (ExpiringAmount& grant : grants_) {
    const MicroTokens moved = std::min(free_capacity, grant.amount);
    grant.amount -= moved;
    level_ += moved;
    free_capacity -= moved;
  }
  std::erase_if(grants_,
                [](const ExpiringAmount& grant) { return grant.amount == 0; });
  RecordFreeCapacity(advanced_to_);
}

Tokens TokenBucket::Available(TimePoint now) {
  Advance(now);
  return (level_ + Granted()) / kMicroTokensPerToken;
}

Tokens TokenBucket::Level(TimePoint now) {
  Advance(now);
  return level_ / kMicroTokensPerToken;
}

Tokens TokenBucket::FreeCapacity(TimePoint now) {
  Advance(now);
  return FreeCapacity() / kMicroTokensPerToken;
}

Duration TokenBucket::TimeUntil(TimePoint now, Tokens cost) {
  Advance(now);
  const MicroTokens due = cost * kMicroTokensPerToken;
  const MicroTokens available = level_ + Granted();
  if (available >= due) {
    return Duration::zero();
  }
  const Int128 per_microsecond = Int128{limit_.rate} * UsableUnits();
  if (due > Capacity() + Granted() || per_microsecond == 0) {
    return Duration::max();
  }
  const Int128 missing = Int128{due - available} * share_.total - remainder_;
  return Duration(static_cast<Duration::rep>((missing + per_microsecond - 1) /
                                             per_microsecond));
}

}  // namespace figwell::budget
