// Applies arbitrary bytes as a merge patch: the result must be findings, or a
// configuration that passes every check and survives a round trip through JSON.

#include <cstdlib>

#include "figwell/config.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace config = figwell::config;
  static const config::Configuration base =
      config::ParseConfiguration(R"({"domains": {"d": {"units": 1}},
        "servers": {"s": {"failure_domain": "d", "address": "127.0.0.1:1",
                          "memory_bytes": 1000}},
        "models": {"m": {"versions": {"1": {"bytes": 10}},
                         "default_version": "1"}},
        "teams": {"t": {"rate": 1, "models": ["m"]}}})",
                                 3)
          .value();
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto next = config::ApplyPatch(base, text);
  if (!next) {
    if (next.error().findings.empty()) {
      std::abort();
    }
    return 0;
  }
  const bool valid =
      next->number == base.number + 1 &&
      config::CheckConfiguration(*next).empty() &&
      config::ParseConfiguration(config::ToJson(*next), next->number) == *next;
  if (!valid) {
    std::abort();
  }
  return 0;
}
