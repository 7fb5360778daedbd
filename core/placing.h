/* Selects the target for a new flow. */
#ifndef HT_CORE_PLACING_H
#define HT_CORE_PLACING_H

#include "core/steering.h"

/** Number of targets remembered per flow; each copy of its opening packet tries another one. */
#define HT_PLACING_TRIES 3

struct ht_placing {
	const struct ht_steering_params *params;
	const struct ht_steering_bounds *bounds;
	struct ht_warmup_peers peers;
	uint64_t random; /**< state of the random source */
};

/** False if @target is cold and has had all the flows that this instance may send it now. */
bool ht_placing_allows(const struct ht_placing *pl, struct ht_target *target, ht_ms now);
/** Counts a flow that is sent to @target. */
void ht_placing_count(struct ht_target *target, ht_ms now);

/**
 * Returns the target of @service with the lowest expected cost for a new flow, or NULL if none
 * takes new flows, or all are cold and at their limit. The @n targets in @tried are chosen only if
 * there is no other.
 */
struct ht_target *ht_placing_choose(struct ht_placing *pl, struct ht_service *service,
				    struct ht_target *const *tried, size_t n, ht_ms now);

#endif
