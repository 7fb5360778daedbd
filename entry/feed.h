/* Keeps the catalogue in step with the platform's store. */
#ifndef HT_ENTRY_FEED_H
#define HT_ENTRY_FEED_H

#include "core/catalog.h"
#include "core/neighbours.h"
#include "entry/log.h"
#include "entry/settings.h"

struct ev_loop;
struct ht_feed;

struct ht_feed_params {
	struct ev_loop *loop;
	struct ht_catalog *catalog;
	const struct ht_entry_settings *settings;
	struct ht_entry_log *log;
	uint64_t seed;
	/** A read has ended; see ht_feed_view(). */
	void (*changed)(void *ctx);
	void *ctx;
};

/** Starts reading; NULL when out of memory. */
struct ht_feed *ht_feed_new(const struct ht_feed_params *params);
void ht_feed_free(struct ht_feed *feed);

/** What has been read from the store itself. */
void ht_feed_view(const struct ht_feed *feed, struct ht_view_state *view);
/** True once exact reads have confirmed routes and targets. */
bool ht_feed_complete(const struct ht_feed *feed);
/** Until when a target that is found missing now may still be used. */
ht_ms ht_feed_hold(const struct ht_feed *feed);

#endif
