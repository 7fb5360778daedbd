/* Keeps the catalogue in step with the platform's store. */
#ifndef HT_ENTRY_FEED_H
#define HT_ENTRY_FEED_H

#include "core/catalog.h"
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
	/** Routes and targets are both known: @complete when exact reads have confirmed them. */
	void (*changed)(void *ctx, bool usable, bool complete);
	void *ctx;
};

/** Starts reading; NULL when out of memory. */
struct ht_feed *ht_feed_new(const struct ht_feed_params *params);
void ht_feed_free(struct ht_feed *feed);

#endif
