#include <algorithm>

#include "figwell/admission/fair_queue.h"

namespace figwell::admission {

// -------------------------------------------------------------- VirtualTime

void VirtualTime::SetFairness(double fairness) {
  const double unfair = 1 - std::clamp(fairness, 0.0, 1.0);
  lead_ = static_cast<std::int64_t>(
      unfair * static_cast<double>(kMaxLead * kVirtualScale));
}

/** An idle lane accumulates no credit. */
void VirtualTime::Activate(std::vector<Lane>& lanes, std::size_t lane) const {
  lanes[lane].virtual_time = std::max(lanes[lane].virtual_time, now_);
}

std::size_t VirtualTime::Pick(std::vector<Lane>& lanes,
                              const std::vector<budget::Tokens>& heads) const {
  std::size_t least = lanes.size();
  for (std::size_t i = 0; i < lanes.size(); ++i) {
    const bool better = least == lanes.size() ||
                        lanes[i].virtual_time < lanes[least].virtual_time;
    if (heads[i] > 0 && better) {
      least = i;
    }
  }
  std::size_t chosen = least;
  const std::int64_t limit = lanes[least].virtual_time + lead_;
  for (std::size_t i = 0; lead_ > 0 && i < lanes.size(); ++i) {
    if (heads[i] > 0 && heads[i] < heads[chosen] &&
        lanes[i].virtual_time < limit) {
      chosen = i;
    }
  }
  return chosen;
}

void VirtualTime::Charge(std::vector<Lane>& lanes, std::size_t lane,
                         budget::Tokens cost) {
  now_ = std::max(now_, lanes[lane].virtual_time);
  lanes[lane].virtual_time += cost * kVirtualScale / lanes[lane].weight;
}

// -------------------------------------------------------- DeficitRoundRobin

void DeficitRoundRobin::Activate(std::vector<Lane>& lanes, std::size_t lane) {
  if (!lanes[lane].in_round) {
    lanes[lane].in_round = true;
    lanes[lane].deficit = 0;
    round_.push_back(lane);
  }
}

std::size_t DeficitRoundRobin::Pick(std::vector<Lane>& lanes,
                                    const std::vector<budget::Tokens>& heads) {
  while (true) {
    turn_ = turn_ < round_.size() ? turn_ : 0;
    const std::size_t lane = round_[turn_];
    if (heads[lane] == 0) {
      lanes[lane].in_round = false;
      round_.erase(round_.begin() + static_cast<std::ptrdiff_t>(turn_));
    } else if (lanes[lane].deficit >= heads[lane]) {
      return lane;
    } else {
      lanes[lane].deficit += kQuantum * lanes[lane].weight;
      ++turn_;
    }
  }
}

void DeficitRoundRobin::Charge(std::vector<Lane>& lanes, std::size_t lane,
                               budget::Tokens cost) {
  lanes[lane].deficit -= cost;
}

}  // namespace figwell::admission
