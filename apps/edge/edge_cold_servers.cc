#include <algorithm>

#include "edge.h"
#include "server_state.h"

namespace figwell::edge {
namespace {

// A statement about a server whose entry is not known yet is kept this long
// after its end.
constexpr Duration kColdStatementRetention = std::chrono::milliseconds(5'000);

}  // namespace

void Edge::ApplyColdStatements() {
  if (!state_.catalog) {
    return;  // what a cold server bears is not known yet
  }
  const TimePoint now = MonotonicNow();
  std::erase_if(cold_statements_, [&](const auto& item) {
    const auto& [id, statement] = item;
    if (state_.directory.IsSameStart(id, statement.started_ms)) {
      OnServerCold(id, std::max(Duration{0}, statement.until - now));
      return true;
    }
    return now >= statement.until + kColdStatementRetention;
  });
}

void Edge::AnnounceColdServers(const std::set<ServerId>& appeared) {
  const TimePoint now = MonotonicNow();
  ServersColdMessage message;
  const auto send = [&] {
    peers_.SendToOwnDomain(MessageKind::kServersCold, message);
    message.items.clear();
  };
  for (const auto& [id, statement] : cold_statements_) {
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(Duration{0}, statement.until - now));
    if (remaining.count() == 0 && !appeared.contains(id)) {
      continue;
    }
    message.items.push_back({id.value(), statement.started_ms,
                             static_cast<std::uint32_t>(remaining.count())});
    if (message.items.size() == kMaxServerColdItems) {
      send();
    }
  }
  if (!message.items.empty()) {
    send();
  }
}

void Edge::OnServersColdMessage(const ServersColdMessage& message) {
  const TimePoint now = MonotonicNow();
  for (const ServerColdItem& item : message.items) {
    cold_statements_[ServerId(item.server)] = {
        item.started_ms, now + std::chrono::milliseconds(item.remaining_ms)};
  }
  ApplyColdStatements();
}

void Edge::OnServerCold(const ServerId& id, Duration remaining) {
  const bool was_cold = state_.balancer.limits().IsCold(id);
  ApplyColdTime(state_, id, remaining);
  if (was_cold && !state_.balancer.limits().Find(id)) {
    permits_.RemoveServer(id);
  }
}

void Edge::TickColdServers(TimePoint now) {
  for (const ServerId& id : state_.balancer.limits().Tick(now)) {
    if (!state_.balancer.limits().Find(id)) {
      permits_.RemoveServer(id);
    }
  }
}

void Edge::SuspectColdDomain(const DomainId& domain) {
  for (const auto& [id, entry] : state_.directory.entries()) {
    if (entry.server.domain == domain) {
      SuspectColdServer(state_, entry.server);
    }
  }
}

}  // namespace figwell::edge
