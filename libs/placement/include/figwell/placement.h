#ifndef FIGWELL_PLACEMENT_H_
#define FIGWELL_PLACEMENT_H_

/**
 * Placement: which server of a failure domain holds which models and adapters.
 * Decision logic only: it takes (now, event), returns actions and does no I/O.
 * Byte counts are accelerator memory. The headers, in order:
 *
 *   ledger       what a server holds and every order that may still arrive
 *   reports      reports of servers and of gateways
 *   leadership   state machine of the domain's lease and its epoch
 *   plan         which domain holds what, the memory check, the planner
 *   controller   combines these for one failure domain
 */

#include "figwell/placement/controller.h"
#include "figwell/placement/leadership.h"
#include "figwell/placement/ledger.h"
#include "figwell/placement/plan.h"
#include "figwell/placement/reports.h"

#endif  // FIGWELL_PLACEMENT_H_
