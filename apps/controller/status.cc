#include "status.h"

#include <boost/json.hpp>
#include <map>
#include <optional>

#include "figwell/budget.h"
#include "figwell/placement.h"
#include "figwell/platform.h"

namespace figwell::controller {
namespace {

namespace json = boost::json;

std::string UnitsPrefix(const std::string& prefix) { return prefix + "units/"; }

std::string PlacementPrefix(const std::string& prefix) {
  return prefix + "placement/";
}

/** An instance in the store's instance list, among the peers, or in both. */
struct InstanceView {
  std::string admin;
  std::string listed;  // "live", "leaving", or empty if not in the list
  std::string state;   // among the peers; "this" for this process, or empty
  std::optional<config::VersionNumber> number;
};

using InstanceViews = std::map<DomainId, std::map<InstanceId, InstanceView>>;

InstanceViews MergeViews(const config::Settings& settings,
                         const versions::VersionLog& log,
                         const std::vector<platform::Instance>& listed,
                         const std::vector<peers::Member>& members) {
  InstanceViews views;
  for (const platform::Instance& one : listed) {
    InstanceView& view = views[one.failure_domain][one.instance];
    view.admin = one.admin_address;
    view.listed = one.leaving ? "leaving" : "live";
  }
  for (const peers::Member& member : members) {
    InstanceView& view = views[member.record.domain][member.record.instance];
    view.admin = member.record.admin_address;
    view.state = std::string(peers::Name(member.record.state));
    if (member.heard) {
      view.number = member.number_in_force;
    }
  }
  InstanceView& self = views[settings.failure_domain][settings.instance];
  self.admin = settings.listen_admin;
  self.state = "this";
  self.number = log.Number();
  return views;
}

json::array WriteInstances(const std::map<InstanceId, InstanceView>& views) {
  json::array array;
  for (const auto& [id, view] : views) {
    json::object one = {{"instance", id.value()},
                        {"admin", view.admin},
                        {"listed", view.listed},
                        {"state", view.state}};
    if (view.number) {
      one.emplace("number", *view.number);
    }
    array.push_back(std::move(one));
  }
  return array;
}

/** What the store holds about one domain. */
struct DomainTables {
  std::optional<budget::UnitTable> units;
  std::string holder;  // of the placement lease; empty if there is none
  std::map<ServerId, placement::ServerLedger> ledgers;
};

// Calls `visit` with each entry whose key starts with `prefix`: the rest of the
// key, and the value.
template <typename Visit>
void ForEachWithPrefix(const std::string& prefix,
                       const store::TransactionResult& result, Visit&& visit) {
  for (const auto& range : result.ranges) {
    for (const store::KeyValue& entry : range) {
      if (entry.key.starts_with(prefix)) {
        visit(entry.key.substr(prefix.size()), entry.value);
      }
    }
  }
}

// Ignores values that cannot be parsed.
DomainTables ReadTables(const std::string& prefix, const DomainId& domain,
                        const store::TransactionResult& result) {
  DomainTables tables;
  ForEachWithPrefix(UnitsPrefix(prefix) + "domain/" + domain.value(), result,
                    [&](const std::string& rest, const std::string& value) {
                      auto table = budget::ParseUnitTable(value);
                      if (rest.empty() && table) {
                        tables.units = std::move(*table);
                      }
                    });
  const placement::StoreKeys keys(prefix, domain);
  ForEachWithPrefix(keys.holder, result,
                    [&](const std::string& rest, const std::string& value) {
                      if (rest.empty()) {
                        tables.holder = value;
                      }
                    });
  ForEachWithPrefix(keys.ledgers, result,
                    [&](const std::string& server, const std::string& value) {
                      if (auto ledger = placement::LedgerFromText(value)) {
                        tables.ledgers[ServerId(server)] = std::move(*ledger);
                      }
                    });
  return tables;
}

json::object WriteUnitHolders(const DomainTables& tables) {
  json::object holders;
  if (tables.units) {
    for (const budget::UnitEntry& entry : tables.units->entries) {
      holders[entry.holder.value()] = entry.units;
    }
  }
  return holders;
}

std::string ItemName(const placement::Item& item) {
  const std::string version = item.model.value() + ":" + item.version.value();
  return item.adapter.empty() ? version : version + "+" + item.adapter.value();
}

// For each model, the domain's servers on which it is ready.
json::object WriteReadyModels(const DomainTables& tables) {
  json::object ready;
  for (const auto& [server, ledger] : tables.ledgers) {
    for (const auto& [item, resident] : ledger.resident) {
      if (resident.state == placement::ItemState::kReady) {
        json::value& servers = ready[ItemName(item)];
        if (!servers.is_array()) {
          servers = json::array();
        }
        servers.get_array().emplace_back(server.value());
      }
    }
  }
  return ready;
}

json::object WriteServers(const config::Configuration& configuration,
                          const DomainId& domain, const DomainTables& tables) {
  json::object servers;
  for (const auto& [id, server] : configuration.servers) {
    if (server.failure_domain != domain) {
      continue;
    }
    json::object one = {{"address", server.address},
                        {"pool", server.pool.value()},
                        {"draining", server.draining},
                        {"memory_bytes", server.memory_bytes}};
    const auto ledger = tables.ledgers.find(id);
    if (ledger != tables.ledgers.end()) {
      one.emplace("reserved_bytes", placement::ReservedBytes(ledger->second));
      one.emplace("orders_under_way", ledger->second.unsettled.size());
    }
    servers.emplace(id.value(), std::move(one));
  }
  return servers;
}

json::object WriteDomain(const DomainId& id, const config::Domain& domain,
                         const config::Configuration& configuration,
                         const DomainTables& tables,
                         const std::map<InstanceId, InstanceView>& instances) {
  return {{"region", domain.region.value()},
          {"units", domain.units},
          {"unit_holders", WriteUnitHolders(tables)},
          {"placement_lease", tables.holder},
          {"instances", WriteInstances(instances)},
          {"servers", WriteServers(configuration, id, tables)},
          {"ready", WriteReadyModels(tables)}};
}

}  // namespace

store::Transaction StatusQuery(const std::string& prefix) {
  store::Transaction query = platform::InstanceQuery(prefix);
  for (const std::string& first :
       {UnitsPrefix(prefix), PlacementPrefix(prefix)}) {
    query.success.emplace_back(store::Range{first, store::PrefixEnd(first)});
  }
  return query;
}

std::string StatusJson(const config::Settings& settings,
                       const versions::VersionLog& log,
                       const Result<store::TransactionResult>& result,
                       const std::vector<peers::Member>& members,
                       peers::ReachabilityLevel reach,
                       std::string_view placement) {
  const config::Configuration& configuration = *log.InForce();
  const auto instances =
      result ? platform::ReadInstances(settings.platform_prefix, *result)
             : std::vector<platform::Instance>();
  InstanceViews views = MergeViews(settings, log, instances, members);
  json::object domains;
  for (const auto& [id, domain] : configuration.domains) {
    const DomainTables tables =
        result ? ReadTables(settings.platform_prefix, id, *result)
               : DomainTables();
    domains.emplace(id.value(),
                    WriteDomain(id, domain, configuration, tables, views[id]));
  }
  return json::serialize(json::object{
      {"instance", settings.instance.value()},
      {"number", log.Number()},
      {"lineage", ToHex(log.Lineage())},
      {"store", result ? "reached" : "away"},
      {"reach", Name(reach)},
      {"domains", std::move(domains)},
      {"placement",
       json::parse(json::string_view(placement.data(), placement.size()))}});
}

}  // namespace figwell::controller
