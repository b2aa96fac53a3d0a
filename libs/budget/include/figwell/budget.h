#ifndef FIGWELL_BUDGET_H_
#define FIGWELL_BUDGET_H_

/**
 * Enforces teams' rates and bursts over the whole fleet without a leader.
 * Include only this header. The parts, in order:
 *
 *   buckets.h     Share: the share of every team's limit that a gateway
 *                 refills its buckets with
 *                 TokenBucket: one team's tokens at one gateway
 *                 TeamBudgets: the buckets of all teams; spending is
 *                 thread-safe
 *   transfers.h   messages between gateways (serialized with cereal)
 *                 Transfers: moves tokens between gateways
 *   loans.h       Loans: pools a small team's shares at one gateway
 *   units.h       UnitTable: the store's table of which gateway holds how
 *                 many units; its units determine a gateway's share
 *                 UnitHolder: claims, renews and releases units
 *
 * Guarantee: for every team and every window of length T, the tokens spent at
 * all gateways together are at most burst + rate * T. docs/design/rates.md
 * has the proof.
 *
 * Threads: TeamBudget and a BudgetTable snapshot may be used from any thread;
 * TeamBudgets, Transfers, Loans and UnitHolder belong to the control thread.
 */

#include "figwell/budget/buckets.h"
#include "figwell/budget/loans.h"
#include "figwell/budget/transfers.h"
#include "figwell/budget/units.h"

#endif  // FIGWELL_BUDGET_H_
