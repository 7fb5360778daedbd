/* Choice of a target for a new flow. */
#ifndef HT_CORE_PLACING_H
#define HT_CORE_PLACING_H

#include "core/steering.h"

/** Targets that one flow has tried; a copy of its opening packet goes elsewhere. */
#define HT_PLACING_TRIES 3

struct ht_placing {
	const struct ht_steering_params *params;
	uint64_t random; /**< state of the random source */
};

/**
 * Returns the target with the lowest expected wait for a new flow to @service, none of the @n in
 * @tried if there is another, or NULL when no target can take one.
 */
struct ht_target *ht_placing_choose(struct ht_placing *pl, struct ht_service *service,
				    struct ht_target *const *tried, size_t n, ht_ms now);

#endif
