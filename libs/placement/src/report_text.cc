#include "figwell/placement/reports.h"
#include "json.h"

namespace figwell::placement {
namespace {

std::optional<Fencing> ReadLastOrder(const boost::json::object& object) {
  const boost::json::value* last = json::Find(object, "last_order");
  if (last == nullptr || last->is_null()) {
    return Fencing{};  // The engine has executed none.
  }
  if (!last->is_object()) {
    return std::nullopt;
  }
  const auto epoch = json::ReadCount(last->get_object(), "epoch");
  const auto order = json::ReadCount(last->get_object(), "order");
  if (!epoch || !order) {
    return std::nullopt;
  }
  return Fencing{static_cast<std::uint64_t>(*epoch),
                 static_cast<std::uint64_t>(*order)};
}

std::optional<std::map<Item, Resident>> ReadResidents(
    const boost::json::object& object) {
  const boost::json::value* list = json::Find(object, "resident");
  if (list == nullptr || !list->is_array()) {
    return std::nullopt;
  }
  std::map<Item, Resident> residents;
  for (const boost::json::value& entry : list->get_array()) {
    if (!entry.is_object()) {
      return std::nullopt;
    }
    const auto item = json::ReadItem(entry.get_object());
    const auto bytes = json::ReadCount(entry.get_object(), "bytes");
    const auto state = json::ReadState(entry.get_object());
    if (!item || !bytes || !state) {
      return std::nullopt;
    }
    residents[*item] = {*bytes, *state};
  }
  return residents;
}

bool ReadDraining(const boost::json::object& object) {
  const boost::json::value* value = json::Find(object, "draining");
  return value != nullptr && value->is_bool() && value->get_bool();
}

}  // namespace

Result<ServerReport> ReportFromJson(std::string_view text) {
  const auto object = json::ParseObject(text);
  if (!object) {
    return Fail(ErrorCode::kProtocol, "the report is not a JSON object");
  }
  const auto incarnation = json::ReadString(*object, "incarnation");
  const auto age = json::ReadCount(*object, "age_ms");
  const auto memory = json::ReadCount(*object, "memory_bytes");
  const auto used = json::ReadCount(*object, "memory_used");
  const auto last_order = ReadLastOrder(*object);
  auto residents = ReadResidents(*object);
  if (!incarnation || incarnation->empty() || !age || !memory || !used ||
      !last_order || !residents) {
    return Fail(ErrorCode::kProtocol,
                "a field of the report is missing or malformed");
  }
  ServerReport report;
  report.incarnation = *incarnation;
  report.age = std::chrono::milliseconds(*age);
  report.draining = ReadDraining(*object);
  report.memory_bytes = *memory;
  report.memory_used = *used;
  report.outstanding_tokens =
      json::ReadCount(*object, "outstanding_tokens").value_or(0);
  report.last_order = *last_order;
  report.resident = std::move(*residents);
  return report;
}

}  // namespace figwell::placement
