#include "figwell/serving/leadership.h"

#include <algorithm>

namespace figwell::serving {

bool PlacementLease::LeaseHolds(TimePoint now) const {
  return lease_ != 0 && now < renewed_ + kTtl - kMargin;
}

bool PlacementLease::Leads(TimePoint now) const {
  return !resigned_ && taken_at_ && LeaseHolds(now) &&
         now >= *taken_at_ + bounds_.separation + bounds_.thaw;
}

void PlacementLease::LoseLease(TimePoint now) {
  lease_ = 0;
  taken_at_.reset();
  unsure_ = false;
  next_call_ = now;
}

std::optional<LeadershipAction> PlacementLease::Tick(TimePoint now) {
  if (call_ != Call::kNone || now < next_call_) {
    return std::nullopt;
  }
  const auto send = [&](Call call, LeadershipAction action) {
    call_ = call;
    call_sent_ = now;
    return action;
  };
  const bool wants_key = vacant_ && !resigned_;
  if (!taken_at_ && !unsure_ && !wants_key) {
    lease_ = 0;  // it runs out by itself
    return std::nullopt;
  }
  // With the key, only the store can say whether the lease has ended: its time
  // may have stood still during an outage.
  if (lease_ != 0 && !taken_at_ && !unsure_ && now >= renewed_ + kTtl) {
    LoseLease(now);
  }
  if (lease_ == 0) {
    return send(Call::kGrant,
                GrantLease{std::max(kTtl, bounds_.shortest_lease)});
  }
  if (now >= renewed_ + kRenewEvery) {
    return send(Call::kKeep, KeepLease{lease_});
  }
  if (unsure_) {
    return send(Call::kRead, ReadKey{key_});
  }
  if (wants_key && !taken_at_) {
    return send(Call::kTake, TakeKey{key_, value_, lease_});
  }
  return std::nullopt;
}

void PlacementLease::OnGranted(TimePoint now,
                               const Result<store::LeaseId>& lease) {
  call_ = Call::kNone;
  if (!lease) {
    next_call_ = now + kRetryEvery;
    return;
  }
  lease_ = *lease;
  renewed_ = call_sent_;
}

void PlacementLease::OnKept(TimePoint now, const Result<void>& kept) {
  call_ = Call::kNone;
  if (kept) {
    renewed_ = call_sent_;
    return;
  }
  if (kept.error().code == ErrorCode::kNotFound) {
    LoseLease(now);
    return;
  }
  next_call_ = now + kRetryEvery;
}

void PlacementLease::OnTaken(
    TimePoint now, const Result<std::optional<store::Revision>>& taken) {
  call_ = Call::kNone;
  if (taken) {
    if (*taken) {
      // Counted from now: the write may have been carried out this late.
      taken_at_ = now;
      fence_ = **taken;
    }
    vacant_ = false;
    return;
  }
  if (taken.error().code == ErrorCode::kNotFound) {
    LoseLease(now);
    return;
  }
  unsure_ = taken.error().code == ErrorCode::kUnknownOutcome;
  next_call_ = now + kRetryEvery;
}

void PlacementLease::OnRead(
    TimePoint now, const Result<std::optional<store::KeyValue>>& value) {
  call_ = Call::kNone;
  if (!value) {
    next_call_ = now + kRetryEvery;
    return;
  }
  unsure_ = false;
  OnHolder(now, *value);
}

void PlacementLease::OnHolder(TimePoint now,
                              const std::optional<store::KeyValue>& holder) {
  if (!vacant_ && !holder && !taken_at_) {
    next_call_ = std::max(next_call_, now + takeover_delay_);
  }
  vacant_ = !holder.has_value();
  if (holder && holder->value == value_) {
    if (!taken_at_) {
      taken_at_ = now;
    }
    fence_ = holder->mod_revision;
  } else {
    taken_at_.reset();
  }
}

void PlacementLease::Resign() { resigned_ = true; }

}  // namespace figwell::serving
