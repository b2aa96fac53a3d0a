#ifndef FIGWELL_SERVING_H_
#define FIGWELL_SERVING_H_

/**
 * Decisions of an instance that serves routes with opaque requests. No I/O;
 * each takes the present time. In this order:
 *
 *   catalog.h      Catalog: routes, services, models, teams of one version
 *   directory.h    Directory: the backend servers that registered themselves
 *   change_log.h   ChangeLog: what instances pass on of the store's changes
 *   follower_selection.h  FollowerSelection: which instances follow the store
 * themselves affinity.h     PromptIndex: which prompt prefixes a server has
 * cached prefill_wait.h   PrefillWaitEstimator: how long requests wait behind
 * unread prompts balancer.h     Balancer: chooses the server for a request
 *   admission.h    whether a request can still be on time, and Retry-After
 *   buffer_budget.h   BufferBudget: memory for answers on their way
 *   team_rate_limiter.h    TeamRateLimiter: teams' rates and bursts over all
 * instances summary.h      DomainSummary: what a domain's instances do together
 *   attempts.h     RetryBudget, and what may follow a failed attempt
 *   leadership.h   PlacementLease: which instance orders the servers
 *   demand.h       DemandMeter, DemandForecast: what is asked for, and will be
 *   engine_state.h EngineState: a server as plans see it
 *   replica_history.h ReplicaHistory: who waits for a place, who has one since
 * when replicas.h       PlanReplicas: which server should hold which model
 *   order_tracker.h       OrderTracker: one order at a time and server
 */

#include "figwell/serving/admission.h"
#include "figwell/serving/affinity.h"
#include "figwell/serving/attempts.h"
#include "figwell/serving/balancer.h"
#include "figwell/serving/buffer_budget.h"
#include "figwell/serving/catalog.h"
#include "figwell/serving/change_log.h"
#include "figwell/serving/demand.h"
#include "figwell/serving/directory.h"
#include "figwell/serving/engine_state.h"
#include "figwell/serving/follower_selection.h"
#include "figwell/serving/leadership.h"
#include "figwell/serving/order_tracker.h"
#include "figwell/serving/prefill_wait.h"
#include "figwell/serving/replica_history.h"
#include "figwell/serving/replicas.h"
#include "figwell/serving/spreading.h"
#include "figwell/serving/summary.h"
#include "figwell/serving/team_rate_limiter.h"

#endif  // FIGWELL_SERVING_H_
