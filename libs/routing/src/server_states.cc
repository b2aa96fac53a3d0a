#include "server_states.h"

#include <algorithm>

namespace figwell::routing {

void ServerStates::ApplyView(TimePoint now, const FleetView& view,
                             bool correct_reports) {
  ReleaseUnusedSlots(view);
  slots_.clear();
  for (const FleetServer& server : view.Servers()) {
    const std::uint32_t slot = AcquireSlot(now, server.id);
    slots_.push_back(slot);
    ApplyReport(now, server, correct_reports, slot);
    UpdateLeavingMark(server, states_[slot]);
  }
  has_applied_view_ = true;
}

std::uint32_t ServerStates::AcquireSlot(TimePoint now, const ServerId& server) {
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
  states_[slot].slow_start_at =
      has_applied_view_ ? now : now - kSlowStartDuration;
  slot_of_.emplace(server, slot);
  return slot;
}

void ServerStates::ReleaseUnusedSlots(const FleetView& view) {
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
      prefixes_.Drop(slot);
    }
  }
  slot_of_ = std::move(kept);
  std::erase_if(leaving_marks_, [&](const auto& entry) {
    return !slot_of_.contains(entry.first);
  });
}

void ServerStates::ApplyReport(TimePoint now, const FleetServer& server,
                               bool correct, std::uint32_t slot) {
  ServerState& state = states_[slot];
  if (!server.reported) {
    return;
  }
  if (state.incarnation != server.incarnation) {
    if (!state.incarnation.empty()) {
      state.slow_start_at = now;
      state.breaker = Breaker();
      prefixes_.Drop(slot);
    }
    state.incarnation = server.incarnation;
  }
  const std::int64_t own_at_report =
      correct ? state.own_load.At(server.measured_at) : 0;
  state.others_tokens =
      std::max<std::int64_t>(0, server.outstanding_tokens - own_at_report);
}

void ServerStates::UpdateLeavingMark(const FleetServer& server,
                                     ServerState& state) {
  const auto found = leaving_marks_.find(server.id);
  if (found != leaving_marks_.end()) {
    LeavingMark& mark = found->second;
    if (mark.incarnation.empty()) {
      mark.incarnation = server.incarnation;
    }
    const bool restarted = mark.incarnation != server.incarnation;
    const bool withdrawn = mark.confirmed && !server.leaving;
    mark.confirmed = mark.confirmed || server.leaving;
    if (restarted || withdrawn) {
      leaving_marks_.erase(found);
    }
  }
  state.marked_leaving = leaving_marks_.contains(server.id);
}

void ServerStates::MarkLeaving(const ServerId& server) {
  const std::uint32_t* slot = FindSlot(server);
  if (slot == nullptr) {
    return;
  }
  leaving_marks_.emplace(server,
                         LeavingMark{states_[*slot].incarnation, false});
  states_[*slot].marked_leaving = true;
}

const std::uint32_t* ServerStates::FindSlot(const ServerId& server) const {
  const auto found = slot_of_.find(server);
  return found == slot_of_.end() ? nullptr : &found->second;
}

}  // namespace figwell::routing
