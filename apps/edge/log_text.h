#ifndef FIGWELL_APPS_EDGE_LOG_TEXT_H_
#define FIGWELL_APPS_EDGE_LOG_TEXT_H_

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "figwell/core.h"
#include "figwell/serving.h"

namespace figwell::edge {

/** A duration in whole milliseconds, for a log field. */
inline std::string Ms(Duration duration) {
  return std::to_string(duration / std::chrono::milliseconds(1));
}

/** Formats a target as MODEL or MODEL/ADAPTER, for a log field. */
inline std::string TargetText(const serving::ModelTarget& target) {
  return target.adapter.empty() ? target.model.value()
                                : target.model.value() + "/" + target.adapter;
}

/** The id of a stream's event, for a log field; empty if there is none. */
inline std::string EventText(const std::optional<std::uint64_t>& event) {
  return event ? std::to_string(*event) : "";
}

/** Numbers in hexadecimal, separated by commas. */
inline std::string IdsText(const std::set<std::uint64_t>& ids) {
  return fmt::format("{:x}", fmt::join(ids, ","));
}

/** Parses IdsText; skips what is not a number. */
std::set<std::uint64_t> ParseIds(std::string_view text);

/** Requests per second, for a log field; empty if there is no limit. */
inline std::string LimitText(const std::optional<double>& per_second) {
  return per_second ? fmt::format("{:g}", *per_second) : "";
}

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_LOG_TEXT_H_
