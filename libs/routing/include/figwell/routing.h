#ifndef FIGWELL_ROUTING_H_
#define FIGWELL_ROUTING_H_

/**
 * Selects the backend server for a request and decides what follows when an
 * attempt fails. Include only this header. Its parts, in the order in which a
 * request uses them:
 *
 *   fleet      FleetView: an immutable snapshot of servers and what each serves
 *   balancer   Balancer: selects a server and tracks the work reserved on it
 *   exchange   Exchange: retries, resumes, refuses or ends after a failure;
 *              RetryBudget; kFaultTable, the table of these decisions
 *   claims     ClaimBook: at most one execution per Idempotency-Key
 *   headers    which parts of a caller's request a backend server may see
 *
 * Nothing here does I/O or reads a clock: callers pass the current time.
 */

#include "figwell/routing/balancer.h"
#include "figwell/routing/claims.h"
#include "figwell/routing/exchange.h"
#include "figwell/routing/fleet.h"
#include "figwell/routing/headers.h"

#endif  // FIGWELL_ROUTING_H_
