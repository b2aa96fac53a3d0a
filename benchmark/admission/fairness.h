#ifndef FIGWELL_BENCHMARK_ADMISSION_FAIRNESS_H_
#define FIGWELL_BENCHMARK_ADMISSION_FAIRNESS_H_

namespace figwell::admission {

/** Prints the served share of each team's tokens for each discipline. */
void PrintFairness();

/** Prints wrongful refusals and exceeded estimates of each cost estimate. */
void PrintEstimates();

}  // namespace figwell::admission

#endif  // FIGWELL_BENCHMARK_ADMISSION_FAIRNESS_H_
