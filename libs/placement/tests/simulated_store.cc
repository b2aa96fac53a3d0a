#include "simulated_store.h"

#include <algorithm>

namespace figwell::placement {

void SimulatedStore::DropExpired(TimePoint now) {
  std::erase_if(leases_,
                [&](const auto& entry) { return entry.second.first <= now; });
  std::erase_if(values_, [&](const auto& entry) {
    return entry.second.lease != 0 && !leases_.contains(entry.second.lease);
  });
}

store::LeaseId SimulatedStore::Grant(TimePoint now, seconds ttl) {
  leases_[next_lease_] = {now + ttl, ttl};
  return next_lease_++;
}

Result<seconds> SimulatedStore::Renew(TimePoint now, store::LeaseId lease) {
  DropExpired(now);
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return Fail(ErrorCode::kNotFound, "no such lease");
  }
  found->second.first = now + found->second.second;
  return found->second.second;
}

void SimulatedStore::Apply(const store::Operation& operation,
                           store::TransactionResult& result) {
  if (const auto* put = std::get_if<store::Put>(&operation)) {
    store::KeyValue& value = values_[put->key];
    const store::Revision created =
        value.create_revision == 0 ? revision_ : value.create_revision;
    value = {put->key, put->value, created, revision_, put->lease};
  } else if (const auto* range = std::get_if<store::Range>(&operation)) {
    std::vector<store::KeyValue>& found = result.ranges.emplace_back();
    for (const auto& [key, value] : values_) {
      if (range->range_end.empty()
              ? key == range->key
              : key >= range->key && key < range->range_end) {
        found.push_back(value);
      }
    }
  }
}

store::TransactionResult SimulatedStore::Execute(
    TimePoint now, const store::Transaction& transaction) {
  DropExpired(now);
  store::TransactionResult result;
  result.succeeded = std::all_of(
      transaction.compares.begin(), transaction.compares.end(),
      [&](const store::Compare& compare) {
        const auto found = values_.find(compare.key);
        return compare.mod_revision ==
               (found == values_.end() ? 0 : found->second.mod_revision);
      });
  result.revision = ++revision_;
  for (const store::Operation& operation :
       result.succeeded ? transaction.success : transaction.failure) {
    const auto* put = std::get_if<store::Put>(&operation);
    if (put == nullptr || put->lease == 0 || leases_.contains(put->lease)) {
      Apply(operation, result);
    }
  }
  return result;
}

}  // namespace figwell::placement
