#include "figwell/serving/buffer_budget.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

TEST_CASE("buffered bytes are limited per response and in total") {
  BufferBudget budget({100, 250});
  CHECK(budget.TryReserve(0, 100));
  CHECK_FALSE(budget.TryReserve(100, 1));
  CHECK(budget.TryReserve(0, 100));
  CHECK_FALSE(budget.TryReserve(0, 51));
  CHECK(budget.TryReserve(0, 50));
  CHECK(budget.reserved() == 250);
  budget.Release(100);
  CHECK(budget.TryReserve(50, 50));
  CHECK(budget.reserved() == 200);
}

}  // namespace
}  // namespace figwell::serving
