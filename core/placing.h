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
 * Returns a target of @service for a new flow, or NULL if none takes new flows, or all are cold and
 * at their limit. That is the one with the lowest expected cost; the @n targets in @tried are
 * chosen only if there is no other.
 *
 * While capacity is short, it is a target in one of the data centres of the service's plan, chosen
 * by their shares, if one of them takes a new flow. Of two targets drawn at random the less loaded
 * is taken, because all instances share the same view of load and would otherwise choose the same
 * target until the next one.
 */
struct ht_target *ht_placing_choose(struct ht_placing *pl, const struct ht_service *service,
				    struct ht_target *const *tried, size_t n, ht_ms now);

/** Whether a target may get a new flow. */
enum ht_placing_fit {
	HT_PLACING_FITS,
	HT_PLACING_COLD,      /**< cold and at its limit, see ht_placing_allows() */
	HT_PLACING_FULL,      /**< see ht_placing_holds_more() */
	HT_PLACING_SUSPECTED, /**< suspected, and without a plan few enough others are */
	HT_PLACING_FITS_COUNT
};

/** The cost is (open + 1) / slots times the factors, which are 1 if they do not apply. */
struct ht_placing_cost {
	uint32_t open;	     /**< flows seen here; by a plan: requests that wait here */
	double speed;	     /**< answer time relative to the service */
	double errors;	     /**< by the error rate */
	double full;	     /**< by a plan: nearly full by the view of load */
	double remote;	     /**< another data centre... */
	double dc_suspected; /**< ...that is suspected */
	double suspected, cold;
};

struct ht_placing_candidate {
	struct ht_target *target;
	enum ht_placing_fit fit;
	double share; /**< of new flows, that the plan sends to its data centre; 1 without a plan */
	double cost;
	struct ht_placing_cost parts;
};

/**
 * Calls @visit for each target that ht_placing_choose(), called with the same state of @pl and
 * nothing tried, examines. Returns whether it chooses by the plan of @service. Changes the state of
 * the random source, so that callers give a copy of @pl.
 */
bool ht_placing_list(struct ht_placing *pl, const struct ht_service *service, ht_ms now,
		     void (*visit)(void *ctx, const struct ht_placing_candidate *candidate),
		     void *ctx);

/** Name for operators. */
const char *ht_placing_fit_name(enum ht_placing_fit fit);

#endif
