#ifndef FIGWELL_ADMISSION_RATE_GATE_H_
#define FIGWELL_ADMISSION_RATE_GATE_H_

/** Spends a request's tokens, queues it or refuses it; see admission.h. */

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "figwell/admission/access.h"
#include "figwell/budget.h"

namespace figwell::admission {

/** Identifies a request that waits for tokens; never reused. */
struct WaitId {
  std::uint64_t value = 0;

  friend auto operator<=>(const WaitId&, const WaitId&) = default;
  friend bool operator==(const WaitId&, const WaitId&) = default;
};

/** Decision on a request that needs tokens. */
struct RateDecision {
  enum class Kind { kAdmitted, kWaiting, kRefused };
  Kind kind = Kind::kRefused;
  /** If admitted: the time to pass to TeamBudget::Refund. */
  TimePoint admitted_at;
  /** If waiting: tokens to request from peers (budget::Transfers::Ask). */
  budget::Tokens missing = 0;
  /** Set if the request waits, or waited before the decision. */
  WaitId wait;
  /** If refused: why, and when a retry succeeds if nobody else spends. */
  RefusalReason reason = RefusalReason::kRateLimited;
  Duration retry_after{0};
};

/** Interval of RateGate::Poll while any request waits. */
inline constexpr Duration kRatePollInterval = std::chrono::milliseconds(5);

/** Maximum wait for tokens at policy.fairness 0 and 1. */
inline constexpr Duration kMinRateWait = std::chrono::milliseconds(100);
inline constexpr Duration kMaxRateWait = std::chrono::milliseconds(2000);

/** The maximum wait for tokens at a given policy.fairness. */
Duration MaxRateWait(double fairness);

/**
 * Queues of requests that wait for tokens, first come first served within each
 * team. One traffic thread owns it.
 */
class RateGate {
 public:
  struct Request {
    TeamId team;
    budget::Limit limit;  // of the team, over all gateways
    budget::Tokens cost = 0;
    TimePoint deadline = TimePoint::max();
  };

  /** @param capacity maximum number of waiting requests of all teams */
  explicit RateGate(std::size_t capacity);

  /** @param max_wait see MaxRateWait */
  void SetMaxWait(Duration max_wait) { max_wait_ = max_wait; }

  /**
   * Admits the request if no request of its team waits and the budget covers
   * the cost. Otherwise the request waits, or is refused if the tokens cannot
   * arrive in time. @param budget of the team
   */
  template <typename Clock>
  RateDecision Arrive(const Clock& clock, budget::TeamBudget& budget,
                      const Request& request) {
    TeamQueue& queue = FindOrAddQueue(request.team);
    if (queue.first != kNone) {
      return Enqueue(clock(), queue, request, request.cost, Duration(0));
    }
    const budget::SpendResult spent = budget.Spend(clock, request.cost);
    if (spent.admitted) {
      return Admitted(spent.admitted_at, WaitId());
    }
    return Enqueue(clock(), queue, request, spent.missing, spent.retry_after);
  }

  /**
   * Retries the first request of each team. Call it when tokens arrive, and
   * every kRatePollInterval while any request waits.
   *
   * @param find TeamBudget* (const TeamId&); null if the team was removed
   * @param decide called with (RateDecision) for each decided request, and
   *     for a team's first request that still waits, with the missing tokens
   */
  template <typename Clock, typename Find, typename Decide>
  void Poll(const Clock& clock, const Find& find, const Decide& decide) {
    for (TeamQueue& queue : queues_) {
      while (queue.first != kNone) {
        const RateDecision decision = RetryFirst(clock, find, queue);
        decide(decision);
        if (decision.kind == RateDecision::Kind::kWaiting) {
          break;
        }
      }
      RefuseExpired(clock(), queue, decide);
    }
  }

  /** Removes a request whose caller is gone. @return whether it waited */
  bool Remove(WaitId wait);

  std::size_t waiting() const { return waiting_; }

 private:
  static constexpr std::uint32_t kNone = UINT32_MAX;

  struct Waiter {
    std::uint64_t id = 0;  // 0: the slot is free
    std::uint32_t queue = kNone;
    std::uint32_t next = kNone;
    std::uint32_t previous = kNone;
    budget::Limit limit;
    budget::Tokens cost = 0;
    TimePoint wait_until;
  };
  struct TeamQueue {
    TeamId team;
    std::uint32_t first = kNone;
    std::uint32_t last = kNone;
    budget::Tokens queued_tokens = 0;
  };

  static RateDecision Admitted(TimePoint at, WaitId wait);
  static RateDecision Refused(const Waiter& waiter, Duration own_refill_time,
                              budget::Tokens tokens_ahead);
  TeamQueue& FindOrAddQueue(const TeamId& team);
  RateDecision Enqueue(TimePoint now, TeamQueue& queue, const Request& request,
                       budget::Tokens missing, Duration own_refill_time);
  void Unlink(std::uint32_t slot);

  template <typename Clock, typename Find>
  RateDecision RetryFirst(const Clock& clock, const Find& find,
                          TeamQueue& queue) {
    const std::uint32_t slot = queue.first;
    const Waiter waiter = slots_[slot];
    budget::TeamBudget* budget = find(queue.team);
    if (budget == nullptr) {
      Unlink(slot);
      return Refused(waiter, Duration::max(), 0);
    }
    const budget::SpendResult spent = budget->Retry(clock, waiter.cost);
    if (spent.admitted) {
      Unlink(slot);
      return Admitted(spent.admitted_at, WaitId{waiter.id});
    }
    if (clock() >= waiter.wait_until) {
      Unlink(slot);
      return Refused(waiter, spent.retry_after, 0);
    }
    RateDecision decision;
    decision.kind = RateDecision::Kind::kWaiting;
    decision.wait = WaitId{waiter.id};
    decision.missing = spent.missing;
    return decision;
  }

  template <typename Decide>
  void RefuseExpired(TimePoint now, TeamQueue& queue, const Decide& decide) {
    budget::Tokens tokens_ahead = 0;
    for (std::uint32_t slot = queue.first; slot != kNone;) {
      const Waiter waiter = slots_[slot];
      if (now >= waiter.wait_until) {
        Unlink(slot);
        decide(Refused(waiter, Duration::max(), tokens_ahead));
      } else {
        tokens_ahead += waiter.cost;
      }
      slot = waiter.next;
    }
  }

  Duration max_wait_ = kMaxRateWait;
  std::vector<Waiter> slots_;
  std::vector<std::uint32_t> free_;
  std::vector<TeamQueue> queues_;
  std::unordered_map<TeamId, std::size_t> index_by_team_;
  std::uint64_t next_id_ = 1;
  std::size_t waiting_ = 0;
};

}  // namespace figwell::admission

#endif  // FIGWELL_ADMISSION_RATE_GATE_H_
