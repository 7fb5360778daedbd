/*
 * Overload control of the steering: keeps the admission plan of each service up to date by the load
 * that instances share, and applies it to new flows. Services whose routes all have the same terms
 * are left alone.
 */
#ifndef HT_CORE_OVERLOAD_H
#define HT_CORE_OVERLOAD_H

#include "core/admission.h"
#include "core/catalog.h"

struct ht_overload {
	struct ht_catalog *catalog; /**< borrowed */
	struct ht_load *load;	    /**< borrowed; NULL: no overload control */
	struct ht_admission_params admission;
	/**
	 * Differs between instances, so that a caller's turns do: each of its tries reaches another
	 * instance, and if all of them were refused together, less than the plan allows would be
	 * admitted.
	 */
	uint64_t seed;
	/** Called when a service has become short of capacity, or is not any more. May be NULL. */
	void (*changed)(void *ctx, const struct ht_service *service, ht_ms now);
	/** Called when the plan of a service that is short of capacity has changed much since the
	 * last call of either function; at most every few seconds. May be NULL. */
	void (*plan_changed)(void *ctx, const struct ht_service *service, ht_ms now);
	void *ctx;
};

/** Adds what this instance sees of each target to the report of the load. */
void ht_overload_add_targets(const struct ht_overload *ov);
/** Updates all plans; @alive: live instances of the own data centre, this one included. */
void ht_overload_update(const struct ht_overload *ov, size_t alive, ht_ms now);
/** Ends all plans, as overload control is switched off. */
void ht_overload_end_plans(const struct ht_overload *ov, ht_ms now);
/** Highest number of requests in flight per slot among services with a plan, in the own data
 * centre. */
double ht_overload_occupancy(const struct ht_overload *ov, size_t alive, ht_ms now);

/** Decides on an opening packet of @route to @service from a caller at @src. */
enum ht_admission ht_overload_admit(const struct ht_overload *ov, const struct ht_route *route,
				    const struct ht_service *service, struct ht_endpoint src,
				    uint32_t copy, ht_ms now);

#endif
