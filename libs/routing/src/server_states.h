#ifndef FIGWELL_ROUTING_SRC_SERVER_STATES_H_
#define FIGWELL_ROUTING_SRC_SERVER_STATES_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "breaker.h"
#include "figwell/routing.h"
#include "load_history.h"
#include "prefix_table.h"

namespace figwell::routing {

/** A gateway's state of one server in addition to the snapshot. */
struct ServerState {
  /** Reported tokens of other gateways' requests. */
  std::int64_t others_tokens = 0;
  Breaker breaker;
  TimePoint slow_start_at;
  TimePoint overloaded_until;
  std::string incarnation;
  bool marked_leaving = false;
  /** Attempts in flight; the slot is kept for them. */
  int attempts = 0;
  /** Last member: it is large, and a selection reads only its start. */
  LoadHistory own_load;
};

/** A server marked as leaving before the snapshot may show it. */
struct LeavingMark {
  std::string incarnation;
  bool confirmed = false;
};

/**
 * The per-server state of a gateway, in slots that outlive snapshots, so that
 * an attempt that began under an older snapshot updates the right server.
 */
class ServerStates {
 public:
  /** Assigns a slot to each server of `view` and applies its reports. */
  void ApplyView(TimePoint now, const FleetView& view, bool correct_reports);

  void MarkLeaving(const ServerId& server);

  /** The slot of the view's server. */
  std::uint32_t SlotOf(ServerIndex index) const { return slots_[index]; }

  /** The slot of a server; null if it has none. */
  const std::uint32_t* FindSlot(const ServerId& server) const;

  ServerState& At(std::uint32_t slot) { return states_[slot]; }
  const ServerState& At(std::uint32_t slot) const { return states_[slot]; }

  /** Which prefixes are cached where, by slot. */
  PrefixTable& Prefixes() { return prefixes_; }
  const PrefixTable& Prefixes() const { return prefixes_; }

 private:
  std::uint32_t AcquireSlot(TimePoint now, const ServerId& server);
  void ReleaseUnusedSlots(const FleetView& view);
  void ApplyReport(TimePoint now, const FleetServer& server, bool correct,
                   std::uint32_t slot);
  void UpdateLeavingMark(const FleetServer& server, ServerState& state);

  std::vector<ServerState> states_;
  std::vector<std::uint32_t> free_;
  std::vector<std::uint32_t> slots_;
  std::unordered_map<ServerId, std::uint32_t> slot_of_;
  std::map<ServerId, LeavingMark> leaving_marks_;
  PrefixTable prefixes_;
  bool has_applied_view_ = false;
};

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_SRC_SERVER_STATES_H_
