#include "claim_cost.h"

#include <fmt/core.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "figwell/routing.h"

namespace figwell::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStoreLatency = milliseconds(5);
constexpr Duration kRequestTime = milliseconds(500);
constexpr Duration kRunLength = seconds(60);
constexpr Duration kTimeStep = milliseconds(1);

/** One claim book under load, with a store that is always reachable. */
class ClaimLoad {
 public:
  ClaimLoad(double claims_per_second, double calls_per_second)
      : book_("gateway", MakePolicy(calls_per_second)),
        claims_per_second_(claims_per_second) {
    book_.SetLease(1, now_);
  }

  void Run() {
    const TimePoint end = now_ + kRunLength;
    TimePoint next = now_;
    for (; now_ < end; now_ += kTimeStep) {
      for (; next <= now_; next += NextGap()) {
        Claim();
      }
      DeliverStoreAnswer();
      FinishDueRequests();
      Step();
    }
  }

  double CallsPerSecond() const {
    return static_cast<double>(calls_) / (kRunLength / seconds(1));
  }
  double ClaimsPerCall() const {
    return calls_ == 0 ? 0 : static_cast<double>(granted_) / calls_;
  }
  /** Claims whose request has ended but whose answer is not yet stored. */
  std::size_t Unwritten() const { return book_.size() - running_.size(); }
  Duration WaitPercentile(int percent) {
    std::sort(waits_.begin(), waits_.end());
    return waits_.empty() ? Duration(0) : waits_[waits_.size() * percent / 100];
  }

 private:
  struct Call {
    TimePoint at;
    std::uint64_t call = 0;
    std::size_t operations = 0;
  };

  static routing::ClaimPolicy MakePolicy(double calls_per_second) {
    routing::ClaimPolicy policy;
    policy.calls_per_second = calls_per_second;
    policy.claim_timeout = seconds(10);
    return policy;
  }

  Duration NextGap() {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        random_.Exponential(1 / claims_per_second_)));
  }

  void Claim() {
    const routing::ClaimId id =
        book_.Claim(now_, TeamId{"drivers"}, std::to_string(++keys_), Digest(),
                    now_ + seconds(10));
    claimed_at_[id] = now_;
  }

  void DeliverStoreAnswer() {
    if (!call_ || call_->at > now_) {
      return;
    }
    store::TransactionResult result;
    result.succeeded = true;
    result.revision = 1;
    result.nested.assign(call_->operations, result);
    book_.OnStoreResult(now_, call_->call, result);
    call_.reset();
  }

  void FinishDueRequests() {
    while (!running_.empty() && running_.front().first <= now_) {
      book_.Finish(running_.front().second, {200, "text/plain", "ok", true});
      running_.pop_front();
    }
  }

  void Step() {
    const routing::ClaimActions actions = book_.Step(now_);
    for (const routing::ClaimAnswer& answer : actions.answers) {
      if (!book_.TryDispatch(now_, answer.claim)) {
        continue;  // not expected: the policy's wait is long enough for all
      }
      ++granted_;
      waits_.push_back(now_ - claimed_at_[answer.claim]);
      running_.emplace_back(now_ + kRequestTime, answer.claim);
    }
    if (actions.store_call) {
      ++calls_;
      call_ = Call{now_ + kStoreLatency, actions.store_call->call,
                   actions.store_call->transaction.success.size()};
    }
  }

  routing::ClaimBook book_;
  double claims_per_second_;
  Random random_{1};
  TimePoint now_{seconds(1000)};
  int keys_ = 0;
  int calls_ = 0;
  int granted_ = 0;
  std::map<routing::ClaimId, TimePoint> claimed_at_;
  std::vector<Duration> waits_;
  std::deque<std::pair<TimePoint, routing::ClaimId>> running_;
  std::optional<Call> call_;
};

void PrintCase(const char* name, int books, double claims, double calls) {
  ClaimLoad load(claims / books, calls / books);
  load.Run();
  fmt::print("{:<34}{:>7}{:>9.0f}{:>10.0f}{:>10.0f}{:>8.1f}{:>8}{:>8}{:>10}\n",
             name, books, claims, calls, load.CallsPerSecond() * books,
             load.ClaimsPerCall(), load.WaitPercentile(50) / milliseconds(1),
             load.WaitPercentile(95) / milliseconds(1),
             load.Unwritten() * books);
}

}  // namespace

void PrintClaims() {
  fmt::print(
      "\nclaims: store calls and waiting time; the store answers after "
      "{} ms\n{:<34}{:>7}{:>9}{:>10}{:>10}{:>8}{:>8}{:>8}{:>10}\n",
      kStoreLatency / milliseconds(1), "case", "books", "claims/s", "allowed/s",
      "calls/s", "a call", "p50 ms", "p95 ms", "unwritten");
  PrintCase("today, a claim a second", 9, 1, 200);
  PrintCase("today, bookings at a rush", 9, 100, 200);
  PrintCase("today, every request", 9, 290, 200);
  PrintCase("810 gateways, 1 in 20 requests", 810, 1450, 200);
  PrintCase("20 relays, 1 in 20 requests", 20, 1450, 200);
  PrintCase("20 relays, every request", 20, 29'000, 400);
  PrintCase("20 relays, every request", 20, 29'000, 800);
}

}  // namespace figwell::bench
