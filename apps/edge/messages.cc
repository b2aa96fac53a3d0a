#include "messages.h"

#include <bit>

namespace figwell::edge {
namespace {

// Fits into peers::kMaxApplicationBytes if names have 24 bytes.
constexpr std::size_t kMaxDemandItems = 24;

struct HeldModel {
  ModelId model;
  std::vector<std::string> adapters;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, adapters);
  }
};

struct ServerRecord {
  ServerId id;
  ServiceId service;
  std::string address;
  DomainId domain;
  std::int32_t slots = 1;
  bool draining = false;
  bool has_remaining = false;
  /**
   * Without `has_remaining` it holds the software version, since earlier builds
   * accept no further fields and ignore it then.
   */
  std::int64_t remaining_us = 0;
  std::int64_t started_ms = 0;
  std::vector<HeldModel> models;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, address, domain, slots, draining, has_remaining,
            remaining_us, started_ms, models);
  }
};

// The message with each of its revisions converted.
template <typename Convert>
ChangesMessage ConvertRevisions(ChangesMessage message,
                                const Convert& convert) {
  serving::ChangeSet& changes = message.changes;
  changes.after = convert(changes.after);
  changes.up_to = convert(changes.up_to);
  for (serving::LoggedEntry& entry : changes.entries) {
    entry.revision = convert(entry.revision);
  }
  return message;
}

}  // namespace

StatusMessage WithoutEras(StatusMessage message) {
  message.servers_revision = store::WithoutEra(message.servers_revision);
  message.instances_revision = store::WithoutEra(message.instances_revision);
  return message;
}

DomainStatusMessage WithoutEras(DomainStatusMessage message) {
  message.sums = WithoutEras(std::move(message.sums));
  return message;
}

ChangesMessage WithoutEras(ChangesMessage message) {
  return ConvertRevisions(std::move(message), store::WithoutEra);
}

ChangesRequestMessage WithoutEras(ChangesRequestMessage message) {
  message.after = store::WithoutEra(message.after);
  return message;
}

ChangesMessage WithEra(store::Era era, ChangesMessage message) {
  return ConvertRevisions(std::move(message), [era](store::Revision stated) {
    return store::WithEra(era, stated);
  });
}

std::string PackServer(const serving::BackendServer& server) {
  ServerRecord record;
  record.id = server.id;
  record.service = server.service;
  record.address = server.address;
  record.domain = server.domain;
  record.slots = server.slots;
  record.draining = server.draining;
  record.has_remaining = server.remaining.has_value();
  record.remaining_us = server.remaining
                            ? server.remaining->count()
                            : std::bit_cast<std::int64_t>(server.version);
  record.started_ms = server.started_ms;
  for (const auto& [model, adapters] : server.models) {
    record.models.push_back({model, {adapters.begin(), adapters.end()}});
  }
  return peers::Pack(record);
}

Result<serving::BackendServer> UnpackServer(std::string_view bytes) {
  return peers::Unpack<ServerRecord>(bytes).map([](ServerRecord record) {
    serving::BackendServer server;
    server.id = std::move(record.id);
    server.service = std::move(record.service);
    server.address = std::move(record.address);
    server.domain = std::move(record.domain);
    server.slots = record.slots;
    server.draining = record.draining;
    if (record.has_remaining) {
      server.remaining = Duration(record.remaining_us);
    } else {
      server.version = std::bit_cast<serving::VersionHash>(record.remaining_us);
    }
    server.started_ms = record.started_ms;
    for (const HeldModel& held : record.models) {
      server.models[held.model] = {held.adapters.begin(), held.adapters.end()};
    }
    return server;
  });
}

std::vector<DemandMessage> ToDemandMessages(const serving::Demand& demand) {
  std::vector<DemandMessage> messages(1);
  const auto add = [&](DemandItem item) {
    if (messages.back().items.size() >= kMaxDemandItems) {
      messages.push_back({false, {}});
    }
    messages.back().items.push_back(std::move(item));
  };
  for (const auto& [model, work] : demand.work) {
    add({model.value(), {}, static_cast<float>(work)});
  }
  for (const auto& [target, requests] : demand.requests) {
    add({target.model.value(), target.adapter, static_cast<float>(requests)});
  }
  return messages;
}

void ApplyDemandMessage(const DemandMessage& message, serving::Demand& demand) {
  if (message.first) {
    demand = {};
  }
  for (const DemandItem& item : message.items) {
    if (item.adapter.empty()) {
      demand.work[ModelId(item.model)] = item.amount;
    } else {
      demand.requests[{ModelId(item.model), item.adapter}] = item.amount;
    }
  }
}

}  // namespace figwell::edge
