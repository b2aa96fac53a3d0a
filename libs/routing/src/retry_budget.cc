#include <algorithm>

#include "figwell/routing.h"

namespace figwell::routing {
namespace {

constexpr std::int64_t kThousandths = 1000;

}  // namespace

RetryBudget::RetryBudget(double fraction, std::int64_t reserve)
    : deposit_per_request_(static_cast<std::int64_t>(fraction * kThousandths)),
      max_level_(reserve * kThousandths),
      level_(max_level_) {}

void RetryBudget::OnFreshRequest() {
  std::int64_t level = level_.load(std::memory_order_relaxed);
  while (level < max_level_ &&
         !level_.compare_exchange_weak(
             level, std::min(max_level_, level + deposit_per_request_),
             std::memory_order_relaxed)) {
  }
}

bool RetryBudget::TryConsume() {
  std::int64_t level = level_.load(std::memory_order_relaxed);
  while (level >= kThousandths) {
    if (level_.compare_exchange_weak(level, level - kThousandths,
                                     std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

}  // namespace figwell::routing
