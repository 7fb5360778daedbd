/* Keeps the catalogue in step with the platform's store. */
#ifndef HT_ENTRY_FEED_H
#define HT_ENTRY_FEED_H

#include "base/logger.h"
#include "core/catalog.h"
#include "core/neighbours.h"
#include "entry/settings.h"
#include "entry/stats.h"

struct ev_loop;
struct ht_feed;

struct ht_feed_params {
	struct ev_loop *loop;
	struct ht_catalog *catalog;
	const struct ht_entry_settings *settings;
	struct ht_logger *log;
	struct ht_entry_stats *stats;
	uint64_t seed;
	/** A read has ended; @proven if it was exact, so that neighbours may rely on it. */
	void (*changed)(void *ctx, bool proven);
	void *ctx;
};

/** Starts reading; NULL when out of memory. */
struct ht_feed *ht_feed_new(const struct ht_feed_params *params);
void ht_feed_free(struct ht_feed *feed);

/** What is known, read here or by neighbours. */
void ht_feed_view(const struct ht_feed *feed, struct ht_view_state *view);
/** True once exact reads have confirmed routes and targets. */
bool ht_feed_complete(const struct ht_feed *feed);
/** Until when a target that is found missing now may still be used. */
ht_ms ht_feed_hold_until(const struct ht_feed *feed);

/**
 * Leaves reading to neighbours for as long as what they prove stays young. When it grows old, those
 * of a low @rank read first, so that the others hear of it in time.
 */
void ht_feed_set_standby(struct ht_feed *feed, bool standby, size_t rank);
/** Age of a proof at which the first of the neighbours that are covered reads. */
ht_ms ht_feed_standby_read_age(const struct ht_feed *feed);
/** Leaves the first listing to neighbours for a while. */
void ht_feed_defer_listing(struct ht_feed *feed, bool defer);
/**
 * A neighbour speaks of era @era of the store; @proven if it passes on what the one that reads for
 * others has read. Returns true if that is the present era: what is told of another is not used.
 */
bool ht_feed_observe_era(struct ht_feed *feed, uint64_t era, bool proven);
/** Routes, or targets, are known up to these revisions of the present era from a neighbour, whose
 * view lacks @missing targets that were known here. */
void ht_feed_adopt_routes(struct ht_feed *feed, struct ht_revision read_to);
void ht_feed_adopt_targets(struct ht_feed *feed, struct ht_revision revision, size_t missing);
/** Neighbours have proven what is known here; HT_NEVER for what they have not. */
void ht_feed_adopt_proofs(struct ht_feed *feed, ht_ms routes_proven_at, ht_ms targets_proven_at);

#endif
