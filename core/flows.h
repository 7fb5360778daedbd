/* Bounded flow table of a home: 32 bytes an entry, O(1) look-up, idle order. */
#ifndef HT_CORE_FLOWS_H
#define HT_CORE_FLOWS_H

#include "base/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A flow idle for less than this is not evicted for a new one. */
#define HT_FLOW_EVICT_IDLE 30000

struct ht_flows;

/** @idle is the time after which an unused entry expires. */
struct ht_flows *ht_flows_new(size_t max, ht_ms idle);
void ht_flows_free(struct ht_flows *flows);

/**
 * Target of @flow, or 0; marks the flow as used at @now. *@tentative (may be NULL) tells whether
 * the flow was sent there and may still come back.
 */
uint64_t ht_flows_use(struct ht_flows *flows, uint64_t flow, ht_ms now, bool *tentative);

/**
 * Records that @flow is at @target. False when the table is full of flows used within the last
 * HT_FLOW_EVICT_IDLE; otherwise the flow that has been idle longest makes room and *@evicted is
 * set.
 */
bool ht_flows_set(struct ht_flows *flows, uint64_t flow, uint64_t target, ht_ms now, bool tentative,
		  bool *evicted);
/** The flow did not come back from @target within the time it had. */
void ht_flows_confirm(struct ht_flows *flows, uint64_t flow, uint64_t target);
void ht_flows_del(struct ht_flows *flows, uint64_t flow);

/** Drops entries that have been idle too long. */
void ht_flows_expire(struct ht_flows *flows, ht_ms now);
/** Calls @visit for each flow; @visit must not change the table. */
void ht_flows_each(const struct ht_flows *flows,
		   void (*visit)(void *ctx, uint64_t flow, uint64_t target), void *ctx);
size_t ht_flows_count(const struct ht_flows *flows);

#endif
