/*
 * Limits the new flows of cold targets. A service may state how many requests per second a cold
 * target bears; this holds for all instances together. Each target has that many permits, and each
 * permit belongs to the instance of the target's data centre whose hash is the highest for it. As
 * long as every instance knows the others, no permit is used by two, so that the limit holds
 * without messages. Instances of other data centres send no flows to a target with such a limit.
 */
#ifndef HT_CORE_WARMUP_H
#define HT_CORE_WARMUP_H

#include "base/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum number of permits of a target; a higher limit is not used up. */
#define HT_WARMUP_PERMITS_MAX 64

/** New flows of a cold target by this instance. Zero-initialise. */
struct ht_warmup {
	uint64_t peers_version; /* of the permits below */
	uint32_t total, permits;
	uint32_t next;
	ht_ms used_at[HT_WARMUP_PERMITS_MAX]; /* ring buffer of the last flows; 0: none */
};

/** Instances of the own data centre that share the permits. */
struct ht_warmup_peers {
	uint64_t own;	 /**< hash of the own name */
	uint64_t *names; /**< hashes of the others' names; owned */
	size_t count;
	uint64_t version; /**< changes with the set; 0: not known yet, no permit may be used */
};

/** Replaces the set of the other instances. Returns false when out of memory. */
bool ht_warmup_set_peers(struct ht_warmup_peers *peers, const uint64_t *names, size_t count);
void ht_warmup_clear_peers(struct ht_warmup_peers *peers);

/** Number of the @total permits of @target (its id) that belong to this instance. */
uint32_t ht_warmup_permits(const struct ht_warmup_peers *peers, uint64_t target, uint32_t total);

/** True if this instance may now send a flow to @target, which bears @total flows per second. */
bool ht_warmup_allows(struct ht_warmup *warmup, const struct ht_warmup_peers *peers,
		      uint64_t target, uint32_t total, ht_ms now);
/** Counts a flow that is sent to the target. */
void ht_warmup_use(struct ht_warmup *warmup, ht_ms now);

#endif
