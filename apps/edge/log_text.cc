#include "log_text.h"

#include <algorithm>
#include <charconv>

namespace figwell::edge {

serving::TraitSet ParseTraits(std::string_view text) {
  constexpr int kHexBase = 16;
  serving::TraitSet parts;
  while (!text.empty()) {
    const std::string_view id = text.substr(0, text.find(','));
    std::uint64_t part = 0;
    const auto [end, error] =
        std::from_chars(id.data(), id.data() + id.size(), part, kHexBase);
    if (error == std::errc() && end == id.data() + id.size()) {
      parts.insert(part);
    }
    text.remove_prefix(std::min(text.size(), id.size() + 1));
  }
  return parts;
}

}  // namespace figwell::edge
