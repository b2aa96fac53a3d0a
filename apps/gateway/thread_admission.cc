#include "thread_admission.h"

#include <algorithm>
#include <vector>

namespace figwell::gateway {

namespace {

/** Maximum number of one thread's requests that wait for tokens. */
constexpr std::size_t kMaxRateWaiters = 4096;

/**
 * Maximum outstanding tokens per accelerator of a server. Further requests are
 * queued here, where the queue is fair between teams; the engine's own queue is
 * first come, first served.
 */
constexpr std::int64_t kMaxOutstandingTokensPerAccelerator = 32'000;

constexpr auto kClock = [] { return MonotonicNow(); };

}  // namespace

ThreadAdmission::ThreadAdmission(boost::asio::io_context& context,
                                 SharedState& shared)
    : shared_(shared), timer_(context), gate_(kMaxRateWaiters) {}

void ThreadAdmission::SetSnapshot(const SnapshotPtr& snapshot) {
  snapshot_ = snapshot;
  const double fairness = snapshot->configuration->policy.fairness;
  gate_.SetMaxWait(admission::MaxRateWait(fairness));
  for (auto& [target, queue] : queues_) {
    queue.queue.SetFairness(fairness);
  }
}

std::optional<admission::WaitId> ThreadAdmission::Spend(
    const admission::RateGate::Request& request, OnRate on_rate) {
  budget::TeamBudget* budget = snapshot_->budgets->Find(request.team);
  if (budget == nullptr) {
    on_rate(admission::RateDecision{});
    return std::nullopt;
  }
  const auto decision = gate_.Arrive(kClock, *budget, request);
  if (decision.kind != admission::RateDecision::Kind::kWaiting) {
    on_rate(decision);
    return std::nullopt;
  }
  waiting_.emplace(decision.wait, std::move(on_rate));
  shared_.control.RequestTokens(request.team, decision.missing);
  ScheduleTick();
  return decision.wait;
}

void ThreadAdmission::StopWaiting(admission::WaitId wait) {
  gate_.Remove(wait);
  waiting_.erase(wait);
}

void ThreadAdmission::PollRates() {
  std::vector<admission::RateDecision> decisions;
  std::vector<std::pair<TeamId, budget::Tokens>> missing;
  TeamId last_team;
  gate_.Poll(
      kClock,
      [&](const TeamId& team) {
        last_team = team;
        return snapshot_->budgets->Find(team);
      },
      [&](const admission::RateDecision& decision) {
        if (decision.kind == admission::RateDecision::Kind::kWaiting) {
          missing.emplace_back(last_team, decision.missing);
        } else {
          decisions.push_back(decision);
        }
      });
  for (const auto& [team, tokens] : missing) {
    shared_.control.RequestTokens(team, tokens);
  }
  // Callbacks may call the gate again, so they run after the poll.
  for (const auto& decision : decisions) {
    CompleteWait(decision);
  }
}

void ThreadAdmission::CompleteWait(const admission::RateDecision& decision) {
  const auto found = waiting_.find(decision.wait);
  if (found == waiting_.end()) {
    return;
  }
  const OnRate on_rate = std::move(found->second);
  waiting_.erase(found);
  on_rate(decision);
}

bool ThreadAdmission::ServerHasCapacity(const config::ModelTarget& target) {
  const TimePoint now = MonotonicNow();
  routing::RequestFacts facts;
  facts.target = target;
  const auto choice = shared_.balancer.Choose(now, facts);
  if (!choice) {
    return true;  // the attempt itself reports why there is no server
  }
  const routing::FleetServer& server = choice->Server();
  shared_.balancer.End(now, *choice, routing::AttemptOutcome::kCancelled);
  const std::int64_t outstanding = std::max(
      server.outstanding_tokens, shared_.balancer.InFlightTokens(server.id));
  return outstanding <
         kMaxOutstandingTokensPerAccelerator * server.accelerators;
}

bool ThreadAdmission::HasCapacity(const config::ModelTarget& target) {
  const auto queue = queues_.find(target);
  const bool nobody_waits =
      queue == queues_.end() || queue->second.queue.empty();
  return nobody_waits && ServerHasCapacity(target);
}

std::optional<admission::Ticket> ThreadAdmission::Queue(
    const config::ModelTarget& target, const TeamId& team, std::int64_t weight,
    const admission::QueuedRequest& request, OnDequeued on_dequeued) {
  TargetQueue& queue = queues_[target];
  queue.queue.SetFairness(snapshot_->configuration->policy.fairness);
  const auto pushed = queue.queue.Push(team, weight, request);
  if (pushed.ticket) {
    queue.callbacks.emplace(*pushed.ticket, std::move(on_dequeued));
    shared_.metrics.queued.Add(1);
    ScheduleTick();
  }
  if (pushed.shed) {
    Answer(queue, *pushed.shed, admission::RefusalReason::kOverloaded);
    shared_.metrics.queued.Add(-1);
  }
  return pushed.ticket;
}

void ThreadAdmission::LeaveQueue(const config::ModelTarget& target,
                                 admission::Ticket ticket) {
  const auto queue = queues_.find(target);
  if (queue == queues_.end() || !queue->second.queue.Remove(ticket)) {
    return;
  }
  queue->second.callbacks.erase(ticket);
  shared_.metrics.queued.Add(-1);
}

void ThreadAdmission::Answer(TargetQueue& queue, admission::Ticket ticket,
                             std::optional<admission::RefusalReason> reason) {
  const auto found = queue.callbacks.find(ticket);
  if (found == queue.callbacks.end()) {
    return;
  }
  const OnDequeued on_dequeued = std::move(found->second);
  queue.callbacks.erase(found);
  on_dequeued(reason);
}

void ThreadAdmission::PumpQueues() {
  if (pumping_) {
    return;  // a dispatched request may end immediately and call this again
  }
  pumping_ = true;
  for (auto& [target, queue] : queues_) {
    if (!queue.queue.empty()) {
      Pump(target, queue);
    }
  }
  pumping_ = false;
}

void ThreadAdmission::Pump(const config::ModelTarget& target,
                           TargetQueue& queue) {
  const TimePoint now = MonotonicNow();
  std::vector<std::pair<admission::Ticket, admission::RefusalReason>> expired;
  queue.queue.Expire(now, [&](const admission::QueuedRequest& request,
                              admission::RefusalReason reason) {
    expired.emplace_back(request.ticket, reason);
  });
  for (const auto& [ticket, reason] : expired) {
    shared_.metrics.queued.Add(-1);
    Answer(queue, ticket, reason);
  }
  while (!queue.queue.empty() && ServerHasCapacity(target)) {
    const auto next = queue.queue.Pop(
        now, [&](const admission::QueuedRequest& request, const TeamId& team) {
          const config::KeyOwner* owner = snapshot_->FindKey(request.key);
          return owner != nullptr && owner->team == team;
        });
    if (!next) {
      return;
    }
    shared_.metrics.queued.Add(-1);
    Answer(queue, next->request.ticket, next->refusal);
  }
}

void ThreadAdmission::ScheduleTick() {
  if (tick_scheduled_) {
    return;
  }
  tick_scheduled_ = true;
  timer_.expires_after(admission::kRatePollInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    tick_scheduled_ = false;
    if (error) {
      return;
    }
    PollRates();
    PumpQueues();
    const bool queued = std::any_of(
        queues_.begin(), queues_.end(),
        [](const auto& entry) { return !entry.second.queue.empty(); });
    if (queued || gate_.waiting() > 0) {
      ScheduleTick();
    }
  });
}

}  // namespace figwell::gateway
