#ifndef FIGWELL_SERVING_H_
#define FIGWELL_SERVING_H_

/**
 * Decision logic of an instance that forwards opaque requests along routes. It
 * does no I/O and reads no clock: callers pass the current time. The headers:
 *
 *   catalog.h             Catalog: one version of the configuration
 *   catalog_check.h       CheckCatalog: a configuration before it is sent
 *   directory.h           Directory: the backend servers that registered
 *   known_past.h          KnownPast: what absence shows after a start
 *   evacuations.h         Evacuations: domains whose servers get nothing
 *   change_log.h          ChangeLog: store changes that instances pass on
 *   follower_selection.h  FollowerSelection: who follows the store itself
 *   affinity.h            PromptIndex: prompt prefixes that a server has cached
 *   prefill_wait.h        PrefillWaitEstimator: waits for prompts ahead
 *   answer_time.h         AnswerTime: how long a plain server takes
 *   spreading.h           DrawServer: a random choice by cost
 *   balancer.h            Balancer: chooses the server for a request
 *   admission.h           Admit: whether a request can be on time; Retry-After
 *   buffer_budget.h       BufferBudget: memory for answers being relayed
 *   server_limits.h       ServerLimits: request rates that servers accept
 *   server_paces.h        ServerPaces: how long work takes at each server
 *   team_rate_limiter.h   TeamRateLimiter: rates and bursts of teams
 *   summary.h             DomainSummary: sums of the reports of a domain
 *   request_quarantine.h   RequestQuarantine: requests that crash servers
 *   stream_versions.h     StreamVersions: where streams may go on
 *   attempts.h            MayRetry, RetryBudget: retries of failed attempts
 *   leadership.h          PlacementLease: which instance sends orders
 *   permits.h             PermitScheduler: requests to servers with a limit
 *   demand.h              DemandMeter, DemandForecast: demand now and later
 *   placement_servers.h   PlacementServers: servers that placement counts on
 *   engine_state.h        EngineState: a server as placement plans see it
 *   replica_history.h     ReplicaHistory: how long models wait or are held
 *   replicas.h            PlanReplicas: which server should hold which model
 *   order_tracker.h       OrderTracker: one order at a time per server
 */

#include "figwell/serving/admission.h"
#include "figwell/serving/affinity.h"
#include "figwell/serving/answer_time.h"
#include "figwell/serving/attempts.h"
#include "figwell/serving/balancer.h"
#include "figwell/serving/buffer_budget.h"
#include "figwell/serving/catalog.h"
#include "figwell/serving/catalog_check.h"
#include "figwell/serving/change_log.h"
#include "figwell/serving/demand.h"
#include "figwell/serving/directory.h"
#include "figwell/serving/engine_state.h"
#include "figwell/serving/evacuations.h"
#include "figwell/serving/follower_selection.h"
#include "figwell/serving/known_past.h"
#include "figwell/serving/leadership.h"
#include "figwell/serving/order_tracker.h"
#include "figwell/serving/permits.h"
#include "figwell/serving/placement_servers.h"
#include "figwell/serving/prefill_wait.h"
#include "figwell/serving/replica_history.h"
#include "figwell/serving/replicas.h"
#include "figwell/serving/request_quarantine.h"
#include "figwell/serving/server_limits.h"
#include "figwell/serving/server_paces.h"
#include "figwell/serving/spreading.h"
#include "figwell/serving/stream_versions.h"
#include "figwell/serving/summary.h"
#include "figwell/serving/team_rate_limiter.h"

#endif  // FIGWELL_SERVING_H_
