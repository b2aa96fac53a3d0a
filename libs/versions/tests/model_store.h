#ifndef FIGWELL_VERSIONS_TESTS_MODEL_STORE_H_
#define FIGWELL_VERSIONS_TESTS_MODEL_STORE_H_

/** An in-memory key-value store with the semantics of figwell::store. */

#include <map>

#include "figwell/store.h"

namespace figwell::versions {

class ModelStore {
 public:
  store::TransactionResult Execute(const store::Transaction& transaction) {
    ++calls_;
    changed_ = false;
    store::TransactionResult result = Run(transaction);
    revision_ += changed_ ? 1 : 0;
    SetRevision(result);
    return result;
  }

  std::int64_t Calls() const { return calls_; }
  const std::map<std::string, store::KeyValue>& Entries() const {
    return entries_;
  }

 private:
  store::TransactionResult Run(const store::Transaction& transaction) {
    store::TransactionResult result;
    result.succeeded = true;
    for (const store::Compare& compare : transaction.compares) {
      const auto entry = entries_.find(compare.key);
      const store::Revision revision =
          entry == entries_.end() ? 0 : entry->second.mod_revision;
      result.succeeded = result.succeeded && revision == compare.mod_revision;
    }
    for (const store::Operation& step :
         result.succeeded ? transaction.success : transaction.failure) {
      std::visit([&](const auto& one) { Apply(one, result); }, step);
    }
    return result;
  }

  void Apply(const store::Put& put, store::TransactionResult&) {
    store::KeyValue& entry = entries_[put.key];
    changed_ = true;
    entry.key = put.key;
    entry.value = put.value;
    entry.mod_revision = revision_ + 1;
  }

  void Apply(const store::Delete& remove, store::TransactionResult&) {
    const auto [first, last] = Find(remove.key, remove.range_end);
    changed_ = changed_ || first != last;
    entries_.erase(first, last);
  }

  void Apply(const store::Range& range, store::TransactionResult& result) {
    const auto [first, last] = Find(range.key, range.range_end);
    auto& found = result.ranges.emplace_back();
    for (auto entry = first; entry != last; ++entry) {
      found.push_back(entry->second);
    }
  }

  void Apply(const store::Transaction& nested,
             store::TransactionResult& result) {
    result.nested.push_back(Run(nested));
  }

  using Iterator = std::map<std::string, store::KeyValue>::iterator;
  std::pair<Iterator, Iterator> Find(const std::string& key,
                                     const std::string& end) {
    const auto first = entries_.lower_bound(key);
    if (!end.empty()) {
      return {first, entries_.lower_bound(end)};
    }
    const bool found = first != entries_.end() && first->first == key;
    return {first, found ? std::next(first) : first};
  }

  void SetRevision(store::TransactionResult& result) const {
    result.revision = revision_;
    for (auto& nested : result.nested) {
      SetRevision(nested);
    }
  }

  std::map<std::string, store::KeyValue> entries_;
  store::Revision revision_ = 0;
  std::int64_t calls_ = 0;
  bool changed_ = false;
};

}  // namespace figwell::versions

#endif  // FIGWELL_VERSIONS_TESTS_MODEL_STORE_H_
