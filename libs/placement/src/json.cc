#include "json.h"

#include <array>

namespace figwell::placement::json {
namespace {

constexpr std::size_t kMaxDepth = 8;
constexpr std::array<std::string_view, 3> kStateNames = {"loading", "ready",
                                                         "unloading"};

}  // namespace

std::optional<boost::json::object> ParseObject(std::string_view text) {
  boost::json::parse_options options;
  options.max_depth = kMaxDepth;
  boost::json::error_code error;
  boost::json::value value =
      boost::json::parse({text.data(), text.size()}, error, {}, options);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

const boost::json::value* Find(const boost::json::object& object,
                               std::string_view name) {
  return object.if_contains({name.data(), name.size()});
}

std::optional<std::string> ReadString(const boost::json::object& object,
                                      std::string_view name) {
  const boost::json::value* value = Find(object, name);
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  const boost::json::string& text = value->get_string();
  return std::string(text.data(), text.size());
}

std::optional<std::int64_t> ReadCount(const boost::json::object& object,
                                      std::string_view name) {
  const boost::json::value* value = Find(object, name);
  if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
    return std::nullopt;
  }
  return value->get_int64();
}

std::optional<Item> ReadItem(const boost::json::object& object) {
  const auto model = ReadString(object, "model");
  const auto version = ReadString(object, "version");
  if (!model || !version) {
    return std::nullopt;
  }
  const auto adapter = ReadString(object, "adapter").value_or("");
  return Item{ModelId(*model), VersionId(*version), AdapterId(adapter)};
}

void WriteItem(boost::json::object& object, const Item& item) {
  object["model"] = item.model.value();
  object["version"] = item.version.value();
  if (!item.adapter.empty()) {
    object["adapter"] = item.adapter.value();
  }
}

std::string_view Name(ItemState state) {
  return kStateNames[static_cast<std::size_t>(state)];
}

std::optional<ItemState> ReadState(const boost::json::object& object) {
  const auto text = ReadString(object, "state");
  for (std::size_t i = 0; text && i < kStateNames.size(); ++i) {
    if (*text == kStateNames[i]) {
      return static_cast<ItemState>(i);
    }
  }
  return std::nullopt;
}

}  // namespace figwell::placement::json
