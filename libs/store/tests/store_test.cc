#include "figwell/store.h"

#include "figwell/testing.h"

namespace figwell::store {
namespace {

TEST_CASE("PrefixEnd is greater than every key with the prefix") {
  CHECK(PrefixEnd("patch/") == "patch0");
  CHECK(PrefixEnd("a\xff") == "b");
  CHECK(PrefixEnd("\xff") == std::string(1, '\0'));
  testing::CheckSequences(500, [](std::string prefix, const std::string& rest) {
    prefix.insert(prefix.begin(), 'k');
    const std::string end = PrefixEnd(prefix);
    RC_ASSERT(prefix + rest < end);
    RC_ASSERT(prefix < end);
  });
}

}  // namespace
}  // namespace figwell::store
