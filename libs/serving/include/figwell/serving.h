#ifndef FIGWELL_SERVING_H_
#define FIGWELL_SERVING_H_

/**
 * Decisions of an instance that serves routes with opaque requests. No I/O;
 * each takes the present time. In this order:
 *
 *   catalog.h      Catalog: routes, services, models, teams of one version
 *   directory.h    Directory: the backend servers that registered themselves
 *   change_log.h   ChangeLog: what instances pass on of the store's changes
 *   follow_duty.h  FollowDuty: which instances follow the store themselves
 *   affinity.h     PromptIndex: which prompt prefixes a server has cached
 *   wait_scale.h   WaitScale: how long requests wait behind unread prompts
 *   balancer.h     Balancer: chooses the server for a request
 *   admission.h    whether a request can still be on time, and Retry-After
 *   held_bytes.h   HeldBytes: memory for answers on their way
 *   allowance.h    Allowances: teams' rates and bursts over all instances
 *   summary.h      DomainSummary: what a domain's instances do together
 *   attempts.h     RetryBudget, and what may follow a failed attempt
 *   leadership.h   PlacementLease: which instance orders the servers
 *   demand.h       DemandMeter, DemandForecast: what is asked for, and will be
 *   engine_state.h EngineState: a server as plans see it
 *   place_history.h PlaceHistory: who waits for a place, who has one since when
 *   copies.h       PlanCopies: which server should hold which model
 *   orders.h       OrderBook: one order at a time and server
 */

#include "figwell/serving/admission.h"
#include "figwell/serving/affinity.h"
#include "figwell/serving/allowance.h"
#include "figwell/serving/attempts.h"
#include "figwell/serving/balancer.h"
#include "figwell/serving/catalog.h"
#include "figwell/serving/change_log.h"
#include "figwell/serving/copies.h"
#include "figwell/serving/demand.h"
#include "figwell/serving/directory.h"
#include "figwell/serving/engine_state.h"
#include "figwell/serving/follow_duty.h"
#include "figwell/serving/held_bytes.h"
#include "figwell/serving/leadership.h"
#include "figwell/serving/orders.h"
#include "figwell/serving/place_history.h"
#include "figwell/serving/spreading.h"
#include "figwell/serving/summary.h"
#include "figwell/serving/wait_scale.h"

#endif  // FIGWELL_SERVING_H_
