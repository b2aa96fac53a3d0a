#include "prefix_table.h"

#include <algorithm>

namespace figwell::routing {

bool PrefixTable::IsValid(const Holder& holder) const {
  return holder.generation != 0 && holder.slot < feeds_.size() &&
         feeds_[holder.slot].generation == holder.generation;
}

void PrefixTable::ApplyEvents(std::uint32_t slot,
                              std::span<const CacheEvent> events) {
  if (slot >= feeds_.size()) {
    feeds_.resize(slot + 1);
  }
  for (const CacheEvent& event : events) {
    const std::uint64_t last = feeds_[slot].last_sequence;
    if (event.sequence <= last) {
      continue;  // repeated, or arrived after a later event
    }
    if (last != 0 && event.sequence != last + 1) {
      // The lost events may include evictions.
      ++feeds_[slot].generation;
    }
    feeds_[slot].last_sequence = event.sequence;
    if (event.type == CacheEvent::Type::kStored) {
      Store(slot, event.prefix);
    } else {
      Evict(slot, event.prefix);
    }
  }
}

void PrefixTable::Drop(std::uint32_t slot) {
  if (slot < feeds_.size()) {
    feeds_[slot].last_sequence = 0;
    ++feeds_[slot].generation;
  }
}

PrefixTable::Slots PrefixTable::HoldersOf(PrefixKey prefix) const {
  Slots slots;
  slots.fill(kNoSlot);
  const auto found = holders_.find(prefix);
  if (found != holders_.end()) {
    std::transform(found->second.begin(), found->second.end(), slots.begin(),
                   [&](const Holder& holder) {
                     return IsValid(holder) ? holder.slot : kNoSlot;
                   });
  }
  return slots;
}

void PrefixTable::Store(std::uint32_t slot, PrefixKey prefix) {
  const Slots known = HoldersOf(prefix);
  if (std::find(known.begin(), known.end(), slot) != known.end()) {
    return;
  }
  if (holders_.size() >= kMaxPrefixes && !holders_.contains(prefix)) {
    holders_.erase(holders_.begin());
  }
  Holders& holders = holders_[prefix];
  const auto free_entry =
      std::find_if(holders.begin(), holders.end(),
                   [&](const Holder& holder) { return !IsValid(holder); });
  if (free_entry != holders.end()) {
    *free_entry = {slot, feeds_[slot].generation};
  }
}

void PrefixTable::Evict(std::uint32_t slot, PrefixKey prefix) {
  const auto found = holders_.find(prefix);
  if (found == holders_.end()) {
    return;
  }
  for (Holder& holder : found->second) {
    if (holder.slot == slot) {
      holder = Holder();
    }
  }
  if (std::none_of(found->second.begin(), found->second.end(),
                   [&](const Holder& holder) { return IsValid(holder); })) {
    holders_.erase(found);
  }
}

}  // namespace figwell::routing
