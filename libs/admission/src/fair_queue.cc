#include "figwell/admission/fair_queue.h"

#include <algorithm>

namespace figwell::admission {

template <QueueDiscipline Discipline>
FairQueue<Discipline>::FairQueue(QueueBounds bounds) : bounds_(bounds) {
  slots_.resize(bounds_.max_requests);
  free_.reserve(bounds_.max_requests);
  for (std::size_t i = bounds_.max_requests; i > 0; --i) {
    free_.push_back(static_cast<std::uint32_t>(i - 1));
  }
}

template <QueueDiscipline Discipline>
std::size_t FairQueue<Discipline>::FindOrAddQueue(const TeamId& team,
                                                  std::int64_t weight) {
  const auto found = index_by_team_.find(team);
  if (found != index_by_team_.end()) {
    queues_[found->second].weight = std::max<std::int64_t>(1, weight);
    return found->second;
  }
  TeamQueue queue;
  queue.team = team;
  queue.weight = std::max<std::int64_t>(1, weight);
  queue.first.fill(TeamQueue::kNone);
  queue.last.fill(TeamQueue::kNone);
  queues_.push_back(std::move(queue));
  head_costs_.push_back(0);
  index_by_team_.emplace(team, queues_.size() - 1);
  return queues_.size() - 1;
}

/** The slot of the team's next request. */
template <QueueDiscipline Discipline>
std::uint32_t FairQueue<Discipline>::NextSlot(const TeamQueue& queue) const {
  for (int priority = kPriorityCount - 1; priority >= 0; --priority) {
    if (queue.first[priority] != TeamQueue::kNone) {
      return queue.first[priority];
    }
  }
  return TeamQueue::kNone;
}

/** The slot of the newest request of the team's lowest priority. */
template <QueueDiscipline Discipline>
std::uint32_t FairQueue<Discipline>::NewestLowestPrioritySlot(
    const TeamQueue& queue) const {
  for (const std::uint32_t last : queue.last) {
    if (last != TeamQueue::kNone) {
      return last;
    }
  }
  return TeamQueue::kNone;
}

/** The queue with the most tokens for its weight, with the new request. */
template <QueueDiscipline Discipline>
std::size_t FairQueue<Discipline>::SheddingCandidate(
    std::size_t pushing_index, budget::Tokens cost) const {
  std::size_t candidate = pushing_index;
  budget::Tokens candidate_tokens = queues_[pushing_index].tokens + cost;
  for (std::size_t i = 0; i < queues_.size(); ++i) {
    if (i != pushing_index && queues_[i].tokens * queues_[candidate].weight >
                                  candidate_tokens * queues_[i].weight) {
      candidate = i;
      candidate_tokens = queues_[i].tokens;
    }
  }
  return candidate;
}

template <QueueDiscipline Discipline>
void FairQueue<Discipline>::Link(std::size_t queue_index,
                                 const QueuedRequest& request) {
  TeamQueue& queue = queues_[queue_index];
  const std::uint32_t slot = free_.back();
  free_.pop_back();
  std::uint32_t& first = queue.first[request.priority];
  std::uint32_t& last = queue.last[request.priority];
  slots_[slot] = {request, queue_index, TeamQueue::kNone, last};
  (last == TeamQueue::kNone ? first : slots_[last].next) = slot;
  last = slot;
  ++size_;
  ++queue.requests;
  queue.tokens += request.cost;
  head_costs_[queue_index] = slots_[NextSlot(queue)].request.cost;
  if (queue.requests == 1) {
    discipline_.Activate(queues_, queue_index);
  }
}

template <QueueDiscipline Discipline>
void FairQueue<Discipline>::Unlink(std::uint32_t index) {
  const Slot removed = std::exchange(slots_[index], Slot());
  TeamQueue& queue = queues_[removed.queue_index];
  const int priority = removed.request.priority;
  (removed.previous == TeamQueue::kNone ? queue.first[priority]
                                        : slots_[removed.previous].next) =
      removed.next;
  (removed.next == TeamQueue::kNone ? queue.last[priority]
                                    : slots_[removed.next].previous) =
      removed.previous;
  free_.push_back(index);
  --size_;
  --queue.requests;
  queue.tokens -= removed.request.cost;
  const std::uint32_t head = NextSlot(queue);
  head_costs_[removed.queue_index] =
      head == TeamQueue::kNone ? 0 : slots_[head].request.cost;
}

template <QueueDiscipline Discipline>
typename FairQueue<Discipline>::PushResult FairQueue<Discipline>::Push(
    const TeamId& team, std::int64_t weight, QueuedRequest request) {
  PushResult result;
  request.priority = std::clamp(request.priority, 0, kPriorityCount - 1);
  request.cost = std::max<budget::Tokens>(1, request.cost);
  const std::size_t queue_index = FindOrAddQueue(team, weight);
  if (free_.empty()) {
    const std::size_t candidate = SheddingCandidate(queue_index, request.cost);
    if (candidate == queue_index) {
      return result;
    }
    const std::uint32_t newest = NewestLowestPrioritySlot(queues_[candidate]);
    result.shed = slots_[newest].request.ticket;
    Unlink(newest);
  }
  request.ticket = Ticket{next_ticket_++};
  result.ticket = request.ticket;
  Link(queue_index, request);
  return result;
}

template <QueueDiscipline Discipline>
std::optional<RefusalReason> FairQueue<Discipline>::ExpiryReason(
    TimePoint now, std::uint32_t slot) const {
  const QueuedRequest& request = slots_[slot].request;
  if (request.ticket.value == 0) {
    return std::nullopt;
  }
  if (now >= request.deadline) {
    return RefusalReason::kDeadline;
  }
  if (now - request.enqueued >= bounds_.max_age) {
    return RefusalReason::kOverloaded;
  }
  return std::nullopt;
}

template <QueueDiscipline Discipline>
std::optional<typename FairQueue<Discipline>::PopResult>
FairQueue<Discipline>::PopNext(TimePoint now) {
  if (empty()) {
    return std::nullopt;
  }
  const std::size_t queue_index = discipline_.Pick(queues_, head_costs_);
  const std::uint32_t slot = NextSlot(queues_[queue_index]);
  PopResult result{slots_[slot].request, queues_[queue_index].team,
                   ExpiryReason(now, slot)};
  Unlink(slot);
  // A refused request is not charged to its team.
  discipline_.Charge(queues_, queue_index,
                     result.refusal.has_value() ? 0 : result.request.cost);
  return result;
}

template <QueueDiscipline Discipline>
bool FairQueue<Discipline>::Remove(Ticket ticket) {
  for (std::uint32_t slot = 0; slot < slots_.size(); ++slot) {
    if (slots_[slot].request.ticket == ticket && ticket.value != 0) {
      Unlink(slot);
      return true;
    }
  }
  return false;
}

template <QueueDiscipline Discipline>
budget::Tokens FairQueue<Discipline>::QueuedTokens(const TeamId& team) const {
  const auto found = index_by_team_.find(team);
  return found == index_by_team_.end() ? 0 : queues_[found->second].tokens;
}

template class FairQueue<VirtualTime>;
template class FairQueue<DeficitRoundRobin>;

}  // namespace figwell::admission
