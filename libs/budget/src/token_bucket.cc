#include <algorithm>

#include "figwell/budget.h"

namespace figwell::budget {
namespace {

__extension__ using Wide = __int128;

/** At this size, the history of free capacity is merged pairwise. */
constexpr std::size_t kMaxRoomMarks = 256;

constexpr Duration kTick{1};

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
static_assert(kMicro == kMicrosecondsPerSecond,
              "tokens per second equal micro-tokens per microsecond");

}  // namespace

TokenBucket::TokenBucket() { room_.reserve(kMaxRoomMarks); }

/** The units usable at last_: this gateway's own and those borrowed. */
std::int64_t TokenBucket::Units() const {
  const bool own = last_ < valid_until_ && last_ >= lent_until_;
  std::int64_t units = own ? share_.units : 0;
  for (const Borrowed& borrowed : borrowed_) {
    units += borrowed.share.units;
  }
  return units;
}

MicroTokens TokenBucket::Capacity() const {
  return static_cast<MicroTokens>(Wide{limit_.burst} * kMicro * Units() /
                                  share_.total);
}

/** Free capacity for refills, refunds and grants moved into the level. */
MicroTokens TokenBucket::Room() const {
  return std::max<MicroTokens>(0, Capacity() - held_ - level_);
}

MicroTokens TokenBucket::Granted() const {
  MicroTokens sum = 0;
  for (const Timed& grant : grants_) {
    sum += grant.amount;
  }
  return sum;
}

void TokenBucket::Mint(Duration elapsed) {
  const Wide minted =
      Wide{limit_.rate} * Units() * elapsed.count() + Wide{remainder_};
  const Wide whole = minted / share_.total;
  const MicroTokens room = Room();
  if (whole >= room) {
    level_ += room;
    remainder_ = 0;
    return;
  }
  level_ += static_cast<MicroTokens>(whole);
  remainder_ = static_cast<std::int64_t>(minted % share_.total);
}

/**
 * The next time after last_ at which the usable units or the reserved capacity
 * change.
 */
TimePoint TokenBucket::NextBoundary() const {
  TimePoint next = TimePoint::max();
  const auto consider = [&](TimePoint when) {
    next = when > last_ ? std::min(next, when) : next;
  };
  consider(valid_until_);
  consider(lent_until_);
  if (!holds_.empty()) {
    consider(holds_.front().until);
  }
  for (const Borrowed& borrowed : borrowed_) {
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
  if (now <= last_) {
    return;
  }
  Mint(now - last_);
  // Dated one tick before `now`: a spend at `now` comes after this refill, so
  // its refund must not be limited by this mark.
  MarkRoom(now - kTick);
  last_ = now;
  Expire();
}

/** Removes reservations, grants and loans that have expired by last_. */
void TokenBucket::Expire() {
  while (!holds_.empty() && holds_.front().until <= last_) {
    held_ -= holds_.front().amount;
    holds_.pop_front();
  }
  std::erase_if(grants_,
                [&](const Timed& grant) { return grant.until <= last_; });
  std::erase_if(borrowed_, [&](const Borrowed& borrowed) {
    return borrowed.until <= last_;
  });
  Cut();
}

/** Reduces the level to the unreserved capacity of the usable units. */
void TokenBucket::Cut() {
  const MicroTokens most = std::max<MicroTokens>(0, Capacity() - held_);
  if (level_ > most) {
    level_ = most;
    remainder_ = 0;
    MarkRoom(last_);
  }
}

/**
 * Records the current free capacity; must be called whenever it may have
 * shrunk. Marks are kept such that the first one at or after a time has the
 * minimum free capacity since that time.
 */
void TokenBucket::MarkRoom(TimePoint at) {
  const MicroTokens room = Room();
  while (!room_.empty() && room_.back().least_room >= room) {
    room_.pop_back();
  }
  if (room_.size() >= kMaxRoomMarks) {
    ThinOutMarks();
  }
  room_.push_back({at, room});
}

/**
 * Merges neighbouring marks in pairs, each with the later time and the smaller
 * free capacity.
 */
void TokenBucket::ThinOutMarks() {
  const std::size_t pairs = room_.size() / 2;
  for (std::size_t i = 0; i < pairs; ++i) {
    room_[i] = {room_[2 * i + 1].at, room_[2 * i].least_room};
  }
  room_.resize(pairs);
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
  Cut();
  MarkRoom(last_);
}

void TokenBucket::SetValidUntil(TimePoint now, TimePoint until) {
  Advance(now);
  valid_until_ = until;
  Cut();
}

bool TokenBucket::Spend(TimePoint now, Tokens cost) {
  Advance(now);
  MicroTokens due = cost * kMicro;
  if (level_ + Granted() < due) {
    return false;
  }
  // Grants expire, so they are spent before the level, the oldest first.
  for (Timed& grant : grants_) {
    const MicroTokens part = std::min(due, grant.amount);
    grant.amount -= part;
    due -= part;
  }
  std::erase_if(grants_, [](const Timed& grant) { return grant.amount == 0; });
  level_ -= due;
  return true;
}

Tokens TokenBucket::Refund(TimePoint now, TimePoint admitted, Tokens unused) {
  Advance(now);
  const auto since =
      std::find_if(room_.begin(), room_.end(),
                   [&](const RoomMark& mark) { return mark.at >= admitted; });
  // If the cost had been lower, the level would have been higher since. Where
  // the bucket had less free capacity than that, the refill would have been cut
  // off, so that the refund is bounded by the minimum free capacity since.
  MicroTokens extra = std::min(unused * kMicro, Room());
  if (since != room_.end()) {
    extra = std::min(extra, since->least_room);
  }
  // Whole tokens, so that the rest can be returned to another gateway.
  extra -= extra % kMicro;
  if (extra <= 0) {
    return unused;
  }
  level_ += extra;
  for (auto mark = since; mark != room_.end(); ++mark) {
    mark->least_room -= extra;
  }
  if (since != room_.end()) {
    const MicroTokens least = since->least_room;
    room_.erase(std::find_if(room_.begin(), since,
                             [&](const RoomMark& mark) {
                               return mark.least_room >= least;
                             }),
                since);
  }
  return unused - extra / kMicro;
}

Tokens TokenBucket::Give(TimePoint now, Tokens wanted, Tokens keep) {
  Advance(now);
  const Tokens spare = std::max<Tokens>(0, level_ / kMicro - keep);
  const Tokens given = std::clamp<Tokens>(wanted, 0, spare);
  if (given > 0) {
    level_ -= given * kMicro;
    held_ += given * kMicro;
    holds_.push_back({last_ + kTransferHold, given * kMicro});
  }
  return given;
}

Loan TokenBucket::Lend(TimePoint now, std::uint64_t borrower) {
  Advance(now);
  const bool lent_elsewhere = last_ < lent_until_ && lent_to_ != borrower;
  const Duration lifetime =
      std::min<Duration>(kLoanLifetime, valid_until_ - last_);
  // Transferred tokens that may still be spent occupy a part of the capacity.
  // A gateway that borrows shares lends neither them nor its own.
  const bool busy = held_ > 0 || !borrowed_.empty();
  if (lent_elsewhere || busy || share_.units == 0 ||
      lifetime <= Duration::zero()) {
    return {};
  }
  // The full level goes along: while the share is lent, the capacity is 0.
  Loan loan{share_, lifetime, level_ / kMicro};
  lent_until_ = last_ + kLoanHold;
  lent_to_ = borrower;
  level_ = 0;
  MarkRoom(last_);
  return loan;
}

void TokenBucket::Borrow(TimePoint now, std::uint64_t lender, const Loan& loan,
                         TimePoint until) {
  Advance(now);
  if (until <= last_ || loan.share.total != share_.total) {
    return;
  }
  std::erase_if(borrowed_, [&](const Borrowed& borrowed) {
    return borrowed.lender == lender;
  });
  borrowed_.push_back({lender, until, loan.share});
  level_ += loan.tokens * kMicro;
  Cut();
  MarkRoom(last_);
}

void TokenBucket::Credit(TimePoint now, Tokens tokens, TimePoint expires) {
  Advance(now);
  if (tokens > 0 && last_ < expires) {
    grants_.push_back({expires, tokens * kMicro});
    FoldGrants();
  }
}

/**
 * Moves grants into the level as far as there is free capacity: tokens within
 * this gateway's own capacity need not expire.
 */
void TokenBucket::FoldGrants() {
  MicroTokens room = Room();
  for (Timed& grant : grants_) {
    const MicroTokens part = std::min(room, grant.amount);
    grant.amount -= part;
    level_ += part;
    room -= part;
  }
  std::erase_if(grants_, [](const Timed& grant) { return grant.amount == 0; });
  MarkRoom(last_);
}

Tokens TokenBucket::Available(TimePoint now) {
  Advance(now);
  return (level_ + Granted()) / kMicro;
}

Tokens TokenBucket::Level(TimePoint now) {
  Advance(now);
  return level_ / kMicro;
}

Tokens TokenBucket::Room(TimePoint now) {
  Advance(now);
  return Room() / kMicro;
}

Duration TokenBucket::TimeUntil(TimePoint now, Tokens cost) {
  Advance(now);
  const MicroTokens due = cost * kMicro;
  const MicroTokens have = level_ + Granted();
  if (have >= due) {
    return Duration::zero();
  }
  const Wide per_microsecond = Wide{limit_.rate} * Units();
  if (due > Capacity() + Granted() || per_microsecond == 0) {
    return Duration::max();
  }
  const Wide parts = Wide{due - have} * share_.total - remainder_;
  return Duration(static_cast<Duration::rep>((parts + per_microsecond - 1) /
                                             per_microsecond));
}

}  // namespace figwell::budget
