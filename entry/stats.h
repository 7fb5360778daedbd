/* Counters and histograms of one instance; single-threaded, without locks or allocations. */
#ifndef HT_ENTRY_STATS_H
#define HT_ENTRY_STATS_H

#include "base/histogram.h"
#include "core/steering.h"
#include "platform/store.h"

/** Kinds of store calls, counted separately because a watch waits for changes. */
enum ht_store_call {
	HT_CALL_LIST,
	HT_CALL_WATCH,
	HT_STORE_CALLS
};

/** Kinds of messages between instances. */
enum ht_link_message {
	HT_LINK_GREETING,
	HT_LINK_ANNOUNCEMENT,	  /**< changes read from the store, and proofs of them */
	HT_LINK_EVIDENCE,	  /**< observations of targets */
	HT_LINK_LOAD,		  /**< how loaded services are */
	HT_LINK_SNAPSHOT_REQUEST, /**< request for a snapshot */
	HT_LINK_DIFF_SNAPSHOT,	  /**< snapshot with the changes since a base */
	HT_LINK_FULL_SNAPSHOT,	  /**< full snapshot */
	HT_LINK_MESSAGES
};

struct ht_message_stats {
	uint64_t count, bytes;
};

struct ht_link_stats {
	struct ht_message_stats sent[HT_LINK_MESSAGES], received[HT_LINK_MESSAGES];
	uint64_t unsent; /**< datagrams for which sendto() failed */
};

static inline void ht_message_count(struct ht_message_stats *st, size_t bytes)
{
	st->count++;
	st->bytes += bytes;
}

struct ht_store_stats {
	uint64_t failed;
	struct ht_histogram time;
};

struct ht_entry_stats {
	uint64_t decisions[HT_STEER_ACTIONS][HT_STEER_REASONS];
	uint64_t flow_events[HT_FLOW_EVENTS];
	uint64_t health_changes[HT_HEALTH_CAUSES];
	uint64_t malformed;	    /**< packets without a valid header */
	uint64_t unsent;	    /**< packets for which sendto() failed */
	uint64_t routes_unreadable; /**< in configurations read from the store */
	uint64_t store_returns;	    /**< restores of the store from an older backup */
	struct ht_histogram decision_time;
	struct ht_histogram open_to_data; /**< from an opening packet to the caller's first data */
	struct ht_histogram routes_age, targets_age; /**< of the view, sampled each tick */
	struct ht_store_stats store[HT_STORE_KINDS][HT_STORE_CALLS];
	struct ht_link_stats link;
};

static inline void ht_entry_stats_init(struct ht_entry_stats *stats)
{
	*stats = (struct ht_entry_stats){
		.decision_time = ht_histogram_of(&ht_histogram_work),
		.open_to_data = ht_histogram_of(&ht_histogram_calls),
		.routes_age = ht_histogram_of(&ht_histogram_calls),
		.targets_age = ht_histogram_of(&ht_histogram_calls),
	};
	for (int kind = 0; kind < HT_STORE_KINDS; kind++)
		for (int call = 0; call < HT_STORE_CALLS; call++)
			stats->store[kind][call].time = ht_histogram_of(&ht_histogram_calls);
}

#endif
