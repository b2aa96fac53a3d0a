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
  LeaderRecord record;
  std::string instance;
  std::string state;
  std::istringstream(text) >> instance >> record.incarnation >>
      record.address >> state;
  record.instance = InstanceId(instance);
  record.has_led = state == kHasLed;
  return record;
}

bool PlacementLease::IsLeaseValid(TimePoint now) const {
  return lease_ != 0 && now < renewed_ + kLeaseTtl - kLeaseSafetyMargin;
}

bool PlacementLease::Leads(TimePoint now) const {
  return !resigned_ && leads_from_ && IsLeaseValid(now) && now >= *leads_from_;
}

bool PlacementLease::ShouldAcquireKey() const {
  return (key_absent_ || predecessor_revision_) && !resigned_;
}

bool PlacementLease::IsThisMachine(const LeaderRecord& record) const {
  return record.instance == self_.instance && record.address == self_.address;
}

AcquireKey PlacementLease::MakeAcquireKey(store::Revision expected) {
  key_lease_ = lease_;
  return {key_, self_.ToText(), lease_, expected, self_.has_led};
}

bool PlacementLease::CanResume(TimePoint now) const {
  return resumes_until_ && now < *resumes_until_;
}

void PlacementLease::RecordAcquisition(TimePoint now, store::Revision revision,
                                       bool took_over) {
  fence_ = revision;
  last_write_ = revision;
  took_over_ = took_over;
  leads_from_ = now;
  if (!took_over) {
    *leads_from_ += bounds_.separation + bounds_.resume_grace;
  }
  if (!took_over && !led_since_restore_) {
    *leads_from_ += kLeaseTtl - kLeaseSafetyMargin;
  }
}

void PlacementLease::OnLeaseLost(TimePoint now) {
  lease_ = 0;
  leads_from_.reset();
  must_read_key_ = false;
  self_.has_led = false;
  next_call_ = now;
}

std::optional<LeadershipAction> PlacementLease::Tick(TimePoint now) {
  if (call_ != Call::kNone || now < next_call_) {
    return std::nullopt;
  }
  const auto make_call = [&](Call call, LeadershipAction action) {
    call_ = call;
    call_sent_ = now;
    return action;
  };
  if (!HoldsKey() && !must_read_key_ && !ShouldAcquireKey()) {
    lease_ = 0;  // not renewed, it expires in the store
    return std::nullopt;
  }
  // While the key is held, only the store can tell whether the lease has
  // expired: the store's clock may have stopped during an outage.
  if (lease_ != 0 && !HoldsKey() && !must_read_key_ &&
      now >= renewed_ + kLeaseTtl) {
    OnLeaseLost(now);
  }
  if (lease_ == 0) {
    return make_call(Call::kGrant,
                     GrantLease{std::max(kLeaseTtl, bounds_.min_lease)});
  }
  if (now >= renewed_ + kRenewInterval) {
    return make_call(Call::kRenew, RenewLease{lease_});
  }
  if (must_read_key_) {
    return make_call(Call::kRead, ReadKey{key_});
  }
  if (ShouldAcquireKey() && !HoldsKey()) {
    self_.has_led =
        CanResume(now) ||
        (predecessor_revision_ && predecessor_has_led_ && led_since_restore_);
    return make_call(Call::kAcquire,
                     MakeAcquireKey(predecessor_revision_.value_or(0)));
  }
  if (Leads(now) && !self_.has_led) {
    self_.has_led = true;
    return make_call(Call::kMarkLed, MakeAcquireKey(last_write_));
  }
  return std::nullopt;
}

void PlacementLease::OnGranted(TimePoint now,
                               const Result<store::LeaseId>& lease) {
  call_ = Call::kNone;
  if (!lease) {
    next_call_ = now + kRetryInterval;
    return;
  }
  lease_ = *lease;
  renewed_ = call_sent_;
}

void PlacementLease::OnRenewed(TimePoint now, const Result<void>& renewed) {
  call_ = Call::kNone;
  if (renewed) {
    renewed_ = call_sent_;
    return;
  }
  if (renewed.error().code == ErrorCode::kNotFound) {
    OnLeaseLost(now);
    return;
  }
  next_call_ = now + kRetryInterval;
}

void PlacementLease::OnAcquired(
    TimePoint now, const Result<std::optional<store::Revision>>& acquired) {
  if (std::exchange(call_, Call::kNone) == Call::kMarkLed) {
    OnMarkedLed(now, acquired);
    return;
  }
  if (acquired) {
    if (*acquired) {
      // The wait starts now: the write may have been executed this late.
      const bool too_late = resumes_until_ && !CanResume(now);
      self_.has_led = self_.has_led && !too_late;
      RecordAcquisition(now, **acquired, /*took_over=*/self_.has_led);
      resumes_until_.reset();
    }
    key_absent_ = false;
    predecessor_revision_.reset();
    return;
  }
  if (acquired.error().code == ErrorCode::kNotFound) {
    OnLeaseLost(now);
    return;
  }
  must_read_key_ = acquired.error().code == ErrorCode::kUnknownOutcome;
  next_call_ = now + kRetryInterval;
}

void PlacementLease::OnMarkedLed(
    TimePoint now, const Result<std::optional<store::Revision>>& marked) {
  if (marked && *marked) {
    last_write_ = **marked;
    return;
  }
  if (marked) {
    must_read_key_ = true;  // the key is not as this process last wrote it
    return;
  }
  if (marked.error().code == ErrorCode::kNotFound) {
    OnLeaseLost(now);
    return;
  }
  // Without the mark the next process of this machine has to wait before it
  // leads; nothing else follows from it.
  if (marked.error().code != ErrorCode::kUnknownOutcome) {
    self_.has_led = false;
  }
  next_call_ = now + kRetryInterval;
}

void PlacementLease::OnRead(
    TimePoint now, const Result<std::optional<store::KeyValue>>& value) {
  call_ = Call::kNone;
  if (!value) {
    next_call_ = now + kRetryInterval;
    return;
  }
  must_read_key_ = false;
  OnLeaderRecord(now, *value);
}

void PlacementLease::OnLeaderRecord(
    TimePoint now, const std::optional<store::KeyValue>& record) {
  if (!key_absent_ && !record && !HoldsKey() && !CanResume(now)) {
    next_call_ = std::max(next_call_, now + takeover_delay_);
  }
  key_absent_ = !record.has_value();
  predecessor_revision_.reset();
  const LeaderRecord leader =
      record ? LeaderRecord::FromText(record->value) : LeaderRecord{};
  if (!record || !IsThisMachine(leader)) {
    leads_from_.reset();
    return;
  }
  const bool own = leader.incarnation == self_.incarnation;
  const bool under_own_lease = lease_ != 0 && lease_ == key_lease_;
  if (!own || (!HoldsKey() && !under_own_lease)) {
    leads_from_.reset();
    predecessor_has_led_ = leader.has_led;
    if (own || leader.has_led) {
      predecessor_revision_ = record->mod_revision;
    }
    return;
  }
  if (!HoldsKey()) {
    // The watch may deliver this after the key has been removed, so the full
    // wait applies.
    RecordAcquisition(now, record->mod_revision, /*took_over=*/false);
  }
  last_write_ = std::max(last_write_, record->mod_revision);
}

void PlacementLease::OnNewEra(TimePoint now) {
  resumes_until_.reset();
  if (Leads(now)) {
    resumes_until_ = renewed_ + kLeaseTtl - kLeaseSafetyMargin;
  }
  OnLeaseLost(now);
  key_lease_ = 0;  // its id may be given out again
  led_since_restore_ = false;
  // A key that existed is reported again, or as removed.
  predecessor_revision_.reset();
}

void PlacementLease::Resign() { resigned_ = true; }

}  // namespace figwell::serving
