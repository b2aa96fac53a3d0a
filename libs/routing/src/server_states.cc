#include "server_states.h"

#include <algorithm>

namespace figwell::routing {

void ServerStates::Adopt(TimePoint now, const FleetView& view,
                         bool correct_reports) {
  FreeUnused(view);
  slots_.clear();
  for (const FleetServer& server : view.Servers()) {
    const std::uint32_t slot = TakeSlot(now, server.id);
    slots_.push_back(slot);
    TakeReport(now, server, correct_reports, slot);
    UpdateMark(server, states_[slot]);
  }
  adopted_before_ = true;
}

std::uint32_t ServerStates::TakeSlot(TimePoint now, const ServerId& server) {
  const auto known = slot_of_.find(server);
  if (known != slot_of_.end()) {
    return known->second;
  }
  if (free_.empty()) {
    free_.push_back(static_cast<std::uint32_t>(states_.size()));
    states_.emplace_back();
  }
  const std::uint32_t slot = free_.back();
  free_.pop_back();
  states_[slot] = ServerState();
  // In the first snapshot, servers get no slow start: a gateway that has just
  // started does not know which servers are new.
  states_[slot].started_at = adopted_before_ ? now : now - kSlowStart;
  slot_of_.emplace(server, slot);
  return slot;
}

void ServerStates::FreeUnused(const FleetView& view) {
  std::unordered_map<ServerId, std::uint32_t> kept;
  for (const FleetServer& server : view.Servers()) {
    const auto known = slot_of_.find(server.id);
    if (known != slot_of_.end()) {
      kept.insert(*known);
    }
  }
  for (const auto& [server, slot] : slot_of_) {
    if (kept.contains(server)) {
      continue;
    }
    if (states_[slot].attempts > 0) {
      kept.emplace(server, slot);
    } else {
      free_.push_back(slot);
      prefixes_.Forget(slot);
    }
  }
  slot_of_ = std::move(kept);
  std::erase_if(marks_, [&](const auto& entry) {
    return !slot_of_.contains(entry.first);
  });
}

void ServerStates::TakeReport(TimePoint now, const FleetServer& server,
                              bool correct, std::uint32_t slot) {
  ServerState& state = states_[slot];
  if (!server.reported) {
    return;
  }
  if (state.incarnation != server.incarnation) {
    if (!state.incarnation.empty()) {
      state.started_at = now;
      state.breaker = Breaker();
      prefixes_.Forget(slot);
    }
    state.incarnation = server.incarnation;
  }
  const std::int64_t own_then = correct ? state.own.At(server.measured_at) : 0;
  state.others =
      std::max<std::int64_t>(0, server.outstanding_tokens - own_then);
}

void ServerStates::UpdateMark(const FleetServer& server, ServerState& state) {
  const auto found = marks_.find(server.id);
  if (found != marks_.end()) {
    LeavingMark& mark = found->second;
    if (mark.incarnation.empty()) {
      mark.incarnation = server.incarnation;
    }
    const bool restarted = mark.incarnation != server.incarnation;
    const bool taken_back = mark.confirmed && !server.leaving;
    mark.confirmed = mark.confirmed || server.leaving;
    if (restarted || taken_back) {
      marks_.erase(found);
    }
  }
  state.marked_leaving = marks_.contains(server.id);
}

void ServerStates::MarkLeaving(const ServerId& server) {
  const std::uint32_t* slot = FindSlot(server);
  if (slot == nullptr) {
    return;
  }
  marks_.emplace(server, LeavingMark{states_[*slot].incarnation, false});
  states_[*slot].marked_leaving = true;
}

const std::uint32_t* ServerStates::FindSlot(const ServerId& server) const {
  const auto found = slot_of_.find(server);
  return found == slot_of_.end() ? nullptr : &found->second;
}

}  // namespace figwell::routing
