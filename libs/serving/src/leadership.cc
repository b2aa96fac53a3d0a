#include "figwell/serving/leadership.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace figwell::serving {
namespace {

constexpr std::string_view kHasLed = "led";

}  // namespace

std::string LeaderRecord::ToText() const {
  return fmt::format("{} {} {} {}", instance.value(), incarnation, address,
                     has_led ? kHasLed : "waits");
}

LeaderRecord LeaderRecord::FromText(const std::string& text) {
  LeaderRecord holder;
  std::string instance;
  std::string state;
  std::istringstream(text) >> instance >> holder.incarnation >>
      holder.address >> state;
  holder.instance = InstanceId(instance);
  holder.has_led = state == kHasLed;
  return holder;
}

bool PlacementLease::LeaseHolds(TimePoint now) const {
  return lease_ != 0 && now < renewed_ + kTtl - kMargin;
}

bool PlacementLease::Leads(TimePoint now) const {
  return !resigned_ && leads_from_ && LeaseHolds(now) && now >= *leads_from_;
}

bool PlacementLease::WantsKey() const {
  return (vacant_ || former_) && !resigned_;
}

bool PlacementLease::IsThisMachine(const LeaderRecord& holder) const {
  return holder.instance == self_.instance && holder.address == self_.address;
}

AcquireKey PlacementLease::MakeTakeKey(store::Revision expected) const {
  return {key_, self_.ToText(), lease_, expected};
}

void PlacementLease::NoteTaken(TimePoint now, store::Revision revision,
                               bool succeeded) {
  fence_ = revision;
  written_ = revision;
  succeeded_ = succeeded;
  leads_from_ = succeeded ? now : now + bounds_.separation + bounds_.thaw;
}

void PlacementLease::LoseLease(TimePoint now) {
  lease_ = 0;
  leads_from_.reset();
  unsure_ = false;
  self_.has_led = false;
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
  if (!HoldsKey() && !unsure_ && !WantsKey()) {
    lease_ = 0;  // not renewed, it expires in the store
    return std::nullopt;
  }
  // While the key is held, only the store can tell whether the lease has
  // expired: the store's clock may have stopped during an outage.
  if (lease_ != 0 && !HoldsKey() && !unsure_ && now >= renewed_ + kTtl) {
    LoseLease(now);
  }
  if (lease_ == 0) {
    return send(Call::kGrant,
                GrantLease{std::max(kTtl, bounds_.shortest_lease)});
  }
  if (now >= renewed_ + kRenewEvery) {
    return send(Call::kKeep, RenewLease{lease_});
  }
  if (unsure_) {
    return send(Call::kRead, ReadKey{key_});
  }
  if (WantsKey() && !HoldsKey()) {
    self_.has_led = former_.has_value();
    return send(Call::kTake, MakeTakeKey(former_.value_or(0)));
  }
  if (Leads(now) && !self_.has_led) {
    self_.has_led = true;
    return send(Call::kMark, MakeTakeKey(written_));
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

void PlacementLease::OnRenewed(TimePoint now, const Result<void>& kept) {
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

void PlacementLease::OnAcquired(
    TimePoint now, const Result<std::optional<store::Revision>>& taken) {
  if (std::exchange(call_, Call::kNone) == Call::kMark) {
    OnMarked(now, taken);
    return;
  }
  if (taken) {
    if (*taken) {
      // The wait starts now: the write may have been executed this late.
      NoteTaken(now, **taken, /*succeeded=*/self_.has_led);
    }
    vacant_ = false;
    former_.reset();
    return;
  }
  if (taken.error().code == ErrorCode::kNotFound) {
    LoseLease(now);
    return;
  }
  unsure_ = taken.error().code == ErrorCode::kUnknownOutcome;
  next_call_ = now + kRetryEvery;
}

void PlacementLease::OnMarked(
    TimePoint now, const Result<std::optional<store::Revision>>& marked) {
  if (marked && *marked) {
    written_ = **marked;
    return;
  }
  if (marked) {
    unsure_ = true;  // the key is not as this process last wrote it
    return;
  }
  if (marked.error().code == ErrorCode::kNotFound) {
    LoseLease(now);
    return;
  }
  // Without the mark the next process of this machine has to wait before it
  // leads; nothing else follows from it.
  if (marked.error().code != ErrorCode::kUnknownOutcome) {
    self_.has_led = false;
  }
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
  OnLeaderRecord(now, *value);
}

void PlacementLease::OnLeaderRecord(
    TimePoint now, const std::optional<store::KeyValue>& holder) {
  if (!vacant_ && !holder && !HoldsKey()) {
    next_call_ = std::max(next_call_, now + takeover_delay_);
  }
  vacant_ = !holder.has_value();
  former_.reset();
  const LeaderRecord named =
      holder ? LeaderRecord::FromText(holder->value) : LeaderRecord{};
  if (!holder || !IsThisMachine(named)) {
    leads_from_.reset();
    return;
  }
  if (named.incarnation != self_.incarnation) {
    leads_from_.reset();
    if (named.has_led) {
      former_ = holder->mod_revision;
    }
    return;
  }
  if (!HoldsKey()) {
    // The watch may deliver this after the key has been removed, so the full
    // wait applies.
    NoteTaken(now, holder->mod_revision, /*succeeded=*/false);
  }
  written_ = std::max(written_, holder->mod_revision);
}

void PlacementLease::Resign() { resigned_ = true; }

}  // namespace figwell::serving
