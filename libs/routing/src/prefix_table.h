#ifndef FIGWELL_ROUTING_SRC_PREFIX_TABLE_H_
#define FIGWELL_ROUTING_SRC_PREFIX_TABLE_H_

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "figwell/routing.h"

namespace figwell::routing {

/** Which servers have which prompt prefixes cached, by their events. */
class PrefixTable {
 public:
  static constexpr std::size_t kMaxPrefixes = 65'536;
  static constexpr std::size_t kMaxHolders = 4;

  /** Applies a server's events; drops its earlier entries at a gap. */
  void ApplyEvents(std::uint32_t slot, std::span<const CacheEvent> events);

  /** Drops a server's entries; its sequence may restart. */
  void Drop(std::uint32_t slot);

  /** The slots of servers with `prefix` cached; the rest is kNoSlot. */
  using Slots = std::array<std::uint32_t, kMaxHolders>;
  static constexpr std::uint32_t kNoSlot = ~std::uint32_t{0};
  Slots HoldersOf(PrefixKey prefix) const;

 private:
  struct Holder {
    std::uint32_t slot = 0;
    /** 0: free. An entry of an older generation is invalid. */
    std::uint32_t generation = 0;
  };
  struct Feed {
    std::uint64_t last_sequence = 0;
    std::uint32_t generation = 1;
  };
  using Holders = std::array<Holder, kMaxHolders>;

  bool IsValid(const Holder& holder) const;
  void Store(std::uint32_t slot, PrefixKey prefix);
  void Evict(std::uint32_t slot, PrefixKey prefix);

  std::unordered_map<PrefixKey, Holders> holders_;
  std::vector<Feed> feeds_;
};

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_SRC_PREFIX_TABLE_H_
