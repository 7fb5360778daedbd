/*
 * Flows that have gone through this instance lately. They are kept to count the open flows of
 * targets and to judge how targets do; a flow that is lost here is steered by its mark all the
 * same.
 */
#ifndef HT_CORE_FLOW_TABLE_H
#define HT_CORE_FLOW_TABLE_H

#include "core/catalog.h"
#include "core/placing.h"

enum ht_flow_phase {
	HT_PHASE_OPENING,   /**< opening packet sent */
	HT_PHASE_OPEN,	    /**< the caller has heard from the target */
	HT_PHASE_REQUESTED, /**< the caller has sent data: a request, or a part of one */
	HT_PHASE_ANSWERED,  /**< the caller has acknowledged data of the target; it may ask again */
};

struct ht_tracked_flow {
	struct ht_hnode hnode;
	struct ht_list node; /* in a list of ht_flow_table, by time of the last packet */
	struct ht_endpoint src, dst;
	enum ht_flow_phase phase;
	struct ht_target *tried[HT_PLACING_TRIES];
	size_t tried_count;
	struct ht_target *target;
	uint32_t mark;		   /**< by which its packets name the target */
	uint32_t placements;	   /**< opening packets sent to a target */
	bool counted;		   /**< in the target's open flows */
	ht_ms opened_at;	   /**< first opening packet */
	bool opened_here;	   /**< else the flow has come from another instance */
	uint32_t opening_sequence; /**< of its opening packet, if it was opened here */
	ht_ms placed_at, requested_at, last_packet_at;
	uint32_t acknowledged; /**< by the caller before the answer */
	uint32_t request_sequence;
	uint32_t request_end; /**< sequence after the last data of the request */
	ht_ms answer_delay;   /**< from the request to the first data of the answer */
	bool overdue;
	uint32_t retransmissions;   /**< of the request's first data */
	uint32_t misses_at_request; /**< of the target, when the request came */
};

struct ht_flow_table {
	size_t max;
	struct ht_hmap map;
	/* Each with the newest packet last. */
	struct ht_list active;	 /**< flows that wait for their target: they count as open */
	struct ht_list answered; /**< answers under way: they count, too */
	struct ht_list inactive; /**< flows without packets: idle, or they go through others now */
};

/** False when out of memory. At most @max flows are kept: the least recently used go first. */
bool ht_flow_table_init(struct ht_flow_table *table, size_t max);
void ht_flow_table_clear(struct ht_flow_table *table);

struct ht_tracked_flow *ht_flow_table_find(const struct ht_flow_table *table,
					   struct ht_endpoint src, struct ht_endpoint dst);
/** A flow without a target yet; NULL when out of memory. */
struct ht_tracked_flow *ht_flow_table_add(struct ht_flow_table *table, struct ht_endpoint src,
					  struct ht_endpoint dst);
void ht_flow_table_end(struct ht_flow_table *table, struct ht_tracked_flow *flow);

/** A packet of the flow came: it counts as open. */
void ht_flow_table_touch(struct ht_flow_table *table, struct ht_tracked_flow *flow, ht_ms now);
/**
 * Flows without packets for @quiet are no longer counted: when instances come or go, the routers
 * send most flows through others, and their ends are not seen here. An answered flow is idle
 * already after @answer_quiet: it may stay open for many requests and keeps its target busy only
 * with them.
 */
void ht_flow_table_uncount_inactive(struct ht_flow_table *table, ht_ms quiet, ht_ms answer_quiet,
				    ht_ms now);

/** The flow goes to @target from now on; it is not counted there before its next packet. */
void ht_flow_set_target(struct ht_tracked_flow *flow, struct ht_target *target, uint32_t mark,
			ht_ms now);

/** The same at all instances. */
uint64_t ht_flow_hash(struct ht_endpoint src, struct ht_endpoint dst);

#endif
