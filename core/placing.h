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

/** False if @target holds as many flows as its service states. */
bool ht_placing_holds_more(const struct ht_placing *pl, const struct ht_target *target, ht_ms now);

/**
 * While capacity is short: returns a target in one of the data centres of the service's plan,
 * chosen by their shares, or NULL if those take no new flow. Of two targets drawn at random the
 * less loaded is taken, because all instances share the same view of load and would otherwise
 * choose the same target until the next one. The @n targets in @tried are left out.
 */
struct ht_target *ht_placing_choose_by_plan(struct ht_placing *pl, const struct ht_service *service,
					    struct ht_target *const *tried, size_t n, ht_ms now);

/**
 * Returns the target of @service with the lowest expected cost for a new flow, or NULL if none
 * takes new flows, or all are cold and at their limit. The @n targets in @tried are chosen only if
 * there is no other.
 */
struct ht_target *ht_placing_choose(struct ht_placing *pl, struct ht_service *service,
				    struct ht_target *const *tried, size_t n, ht_ms now);

#endif
