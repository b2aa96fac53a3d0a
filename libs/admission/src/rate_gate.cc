#include "figwell/admission/rate_gate.h"

#include <algorithm>

namespace figwell::admission {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

/** The time in which all gateways together refill this many tokens. */
Duration FleetMinting(const budget::Limit& limit, budget::Tokens tokens) {
  if (limit.rate <= 0) {
    return Duration::max();
  }
  // Rounded up. Whole seconds are split off so that no product overflows.
  const std::int64_t seconds = tokens / limit.rate;
  const std::int64_t rest = tokens % limit.rate;
  return Duration(seconds * kMicrosecondsPerSecond +
                  (rest * kMicrosecondsPerSecond + limit.rate - 1) /
                      limit.rate);
}

}  // namespace

Duration RateWait(double fairness) {
  const double part = std::clamp(fairness, 0.0, 1.0);
  const auto span = static_cast<double>((kMaxRateWait - kMinRateWait).count());
  return kMinRateWait + Duration(static_cast<Duration::rep>(part * span));
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
 * @param own_minting time in which this gateway's own refill covers the cost
 * @param ahead tokens of the requests that are queued before it
 */
RateDecision RateGate::Refused(const Waiting& waiting, Duration own_minting,
                               budget::Tokens ahead) {
  RateDecision decision;
  decision.kind = RateDecision::Kind::kRefused;
  decision.wait = WaitId{waiting.id};
  if (waiting.cost > waiting.limit.burst) {
    decision.reason = RefusalReason::kRequestTooLarge;
    return decision;
  }
  decision.reason = RefusalReason::kRateLimited;
  decision.retry_after =
      std::min(own_minting, FleetMinting(waiting.limit, waiting.cost + ahead));
  return decision;
}

RateGate::Line& RateGate::LineOf(const TeamId& team) {
  const auto found = index_.find(team);
  if (found != index_.end()) {
    return lines_[found->second];
  }
  index_.emplace(team, lines_.size());
  Line& line = lines_.emplace_back();
  line.team = team;
  return line;
}

RateDecision RateGate::Enqueue(TimePoint now, Line& line,
                               const Request& request, budget::Tokens missing,
                               Duration own_minting) {
  Waiting waiting;
  waiting.limit = request.limit;
  waiting.cost = request.cost;
  waiting.until = std::min(request.deadline, now + longest_);
  // Waiting is pointless if the requests before this one need all tokens that
  // are refilled until its deadline.
  const bool hopeless =
      request.cost > request.limit.burst || now >= waiting.until ||
      FleetMinting(request.limit, line.queued) > waiting.until - now;
  if (hopeless || free_.empty()) {
    return Refused(waiting, line.first == kNone ? own_minting : Duration::max(),
                   line.queued);
  }
  const std::uint32_t slot = free_.back();
  free_.pop_back();
  waiting.id = next_id_++;
  waiting.line = static_cast<std::uint32_t>(&line - lines_.data());
  waiting.previous = line.last;
  (line.last == kNone ? line.first : slots_[line.last].next) = slot;
  line.last = slot;
  line.queued += request.cost;
  slots_[slot] = waiting;
  ++waiting_;
  RateDecision decision;
  decision.kind = RateDecision::Kind::kWaiting;
  decision.wait = WaitId{waiting.id};
  decision.missing = missing;
  return decision;
}

void RateGate::Unlink(std::uint32_t slot) {
  const Waiting gone = std::exchange(slots_[slot], Waiting());
  Line& line = lines_[gone.line];
  (gone.previous == kNone ? line.first : slots_[gone.previous].next) =
      gone.next;
  (gone.next == kNone ? line.last : slots_[gone.next].previous) = gone.previous;
  line.queued -= gone.cost;
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
