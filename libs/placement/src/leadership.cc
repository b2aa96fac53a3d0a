#include "figwell/placement/leadership.h"

#include <utility>

namespace figwell::placement {
namespace {

const store::KeyValue* FirstValue(const store::TransactionResult& result,
                                  std::size_t range) {
  if (range >= result.ranges.size() || result.ranges[range].empty()) {
    return nullptr;
  }
  return &result.ranges[range].front();
}

}  // namespace

StoreKeys::StoreKeys(std::string_view prefix, const DomainId& domain) {
  const std::string base =
      std::string(prefix) + "placement/" + domain.value() + "/";
  holder = base + "holder";
  epoch = base + "epoch";
  ledgers = base + "servers/";
}

Leadership::Leadership(InstanceId instance, StoreKeys keys)
    : instance_(std::move(instance)), keys_(std::move(keys)) {}

std::string Leadership::HolderValue() const {
  return instance_.value() + "/" + std::to_string(lease_);
}

store::Compare Leadership::HolderCompare() const {
  return {keys_.holder, holder_revision_};
}

bool Leadership::Holds(TimePoint now) const {
  return state_ == State::kHolding && now < valid_until_;
}

void Leadership::Resign(TimePoint now) {
  state_ = State::kFollowing;
  renewing_ = false;
  lease_ = 0;
  holder_revision_ = 0;
  next_attempt_ = now + kRetryInterval;
}

bool Leadership::HasLease() const {
  return state_ == State::kHolding || state_ == State::kAcquiring;
}

Actions Leadership::OnTick(TimePoint now) {
  if (HasLease() && now >= valid_until_) {
    Resign(now);
    return {};
  }
  if (state_ == State::kVacant) {
    state_ = State::kGranting;
    lease_requested_at_ = now;
    return {GrantLease{kTtl}};
  }
  if (HasLease() && !renewing_ && now >= renewal_sent_at_ + kRenewInterval) {
    renewing_ = true;
    renewal_sent_at_ = now;
    return {RenewLease{lease_}};
  }
  return {};
}

void Leadership::OnLeaseGranted(TimePoint now,
                                const Result<store::LeaseId>& lease) {
  if (state_ != State::kGranting) {
    return;
  }
  if (!lease) {
    Resign(now);
    return;
  }
  state_ = State::kAcquiring;
  lease_ = *lease;
  next_attempt_ = now;
  renewal_sent_at_ = lease_requested_at_;
  valid_until_ = lease_requested_at_ + kTtl - kExpiryMargin;
}

void Leadership::OnLeaseRenewed(TimePoint now, store::LeaseId lease,
                                const Result<std::chrono::seconds>& remaining) {
  if (!renewing_ || lease != lease_) {
    return;
  }
  renewing_ = false;
  if (remaining && remaining->count() > 0) {
    valid_until_ = renewal_sent_at_ + *remaining - kExpiryMargin;
  } else if (remaining || remaining.error().code == ErrorCode::kNotFound) {
    Resign(now);
  }
}

std::optional<store::Transaction> Leadership::NextAcquisition(TimePoint now) {
  const bool is_follower = state_ == State::kFollowing;
  if ((!is_follower && state_ != State::kAcquiring) || now < next_attempt_) {
    return std::nullopt;
  }
  next_attempt_ = now + kRetryInterval;
  const store::Range holder{keys_.holder, {}};
  const store::Range epoch{keys_.epoch, {}};
  const store::Range ledgers{keys_.ledgers, store::PrefixEnd(keys_.ledgers)};
  if (is_follower) {
    return store::Transaction{{}, {holder, epoch}, {}};
  }
  if (holder_revision_ != 0) {
    // An earlier attempt put the key, but its result was lost.
    return store::Transaction{{HolderCompare()}, {ledgers}, {holder, epoch}};
  }
  return store::Transaction{
      {{keys_.holder, 0}, {keys_.epoch, stored_epoch_revision_}},
      {store::Put{keys_.holder, HolderValue(), lease_},
       store::Put{keys_.epoch, std::to_string(stored_epoch_ + 1), 0}, ledgers},
      {holder, epoch}};
}

std::optional<std::vector<store::KeyValue>> Leadership::OnAcquisitionResult(
    TimePoint now, const Result<store::TransactionResult>& result) {
  if (!result) {
    return std::nullopt;  // The next attempt determines the outcome.
  }
  if (state_ == State::kFollowing || !result->succeeded) {
    ApplyHolder(now, *result);
    return std::nullopt;
  }
  if (state_ != State::kAcquiring) {
    return std::nullopt;
  }
  if (holder_revision_ == 0) {
    holder_revision_ = result->revision;
    epoch_ = stored_epoch_ + 1;
  }
  state_ = State::kHolding;
  if (!Holds(now)) {
    Resign(now);
    return std::nullopt;
  }
  return result->ranges.empty() ? std::vector<store::KeyValue>{}
                                : result->ranges.front();
}

void Leadership::ApplyHolder(TimePoint now,
                             const store::TransactionResult& result) {
  const store::KeyValue* holder = FirstValue(result, 0);
  const store::KeyValue* epoch = FirstValue(result, 1);
  stored_epoch_revision_ = epoch == nullptr ? 0 : epoch->mod_revision;
  stored_epoch_ = 0;
  if (epoch != nullptr) {
    stored_epoch_ =
        static_cast<std::uint64_t>(ParseInteger(epoch->value).value_or(0));
  }
  holder_revision_ = 0;
  if (holder == nullptr) {
    state_ = state_ == State::kFollowing ? State::kVacant : state_;
    next_attempt_ = now;
  } else if (HasLease() && holder->value == HolderValue()) {
    // The holder's key and the epoch are written in one transaction.
    holder_revision_ = holder->mod_revision;
    epoch_ = stored_epoch_;
    next_attempt_ = now;
  } else {
    Resign(now);
    next_attempt_ = now + JitteredCheckInterval();
  }
}

/** Spreads the followers' checks over time, by a hash of the instance. */
Duration Leadership::JitteredCheckInterval() const {
  const auto spread =
      static_cast<std::uint64_t>(kFollowerCheckInterval.count());
  return kFollowerCheckInterval +
         Duration(StableHash(instance_.value()) % spread);
}

}  // namespace figwell::placement
