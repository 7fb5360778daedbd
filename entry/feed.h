/*
 * Keeps the catalogue in sync with the platform's store.
 *
 * Routes and targets are read by a listing and then by watches. What is known is "proven" at the
 * time of the last exact read that confirmed it, made by this instance or by a neighbour. A
 * standby instance leaves reading to its neighbours and adopts what they have read.
 */
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
	/** A read has ended. @proven: it was exact, so that neighbours may rely on it. */
	void (*changed)(void *ctx, bool proven);
	void *ctx;
};

/** Starts reading the store. Returns NULL if out of memory. */
struct ht_feed *ht_feed_new(const struct ht_feed_params *params);
void ht_feed_free(struct ht_feed *feed);

/** Fills @view with what is known, read from the store or adopted from neighbours. */
void ht_feed_view(const struct ht_feed *feed, struct ht_view_state *view);
/** True once exact reads have confirmed routes, targets and evacuations. */
bool ht_feed_complete(const struct ht_feed *feed);
/** Time until which a target that is found missing now may still be used. */
ht_ms ht_feed_hold_until(const struct ht_feed *feed);

/**
 * Sets standby mode: the store is read only if the proofs adopted from neighbours grow old.
 * Instances of a lower @rank then read first, so that the others learn of their read in time.
 */
void ht_feed_set_standby(struct ht_feed *feed, bool standby, size_t rank);
/** Age of a proof at which the first standby instance reads the store itself. */
ht_ms ht_feed_standby_read_age(const struct ht_feed *feed);
/** Defers the first listing for a while, because a neighbour may soon provide a snapshot. */
void ht_feed_defer_listing(struct ht_feed *feed, bool defer);
/**
 * A neighbour reports era @era of the store. @proven: it relays what the reading instance has
 * read. Returns true if @era is the current one; data of any other era is not used.
 */
bool ht_feed_observe_era(struct ht_feed *feed, uint64_t era, bool proven);
/**
 * Marks routes or evacuations as known up to revision @read_to, or targets up to @revision, of the
 * current era after a neighbour's view has been applied. @missing is the number of targets that
 * were known here and that the view lacks. The view was read at @level, see HT_READING_LEVEL.
 */
void ht_feed_adopt_routes(struct ht_feed *feed, struct ht_revision read_to, uint32_t level);
void ht_feed_adopt_evacuations(struct ht_feed *feed, struct ht_revision read_to, uint32_t level);
void ht_feed_adopt_targets(struct ht_feed *feed, struct ht_revision revision, uint32_t level,
			   size_t missing);
/**
 * Adopts the times at which neighbours have proven what is known here too; HT_NEVER for what they
 * have not proven. Evacuations are proven together with the routes.
 */
void ht_feed_adopt_proofs(struct ht_feed *feed, ht_ms routes_proven_at, ht_ms targets_proven_at);

#endif
