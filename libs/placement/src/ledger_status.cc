#include <utility>

#include "figwell/placement/controller.h"

namespace figwell::placement {
namespace {

constexpr std::string_view kPlacementKeys = "placement/";
constexpr std::string_view kServerKeys = "/servers/";

std::string PlacementPrefix(std::string_view prefix) {
  return std::string(prefix).append(kPlacementKeys);
}

void AddServer(const ServerId& id, const std::string& text,
               PlacementStatus& status) {
  const auto ledger = LedgerFromText(text);
  if (!ledger) {
    ++status.unreadable_ledgers;
    return;
  }
  ServerStatus& server = status.servers[id];
  server.known = true;
  server.reserved_bytes = ReservedBytes(*ledger);
  server.resident = ledger->resident;
  server.unsettled = ledger->unsettled;
}

/** Adds sizes and the required bundles from the configuration. */
void AddConfiguration(const config::Configuration& configuration,
                      PlacementStatus& status) {
  const auto bundles = MakeBundles(configuration);
  for (const auto& [base, bundle] : bundles) {
    status.ready[base];
  }
  for (auto& [id, server] : status.servers) {
    const auto settings = configuration.servers.find(id);
    if (settings == configuration.servers.end()) {
      continue;
    }
    server.memory_bytes = settings->second.memory_bytes;
    server.usable = !settings->second.draining;
    for (const auto& [item, resident] : server.resident) {
      if (server.usable && item.adapter.empty() &&
          resident.state == ItemState::kReady) {
        status.ready[item].push_back(id);
      }
    }
  }
}

}  // namespace

store::Transaction LedgerQuery(std::string_view prefix) {
  const std::string placement_prefix = PlacementPrefix(prefix);
  return {{},
          {store::Range{placement_prefix, store::PrefixEnd(placement_prefix)}},
          {}};
}

std::map<DomainId, PlacementStatus> ReadLedgers(
    std::string_view prefix, const store::TransactionResult& result,
    const config::Configuration& configuration) {
  std::map<DomainId, PlacementStatus> domains;
  const std::string placement_prefix = PlacementPrefix(prefix);
  if (result.ranges.empty()) {
    return domains;
  }
  for (const store::KeyValue& value : result.ranges.front()) {
    const std::string_view key = value.key;
    const std::string_view domain_key = key.substr(placement_prefix.size());
    const DomainId domain{
        std::string(domain_key.substr(0, domain_key.find('/')))};
    const std::string_view key_suffix =
        domain_key.substr(domain.value().size());
    PlacementStatus& status = domains[domain];
    status.domain = domain;
    if (key_suffix == "/holder") {
      status.holds_lease = true;
    } else if (key_suffix == "/epoch") {
      status.epoch =
          static_cast<std::uint64_t>(ParseInteger(value.value).value_or(0));
    } else if (key_suffix.substr(0, kServerKeys.size()) == kServerKeys) {
      AddServer(ServerId(std::string(key_suffix.substr(kServerKeys.size()))),
                value.value, status);
    }
  }
  for (auto& [id, status] : domains) {
    AddConfiguration(configuration, status);
  }
  return domains;
}

}  // namespace figwell::placement
