/* Communication between instances: greetings (periodic gossip over UDP), announcements of what
 * the store has shown, and snapshots over TCP. */
#ifndef HT_ENTRY_LINK_H
#define HT_ENTRY_LINK_H

#include "base/logger.h"
#include "core/neighbours.h"
#include "core/steering.h"
#include "entry/feed.h"
#include "entry/load_exchange.h"
#include "entry/settings.h"
#include "entry/stats.h"

struct ev_loop;
struct ht_link;

struct ht_link_params {
	struct ev_loop *loop;
	const struct ht_entry_settings *settings;
	struct ht_catalog *catalog;
	struct ht_steering *steering;
	struct ht_reports *reports; /**< sent to neighbours after a short delay */
	struct ht_logger *log;
	struct ht_link_stats *stats;
	struct ht_feed *(*feed)(
		void *ctx); /**< returns the current feed, borrowed; a reload replaces it */
	/** A neighbour's changes have been applied, or its proofs adopted. */
	void (*changed)(void *ctx);
	struct ht_load *load; /**< shared with the other instances; NULL: nothing is exchanged */
	/** See struct ht_load_exchange_params; needed with @load. */
	void (*add_targets)(void *ctx, struct ht_load *load);
	void (*load_updated)(void *ctx);
	void *ctx;
};

/** Listens at the peer address and registers the seeds. Returns NULL and sets @err on failure. */
struct ht_link *ht_link_new(const struct ht_link_params *params, struct ht_err *err);
void ht_link_free(struct ht_link *link);

/** Sends greetings and fetches a snapshot if one is needed. To be called about once a second. */
void ht_link_round(struct ht_link *link);
/** Fetches a snapshot if one is needed now. */
void ht_link_refresh(struct ht_link *link);
/** Announces the result of an exact read of the store to all other instances. */
void ht_link_announce_read(struct ht_link *link);
/**
 * Announces to the instances of the own data centre, or of @all_dcs, that this instance has a view
 * to serve.
 */
void ht_link_announce_view(struct ht_link *link, bool all_dcs);

/**
 * Exchanges @load from now on instead of the former one; NULL: none. Returns false, and exchanges
 * none, when out of memory.
 */
bool ht_link_set_load(struct ht_link *link, struct ht_load *load);
/** Sets how often loads are exchanged; without effect if there is no load. */
void ht_link_set_load_pace(struct ht_link *link, enum ht_load_pace pace);

/** The other instances, borrowed. */
const struct ht_neighbours *ht_link_others(const struct ht_link *link);
/** Number of other instances known. */
size_t ht_link_neighbours(const struct ht_link *link);

#endif
