#include "figwell/admission/fair_queue.h"

#include <algorithm>

namespace figwell::admission {

template <QueueDiscipline Discipline>
FairQueue<Discipline>::FairQueue(QueueBounds bounds) : bounds_(bounds) {
  slots_.resize(bounds_.requests);
  free_.reserve(bounds_.requests);
  for (std::size_t i = bounds_.requests; i > 0; --i) {
    free_.push_back(static_cast<std::uint32_t>(i - 1));
  }
}

template <QueueDiscipline Discipline>
std::size_t FairQueue<Discipline>::LaneOf(const TeamId& team,
                                          std::int64_t weight) {
  const auto found = index_.find(team);
  if (found != index_.end()) {
    lanes_[found->second].weight = std::max<std::int64_t>(1, weight);
    return found->second;
  }
  Lane lane;
  lane.team = team;
  lane.weight = std::max<std::int64_t>(1, weight);
  lane.first.fill(Lane::kNone);
  lane.last.fill(Lane::kNone);
  lanes_.push_back(std::move(lane));
  heads_.push_back(0);
  index_.emplace(team, lanes_.size() - 1);
  return lanes_.size() - 1;
}

/** The slot of the lane's next request. */
template <QueueDiscipline Discipline>
std::uint32_t FairQueue<Discipline>::Head(const Lane& lane) const {
  for (int priority = kPriorities - 1; priority >= 0; --priority) {
    if (lane.first[priority] != Lane::kNone) {
      return lane.first[priority];
    }
  }
  return Lane::kNone;
}

/** The slot of the newest request of the lane's lowest priority. */
template <QueueDiscipline Discipline>
std::uint32_t FairQueue<Discipline>::Newest(const Lane& lane) const {
  for (const std::uint32_t last : lane.last) {
    if (last != Lane::kNone) {
      return last;
    }
  }
  return Lane::kNone;
}

/** The lane with the most tokens for its weight, including the new request. */
template <QueueDiscipline Discipline>
std::size_t FairQueue<Discipline>::MostQueued(std::size_t newcomer,
                                              budget::Tokens cost) const {
  std::size_t most = newcomer;
  budget::Tokens most_tokens = lanes_[newcomer].tokens + cost;
  for (std::size_t i = 0; i < lanes_.size(); ++i) {
    if (i != newcomer && lanes_[i].tokens * lanes_[most].weight >
                             most_tokens * lanes_[i].weight) {
      most = i;
      most_tokens = lanes_[i].tokens;
    }
  }
  return most;
}

template <QueueDiscipline Discipline>
void FairQueue<Discipline>::Link(std::size_t lane_index,
                                 const QueuedRequest& request) {
  Lane& lane = lanes_[lane_index];
  const std::uint32_t slot = free_.back();
  free_.pop_back();
  std::uint32_t& first = lane.first[request.priority];
  std::uint32_t& last = lane.last[request.priority];
  slots_[slot] = {request, lane_index, Lane::kNone, last};
  (last == Lane::kNone ? first : slots_[last].next) = slot;
  last = slot;
  ++size_;
  ++lane.requests;
  lane.tokens += request.cost;
  heads_[lane_index] = slots_[Head(lane)].request.cost;
  if (lane.requests == 1) {
    discipline_.Activate(lanes_, lane_index);
  }
}

template <QueueDiscipline Discipline>
void FairQueue<Discipline>::Unlink(std::uint32_t index) {
  const Slot gone = std::exchange(slots_[index], Slot());
  Lane& lane = lanes_[gone.lane];
  const int priority = gone.request.priority;
  (gone.previous == Lane::kNone ? lane.first[priority]
                                : slots_[gone.previous].next) = gone.next;
  (gone.next == Lane::kNone ? lane.last[priority]
                            : slots_[gone.next].previous) = gone.previous;
  free_.push_back(index);
  --size_;
  --lane.requests;
  lane.tokens -= gone.request.cost;
  const std::uint32_t head = Head(lane);
  heads_[gone.lane] = head == Lane::kNone ? 0 : slots_[head].request.cost;
}

template <QueueDiscipline Discipline>
typename FairQueue<Discipline>::PushResult FairQueue<Discipline>::Push(
    const TeamId& team, std::int64_t weight, QueuedRequest request) {
  PushResult result;
  request.priority = std::clamp(request.priority, 0, kPriorities - 1);
  request.cost = std::max<budget::Tokens>(1, request.cost);
  const std::size_t lane = LaneOf(team, weight);
  if (free_.empty()) {
    const std::size_t most = MostQueued(lane, request.cost);
    if (most == lane) {
      return result;
    }
    const std::uint32_t newest = Newest(lanes_[most]);
    result.shed = slots_[newest].request.ticket;
    Unlink(newest);
  }
  request.ticket = Ticket{next_ticket_++};
  result.ticket = request.ticket;
  Link(lane, request);
  return result;
}

template <QueueDiscipline Discipline>
std::optional<RefusalReason> FairQueue<Discipline>::LateReason(
    TimePoint now, std::uint32_t slot) const {
  const QueuedRequest& request = slots_[slot].request;
  if (request.ticket.value == 0) {
    return std::nullopt;
  }
  if (now >= request.deadline) {
    return RefusalReason::kDeadline;
  }
  if (now - request.enqueued >= bounds_.age) {
    return RefusalReason::kOverloaded;
  }
  return std::nullopt;
}

template <QueueDiscipline Discipline>
std::optional<typename FairQueue<Discipline>::PopResult>
FairQueue<Discipline>::TakeNext(TimePoint now) {
  if (empty()) {
    return std::nullopt;
  }
  const std::size_t lane = discipline_.Pick(lanes_, heads_);
  const std::uint32_t slot = Head(lanes_[lane]);
  PopResult result{slots_[slot].request, lanes_[lane].team,
                   LateReason(now, slot)};
  Unlink(slot);
  // A refused request is not charged to its team.
  discipline_.Charge(lanes_, lane,
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
  const auto found = index_.find(team);
  return found == index_.end() ? 0 : lanes_[found->second].tokens;
}

template class FairQueue<VirtualTime>;
template class FairQueue<DeficitRoundRobin>;

}  // namespace figwell::admission
