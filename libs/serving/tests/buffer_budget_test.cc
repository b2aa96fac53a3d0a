#include "figwell/serving/buffer_budget.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

TEST_CASE("buffered bytes are limited per response and in total") {
  BufferBudget held({100, 250});
  CHECK(held.Take(0, 100));
  CHECK_FALSE(held.Take(100, 1));
  CHECK(held.Take(0, 100));
  CHECK_FALSE(held.Take(0, 51));
  CHECK(held.Take(0, 50));
  CHECK(held.held() == 250);
  held.Release(100);
  CHECK(held.Take(50, 50));
  CHECK(held.held() == 200);
}

}  // namespace
}  // namespace figwell::serving
