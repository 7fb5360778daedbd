/* Bounded flow table of a home: 32 bytes per entry, O(1) lookup, LRU order. */
#ifndef HT_CORE_FLOWS_H
#define HT_CORE_FLOWS_H

#include "base/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A flow that was idle for less than this, in ms, is not evicted for a new one. */
#define HT_FLOW_EVICT_IDLE 30000

struct ht_flows;

/** @idle is the time after which an unused entry expires. */
struct ht_flows *ht_flows_new(size_t max, ht_ms idle);
void ht_flows_free(struct ht_flows *flows);

/**
 * Returns the target of @flow, or 0, and records its use at @now. *@tentative (may be NULL) is set
 * if the flow was sent there recently and may still be returned.
 */
uint64_t ht_flows_use(struct ht_flows *flows, uint64_t flow, ht_ms now, bool *tentative);

/**
 * Sets the target of @flow. In a full table the least recently used flow is evicted and *@evicted
 * set. Returns false if that flow was used within the last HT_FLOW_EVICT_IDLE, or when out of
 * memory.
 */
bool ht_flows_set(struct ht_flows *flows, uint64_t flow, uint64_t target, ht_ms now, bool tentative,
		  bool *evicted);
/** Clears the tentative state: @target has not returned the flow in time. */
void ht_flows_confirm(struct ht_flows *flows, uint64_t flow, uint64_t target);
void ht_flows_del(struct ht_flows *flows, uint64_t flow);

/** Removes entries that were idle for longer than the time given to ht_flows_new(). */
void ht_flows_expire(struct ht_flows *flows, ht_ms now);
/** Calls @visit for each flow; @visit must not change the table. */
void ht_flows_each(const struct ht_flows *flows,
		   void (*visit)(void *ctx, uint64_t flow, uint64_t target), void *ctx);
size_t ht_flows_count(const struct ht_flows *flows);

#endif
