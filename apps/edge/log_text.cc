#include "log_text.h"

#include <algorithm>
#include <charconv>

namespace figwell::edge {

std::set<std::uint64_t> ParseIds(std::string_view text) {
  constexpr int kHexBase = 16;
  std::set<std::uint64_t> ids;
  while (!text.empty()) {
    const std::string_view id = text.substr(0, text.find(','));
    std::uint64_t number = 0;
    const auto [end, error] =
        std::from_chars(id.data(), id.data() + id.size(), number, kHexBase);
    if (error == std::errc() && end == id.data() + id.size()) {
      ids.insert(number);
    }
    text.remove_prefix(std::min(text.size(), id.size() + 1));
  }
  return ids;
}

}  // namespace figwell::edge
