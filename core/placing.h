/* Selects the target for a new flow. */
#ifndef HT_CORE_PLACING_H
#define HT_CORE_PLACING_H

#include "core/steering.h"

/** Number of targets remembered per flow; each copy of its opening packet tries another one. */
#define HT_PLACING_TRIES 3

struct ht_placing {
	const struct ht_steering_params *params;
	uint64_t random; /**< state of the random source */
};

/**
 * Returns the target of @service with the lowest expected cost for a new flow, or NULL if none
 * takes new flows. The @n targets in @tried are chosen only if there is no other.
 */
struct ht_target *ht_placing_choose(struct ht_placing *pl, struct ht_service *service,
				    struct ht_target *const *tried, size_t n, ht_ms now);

#endif
