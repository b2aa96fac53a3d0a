// Passes arbitrary bytes to a log as a record from a peer or the store: the
// number in force must not decrease, and records must survive a round trip.

#include <cstdlib>

#include "figwell/versions.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace versions = figwell::versions;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  versions::VersionLog log("/f/");
  const auto step = log.ApplyPatchRecord(bytes);
  if ((step == versions::Step::kAdvanced) != (log.Number() == 1)) {
    std::abort();
  }
  const auto record = versions::DecodePatchRecord(bytes);
  if (record &&
      versions::DecodePatchRecord(versions::Encode(*record)) != record) {
    std::abort();
  }
  const auto before = log.Number();
  log.ApplyFullVersion(bytes);
  if (log.Number() < before) {
    std::abort();
  }
  return 0;
}
