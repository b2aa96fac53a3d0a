#include "key_value.h"

#include <boost/beast/core/detail/base64.hpp>

#include "fake.h"

namespace figwell::fakes {

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

std::string Base64Encode(const std::string& bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::string Base64Decode(const std::string& text) {
  std::string bytes(base64::decoded_size(text.size()), '\0');
  bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
  return bytes;
}

namespace {

std::string KeyOf(const json::value& request) {
  return Base64Decode(GetText(request, "key"));
}

std::string RangeEndOf(const json::value& request) {
  return Base64Decode(GetText(request, "range_end"));
}

const json::array* FindArray(const json::value& request, const char* name) {
  const auto* map = request.if_object();
  const auto* member = map != nullptr ? map->if_contains(name) : nullptr;
  return member != nullptr ? member->if_array() : nullptr;
}

}  // namespace

json::value KeyValueService::Header() const {
  return {{"revision", std::to_string(revision_)}};
}

json::value KeyValueService::ToJson(const std::string& key,
                                    const Entry& entry) {
  return {{"key", Base64Encode(key)},
          {"value", Base64Encode(entry.value)},
          {"create_revision", std::to_string(entry.create_revision)},
          {"mod_revision", std::to_string(entry.mod_revision)},
          {"version", std::to_string(entry.version)},
          {"lease", std::to_string(entry.lease)}};
}

std::vector<std::string> KeyValueService::KeysInRange(
    const std::string& key, const std::string& end) const {
  std::vector<std::string> keys;
  for (auto it = entries_.lower_bound(key); it != entries_.end(); ++it) {
    const bool in_range =
        end.empty() ? it->first == key : end[0] == '\0' || it->first < end;
    if (!in_range) {
      break;
    }
    keys.push_back(it->first);
  }
  return keys;
}

json::value KeyValueService::Range(const json::value& request) const {
  const std::int64_t limit = GetNumber(request, "limit", 0);
  const auto keys = KeysInRange(KeyOf(request), RangeEndOf(request));
  json::array values;
  for (const std::string& key : keys) {
    if (limit > 0 && static_cast<std::int64_t>(values.size()) == limit) {
      break;
    }
    values.push_back(ToJson(key, entries_.at(key)));
  }
  return {{"header", Header()},
          {"kvs", std::move(values)},
          {"count", std::to_string(keys.size())}};
}

void KeyValueService::PutAt(const json::value& request, std::int64_t revision) {
  const std::string key = KeyOf(request);
  Entry& entry = entries_[key];
  entry.create_revision =
      entry.create_revision == 0 ? revision : entry.create_revision;
  entry.mod_revision = revision;
  ++entry.version;
  entry.lease = GetNumber(request, "lease", 0);
  entry.value = Base64Decode(GetText(request, "value"));
  history_.push_back({revision, false, key, entry});
}

std::int64_t KeyValueService::DeleteAt(const std::string& key,
                                       const std::string& end,
                                       std::int64_t revision) {
  const auto keys = KeysInRange(key, end);
  for (const std::string& deleted_key : keys) {
    Entry entry;
    entry.mod_revision = revision;
    history_.push_back({revision, true, deleted_key, entry});
    entries_.erase(deleted_key);
  }
  return static_cast<std::int64_t>(keys.size());
}

json::value KeyValueService::Put(const json::value& request) {
  PutAt(request, ++revision_);
  return {{"header", Header()}};
}

json::value KeyValueService::DeleteRange(const json::value& request) {
  const auto deleted =
      DeleteAt(KeyOf(request), RangeEndOf(request), revision_ + 1);
  revision_ += deleted > 0 ? 1 : 0;
  return {{"header", Header()}, {"deleted", std::to_string(deleted)}};
}

bool KeyValueService::CompareHolds(const json::value& compare) const {
  const auto found = entries_.find(KeyOf(compare));
  const Entry entry = found == entries_.end() ? Entry{} : found->second;
  const std::string target = GetText(compare, "target", "VERSION");
  if (target == "VALUE") {
    return found != entries_.end() &&
           entry.value == Base64Decode(GetText(compare, "value"));
  }
  std::int64_t actual = entry.version;
  std::int64_t expected = GetNumber(compare, "version", 0);
  if (target == "MOD") {
    actual = entry.mod_revision;
    expected = GetNumber(compare, "mod_revision", 0);
  } else if (target == "CREATE") {
    actual = entry.create_revision;
    expected = GetNumber(compare, "create_revision", 0);
  }
  const std::string result = GetText(compare, "result", "EQUAL");
  if (result == "GREATER") {
    return actual > expected;
  }
  if (result == "LESS") {
    return actual < expected;
  }
  return (actual == expected) == (result == "EQUAL");
}

json::value KeyValueService::Apply(const json::value& operation,
                                   std::int64_t revision, bool& wrote) {
  const json::object& map = operation.as_object();
  if (const auto* put = map.if_contains("request_put")) {
    PutAt(*put, revision);
    wrote = true;
    return {{"response_put", {{"header", Header()}}}};
  }
  if (const auto* delete_range = map.if_contains("request_delete_range")) {
    const auto deleted =
        DeleteAt(KeyOf(*delete_range), RangeEndOf(*delete_range), revision);
    wrote = wrote || deleted > 0;
    return {{"response_delete_range", {{"deleted", std::to_string(deleted)}}}};
  }
  if (const auto* nested = map.if_contains("request_txn")) {
    return {{"response_txn", TransactAt(*nested, revision, wrote)}};
  }
  return {{"response_range", Range(map.at("request_range"))}};
}

json::value KeyValueService::TransactAt(const json::value& request,
                                        std::int64_t revision, bool& wrote) {
  bool succeeded = true;
  if (const auto* compares = FindArray(request, "compare")) {
    for (const json::value& compare : *compares) {
      succeeded = succeeded && CompareHolds(compare);
    }
  }
  json::array responses;
  if (const auto* branch =
          FindArray(request, succeeded ? "success" : "failure")) {
    for (const json::value& operation : *branch) {
      responses.push_back(Apply(operation, revision, wrote));
    }
  }
  json::object result{{"header", Header()}, {"responses", responses}};
  if (succeeded) {
    result["succeeded"] = true;  // etcd omits the field when it is false
  }
  return result;
}

json::value KeyValueService::Transact(const json::value& request) {
  bool wrote = false;
  json::value result = TransactAt(request, revision_ + 1, wrote);
  revision_ += wrote ? 1 : 0;
  result.as_object()["header"] = Header();
  return result;
}

json::value KeyValueService::Compact(const json::value& request) {
  compacted_ = GetNumber(request, "revision", revision_);
  std::erase_if(history_, [&](const Change& change) {
    return change.revision <= compacted_;
  });
  return {{"header", Header()}};
}

json::value KeyValueService::Grant(const json::value& request,
                                   std::int64_t now_ms) {
  const std::int64_t ttl = GetNumber(request, "TTL", 1);
  const std::int64_t id = next_lease_++;
  leases_[id] = {ttl, now_ms + ttl * 1000};
  return {{"header", Header()},
          {"ID", std::to_string(id)},
          {"TTL", std::to_string(ttl)}};
}

json::value KeyValueService::KeepAlive(const json::value& request,
                                       std::int64_t now_ms) {
  const std::int64_t id = GetNumber(request, "ID", 0);
  const auto lease = leases_.find(id);
  if (lease == leases_.end()) {
    return {{"result", {{"ID", std::to_string(id)}, {"TTL", "0"}}}};
  }
  lease->second.expires_ms = now_ms + lease->second.ttl * 1000;
  return {{"result",
           {{"ID", std::to_string(id)},
            {"TTL", std::to_string(lease->second.ttl)}}}};
}

json::value KeyValueService::Revoke(const json::value& request) {
  const std::int64_t id = GetNumber(request, "ID", 0);
  leases_.erase(id);
  std::vector<std::string> deleted_keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease == id) {
      deleted_keys.push_back(key);
    }
  }
  if (!deleted_keys.empty()) {
    ++revision_;
  }
  for (const std::string& key : deleted_keys) {
    DeleteAt(key, {}, revision_);
  }
  return {{"header", Header()}};
}

void KeyValueService::Expire(std::int64_t now_ms) {
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_ms <= now_ms) {
      expired.push_back(id);
    }
  }
  for (const std::int64_t id : expired) {
    Revoke({{"ID", std::to_string(id)}});
  }
}

}  // namespace figwell::fakes
