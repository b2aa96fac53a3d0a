#ifndef FIGWELL_ADMISSION_H_
#define FIGWELL_ADMISSION_H_

/**
 * Access checks, rate limits and queues for requests; the only header to
 * include. In this order:
 *
 *   access.h      refusal reasons with their stable codes
 *                 AccessTable: key digest and model name -> team and target
 *   cost.h        estimates of a request's tokens before it runs
 *   rate_gate.h   RateGate: spends a request's tokens, queues it or refuses it
 *   fair_queue.h  FairQueue: a model's queued requests, fair over teams
 *
 * Nothing here does I/O or reads a clock. Each RateGate and FairQueue belongs
 * to one thread and allocates only when it grows. An AccessTable is immutable
 * and may be shared.
 */

#include "figwell/admission/access.h"
#include "figwell/admission/cost.h"
#include "figwell/admission/fair_queue.h"
#include "figwell/admission/rate_gate.h"

#endif  // FIGWELL_ADMISSION_H_
