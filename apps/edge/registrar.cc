#include "registrar.h"

#include "run_after.h"

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

// The entry of a dead instance expires after this; peers detect the death
// sooner.
constexpr milliseconds kLeaseTtl{10'000};
constexpr Duration kRenewInterval = milliseconds(3'000);
constexpr Duration kRetryInterval = milliseconds(1'000);
constexpr milliseconds kRevokeRetryInterval{300};

template <typename T>
std::optional<Error> ErrorOf(const Result<T>& result) {
  return result ? std::nullopt : std::optional(result.error());
}

}  // namespace

Registrar::Registrar(State& state, adapter::StoreClient& store)
    : state_(state), store_(store) {
  store_.OnNewEra([this](store::Era) { OnNewEra(); });
}

void Registrar::OnNewEra() {
  lease_ = 0;
  next_call_ = MonotonicNow();
}

std::string Registrar::InstancesPrefix() const {
  return state_.settings.store_prefix + "instances/";
}

void Registrar::Tick(TimePoint now) {
  if (call_in_flight_ || left_ || now < next_call_) {
    return;
  }
  call_in_flight_ = true;
  if (lease_ != 0 && !registered_) {
    Register();
    return;
  }
  if (lease_ != 0) {
    store_.RenewLease(lease_, [this](const Result<void>& renewed) {
      OnCallResult(MonotonicNow(), ErrorOf(renewed));
    });
    return;
  }
  store_.GrantLease(kLeaseTtl, [this](const Result<store::LeaseId>& lease) {
    if (!lease) {
      OnCallResult(MonotonicNow(), lease.error());
      return;
    }
    lease_ = *lease;
    registered_ = false;
    Register();
  });
}

void Registrar::Register() {
  adapter::Change change;
  change.writes.push_back({InstancesPrefix() + state_.settings.instance.value(),
                           Registration{state_.settings.listen_peers,
                                        state_.settings.failure_domain}
                               .ToText(),
                           lease_});
  store_.Commit(change, [this, lease = lease_](
                            const Result<adapter::ChangeResult>& result) {
    registered_ = result.has_value() && lease == lease_;
    OnCallResult(MonotonicNow(), ErrorOf(result));
  });
}

void Registrar::OnCallResult(TimePoint now, const std::optional<Error>& error) {
  call_in_flight_ = false;
  next_call_ = now + (error ? kRetryInterval : kRenewInterval);
  if (!error) {
    return;
  }
  telemetry::Log(
      Event::kDependencyLost,
      "registering this instance failed; will retry: " + error->message,
      {{"dependency", "store"}});
  // Only kUnavailable says that the store did not execute the call. After any
  // other error the lease may have ended, or the outcome of the write is
  // unknown, so the entry is written again under a new lease.
  if (error->code != ErrorCode::kUnavailable) {
    lease_ = 0;
  }
}

void Registrar::Leave() {
  left_ = true;
  if (lease_ != 0) {
    RevokeLease(lease_);
  }
}

void Registrar::RevokeLease(store::LeaseId lease) {
  store_.RevokeLease(lease, [this, lease](const Result<void>& revoked) {
    if (revoked || revoked.error().code == ErrorCode::kNotFound) {
      return;
    }
    telemetry::Log(
        Event::kDependencyLost,
        "revoking a lease failed; will retry: " + revoked.error().message,
        {{"dependency", "store"}});
    RunAfter(state_.context, kRevokeRetryInterval,
             [this, lease] { RevokeLease(lease); });
  });
}

}  // namespace figwell::edge
