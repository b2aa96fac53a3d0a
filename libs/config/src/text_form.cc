#include <algorithm>
#include <boost/json.hpp>

#include "figwell/config.h"
#include "json_reader.h"
#include "merge_patch.h"

namespace figwell::config {
namespace {

namespace json = boost::json;

// ------------------------------------------------------------------- reading

Team ReadTeam(const json::value& value, const std::string& path,
              Findings& findings) {
  Team team;
  ObjectReader reader(value, path, findings);
  reader.Read("rate", team.rate);
  reader.Read("burst", team.burst);
  reader.Read("weight", team.weight);
  reader.Read("max_priority", team.max_priority);
  reader.Read("models", team.models);
  reader.Read("services", team.services);
  reader.ForEach("keys", [&](const std::string& id, const json::value& key,
                             const std::string& key_path) {
    ObjectReader key_reader(key, key_path, findings);
    key_reader.Read("sha256", team.keys[KeyId(id)].sha256);
    key_reader.ReportUnknownFields();
  });
  reader.ReportUnknownFields();
  return team;
}

// Reads a version or an adapter; both have only a size.
template <typename Sized>
Sized ReadSized(const json::value& value, const std::string& path,
                Findings& findings) {
  Sized sized;
  ObjectReader reader(value, path, findings);
  reader.Read("bytes", sized.bytes);
  reader.ReportUnknownFields();
  return sized;
}

Model ReadModel(const json::value& value, const std::string& path,
                Findings& findings) {
  Model model;
  ObjectReader reader(value, path, findings);
  reader.ForEach("versions", [&](const std::string& id, const json::value& one,
                                 const std::string& at) {
    model.versions[VersionId(id)] = ReadSized<ModelVersion>(one, at, findings);
  });
  reader.Read("default_version", model.default_version);
  reader.Read("max_tokens", model.max_tokens);
  reader.Read("pool", model.pool);
  reader.ForEach("adapters", [&](const std::string& id, const json::value& one,
                                 const std::string& at) {
    model.adapters[AdapterId(id)] = ReadSized<Adapter>(one, at, findings);
  });
  reader.ReportUnknownFields();
  return model;
}

Server ReadServer(const json::value& value, const std::string& path,
                  Findings& findings) {
  Server server;
  ObjectReader reader(value, path, findings);
  reader.Read("failure_domain", server.failure_domain);
  reader.Read("address", server.address);
  reader.Read("accelerators", server.accelerators);
  reader.Read("memory_bytes", server.memory_bytes);
  reader.Read("checks_fencing", server.checks_fencing);
  reader.Read("pool", server.pool);
  reader.Read("draining", server.draining);
  reader.ReportUnknownFields();
  return server;
}

Service ReadService(const json::value& value, const std::string& path,
                    Findings& findings) {
  Service service;
  ObjectReader reader(value, path, findings);
  reader.Read("path", service.path);
  reader.Read("servers", service.servers);
  reader.Read("open", service.open);
  reader.ForEach("idempotent",
                 [&](const std::string& method, const json::value& one,
                     const std::string& at) {
                   if (!one.is_bool()) {
                     findings.push_back({at, "must be true or false"});
                     return;
                   }
                   service.idempotent[method] = one.get_bool();
                 });
  reader.ReportUnknownFields();
  return service;
}

Domain ReadDomain(const json::value& value, const std::string& path,
                  Findings& findings) {
  Domain domain;
  ObjectReader reader(value, path, findings);
  reader.Read("region", domain.region);
  reader.Read("units", domain.units);
  reader.ReportUnknownFields();
  return domain;
}

Policy ReadPolicy(const json::value& value, Findings& findings) {
  Policy policy;
  ObjectReader reader(value, "policy", findings);
  reader.Read("fairness", policy.fairness);
  reader.Read("isolation_seconds", policy.isolation_seconds);
  std::string isolation = "serve";
  reader.Read("isolation", isolation);
  if (isolation != "serve" && isolation != "refuse") {
    findings.push_back({"policy.isolation", "must be serve or refuse"});
  }
  policy.isolation =
      isolation == "refuse" ? IsolationRule::kRefuse : IsolationRule::kServe;
  reader.ReportUnknownFields();
  return policy;
}

WeightStore ReadWeightStore(const json::value& value, Findings& findings) {
  WeightStore store;
  ObjectReader reader(value, "weight_store", findings);
  reader.Read("loads_per_second", store.loads_per_second);
  reader.Read("loads_at_once", store.loads_at_once);
  reader.Read("adapters_at_once", store.adapters_at_once);
  reader.ReportUnknownFields();
  return store;
}

template <typename IdType, typename Value, typename ReadOne>
void ReadMap(ObjectReader& reader, std::string_view name,
             std::map<IdType, Value>& out, Findings& findings,
             ReadOne&& read_one) {
  reader.ForEach(name, [&](const std::string& id, const json::value& value,
                           const std::string& path) {
    out.emplace(IdType(id), read_one(value, path, findings));
  });
}

Configuration ReadConfiguration(const json::value& document,
                                Findings& findings) {
  Configuration configuration;
  ObjectReader reader(document, "", findings);
  ReadMap(reader, "teams", configuration.teams, findings, ReadTeam);
  ReadMap(reader, "models", configuration.models, findings, ReadModel);
  ReadMap(reader, "servers", configuration.servers, findings, ReadServer);
  ReadMap(reader, "services", configuration.services, findings, ReadService);
  ReadMap(reader, "domains", configuration.domains, findings, ReadDomain);
  if (const json::value* policy = reader.Field("policy")) {
    configuration.policy = ReadPolicy(*policy, findings);
  }
  if (const json::value* store = reader.Field("weight_store")) {
    configuration.weight_store = ReadWeightStore(*store, findings);
  }
  reader.ReportUnknownFields();
  return configuration;
}

// Adds the findings of the checks, except for places that could not be read:
// there the check saw a default, not the operator's value.
void AddCheckFindings(const Findings& checked, Findings& findings) {
  const std::size_t read_count = findings.size();
  for (const Finding& finding : checked) {
    const bool unread = std::any_of(
        findings.begin(),
        findings.begin() + static_cast<std::ptrdiff_t>(read_count),
        [&](const Finding& read) { return read.place == finding.place; });
    if (!unread) {
      findings.push_back(finding);
    }
  }
}

Result<Configuration> ReadAndCheck(const json::value& document,
                                   VersionNumber number) {
  Findings findings;
  Configuration configuration = ReadConfiguration(document, findings);
  configuration.number = number;
  AddCheckFindings(CheckConfiguration(configuration), findings);
  if (!findings.empty()) {
    return Fail(std::move(findings));
  }
  return configuration;
}

Result<json::value> ParseJson(std::string_view text, std::string_view what) {
  json::error_code error;
  json::value document = json::parse(text, error);
  if (error) {
    return Fail(Findings{{std::string(what), "not JSON: " + error.message()}});
  }
  return document;
}

// ------------------------------------------------------------------- writing

template <typename Ids>
json::array WriteIds(const Ids& ids) {
  json::array array;
  array.reserve(ids.size());
  for (const auto& id : ids) {
    array.emplace_back(id.value());
  }
  return array;
}

template <typename Map, typename WriteOne>
json::object WriteMap(const Map& map, WriteOne&& write_one) {
  json::object object;
  object.reserve(map.size());
  for (const auto& [id, value] : map) {
    object.emplace(id.value(), write_one(value));
  }
  return object;
}

json::value WriteTeam(const Team& team) {
  return json::object{{"rate", team.rate},
                      {"burst", team.burst},
                      {"weight", team.weight},
                      {"max_priority", team.max_priority},
                      {"models", WriteIds(team.models)},
                      {"services", WriteIds(team.services)},
                      {"keys", WriteMap(team.keys, [](const Key& key) {
                         return json::object{{"sha256", ToHex(key.sha256)}};
                       })}};
}

json::value WriteModel(const Model& model) {
  const auto write_sized = [](const auto& sized) {
    return json::object{{"bytes", sized.bytes}};
  };
  return json::object{{"versions", WriteMap(model.versions, write_sized)},
                      {"default_version", model.default_version.value()},
                      {"max_tokens", model.max_tokens},
                      {"pool", model.pool.value()},
                      {"adapters", WriteMap(model.adapters, write_sized)}};
}

json::value WriteServer(const Server& server) {
  return json::object{{"failure_domain", server.failure_domain.value()},
                      {"address", server.address},
                      {"accelerators", server.accelerators},
                      {"memory_bytes", server.memory_bytes},
                      {"checks_fencing", server.checks_fencing},
                      {"pool", server.pool.value()},
                      {"draining", server.draining}};
}

json::value WriteService(const Service& service) {
  json::object idempotent;
  for (const auto& [method, repeatable] : service.idempotent) {
    idempotent.emplace(method, repeatable);
  }
  return json::object{{"path", service.path},
                      {"servers", WriteIds(service.servers)},
                      {"idempotent", std::move(idempotent)},
                      {"open", service.open}};
}

json::value WriteDomain(const Domain& domain) {
  return json::object{{"region", domain.region.value()},
                      {"units", domain.units}};
}

json::value WritePolicy(const Policy& policy) {
  const bool refuse = policy.isolation == IsolationRule::kRefuse;
  return json::object{{"fairness", policy.fairness},
                      {"isolation", refuse ? "refuse" : "serve"},
                      {"isolation_seconds", policy.isolation_seconds}};
}

json::value WriteWeightStore(const WeightStore& store) {
  return json::object{{"loads_per_second", store.loads_per_second},
                      {"loads_at_once", store.loads_at_once},
                      {"adapters_at_once", store.adapters_at_once}};
}

json::value WriteConfiguration(const Configuration& configuration) {
  return json::object{
      {"teams", WriteMap(configuration.teams, WriteTeam)},
      {"models", WriteMap(configuration.models, WriteModel)},
      {"servers", WriteMap(configuration.servers, WriteServer)},
      {"services", WriteMap(configuration.services, WriteService)},
      {"domains", WriteMap(configuration.domains, WriteDomain)},
      {"policy", WritePolicy(configuration.policy)},
      {"weight_store", WriteWeightStore(configuration.weight_store)}};
}

}  // namespace

Result<Configuration> ParseConfiguration(std::string_view text,
                                         VersionNumber number) {
  const Result<json::value> document = ParseJson(text, "configuration");
  if (!document) {
    return tl::unexpected<Error>(document.error());
  }
  return ReadAndCheck(*document, number);
}

std::string ToJson(const Configuration& configuration) {
  return json::serialize(WriteConfiguration(configuration));
}

Result<Configuration> ApplyPatch(const Configuration& base,
                                 std::string_view merge_patch) {
  const Result<json::value> patch = ParseJson(merge_patch, "patch");
  if (!patch) {
    return tl::unexpected<Error>(patch.error());
  }
  if (!patch->is_object()) {
    return Fail(Findings{{"patch", "must be an object"}});
  }
  json::value document = WriteConfiguration(base);
  MergePatch(document, *patch);
  return ReadAndCheck(document, base.number + 1);
}

}  // namespace figwell::config
