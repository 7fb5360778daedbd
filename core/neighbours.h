/*
 * The other instances, as heard from their greetings: whom to greet, who reads the store for the
 * others, and from whom to take a snapshot at a start or when news does not come.
 */
#ifndef HT_CORE_NEIGHBOURS_H
#define HT_CORE_NEIGHBOURS_H

#include "core/catalog.h"

/** Neighbours named in one greeting at most, and in one to an instance that has a proven view. */
#define HT_GREETING_KNOWN 8
#define HT_GREETING_KNOWN_STEADY 3
/** Greetings sent at one time at most. */
#define HT_GREETING_FANOUT 4

/** Other data centres that one announcement reaches directly. */
#define HT_REPRESENTATIVES_MAX 32

/** What an instance knows. */
struct ht_view_state {
	bool usable;		       /**< routes and targets are known */
	bool standby;		       /**< neighbours read the store for it */
	bool failing;		       /**< its last call to the store failed */
	uint64_t era;		       /**< newest era of the store that has been proven */
	struct ht_routes_id routes;    /**< the configuration in force */
	struct ht_revision read_to;    /**< no later change of the routes up to this revision */
	struct ht_revision targets;    /**< all changes of targets up to this revision are known */
	ht_ms routes_age, targets_age; /**< since an exact read proved them, or HT_NEVER */
};

/**
 * True if news that leads from @before to @after is worth passing on: it tells of changes or makes
 * a proof noticeably younger. Several instances may read when the reader is lost; who has passed on
 * what one of them tells leaves the same from the others alone.
 */
bool ht_view_improves(const struct ht_view_state *before, const struct ht_view_state *after);

/** True if a view that is told is later than @own: a later configuration, or later targets. */
bool ht_view_later(const struct ht_view_state *told, const struct ht_view_state *own);

struct ht_neighbour {
	struct ht_list node; /**< most recently heard first */
	char name[HT_CATALOG_NAME];
	char dc[HT_CATALOG_NAME];
	struct ht_endpoint at;
	bool local;
	uint32_t size; /**< share of a core, in thousandths */
	ht_ms added_at;
	ht_ms named_at;		   /**< last named by another instance that had heard it */
	ht_ms heard_at;		   /**< last greeting, or HT_NEVER */
	ht_ms greeted_at;	   /**< last greeting sent, or HT_NEVER */
	ht_ms asked_at;		   /**< last asked for a first view, or HT_NEVER */
	struct ht_view_state view; /**< when last heard */
};

struct ht_neighbours_params {
	const char *name, *dc;
	uint32_t size;	      /**< own share of a core, in thousandths */
	size_t max;	      /**< neighbours kept; the one heard longest ago goes first */
	ht_ms forget_after;	      /**< one that has been silent for this long is forgotten */
	ht_ms startup_standby;	      /**< after its start an instance leaves reading to others this long */
	ht_ms stale_after;    /**< a view of this age is renewed from a neighbour */
	ht_ms lag_max;    /**< news that is this late is fetched from a neighbour */
	ht_ms snapshot_pause; /**< between two snapshots that trouble asks for */
	ht_ms retry_pause;    /**< the same, for an instance without a view... */
	ht_ms same_source_pause;      /**< ...which asks one neighbour again after this time only */
};

void ht_neighbours_params_default(struct ht_neighbours_params *params);

struct ht_neighbours;

struct ht_neighbours *ht_neighbours_new(const struct ht_neighbours_params *params, ht_ms now);
void ht_neighbours_free(struct ht_neighbours *nb);

/** An address at which an instance may be, of which nothing else is known. */
void ht_neighbours_add_address(struct ht_neighbours *nb, struct ht_endpoint at, ht_ms now);
/** An instance that another one names. */
void ht_neighbours_add(struct ht_neighbours *nb, const char *name, const char *dc,
		       struct ht_endpoint at, uint32_t size, ht_ms now);
/** A greeting came from the instance itself. */
void ht_neighbours_heard(struct ht_neighbours *nb, const char *name, const char *dc,
			 struct ht_endpoint at, uint32_t size, const struct ht_view_state *view,
			 ht_ms now);

/** Changes of targets are known up to @targets: after many, others read the store. */
void ht_neighbours_set_changes(struct ht_neighbours *nb, struct ht_revision targets);

/** The instance has read the store, and its news has reached this one. */
void ht_neighbours_heard_reader(struct ht_neighbours *nb, const char *name, uint32_t size,
				ht_ms now);

/**
 * True if a live instance reads the store before this one: a neighbour of the own data centre, or
 * one whose news comes. The larger one reads, and of equals one by a hash of the names. Also
 * while this instance has only just started and may not have heard of one.
 */
bool ht_neighbours_covered(const struct ht_neighbours *nb, ht_ms now);
/** Number of neighbours of the own data centre, told of lately, that read the store before this
 * one. */
size_t ht_neighbours_rank(const struct ht_neighbours *nb, ht_ms now);
/** Time since the news of an instance that reads before this one, or HT_NEVER. */
ht_ms ht_neighbours_reader_age(const struct ht_neighbours *nb, ht_ms now);
/**
 * True if a live neighbour has a view that is not outdated, or reads the store before this instance
 * and so gets one soon, unless its calls fail.
 */
bool ht_neighbours_helpful(const struct ht_neighbours *nb, ht_ms now);
/** Number of live instances of the own data centre, this one included. */
size_t ht_neighbours_local_count(const struct ht_neighbours *nb, ht_ms now);
/**
 * Calls @visit for each neighbour of the own data centre that has been heard, or named by another
 * one, lately. @fresh: within the last seconds; one that is not may be gone.
 */
void ht_neighbours_each_local(const struct ht_neighbours *nb, ht_ms now,
			      void (*visit)(void *ctx, const struct ht_neighbour *n, bool fresh),
			      void *ctx);

/**
 * Fills @out with one live neighbour of each other data centre, another one for each @seed, and
 * returns their number: they tell their data centres.
 */
size_t ht_neighbours_representatives(const struct ht_neighbours *nb, uint64_t seed,
				     const struct ht_neighbour *out[HT_REPRESENTATIVES_MAX],
				     ht_ms now);

/**
 * Fills @out with neighbours to greet now and returns their number: those greeted longest ago,
 * mostly in the own data centre.
 */
size_t ht_neighbours_greet(struct ht_neighbours *nb,
			   const struct ht_neighbour *out[HT_GREETING_FANOUT], ht_ms now);
/**
 * Fills @out with at most @max live neighbours to name in a greeting to an instance of @dc, those
 * of its own data centre first, and others of them each time.
 */
size_t ht_neighbours_known(struct ht_neighbours *nb, const char *dc,
			   const struct ht_neighbour *out[HT_GREETING_KNOWN], size_t max,
			   ht_ms now);

/**
 * Neighbour from which to take a snapshot now, or NULL: when this instance has no view, an old one,
 * or leaves reading to its neighbours and their news has not come, and the neighbour's is newer.
 * Of those whose view has been proven lately, or not yet, each instance asks another one; of
 * others, who knows most. An instance without a view asks one after the other, as each serves only
 * so many at a time.
 */
const struct ht_neighbour *ht_neighbours_source(struct ht_neighbours *nb,
						const struct ht_view_state *own, ht_ms now);

/** Forgets neighbours that have been silent. */
void ht_neighbours_expire(struct ht_neighbours *nb, ht_ms now);
size_t ht_neighbours_count(const struct ht_neighbours *nb);

#endif
