#include "figwell/admission/rate_gate.h"

#include <algorithm>

namespace figwell::admission {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

/** The time in which all gateways together refill this many tokens. */
Duration FleetRefillTime(const budget::Limit& limit, budget::Tokens tokens) {
  if (limit.rate <= 0) {
    return Duration::max();
  }
  // Rounded up. Whole seconds are split off so that no product overflows.
  const std::int64_t seconds = tokens / limit.rate;
  const std::int64_t remainder = tokens % limit.rate;
  return Duration(seconds * kMicrosecondsPerSecond +
                  (remainder * kMicrosecondsPerSecond + limit.rate - 1) /
                      limit.rate);
}

}  // namespace

Duration MaxRateWait(double fairness) {
  const double fraction = std::clamp(fairness, 0.0, 1.0);
  const auto range = static_cast<double>((kMaxRateWait - kMinRateWait).count());
  return kMinRateWait + Duration(static_cast<Duration::rep>(fraction * range));
}

RateGate::RateGate(std::size_t capacity) {
  slots_.resize(capacity);
  free_.reserve(capacity);
  for (std::size_t i = capacity; i > 0; --i) {
    free_.push_back(static_cast<std::uint32_t>(i - 1));
  }
}

RateDecision RateGate::Admitted(TimePoint at, WaitId wait) {
  RateDecision decision;
  decision.kind = RateDecision::Kind::kAdmitted;
  decision.admitted_at = at;
  decision.wait = wait;
  return decision;
}

/**
 * @param own_refill_time until this gateway's own refill covers the cost
 * @param tokens_ahead cost of the requests that are queued before it
 */
RateDecision RateGate::Refused(const Waiter& waiter, Duration own_refill_time,
                               budget::Tokens tokens_ahead) {
  RateDecision decision;
  decision.kind = RateDecision::Kind::kRefused;
  decision.wait = WaitId{waiter.id};
  if (waiter.cost > waiter.limit.burst) {
    decision.reason = RefusalReason::kRequestTooLarge;
    return decision;
  }
  decision.reason = RefusalReason::kRateLimited;
  decision.retry_after =
      std::min(own_refill_time,
               FleetRefillTime(waiter.limit, waiter.cost + tokens_ahead));
  return decision;
}

RateGate::TeamQueue& RateGate::FindOrAddQueue(const TeamId& team) {
  const auto found = index_by_team_.find(team);
  if (found != index_by_team_.end()) {
    return queues_[found->second];
  }
  index_by_team_.emplace(team, queues_.size());
  TeamQueue& queue = queues_.emplace_back();
  queue.team = team;
  return queue;
}

RateDecision RateGate::Enqueue(TimePoint now, TeamQueue& queue,
                               const Request& request, budget::Tokens missing,
                               Duration own_refill_time) {
  Waiter waiter;
  waiter.limit = request.limit;
  waiter.cost = request.cost;
  waiter.wait_until = std::min(request.deadline, now + max_wait_);
  // The request cannot succeed if those queued before it need all tokens that
  // are refilled until then.
  const bool cannot_succeed =
      request.cost > request.limit.burst || now >= waiter.wait_until ||
      FleetRefillTime(request.limit, queue.queued_tokens) >
          waiter.wait_until - now;
  if (cannot_succeed || free_.empty()) {
    return Refused(waiter,
                   queue.first == kNone ? own_refill_time : Duration::max(),
                   queue.queued_tokens);
  }
  const std::uint32_t slot = free_.back();
  free_.pop_back();
  waiter.id = next_id_++;
  waiter.queue = static_cast<std::uint32_t>(&queue - queues_.data());
  waiter.previous = queue.last;
  (queue.last == kNone ? queue.first : slots_[queue.last].next) = slot;
  queue.last = slot;
  queue.queued_tokens += request.cost;
  slots_[slot] = waiter;
  ++waiting_;
  RateDecision decision;
  decision.kind = RateDecision::Kind::kWaiting;
  decision.wait = WaitId{waiter.id};
  decision.missing = missing;
  return decision;
}

void RateGate::Unlink(std::uint32_t slot) {
  const Waiter removed = std::exchange(slots_[slot], Waiter());
  TeamQueue& queue = queues_[removed.queue];
  (removed.previous == kNone ? queue.first : slots_[removed.previous].next) =
      removed.next;
  (removed.next == kNone ? queue.last : slots_[removed.next].previous) =
      removed.previous;
  queue.queued_tokens -= removed.cost;
  free_.push_back(slot);
  --waiting_;
}

bool RateGate::Remove(WaitId wait) {
  for (std::size_t slot = 0; slot < slots_.size(); ++slot) {
    if (slots_[slot].id == wait.value && wait.value != 0) {
      Unlink(static_cast<std::uint32_t>(slot));
      return true;
    }
  }
  return false;
}

}  // namespace figwell::admission
