#include <boost/json.hpp>

#include "figwell/platform.h"

namespace figwell::platform {
namespace {

namespace json = boost::json;

std::string InstancesPrefix(const std::string& prefix) {
  return prefix + "instances/";
}

std::string FindText(const json::object& fields, std::string_view name) {
  const json::value* value = fields.if_contains(name);
  const json::string* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? "" : std::string(text->data(), text->size());
}

std::string Encode(const Instance& instance) {
  return json::serialize(
      json::object{{"failure_domain", instance.failure_domain.value()},
                   {"region", instance.region.value()},
                   {"peers", instance.peers_address},
                   {"admin", instance.admin_address},
                   {"state", instance.leaving ? "leaving" : "live"}});
}

}  // namespace

store::Transaction InstanceUpdate(const std::string& prefix,
                                  const Instance& instance,
                                  store::LeaseId lease) {
  store::Transaction transaction;
  transaction.success.emplace_back(
      store::Put{InstancesPrefix(prefix) + instance.instance.value(),
                 Encode(instance), lease});
  return transaction;
}

store::Transaction InstanceQuery(const std::string& prefix) {
  const std::string key_prefix = InstancesPrefix(prefix);
  store::Transaction transaction;
  transaction.success.emplace_back(
      store::Range{key_prefix, store::PrefixEnd(key_prefix)});
  return transaction;
}

std::vector<Instance> ReadInstances(const std::string& prefix,
                                    const store::TransactionResult& result) {
  const std::string key_prefix = InstancesPrefix(prefix);
  std::vector<Instance> instances;
  if (result.ranges.empty()) {
    return instances;
  }
  for (const store::KeyValue& entry : result.ranges.front()) {
    json::error_code error;
    const json::value document = json::parse(entry.value, error);
    if (error || !document.is_object() || !entry.key.starts_with(key_prefix)) {
      continue;
    }
    const json::object& fields = document.get_object();
    instances.push_back({InstanceId(entry.key.substr(key_prefix.size())),
                         DomainId(FindText(fields, "failure_domain")),
                         RegionId(FindText(fields, "region")),
                         FindText(fields, "peers"), FindText(fields, "admin"),
                         FindText(fields, "state") == "leaving"});
  }
  return instances;
}

}  // namespace figwell::platform
