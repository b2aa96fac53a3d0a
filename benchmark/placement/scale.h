#ifndef FIGWELL_BENCHMARK_PLACEMENT_SCALE_H_
#define FIGWELL_BENCHMARK_PLACEMENT_SCALE_H_

namespace figwell::placement::benchmark {

/**
 * Prints the processor time and the bytes written of one domain's controller
 * at four sizes of the fleet.
 */
void CompareScale();

}  // namespace figwell::placement::benchmark

#endif  // FIGWELL_BENCHMARK_PLACEMENT_SCALE_H_
