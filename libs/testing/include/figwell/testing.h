#ifndef FIGWELL_TESTING_H_
#define FIGWELL_TESTING_H_

/**
 * Shared by all tests: Catch2, RapidCheck with a fixed seed, and a scaled
 * number of generated inputs.
 */

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <sstream>
#include <utility>

namespace figwell::testing {

/**
 * The seed of all generated tests. It is fixed, so that every run gives the
 * same result; the environment variable FIGWELL_TEST_SEED overrides it.
 */
std::uint64_t TestSeed();

/**
 * Scales a number of generated inputs by the environment variable
 * FIGWELL_TEST_PERCENT (1 to 100000, default 100), which sanitizer runs lower
 * and long fuzzing runs raise. The result is at least 1.
 */
int ScaledSequences(int sequences);

/**
 * Runs a RapidCheck property over ScaledSequences(sequences) generated inputs.
 * On failure, fails the current Catch2 test case with the shrunk
 * counterexample.
 */
template <typename Property>
void CheckSequences(int sequences, Property&& property) {
  rc::detail::TestParams params;
  params.seed = TestSeed();
  params.maxSuccess = ScaledSequences(sequences);
  const auto result = rc::detail::checkTestable(
      std::forward<Property>(property), rc::detail::TestMetadata(), params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  INFO(message.str());
  REQUIRE(result.template is<rc::detail::SuccessResult>());
}

}  // namespace figwell::testing

#endif  // FIGWELL_TESTING_H_
