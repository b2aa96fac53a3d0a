#include <algorithm>

#include "figwell/admission/fair_queue.h"

namespace figwell::admission {

// -------------------------------------------------------------- VirtualTime

void VirtualTime::SetFairness(double fairness) {
  const double unfairness = 1 - std::clamp(fairness, 0.0, 1.0);
  max_lead_ = static_cast<std::int64_t>(
      unfairness * static_cast<double>(kMaxLeadTokens * kVirtualTimeScale));
}

/** An idle team accumulates no credit. */
void VirtualTime::Activate(std::vector<TeamQueue>& queues,
                           std::size_t index) const {
  queues[index].virtual_time =
      std::max(queues[index].virtual_time, virtual_now_);
}

std::size_t VirtualTime::Pick(
    std::vector<TeamQueue>& queues,
    const std::vector<budget::Tokens>& head_costs) const {
  std::size_t min_index = queues.size();
  for (std::size_t i = 0; i < queues.size(); ++i) {
    const bool is_earlier =
        min_index == queues.size() ||
        queues[i].virtual_time < queues[min_index].virtual_time;
    if (head_costs[i] > 0 && is_earlier) {
      min_index = i;
    }
  }
  std::size_t chosen = min_index;
  const std::int64_t max_virtual_time =
      queues[min_index].virtual_time + max_lead_;
  for (std::size_t i = 0; max_lead_ > 0 && i < queues.size(); ++i) {
    if (head_costs[i] > 0 && head_costs[i] < head_costs[chosen] &&
        queues[i].virtual_time < max_virtual_time) {
      chosen = i;
    }
  }
  return chosen;
}

void VirtualTime::Charge(std::vector<TeamQueue>& queues, std::size_t index,
                         budget::Tokens cost) {
  virtual_now_ = std::max(virtual_now_, queues[index].virtual_time);
  queues[index].virtual_time += cost * kVirtualTimeScale / queues[index].weight;
}

// -------------------------------------------------------- DeficitRoundRobin

void DeficitRoundRobin::Activate(std::vector<TeamQueue>& queues,
                                 std::size_t index) {
  if (!queues[index].in_round) {
    queues[index].in_round = true;
    queues[index].deficit = 0;
    round_.push_back(index);
  }
}

std::size_t DeficitRoundRobin::Pick(
    std::vector<TeamQueue>& queues,
    const std::vector<budget::Tokens>& head_costs) {
  while (true) {
    round_position_ = round_position_ < round_.size() ? round_position_ : 0;
    const std::size_t index = round_[round_position_];
    if (head_costs[index] == 0) {
      queues[index].in_round = false;
      round_.erase(round_.begin() +
                   static_cast<std::ptrdiff_t>(round_position_));
    } else if (queues[index].deficit >= head_costs[index]) {
      return index;
    } else {
      queues[index].deficit += kQuantumTokens * queues[index].weight;
      ++round_position_;
    }
  }
}

void DeficitRoundRobin::Charge(std::vector<TeamQueue>& queues,
                               std::size_t index, budget::Tokens cost) {
  queues[index].deficit -= cost;
}

}  // namespace figwell::admission
