#include "figwell/placement/ledger.h"

#include <algorithm>
#include <array>
#include <utility>

namespace figwell::placement {
namespace {

constexpr std::array<std::string_view, kReasonCount> kReasonNames = {
    "reachability", "version_change", "replacement", "demand", "make_room",
    "relocation",   "adapter",        "withdrawn",   "cancel", "retry"};

int OrdersFor(const ServerLedger& ledger, const Item& item) {
  return static_cast<int>(
      std::count_if(ledger.unsettled.begin(), ledger.unsettled.end(),
                    [&](const Order& order) { return order.item == item; }));
}

/** Whether the item is, or may come to be, on the server. */
bool MayBePresent(const ServerLedger& ledger, const Item& item) {
  return ledger.resident.contains(item) ||
         IsUnsettled(ledger, Action::kLoad, item);
}

Result<void> CheckLoad(const ServerLedger& ledger, std::int64_t memory_bytes,
                       const Move& move) {
  if (ledger.resident.contains(move.item)) {
    return Fail(ErrorCode::kConflict, "the item is already resident");
  }
  std::int64_t already_reserved =
      0;  // already reserved by earlier loads of the item
  for (const Order& order : ledger.unsettled) {
    if (order.item == move.item && order.action == Action::kLoad) {
      already_reserved = std::max(already_reserved, order.bytes);
    }
  }
  const std::int64_t additional =
      std::max<std::int64_t>(0, move.bytes - already_reserved);
  if (additional > memory_bytes - ReservedBytes(ledger)) {
    return Fail(ErrorCode::kTooLarge,
                "the load could overcommit the server's memory");
  }
  return {};
}

}  // namespace

std::string_view Name(Action action) {
  return action == Action::kLoad ? "load" : "unload";
}

std::string_view Name(Reason reason) {
  return kReasonNames[static_cast<std::size_t>(reason)];
}

std::int64_t ReservedBytes(const ServerLedger& ledger) {
  std::int64_t total = ledger.other_bytes;
  for (const auto& [item, resident] : ledger.resident) {
    total += resident.bytes;
  }
  // Several loads of one item use its memory only once.
  std::map<Item, std::int64_t> pending_loads;
  for (const Order& order : ledger.unsettled) {
    if (order.action != Action::kLoad) {
      continue;
    }
    std::int64_t& bytes = pending_loads[order.item];
    bytes = std::max(bytes, order.bytes);
  }
  for (const auto& [item, bytes] : pending_loads) {
    const auto found = ledger.resident.find(item);
    const std::int64_t present =
        found == ledger.resident.end() ? 0 : found->second.bytes;
    total += std::max<std::int64_t>(0, bytes - present);
  }
  return total;
}

bool IsUnsettled(const ServerLedger& ledger, Action action, const Item& item) {
  return std::any_of(ledger.unsettled.begin(), ledger.unsettled.end(),
                     [&](const Order& order) {
                       return order.action == action && order.item == item;
                     });
}

Result<ServerLedger> WithOrder(ServerLedger ledger, std::uint64_t epoch,
                               std::int64_t memory_bytes, const Move& move) {
  const int unsettled_orders = OrdersFor(ledger, move.item);
  if (unsettled_orders >= kMaxOrdersPerItem) {
    return Fail(ErrorCode::kConflict, "too many unsettled orders for the item");
  }
  if (move.action == Action::kLoad) {
    if (const auto checked = CheckLoad(ledger, memory_bytes, move); !checked) {
      return tl::unexpected(checked.error());
    }
  } else if (!MayBePresent(ledger, move.item)) {
    return Fail(ErrorCode::kConflict, "the item cannot be on the server");
  }
  for (Order& order : ledger.unsettled) {
    order.sole = order.sole && order.item != move.item;
  }
  const Fencing fencing{epoch, ledger.next_order++};
  ledger.unsettled.push_back({fencing, move.action, move.item, move.bytes,
                              move.reason, unsettled_orders == 0});
  return ledger;
}

ServerLedger WithoutOrder(ServerLedger ledger, const Fencing& fencing) {
  std::erase_if(ledger.unsettled,
                [&](const Order& order) { return order.fencing == fencing; });
  return ledger;
}

}  // namespace figwell::placement
