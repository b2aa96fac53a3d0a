#include "figwell/serving/directory.h"

#include <algorithm>

namespace figwell::serving {

bool BackendServer::Holds(const ModelTarget& target) const {
  return serving::Holds(models, target);
}

std::string_view Name(ServerChange change) {
  switch (change) {
    case ServerChange::kAppeared:
      return "appeared";
    case ServerChange::kRestarted:
      return "restarted";
    case ServerChange::kUpdated:
      return "updated";
    case ServerChange::kDraining:
      return "draining";
    case ServerChange::kGone:
      return "gone";
    case ServerChange::kUnchanged:
      return "unchanged";
  }
  return "unknown";
}

bool Directory::IsRestored(const BackendServer& server,
                           const EntryReading& reading) const {
  const auto departure = departures_.find(server.id);
  return departure != departures_.end() &&
         departure->second.started_ms == server.started_ms &&
         departure->second.era < reading.era;
}

void Directory::RecordDeparture(TimePoint now, const Entry& entry) {
  const BackendServer& server = entry.server;
  std::erase_if(departures_, [&](const auto& item) {
    return now - item.second.at >= kLeavingMarkLifetime;
  });
  departures_[server.id] = {server.started_ms, entry.removed_in, now};
  if (server.draining) {
    AddLeavingMark(now, server.id, server.started_ms);
  }
}

void Directory::AddLeavingMark(TimePoint now, const ServerId& id,
                               std::int64_t started_ms) {
  std::erase_if(leaving_marks_, [&](const auto& item) {
    return now - item.second.marked_at >= kLeavingMarkLifetime;
  });
  leaving_marks_[id] = {started_ms, now};
}

std::vector<ServerId> Directory::AcceptRestored(TimePoint now) {
  std::vector<ServerId> accepted;
  for (const auto& [id, entry] : restored_) {
    if (now >= entry.accepted_at) {
      accepted.push_back(id);
    }
  }
  for (const ServerId& id : accepted) {
    Put(restored_.at(id).server);
  }
  return accepted;
}

ServerChange Directory::Put(BackendServer server, const EntryReading& reading) {
  if (IsRestored(server, reading) && !restored_.contains(server.id)) {
    restored_[server.id] = {server, reading.at + kRestoredEntryLifetime};
    return ServerChange::kUnchanged;
  }
  restored_.erase(server.id);
  const auto departure = departures_.extract(server.id);
  const bool started_again =
      !departure.empty() && departure.mapped().started_ms != server.started_ms;
  if (const auto leaving = leaving_marks_.find(server.id);
      leaving != leaving_marks_.end()) {
    if (leaving->second.started_ms == server.started_ms) {
      server.draining = true;
    } else {
      leaving_marks_.erase(leaving);
    }
  }
  const auto found = entries_.find(server.id);
  if (found == entries_.end()) {
    entries_.emplace(server.id, Entry{server, std::nullopt});
    return started_again ? ServerChange::kRestarted : ServerChange::kAppeared;
  }
  Entry& entry = found->second;
  entry.expires_at.reset();
  const bool restarted = entry.server.started_ms != server.started_ms ||
                         entry.server.address != server.address;
  if (!restarted && server.version == 0) {
    server.version = entry.server.version;  // peers may not state it
  }
  if (!restarted && entry.server.draining) {
    server.draining = true;  // an older copy of the store says otherwise
  }
  if (entry.server == server) {
    return ServerChange::kUnchanged;
  }
  const bool began_draining = server.draining && !entry.server.draining;
  entry.server = server;
  if (restarted) {
    return ServerChange::kRestarted;
  }
  return began_draining ? ServerChange::kDraining : ServerChange::kUpdated;
}

ServerChange Directory::MarkLeaving(TimePoint now, const ServerId& id,
                                    std::int64_t started_ms) {
  const auto found = entries_.find(id);
  if (found != entries_.end() &&
      found->second.server.started_ms != started_ms) {
    return ServerChange::kUnchanged;  // the server has restarted since
  }
  AddLeavingMark(now, id, started_ms);
  if (found == entries_.end() || found->second.server.draining) {
    return ServerChange::kUnchanged;
  }
  found->second.server.draining = true;
  return ServerChange::kDraining;
}

std::optional<TimePoint> Directory::GraceEnd(TimePoint now) const {
  if (store_unreachable_) {
    return now + kLapsedEntryGrace;
  }
  if (!recovered_at_ || now >= *recovered_at_ + kLapsedEntryGrace) {
    return std::nullopt;
  }
  const TimePoint end = *recovered_at_ + kLapsedEntryGrace;
  return now < *recovered_at_ + kOutageChangesMaxDelay
             ? end
             : std::min(end, now + kLateRemovalGrace);
}

ServerChange Directory::Remove(TimePoint now, const ServerId& id,
                               store::Era era) {
  restored_.erase(id);
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return ServerChange::kUnchanged;
  }
  Entry& entry = found->second;
  entry.removed_in = era;
  const auto grace_end = GraceEnd(now);
  if (grace_end && !entry.server.draining) {
    entry.expires_at =
        std::min(entry.expires_at.value_or(*grace_end), *grace_end);
    return ServerChange::kUnchanged;
  }
  RecordDeparture(now, entry);
  entries_.erase(found);
  return ServerChange::kGone;
}

void Directory::OnStoreRecovered(TimePoint now) {
  if (store_unreachable_) {
    recovered_at_ = now;
  }
  store_unreachable_ = false;
}

std::vector<ServerId> Directory::Expire(TimePoint now) {
  std::vector<ServerId> gone;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (entry->second.expires_at && *entry->second.expires_at <= now) {
      gone.push_back(entry->first);
      RecordDeparture(now, entry->second);
      entry = entries_.erase(entry);
    } else {
      ++entry;
    }
  }
  return gone;
}

const BackendServer* Directory::Find(const ServerId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.server;
}

bool Directory::IsSameStart(const ServerId& id, std::int64_t started_ms) const {
  const BackendServer* server = Find(id);
  return server != nullptr && server->started_ms == started_ms;
}

bool Directory::IsUsable(const ServerId& id) const {
  const BackendServer* server = Find(id);
  return server != nullptr && IsUsable(*server);
}

bool Directory::IsServiceEvacuated(const ServiceId& service) const {
  bool any_evacuated = false;
  for (const auto& [id, entry] : entries_) {
    if (entry.server.service != service || entry.server.draining) {
      continue;
    }
    if (!IsEvacuated(entry.server.domain)) {
      return false;
    }
    any_evacuated = true;
  }
  return any_evacuated;
}

bool Directory::HasVersion(const ServiceId& service,
                           VersionHash version) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    const BackendServer& server = item.second.server;
    return server.service == service && server.version == version &&
           IsUsable(server);
  });
}

bool Directory::IsHeldElsewhere(const ServerId& id,
                                const ModelId& model) const {
  const BackendServer* server = Find(id);
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    const BackendServer& other = item.second.server;
    return item.first != id && IsUsable(other) && server != nullptr &&
           other.service == server->service && other.Holds({model, {}});
  });
}

}  // namespace figwell::serving
