#ifndef FIGWELL_PLACEMENT_SRC_JSON_H_
#define FIGWELL_PLACEMENT_SRC_JSON_H_

/** Checked access to JSON values: getters fail if the type does not match. */

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "figwell/placement/ledger.h"

namespace figwell::placement::json {

/** The parsed object; nullopt if the text is not a JSON object. */
std::optional<boost::json::object> ParseObject(std::string_view text);

/** The member, or nullptr if there is none. */
const boost::json::value* Find(const boost::json::object& object,
                               std::string_view name);

/** A member that is a string; nullopt if there is none. */
std::optional<std::string> ReadString(const boost::json::object& object,
                                      std::string_view name);

/** A member that is a non-negative integer; nullopt if there is none. */
std::optional<std::int64_t> ReadCount(const boost::json::object& object,
                                      std::string_view name);

/** The members `model`, `version` and `adapter`. */
std::optional<Item> ReadItem(const boost::json::object& object);
void WriteItem(boost::json::object& object, const Item& item);

std::string_view Name(ItemState state);
std::optional<ItemState> ReadState(const boost::json::object& object);

}  // namespace figwell::placement::json

#endif  // FIGWELL_PLACEMENT_SRC_JSON_H_
