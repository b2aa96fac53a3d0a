#ifndef FIGWELL_BENCHMARK_PLACEMENT_FAULTS_H_
#define FIGWELL_BENCHMARK_PLACEMENT_FAULTS_H_

namespace figwell::placement::benchmark {

/**
 * Prints how many stale orders took effect under the same faults: with engines
 * that reject only orders of an older lease epoch, and with engines that reject
 * every order whose number is not newer than the last one.
 */
void CompareFencingNumbers();

}  // namespace figwell::placement::benchmark

#endif  // FIGWELL_BENCHMARK_PLACEMENT_FAULTS_H_
