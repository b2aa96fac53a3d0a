#include "figwell/serving/affinity.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

const ModelTarget kModel{ModelId("m"), ""};

TEST_CASE("prefixes differ by model, adapter and every part before") {
  const std::vector<PromptPart> parts = {{1, 100}, {2, 50}};
  const auto plain = PrefixesOf(kModel, parts);
  REQUIRE(plain.size() == 2);
  CHECK(plain[0].tokens == 100);
  CHECK(plain[1].tokens == 150);
  CHECK(PrefixesOf({ModelId("m"), "a1"}, parts)[0].key != plain[0].key);
  CHECK(PrefixesOf({ModelId("n"), ""}, parts)[0].key != plain[0].key);
  CHECK(PrefixesOf(kModel, {{3, 100}, {2, 50}})[1].key != plain[1].key);
}

TEST_CASE("a part is cached only behind all parts before it") {
  PromptIndex index(1'000);
  index.RecordPrefill(PrefixesOf(kModel, {{1, 100}, {2, 50}, {3, 10}}));
  CHECK(index.CachedTokens(PrefixesOf(kModel, {{1, 100}, {2, 50}, {9, 10}})) ==
        150);
  CHECK(index.CachedTokens(PrefixesOf(kModel, {{8, 100}, {2, 50}})) == 0);
}

TEST_CASE("the least recently used prefixes are evicted") {
  PromptIndex index(300);
  const auto shared = PrefixesOf(kModel, {{1, 100}});
  index.RecordPrefill(shared);
  for (std::uint64_t id = 10; id < 30; ++id) {
    index.RecordPrefill(PrefixesOf(kModel, {{1, 100}, {id, 90}}));
  }
  // Every request used the shared part, so it stays cached.
  CHECK(index.CachedTokens(shared) == 100);
  CHECK(index.CachedTokens(PrefixesOf(kModel, {{1, 100}, {10, 90}})) == 100);
  CHECK(index.size() <= 3);
  index.Clear();
  CHECK(index.CachedTokens(shared) == 0);
}

}  // namespace
}  // namespace figwell::serving
