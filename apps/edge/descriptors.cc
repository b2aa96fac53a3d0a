#include "descriptors.h"

#include <sys/resource.h>

#include <algorithm>

namespace figwell::edge {
namespace {

constexpr std::size_t kMaxCallerConnections = 2'500;
constexpr std::size_t kMaxIdleServerConnections = 4'096;
constexpr std::size_t kMaxProbeConnections = 64;
constexpr std::size_t kCallerPercent = 35;
constexpr std::size_t kIdlePercent = 10;
constexpr std::size_t kProbePercent = 2;
// More are not used; the limit may also be infinite.
constexpr std::size_t kMaxSharedDescriptors = 1'000'000;
// If the limit cannot be read; usual for processes.
constexpr std::size_t kDefaultLimit = 1'024;

}  // namespace

DescriptorShares ShareDescriptors(std::size_t limit) {
  const std::size_t shared = std::min(limit, kMaxSharedDescriptors);
  return {std::min(kMaxCallerConnections, shared * kCallerPercent / 100),
          std::min(kMaxIdleServerConnections, shared * kIdlePercent / 100),
          std::min(kMaxProbeConnections, shared * kProbePercent / 100)};
}

std::size_t DescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return kDefaultLimit;
  }
  return static_cast<std::size_t>(limit.rlim_cur);
}

}  // namespace figwell::edge
