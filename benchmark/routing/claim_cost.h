#ifndef FIGWELL_BENCHMARK_ROUTING_CLAIM_COST_H_
#define FIGWELL_BENCHMARK_ROUTING_CLAIM_COST_H_

namespace figwell::bench {

/** Prints the store calls of claims and how long requests wait for them. */
void PrintClaims();

}  // namespace figwell::bench

#endif  // FIGWELL_BENCHMARK_ROUTING_CLAIM_COST_H_
