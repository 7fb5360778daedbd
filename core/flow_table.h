/*
 * Recently active flows of this instance, used to count the open flows of each target and to
 * measure target health. Packets of a flow that is not in the table are still steered by their
 * mark.
 */
#ifndef HT_CORE_FLOW_TABLE_H
#define HT_CORE_FLOW_TABLE_H

#include "core/catalog.h"
#include "core/placing.h"

enum ht_flow_phase {
	HT_PHASE_OPENING,   /**< opening packet sent */
	HT_PHASE_OPEN,	    /**< the caller has received a packet from the target */
	HT_PHASE_REQUESTED, /**< the caller has sent at least part of a request */
	HT_PHASE_ANSWERED,  /**< the caller has acknowledged part of the answer; a new request may
			       follow */
};

struct ht_tracked_flow {
	struct ht_hnode hnode;
	struct ht_list node; /* in a list of ht_flow_table, by time of the last packet */
	struct ht_endpoint src, dst;
	enum ht_flow_phase phase;
	struct ht_target *tried[HT_PLACING_TRIES];
	size_t tried_count;
	struct ht_target *target;
	uint32_t mark;		   /**< identifies the target in the flow's packets */
	uint32_t placements;	   /**< opening packets forwarded to a target */
	bool counted;		   /**< included in the target's count of open flows... */
	bool waiting;		   /**< ...and of those that wait for it */
	ht_ms opened_at;	   /**< first opening packet */
	bool opened_here;	   /**< false if opened through another instance */
	uint32_t opening_sequence; /**< of the opening packet, if opened here */
	ht_ms placed_at, requested_at, last_packet_at;
	uint32_t acknowledged; /**< by the caller when it sent the request */
	uint32_t request_sequence;
	uint32_t request_end; /**< next sequence number after the request data */
	ht_ms answer_delay;   /**< from the request to the first acknowledged data of the answer */
	bool overdue;
	uint32_t retransmissions;   /**< of the first data of the request */
	uint32_t misses_at_request; /**< misses of the target when the request came */
};

struct ht_flow_table {
	size_t max;
	struct ht_hmap map;
	/* Each list is ordered by the time of the last packet, newest at the tail. */
	struct ht_list opening;	 /**< no packet since the opening one, counted as open */
	struct ht_list active;	 /**< waiting for the target, counted as open */
	struct ht_list answered; /**< receiving an answer, counted as open */
	struct ht_list inactive; /**< not counted: idle, or moved to another instance */
};

/** Returns false when out of memory. Above @max flows, the least recently used one is evicted. */
bool ht_flow_table_init(struct ht_flow_table *table, size_t max);
void ht_flow_table_clear(struct ht_flow_table *table);

struct ht_tracked_flow *ht_flow_table_find(const struct ht_flow_table *table,
					   struct ht_endpoint src, struct ht_endpoint dst);
/** Adds a flow without a target. Returns NULL when out of memory. */
struct ht_tracked_flow *ht_flow_table_add(struct ht_flow_table *table, struct ht_endpoint src,
					  struct ht_endpoint dst);
void ht_flow_table_end(struct ht_flow_table *table, struct ht_tracked_flow *flow);

/** Records a packet of the flow, which counts as open from now on. */
void ht_flow_table_touch(struct ht_flow_table *table, struct ht_tracked_flow *flow, ht_ms now);
/**
 * Stops counting flows without packets as open: when instances are added or removed, the routers
 * move most flows to other instances, so their ends are not seen here. An answered flow may stay
 * open for many requests and loads its target only during each of them.
 */
void ht_flow_table_uncount_inactive(struct ht_flow_table *table,
				    const struct ht_flow_timeouts *timeouts, ht_ms now);

/** Calls @visit for each flow that ht_flow_table_uncount_inactive() would stop counting. */
void ht_flow_table_each_inactive(const struct ht_flow_table *table,
				 const struct ht_flow_timeouts *timeouts, ht_ms now,
				 void (*visit)(void *ctx, const struct ht_tracked_flow *flow),
				 void *ctx);

/** Moves the flow to @target; it is counted there from its next packet on. */
void ht_flow_set_target(struct ht_tracked_flow *flow, struct ht_target *target, uint32_t mark,
			ht_ms now);

/** Hash of a flow, equal on all instances. */
uint64_t ht_flow_hash(struct ht_endpoint src, struct ht_endpoint dst);

#endif
