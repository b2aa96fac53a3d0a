#include <array>

#include "figwell/placement/ledger.h"
#include "json.h"

namespace figwell::placement {
namespace {

constexpr std::array<Action, 2> kActions = {Action::kLoad, Action::kUnload};

std::optional<Action> ReadAction(const boost::json::object& object) {
  const auto text = json::ReadString(object, "action");
  for (const Action action : kActions) {
    if (text && *text == Name(action)) {
      return action;
    }
  }
  return std::nullopt;
}

std::optional<Reason> ReadReason(const boost::json::object& object) {
  const auto text = json::ReadString(object, "reason");
  for (int i = 0; text && i < kReasonCount; ++i) {
    if (*text == Name(static_cast<Reason>(i))) {
      return static_cast<Reason>(i);
    }
  }
  return std::nullopt;
}

boost::json::object WriteOrder(const Order& order) {
  boost::json::object object;
  object["epoch"] = static_cast<std::int64_t>(order.fencing.epoch);
  object["order"] = static_cast<std::int64_t>(order.fencing.order);
  object["action"] = Name(order.action);
  json::WriteItem(object, order.item);
  object["bytes"] = order.bytes;
  object["reason"] = Name(order.reason);
  object["sole"] = order.sole;
  return object;
}

std::optional<Order> ReadOrder(const boost::json::value& value) {
  if (!value.is_object()) {
    return std::nullopt;
  }
  const boost::json::object& object = value.get_object();
  const auto epoch = json::ReadCount(object, "epoch");
  const auto number = json::ReadCount(object, "order");
  const auto action = ReadAction(object);
  const auto item = json::ReadItem(object);
  const auto bytes = json::ReadCount(object, "bytes");
  const auto reason = ReadReason(object);
  const boost::json::value* sole = json::Find(object, "sole");
  if (!epoch || !number || !action || !item || !bytes || !reason ||
      sole == nullptr || !sole->is_bool()) {
    return std::nullopt;
  }
  const Fencing fencing{static_cast<std::uint64_t>(*epoch),
                        static_cast<std::uint64_t>(*number)};
  return Order{fencing, *action, *item, *bytes, *reason, sole->get_bool()};
}

boost::json::object WriteResident(const Item& item, const Resident& resident) {
  boost::json::object object;
  json::WriteItem(object, item);
  object["bytes"] = resident.bytes;
  object["state"] = json::Name(resident.state);
  return object;
}

bool ReadResident(const boost::json::value& value, ServerLedger& ledger) {
  if (!value.is_object()) {
    return false;
  }
  const auto item = json::ReadItem(value.get_object());
  const auto bytes = json::ReadCount(value.get_object(), "bytes");
  const auto state = json::ReadState(value.get_object());
  if (!item || !bytes || !state) {
    return false;
  }
  ledger.resident[*item] = {*bytes, *state};
  return true;
}

const boost::json::array* FindArray(const boost::json::object& object,
                                    std::string_view name) {
  const boost::json::value* value = json::Find(object, name);
  return value == nullptr ? nullptr : value->if_array();
}

bool ReadLists(const boost::json::object& object, ServerLedger& ledger) {
  const boost::json::array* resident = FindArray(object, "resident");
  const boost::json::array* unsettled = FindArray(object, "unsettled");
  if (resident == nullptr || unsettled == nullptr) {
    return false;
  }
  for (const boost::json::value& value : *resident) {
    if (!ReadResident(value, ledger)) {
      return false;
    }
  }
  for (const boost::json::value& value : *unsettled) {
    const auto order = ReadOrder(value);
    if (!order) {
      return false;
    }
    ledger.unsettled.push_back(*order);
  }
  return true;
}

}  // namespace

std::string ToText(const ServerLedger& ledger) {
  boost::json::object object;
  object["incarnation"] = ledger.incarnation;
  object["next_order"] = static_cast<std::int64_t>(ledger.next_order);
  object["other_bytes"] = ledger.other_bytes;
  boost::json::array& resident = object["resident"].emplace_array();
  for (const auto& [item, value] : ledger.resident) {
    resident.push_back(WriteResident(item, value));
  }
  boost::json::array& unsettled = object["unsettled"].emplace_array();
  for (const Order& order : ledger.unsettled) {
    unsettled.push_back(WriteOrder(order));
  }
  return boost::json::serialize(object);
}

Result<ServerLedger> LedgerFromText(std::string_view text) {
  const auto object = json::ParseObject(text);
  ServerLedger ledger;
  if (!object || !ReadLists(*object, ledger)) {
    return Fail(ErrorCode::kInvalid, "the stored ledger is malformed");
  }
  const auto incarnation = json::ReadString(*object, "incarnation");
  const auto next_order = json::ReadCount(*object, "next_order");
  const auto other_bytes = json::ReadCount(*object, "other_bytes");
  if (!incarnation || !next_order || !other_bytes) {
    return Fail(ErrorCode::kInvalid, "the stored ledger lacks a field");
  }
  ledger.incarnation = *incarnation;
  ledger.next_order = static_cast<std::uint64_t>(*next_order);
  ledger.other_bytes = *other_bytes;
  return ledger;
}

}  // namespace figwell::placement
