/* Greetings and snapshots between instances. */
#ifndef HT_ENTRY_LINK_H
#define HT_ENTRY_LINK_H

#include "base/logger.h"
#include "core/neighbours.h"
#include "core/steering.h"
#include "entry/feed.h"
#include "entry/settings.h"
#include "entry/stats.h"

struct ev_loop;
struct ht_link;

struct ht_link_params {
	struct ev_loop *loop;
	const struct ht_entry_settings *settings;
	struct ht_catalog *catalog;
	struct ht_steering *steering;
	struct ht_reports *reports; /**< sent to neighbours soon after they come */
	struct ht_logger *log;
	struct ht_link_stats *stats;
	struct ht_feed *(*feed)(void *ctx); /**< borrowed; may change when settings do */
	/** A neighbour's changes have been applied, or its proofs learned. */
	void (*changed)(void *ctx);
	void *ctx;
};

/** Listens at the peer address and greets the seeds; NULL with @err set. */
struct ht_link *ht_link_new(const struct ht_link_params *params, struct ht_err *err);
void ht_link_free(struct ht_link *link);

/** Sends greetings and asks for a snapshot if one is wanted; call it about once a second. */
void ht_link_round(struct ht_link *link);
/** Asks for a snapshot if one is wanted now. */
void ht_link_refresh(struct ht_link *link);
/** Tells all other instances what an exact read of the store has just shown. */
void ht_link_announce_read(struct ht_link *link);
/** Tells the own data centre, or @all_dcs, that this instance has a view to give. */
void ht_link_announce_view(struct ht_link *link, bool all_dcs);

/** Number of other instances known. */
size_t ht_link_neighbours(const struct ht_link *link);

#endif
