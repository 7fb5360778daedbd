/* Shared by steering.c, which decides, and explain.c, which says what would be decided. */
#ifndef HT_CORE_STEERING_INTERNAL_H
#define HT_CORE_STEERING_INTERNAL_H

#include "core/flow_table.h"
#include "core/placing.h"
#include "core/steering.h"

/* Flows remembered because copies of their opening packet were dropped here, one for each remainder
 * of a hash; enough for 3,000 dropped flows per second until the last copy. */
#define DEFERRALS 4096

/* A flow whose first copies of the opening packet this instance has dropped. */
struct deferral {
	uint64_t opening; /* hash of the addresses and the sequence number */
	uint32_t copies;
};

struct ht_steering {
	struct ht_steering_params params;
	struct ht_placing placing;
	struct ht_flow_table flows;
	bool complete;
	struct ht_steering_bounds bounds;
	ht_ms routes_at, targets_at; /* when an exact read last confirmed them */
	size_t instance_count;
	ht_ms adopted_at; /* when a flow unknown to the table was last added by its data */
	struct deferral deferrals[DEFERRALS];
};

/*
 * Steps of the decision on an opening packet, in this order. They change nothing. The functions
 * that return a bool set @d if they return true.
 */

/** True if the route is missing or cannot be read. @route: NULL if there is none. */
bool ht_steering_refuses_route(const struct ht_steering *st, const struct ht_route *route,
			       const struct ht_packet *pkt, ht_ms now,
			       struct ht_steering_decision *d);
/** True if no service of the route takes new flows. @service: that of ht_split_pick(). */
bool ht_steering_refuses_service(const struct ht_steering *st, const struct ht_service *service,
				 const struct ht_packet *pkt, ht_ms now,
				 struct ht_steering_decision *d);
/**
 * True if the opening packet @pkt is not forwarded because others go first: by the plan of the
 * service while capacity is short, otherwise by the flows of this instance alone. A reset tells the
 * caller that nothing has run, so a flow that may be open is not reset.
 */
bool ht_steering_turns_away(const struct ht_steering *st, const struct ht_route *route,
			    const struct ht_service *service, const struct ht_packet *pkt,
			    ht_ms now, struct ht_steering_decision *d);
/** Decision after ht_placing_choose() has returned @target. @f: the flow, if @pkt is a further
 * copy of its opening packet; otherwise NULL. */
struct ht_steering_decision ht_steering_judge_target(const struct ht_steering *st,
						     const struct ht_service *service,
						     const struct ht_packet *pkt,
						     struct ht_target *target,
						     const struct ht_tracked_flow *f, ht_ms now);

#endif
