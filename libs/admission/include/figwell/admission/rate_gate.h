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
Duration RateWait(double fairness);

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

  /** @param longest see RateWait */
  void SetLongestWait(Duration longest) { longest_ = longest; }

  /**
   * Admits the request if no request of its team waits and the budget covers
   * the cost. Otherwise the request waits, or is refused if the tokens cannot
   * arrive in time. @param budget of the team
   */
  template <typename Clock>
  RateDecision Arrive(const Clock& clock, budget::TeamBudget& budget,
                      const Request& request) {
    Line& line = LineOf(request.team);
    if (line.first != kNone) {
      return Enqueue(clock(), line, request, request.cost, Duration(0));
    }
    const budget::SpendResult spent = budget.Spend(clock, request.cost);
    if (spent.admitted) {
      return Admitted(spent.admitted_at, WaitId());
    }
    return Enqueue(clock(), line, request, spent.missing, spent.retry_after);
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
    for (Line& line : lines_) {
      while (line.first != kNone) {
        const RateDecision decision = TryFirst(clock, find, line);
        decide(decision);
        if (decision.kind == RateDecision::Kind::kWaiting) {
          break;
        }
      }
      RefuseLate(clock(), line, decide);
    }
  }

  /** Removes a request whose caller is gone. @return whether it waited */
  bool Remove(WaitId wait);

  std::size_t waiting() const { return waiting_; }

 private:
  static constexpr std::uint32_t kNone = UINT32_MAX;

  struct Waiting {
    std::uint64_t id = 0;  // 0: the slot is free
    std::uint32_t line = kNone;
    std::uint32_t next = kNone;
    std::uint32_t previous = kNone;
    budget::Limit limit;
    budget::Tokens cost = 0;
    TimePoint until;
  };
  struct Line {
    TeamId team;
    std::uint32_t first = kNone;
    std::uint32_t last = kNone;
    budget::Tokens queued = 0;
  };

  static RateDecision Admitted(TimePoint at, WaitId wait);
  static RateDecision Refused(const Waiting& waiting, Duration own_minting,
                              budget::Tokens ahead);
  Line& LineOf(const TeamId& team);
  RateDecision Enqueue(TimePoint now, Line& line, const Request& request,
                       budget::Tokens missing, Duration own_minting);
  void Unlink(std::uint32_t slot);

  template <typename Clock, typename Find>
  RateDecision TryFirst(const Clock& clock, const Find& find, Line& line) {
    const std::uint32_t slot = line.first;
    const Waiting waiting = slots_[slot];
    budget::TeamBudget* budget = find(line.team);
    if (budget == nullptr) {
      Unlink(slot);
      return Refused(waiting, Duration::max(), 0);
    }
    const budget::SpendResult spent = budget->Retry(clock, waiting.cost);
    if (spent.admitted) {
      Unlink(slot);
      return Admitted(spent.admitted_at, WaitId{waiting.id});
    }
    if (clock() >= waiting.until) {
      Unlink(slot);
      return Refused(waiting, spent.retry_after, 0);
    }
    RateDecision decision;
    decision.kind = RateDecision::Kind::kWaiting;
    decision.wait = WaitId{waiting.id};
    decision.missing = spent.missing;
    return decision;
  }

  template <typename Decide>
  void RefuseLate(TimePoint now, Line& line, const Decide& decide) {
    budget::Tokens ahead = 0;
    for (std::uint32_t slot = line.first; slot != kNone;) {
      const Waiting waiting = slots_[slot];
      if (now >= waiting.until) {
        Unlink(slot);
        decide(Refused(waiting, Duration::max(), ahead));
      } else {
        ahead += waiting.cost;
      }
      slot = waiting.next;
    }
  }

  Duration longest_ = kMaxRateWait;
  std::vector<Waiting> slots_;
  std::vector<std::uint32_t> free_;
  std::vector<Line> lines_;
  std::unordered_map<TeamId, std::size_t> index_;
  std::uint64_t next_id_ = 1;
  std::size_t waiting_ = 0;
};

}  // namespace figwell::admission

#endif  // FIGWELL_ADMISSION_RATE_GATE_H_
