#ifndef FIGWELL_ROUTING_TESTS_FAKE_STORE_H_
#define FIGWELL_ROUTING_TESTS_FAKE_STORE_H_

#include <map>
#include <set>
#include <string>

#include "figwell/core.h"
#include "figwell/store.h"

namespace figwell::routing {

/** An in-memory key-value store with the checks of the platform's store. */
class FakeStore {
 public:
  store::LeaseId Grant(TimePoint ends) {
    leases_[++last_lease_] = ends;
    return last_lease_;
  }

  /** Removes keys whose lease has ended; returns these keys. */
  std::set<std::string> Expire(TimePoint now) {
    std::erase_if(leases_, [&](const auto& l) { return l.second <= now; });
    std::set<std::string> ended;
    std::erase_if(values_, [&](const auto& entry) {
      const bool ends = !leases_.contains(entry.second.lease);
      if (ends) {
        ended.insert(entry.first);
      }
      return ends;
    });
    return ended;
  }

  Result<store::TransactionResult> Execute(const store::Transaction& call) {
    std::set<std::string> written;
    if (!MayRun(call, written)) {
      return Fail(ErrorCode::kNotFound,
                  "lease not found or key repeated in the call");
    }
    store::TransactionResult result = Run(call, revision_ + 1);
    revision_ += wrote_ ? 1 : 0;
    wrote_ = false;
    return result;
  }

  const std::map<std::string, store::KeyValue>& Values() const {
    return values_;
  }

 private:
  bool MayRun(const store::Transaction& step, std::set<std::string>& written) {
    for (const store::Operation& operation : step.success) {
      if (const auto* nested = std::get_if<store::Transaction>(&operation)) {
        if (!MayRun(*nested, written)) {
          return false;
        }
      } else if (const auto* put = std::get_if<store::Put>(&operation)) {
        if (!leases_.contains(put->lease) || !written.insert(put->key).second) {
          return false;
        }
      } else if (const auto* removal = std::get_if<store::Delete>(&operation)) {
        if (!written.insert(removal->key).second) {
          return false;
        }
      }
    }
    return true;
  }

  store::TransactionResult Run(const store::Transaction& step,
                               store::Revision revision) {
    store::TransactionResult result;
    result.succeeded = true;
    result.revision = revision;
    for (const store::Compare& compare : step.compares) {
      const auto found = values_.find(compare.key);
      const store::Revision present =
          found == values_.end() ? 0 : found->second.mod_revision;
      result.succeeded = result.succeeded && present == compare.mod_revision;
    }
    for (const store::Operation& operation :
         result.succeeded ? step.success : step.failure) {
      Apply(operation, revision, result);
    }
    return result;
  }

  void Apply(const store::Operation& operation, store::Revision revision,
             store::TransactionResult& result) {
    if (const auto* nested = std::get_if<store::Transaction>(&operation)) {
      result.nested.push_back(Run(*nested, revision));
    } else if (const auto* put = std::get_if<store::Put>(&operation)) {
      values_[put->key] = {put->key, put->value, revision, revision,
                           put->lease};
      wrote_ = true;
    } else if (const auto* removal = std::get_if<store::Delete>(&operation)) {
      wrote_ = values_.erase(removal->key) > 0 || wrote_;
    } else if (const auto* range = std::get_if<store::Range>(&operation)) {
      const auto found = values_.find(range->key);
      result.ranges.emplace_back();
      if (found != values_.end()) {
        result.ranges.back().push_back(found->second);
      }
    }
  }

  std::map<std::string, store::KeyValue> values_;
  std::map<store::LeaseId, TimePoint> leases_;
  store::LeaseId last_lease_ = 0;
  store::Revision revision_ = 0;
  bool wrote_ = false;
};

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_TESTS_FAKE_STORE_H_
