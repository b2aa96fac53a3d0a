// The queries of Fleet about its own state.

#include <algorithm>

#include "fleet.h"

namespace figwell::peers {

std::size_t Fleet::watchers() const {
  return static_cast<std::size_t>(std::count_if(
      nodes_.begin(), nodes_.end(),
      [](const Node& node) { return node.running && node.watching; }));
}

std::vector<Duration> Fleet::TimesToForce(config::VersionNumber number) const {
  std::vector<Duration> times;
  const TimePoint accepted = accepted_at_.at(number);
  for (const Node& node : nodes_) {
    const auto found = node.in_force_at.find(number);
    if (node.running && node.started <= accepted &&
        found != node.in_force_at.end()) {
      times.push_back(found->second - accepted);
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

bool Fleet::AllInForce(config::VersionNumber number) const {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    return !node.running || node.in_force >= number;
  });
}

bool Fleet::AllAgree() const {
  std::map<InstanceId, std::uint64_t> running;
  for (const Node& node : nodes_) {
    if (node.running) {
      running[node.id] = node.agent->membership().self().incarnation;
    }
  }
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    if (!node.running) {
      return true;
    }
    const MemberTable& table = node.agent->membership().table();
    if (table.live_count() != running.size()) {
      return false;
    }
    return std::all_of(running.begin(), running.end(), [&](const auto& item) {
      const MemberTable::Entry* entry = table.Find(item.first);
      return entry != nullptr &&
             entry->member.record.incarnation == item.second &&
             IsLive(entry->member.record.state);
    });
  });
}

}  // namespace figwell::peers
