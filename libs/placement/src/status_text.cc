#include "figwell/placement/controller.h"
#include "json.h"

namespace figwell::placement {
namespace {

boost::json::object WriteOrder(const Order& order) {
  boost::json::object object;
  object["epoch"] = order.fencing.epoch;
  object["order"] = order.fencing.order;
  object["action"] = Name(order.action);
  json::WriteItem(object, order.item);
  object["bytes"] = order.bytes;
  object["reason"] = Name(order.reason);
  return object;
}

boost::json::object WriteServer(const ServerStatus& server) {
  boost::json::object object;
  object["known"] = server.known;
  object["usable"] = server.usable;
  object["memory_bytes"] = server.memory_bytes;
  object["reserved_bytes"] = server.reserved_bytes;
  boost::json::array& resident = object["resident"].emplace_array();
  for (const auto& [item, value] : server.resident) {
    boost::json::object entry;
    json::WriteItem(entry, item);
    entry["bytes"] = value.bytes;
    entry["state"] = json::Name(value.state);
    resident.push_back(std::move(entry));
  }
  boost::json::array& orders = object["orders"].emplace_array();
  for (const Order& order : server.unsettled) {
    orders.push_back(WriteOrder(order));
  }
  return object;
}

boost::json::object WriteReady(const Item& item,
                               const std::vector<ServerId>& servers) {
  boost::json::object object;
  json::WriteItem(object, item);
  boost::json::array& ready = object["ready"].emplace_array();
  for (const ServerId& server : servers) {
    ready.emplace_back(server.value());
  }
  return object;
}

boost::json::object WriteMove(const MoveRecord& record) {
  boost::json::object object = WriteOrder(record.order);
  object["at_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(record.at).count();
  object["server"] = record.server.value();
  return object;
}

}  // namespace

std::string ToJson(const PlacementStatus& status) {
  boost::json::object object;
  object["domain"] = status.domain.value();
  object["holds_lease"] = status.holds_lease;
  object["epoch"] = status.epoch;
  object["orders_written"] = status.orders_written;
  object["ledger_writes"] = status.ledger_writes;
  object["unreadable_ledgers"] = status.unreadable_ledgers;
  boost::json::object& servers = object["servers"].emplace_object();
  for (const auto& [id, server] : status.servers) {
    servers[id.value()] = WriteServer(server);
  }
  boost::json::array& models = object["models"].emplace_array();
  for (const auto& [item, ready] : status.ready) {
    models.push_back(WriteReady(item, ready));
  }
  boost::json::array& moves = object["moves"].emplace_array();
  for (const MoveRecord& record : status.moves) {
    moves.push_back(WriteMove(record));
  }
  return boost::json::serialize(object);
}

}  // namespace figwell::placement
