#ifndef FIGWELL_FAKES_PLATFORM_KEY_VALUE_H_
#define FIGWELL_FAKES_PLATFORM_KEY_VALUE_H_

#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace figwell::fakes {

std::string Base64Encode(const std::string& bytes);
std::string Base64Decode(const std::string& text);

/** The value and revisions of one key. */
struct Entry {
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

/** One change in the history of the service. */
struct Change {
  std::int64_t revision = 0;
  bool deleted = false;
  std::string key;
  Entry entry;
};

/**
 * An in-memory key-value service that reads and returns the JSON bodies of the
 * etcd v3 gateway. Callers pass in the time, in milliseconds.
 */
class KeyValueService {
 public:
  using Json = boost::json::value;

  Json Range(const Json& request) const;
  Json Put(const Json& request);
  Json DeleteRange(const Json& request);
  Json Transact(const Json& request);
  Json Compact(const Json& request);
  Json Grant(const Json& request, std::int64_t now_ms);
  Json KeepAlive(const Json& request, std::int64_t now_ms);
  Json Revoke(const Json& request);

  /** Ends leases whose TTL has passed, and deletes their keys. */
  void Expire(std::int64_t now_ms);

  std::int64_t revision() const { return revision_; }
  std::int64_t compacted() const { return compacted_; }
  const std::vector<Change>& history() const { return history_; }

  static Json ToJson(const std::string& key, const Entry& entry);

 private:
  struct Lease {
    std::int64_t ttl = 0;
    std::int64_t expires_ms = 0;
  };

  Json Header() const;
  bool CompareHolds(const Json& compare) const;
  Json Apply(const Json& operation, std::int64_t revision, bool& wrote);
  Json TransactAt(const Json& request, std::int64_t revision, bool& wrote);
  void PutAt(const Json& request, std::int64_t revision);
  std::int64_t DeleteAt(const std::string& key, const std::string& end,
                        std::int64_t revision);
  std::vector<std::string> KeysInRange(const std::string& key,
                                       const std::string& end) const;

  std::int64_t revision_ = 1;
  std::int64_t compacted_ = 0;
  std::int64_t next_lease_ = 1000;
  std::map<std::string, Entry> entries_;
  std::map<std::int64_t, Lease> leases_;
  std::vector<Change> history_;
};

}  // namespace figwell::fakes

#endif  // FIGWELL_FAKES_PLATFORM_KEY_VALUE_H_
