#include "figwell/placement/leadership.h"

#include <utility>

namespace figwell::placement {
namespace {

const store::KeyValue* FirstOf(const store::TransactionResult& result,
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
  state_ = State::kIdle;
  renewing_ = false;
  lease_ = 0;
  holder_revision_ = 0;
  next_attempt_ = now + kRetryEvery;
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
    lease_asked_ = now;
    return {GrantLease{kTtl}};
  }
  if (HasLease() && !renewing_ && now >= renewal_sent_ + kRenewEvery) {
    renewing_ = true;
    renewal_sent_ = now;
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
  renewal_sent_ = lease_asked_;
  valid_until_ = lease_asked_ + kTtl - kMargin;
}

void Leadership::OnLeaseRenewed(TimePoint now, store::LeaseId lease,
                                const Result<std::chrono::seconds>& remaining) {
  if (!renewing_ || lease != lease_) {
    return;
  }
  renewing_ = false;
  if (remaining && remaining->count() > 0) {
    valid_until_ = renewal_sent_ + *remaining - kMargin;
  } else if (remaining || remaining.error().code == ErrorCode::kNotFound) {
    Resign(now);
  }
}

std::optional<store::Transaction> Leadership::Acquisition(TimePoint now) {
  const bool looks = state_ == State::kIdle;
  if ((!looks && state_ != State::kAcquiring) || now < next_attempt_) {
    return std::nullopt;
  }
  next_attempt_ = now + kRetryEvery;
  const store::Range holder{keys_.holder, {}};
  const store::Range epoch{keys_.epoch, {}};
  const store::Range ledgers{keys_.ledgers, store::PrefixEnd(keys_.ledgers)};
  if (looks) {
    return store::Transaction{{}, {holder, epoch}, {}};
  }
  if (holder_revision_ != 0) {
    // An earlier attempt put the key, but its result was lost.
    return store::Transaction{{HolderCompare()}, {ledgers}, {holder, epoch}};
  }
  return store::Transaction{
      {{keys_.holder, 0}, {keys_.epoch, seen_epoch_revision_}},
      {store::Put{keys_.holder, HolderValue(), lease_},
       store::Put{keys_.epoch, std::to_string(seen_epoch_ + 1), 0}, ledgers},
      {holder, epoch}};
}

std::optional<std::vector<store::KeyValue>> Leadership::OnAcquisition(
    TimePoint now, const Result<store::TransactionResult>& result) {
  if (!result) {
    return std::nullopt;  // The next attempt determines the outcome.
  }
  if (state_ == State::kIdle || !result->succeeded) {
    ReadHolder(now, *result);
    return std::nullopt;
  }
  if (state_ != State::kAcquiring) {
    return std::nullopt;
  }
  if (holder_revision_ == 0) {
    holder_revision_ = result->revision;
    epoch_ = seen_epoch_ + 1;
  }
  state_ = State::kHolding;
  if (!Holds(now)) {
    Resign(now);
    return std::nullopt;
  }
  return result->ranges.empty() ? std::vector<store::KeyValue>{}
                                : result->ranges.front();
}

void Leadership::ReadHolder(TimePoint now,
                            const store::TransactionResult& result) {
  const store::KeyValue* holder = FirstOf(result, 0);
  const store::KeyValue* epoch = FirstOf(result, 1);
  seen_epoch_revision_ = epoch == nullptr ? 0 : epoch->mod_revision;
  seen_epoch_ = 0;
  if (epoch != nullptr) {
    seen_epoch_ =
        static_cast<std::uint64_t>(ParseInteger(epoch->value).value_or(0));
  }
  holder_revision_ = 0;
  if (holder == nullptr) {
    state_ = state_ == State::kIdle ? State::kVacant : state_;
    next_attempt_ = now;
  } else if (HasLease() && holder->value == HolderValue()) {
    // The holder's key and the epoch are written in one transaction.
    holder_revision_ = holder->mod_revision;
    epoch_ = seen_epoch_;
    next_attempt_ = now;
  } else {
    Resign(now);
    next_attempt_ = now + FollowInterval();
  }
}

/** Spreads the followers' checks over time, by a hash of the instance. */
Duration Leadership::FollowInterval() const {
  const auto spread = static_cast<std::uint64_t>(kFollowEvery.count());
  return kFollowEvery + Duration(StableHash(instance_.value()) % spread);
}

}  // namespace figwell::placement
