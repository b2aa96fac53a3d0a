#include "figwell/serving/evacuations.h"

#include <algorithm>

namespace figwell::serving {

void Evacuations::OnRecord(TimePoint now, const EvacuationRecord& record) {
  State& state = states_[record.domain];
  if (record.revision < state.record.revision) {
    return;
  }
  if (state.record.evacuated != record.evacuated) {
    state.changed_at = now;
  }
  state.record = record;
  state.expires_at.reset();
}

void Evacuations::OnListing(TimePoint now,
                            const std::vector<EvacuationRecord>& requests,
                            store::Revision revision) {
  listed_ = std::max(listed_, revision);
  std::set<DomainId> requested;
  for (const EvacuationRecord& request : requests) {
    requested.insert(request.domain);
    OnRecord(now, request);
  }
  for (auto& [domain, state] : states_) {
    if (!state.record.evacuated || state.record.revision > revision ||
        requested.contains(domain)) {
      continue;
    }
    if (store::EraOf(state.record.revision) < store::EraOf(revision)) {
      state.expires_at = state.expires_at.value_or(now + kRestoredRequestGrace);
    } else {
      OnRecord(now, {domain, revision, false});
    }
  }
}

void Evacuations::OnPeerRecords(TimePoint now,
                                const std::vector<EvacuationRecord>& records) {
  for (const EvacuationRecord& record : records) {
    const auto known = states_.find(record.domain);
    const store::Revision revision =
        known == states_.end() ? 0 : known->second.record.revision;
    if (record.revision > std::max(revision, listed_)) {
      OnRecord(now, record);
    }
  }
}

void Evacuations::Tick(TimePoint now) {
  for (auto& [domain, state] : states_) {
    if (state.expires_at && now >= *state.expires_at) {
      OnRecord(now, {domain, listed_, false});
    }
  }
  std::erase_if(states_, [&](const auto& item) {
    const State& state = item.second;
    return !state.record.evacuated &&
           now >= state.changed_at + kWithdrawalRetention;
  });
}

std::set<DomainId> Evacuations::Domains() const {
  std::set<DomainId> domains;
  for (const auto& [domain, state] : states_) {
    if (state.record.evacuated) {
      domains.insert(domain);
    }
  }
  return domains;
}

std::vector<EvacuationRecord> Evacuations::RecordsForPeers(
    TimePoint now) const {
  std::vector<EvacuationRecord> records;
  for (const auto& [domain, state] : states_) {
    if (state.record.evacuated ||
        now < state.changed_at + kWithdrawalRetention) {
      records.push_back(state.record);
    }
  }
  return records;
}

}  // namespace figwell::serving
