// Parses arbitrary bytes as settings: the result must be settings, or findings
// with their place.

#include <cstdlib>

#include "figwell/config.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto settings = figwell::config::ParseSettings(
      text, "s.yaml", figwell::config::Role::kGateway);
  if (settings) {
    return 0;
  }
  for (const figwell::Finding& finding : settings.error().findings) {
    if (!finding.place.starts_with("s.yaml:")) {
      std::abort();
    }
  }
  if (settings.error().findings.empty()) {
    std::abort();
  }
  return 0;
}
