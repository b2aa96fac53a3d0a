#include "claim_driver.h"

namespace figwell::gateway {
namespace {

constexpr std::chrono::milliseconds kLeaseRetryDelay{500};

routing::ClaimPolicy PolicyFor(const std::string& store_prefix) {
  routing::ClaimPolicy policy;
  policy.key_prefix = store_prefix + "claim/";
  return policy;
}

}  // namespace

ClaimDriver::ClaimDriver(boost::asio::io_context& context,
                         platform::EtcdStore& store, const std::string& process,
                         const std::string& store_prefix)
    : store_(store), timer_(context), book_(process, PolicyFor(store_prefix)) {}

void ClaimDriver::Claim(const ClaimRequest& request, OnAnswer on_answer) {
  const routing::ClaimId id =
      book_.Claim(MonotonicNow(), request.team, request.idempotency_key,
                  request.request, request.deadline);
  waiting_.emplace(id, std::move(on_answer));
  Step();
}

void ClaimDriver::Finish(routing::ClaimId claim,
                         routing::FinishedAnswer answer) {
  book_.Finish(claim, std::move(answer));
  Step();
}

void ClaimDriver::Release(routing::ClaimId claim) {
  book_.Release(claim);
  Step();
}

void ClaimDriver::Abandon(routing::ClaimId claim) {
  book_.Abandon(claim);
  Step();
}

void ClaimDriver::Step() {
  const TimePoint now = MonotonicNow();
  const routing::ClaimActions actions = book_.Step(now);
  if (actions.needs_lease) {
    GrantLease();
  }
  if (actions.store_call) {
    const std::uint64_t call = actions.store_call->call;
    store_.Execute(
        actions.store_call->transaction,
        [this, call](const Result<store::TransactionResult>& result) {
          book_.OnStoreResult(MonotonicNow(), call, result);
          Step();
        });
  }
  if (actions.wake_at) {
    timer_.expires_after(*actions.wake_at - now);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        Step();
      }
    });
  }
  for (const routing::ClaimAnswer& answer : actions.answers) {
    Answer(answer);
  }
}

void ClaimDriver::Answer(const routing::ClaimAnswer& answer) {
  const auto found = waiting_.find(answer.claim);
  if (found == waiting_.end()) {
    return;
  }
  const OnAnswer on_answer = std::move(found->second);
  waiting_.erase(found);
  if (answer.verdict == routing::ClaimVerdict::kDispatch &&
      !book_.TryDispatch(MonotonicNow(), answer.claim)) {
    book_.Release(answer.claim);
    on_answer({answer.claim, routing::ClaimVerdict::kNotRun, {}});
    return;
  }
  on_answer(answer);
}

void ClaimDriver::GrantLease() {
  if (lease_request_pending_) {
    return;
  }
  lease_request_pending_ = true;
  // The store grants the lease before its response arrives here, so its
  // lifetime is counted from the time of the request.
  const TimePoint requested_at = MonotonicNow();
  store_.GrantLease(routing::kClaimLeaseTtl, [this, requested_at](
                                                 Result<store::LeaseId> lease) {
    if (lease) {
      lease_request_pending_ = false;
      book_.SetLease(*lease, requested_at);
      Step();
      return;
    }
    const auto retry = std::make_shared<boost::asio::steady_timer>(
        timer_.get_executor(), kLeaseRetryDelay);
    retry->async_wait([this, retry](const boost::system::error_code&) {
      lease_request_pending_ = false;
      Step();
    });
  });
}

}  // namespace figwell::gateway
