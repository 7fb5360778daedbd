/*
 * The other instances, known from the greetings that instances send each other. Selects the
 * receivers of greetings, the instance that reads the store for the others, and the source of a
 * snapshot after a start or when announcements do not arrive.
 */
#ifndef HT_CORE_NEIGHBOURS_H
#define HT_CORE_NEIGHBOURS_H

#include "core/catalog.h"

/** Maximum number of neighbours in a greeting, and in one sent while the own view is proven. */
#define HT_GREETING_NEIGHBOURS_MAX 8
#define HT_GREETING_NEIGHBOURS_STEADY 3
/** Maximum number of greetings in one round. */
#define HT_GREETING_FANOUT 4

/** Size of the name of an instance or data centre, with the NUL; longer ones are cut short. */
#define HT_NEIGHBOUR_NAME 64

/** Maximum number of other data centres to which an announcement is sent directly. */
#define HT_REPRESENTATIVES_MAX 32

/** State of an instance's view. */
struct ht_view_state {
	bool usable;		    /**< routes and targets have been read completely */
	bool standby;		    /**< neighbours read the store for it */
	bool failing;		    /**< the last call to the store failed */
	uint64_t era;		    /**< newest era of the store that a read has proven */
	uint32_t level;		    /**< at which the view was read, see HT_READING_LEVEL */
	struct ht_routes_id routes; /**< the configuration in force */
	/** All changes of routes and evacuations up to this revision are known. */
	struct ht_revision read_to;
	struct ht_revision targets;	/**< all changes of targets up to this revision are known */
	struct ht_revision evacuations; /**< latest change of the evacuations */
	/** Since an exact read proved routes and evacuations, or targets; HT_NEVER: never. */
	ht_ms routes_age, targets_age;
};

/**
 * True if an announcement that updates a view from @before to @after is to be relayed: it contains
 * changes or a noticeably later proof. Several instances may read the store when the reader is
 * lost; an instance that has relayed the announcement of one does not relay the others' duplicates.
 */
bool ht_view_improves(const struct ht_view_state *before, const struct ht_view_state *after);

/** True if routes, targets or evacuations of the view @other are later than those of @own. */
bool ht_view_later(const struct ht_view_state *other, const struct ht_view_state *own);

struct ht_neighbour {
	struct ht_list node; /**< sorted by heard_at, newest first */
	char name[HT_NEIGHBOUR_NAME];
	char dc[HT_NEIGHBOUR_NAME];
	uint64_t id; /**< hash of its name */
	struct ht_endpoint at;
	bool local;
	uint32_t size; /**< configured share of a CPU core, in thousandths */
	ht_ms added_at;
	ht_ms named_at;	  /**< last mentioned in another instance's greeting, or HT_NEVER */
	ht_ms heard_at;	  /**< last greeting received, or HT_NEVER */
	ht_ms greeted_at; /**< last greeting sent, or HT_NEVER */
	ht_ms asked_at;	  /**< last snapshot requested, or HT_NEVER */
	struct ht_view_state view; /**< as of its last greeting */
};

struct ht_neighbours_params {
	const char *name, *dc;
	uint32_t size;	       /**< own share of a CPU core, in thousandths */
	size_t max;	       /**< neighbours kept; the one heard longest ago is replaced first */
	ht_ms forget_after;    /**< removes neighbours that are silent for this long */
	ht_ms startup_standby; /**< an instance is on standby for this long after its start */
	ht_ms settle_after;    /**< then it knows its data centre, and is known there */
	ht_ms stale_after;     /**< fetches a snapshot when the view was proven this long ago */
	ht_ms accept_after;    /**< takes views of lower levels when its own is this old */
	ht_ms lag_max;	       /**< fetches a snapshot after being behind for this long */
	ht_ms snapshot_pause;  /**< minimum time between two snapshots */
	ht_ms retry_pause;     /**< the same for an instance without a view... */
	ht_ms same_source_pause; /**< ...and between its requests to one neighbour */
};

void ht_neighbours_params_default(struct ht_neighbours_params *params);

struct ht_neighbours;

/**
 * True if a view read at @level may replace the view @own: it was read at the same level or a
 * higher one, or @own was proven params.accept_after ago, or never.
 */
bool ht_neighbours_accepts(const struct ht_neighbours *nb, const struct ht_view_state *own,
			   uint32_t level);

struct ht_neighbours *ht_neighbours_new(const struct ht_neighbours_params *params, ht_ms now);
void ht_neighbours_free(struct ht_neighbours *nb);

/** Adds a configured address of an instance that is not known yet. */
void ht_neighbours_add_address(struct ht_neighbours *nb, struct ht_endpoint at, ht_ms now);
/** Adds an instance that is mentioned in another one's greeting. */
void ht_neighbours_add(struct ht_neighbours *nb, const char *name, const char *dc,
		       struct ht_endpoint at, uint32_t size, ht_ms now);
/** Handles a greeting from the instance itself. */
void ht_neighbours_heard(struct ht_neighbours *nb, const char *name, const char *dc,
			 struct ht_endpoint at, uint32_t size, const struct ht_view_state *view,
			 ht_ms now);

/** The own view was read at @level. Neighbours with views of lower levels do not read for it. */
void ht_neighbours_set_level(struct ht_neighbours *nb, uint32_t level);

/** Targets are known up to revision @targets. After many changes the order of readers changes. */
void ht_neighbours_rotate_readers(struct ht_neighbours *nb, struct ht_revision targets);

/** An announcement of what instance @name has read from the store has arrived. */
void ht_neighbours_heard_reader(struct ht_neighbours *nb, const char *name, uint32_t size,
				ht_ms now);

/**
 * True if this instance leaves reading the store to another one that precedes it in the order of
 * readers: a live one of the own data centre, or one whose announcements arrive. The order is by
 * size, largest first, then by a hash of the names. Also true for params.startup_standby after the
 * start, as this instance may not know its neighbours yet.
 */
bool ht_neighbours_on_standby(const struct ht_neighbours *nb, ht_ms now);
/** Number of neighbours of the own data centre, heard or mentioned recently, that precede this
 * instance in the order of readers. */
size_t ht_neighbours_reader_rank(const struct ht_neighbours *nb, ht_ms now);
/** True if @a precedes @b in the order of readers. NULL stands for this instance. */
bool ht_neighbours_precedes(const struct ht_neighbours *nb, const struct ht_neighbour *a,
			    const struct ht_neighbour *b);
/**
 * The instance number @rank, from 0, in the order of readers of those of the own data centre that
 * were heard or mentioned within the last few seconds, whatever their view. NULL: it is this
 * instance. After the last one, the first follows.
 */
const struct ht_neighbour *ht_neighbours_ranked(const struct ht_neighbours *nb, size_t rank,
						ht_ms now);
/**
 * Fills @out with the first neighbour of each other data centre in the order of readers, a live one
 * if there is any. Returns their number.
 */
size_t ht_neighbours_first_elsewhere(const struct ht_neighbours *nb,
				     const struct ht_neighbour *out[HT_REPRESENTATIVES_MAX],
				     ht_ms now);
/** The neighbour the hash of whose name ends in the 32 bits @id, or NULL. */
const struct ht_neighbour *ht_neighbours_find(const struct ht_neighbours *nb, uint32_t id);
/** True if a neighbour of the own data centre was heard or mentioned in the last half minute. */
bool ht_neighbours_any_local(const struct ht_neighbours *nb, ht_ms now);
/** Time since the last announcement by a reader that precedes this instance, or HT_NEVER. */
ht_ms ht_neighbours_announcement_age(const struct ht_neighbours *nb, ht_ms now);
/**
 * True if a live neighbour has a view that is not outdated, or will have one soon because it
 * precedes this instance in the order of readers and its calls to the store do not fail.
 */
bool ht_neighbours_can_supply_view(const struct ht_neighbours *nb, ht_ms now);
/**
 * Time of the last greeting from a neighbour of another data centre for which @wanted returns true,
 * or of the start of this instance if there has been none.
 */
ht_ms ht_neighbours_heard_elsewhere(const struct ht_neighbours *nb,
				    bool (*wanted)(void *ctx, const char *dc), void *ctx);
/** Number of live instances of the own data centre, this one included. */
size_t ht_neighbours_local_count(const struct ht_neighbours *nb, ht_ms now);
/**
 * Fills @out with the hashes of the names of up to @max neighbours of the own data centre, also of
 * silent ones. Returns their number.
 */
size_t ht_neighbours_local_names(const struct ht_neighbours *nb, uint64_t *out, size_t max);
/** True if this instance has run for long enough to know its data centre, and it to know this. */
bool ht_neighbours_settled(const struct ht_neighbours *nb, ht_ms now);

/**
 * Calls @visit for each neighbour of the own data centre that was heard or mentioned recently.
 * @fresh: within the last few seconds; otherwise it may be down.
 */
void ht_neighbours_each_local(const struct ht_neighbours *nb, ht_ms now,
			      void (*visit)(void *ctx, const struct ht_neighbour *n, bool fresh),
			      void *ctx);

/**
 * Fills @out with one neighbour of each other data centre, a live one if there is any, selected by
 * @seed. They relay an announcement within their data centre. Returns their number.
 */
size_t ht_neighbours_representatives(const struct ht_neighbours *nb, uint64_t seed,
				     const struct ht_neighbour *out[HT_REPRESENTATIVES_MAX],
				     ht_ms now);

/**
 * Fills @out with the neighbours to greet now, those greeted longest ago, mostly of the own data
 * centre. Returns their number.
 */
size_t ht_neighbours_greet(struct ht_neighbours *nb,
			   const struct ht_neighbour *out[HT_GREETING_FANOUT], ht_ms now);
/**
 * Fills @out with at most @max live neighbours to mention in a greeting to an instance of @dc,
 * those of @dc first. Rotates through them from call to call.
 */
size_t ht_neighbours_to_advertise(struct ht_neighbours *nb, const char *dc,
				  const struct ht_neighbour *out[HT_GREETING_NEIGHBOURS_MAX],
				  size_t max, ht_ms now);

/**
 * Neighbour to request a snapshot from now, or NULL. A snapshot is needed if this instance has no
 * view or an outdated one, or if it is on standby and announcements are late, and a neighbour has a
 * newer view. Views of lower levels are not newer than one that is up to date. Neighbours whose
 * view was proven recently, or not yet, are selected by hash to spread the load; otherwise the one
 * with the newest view is. Without a view, the instance tries one neighbour after the other, as
 * each serves a limited number of snapshots at a time.
 */
const struct ht_neighbour *
ht_neighbours_snapshot_source(struct ht_neighbours *nb, const struct ht_view_state *own, ht_ms now);

/** Removes neighbours that have been silent for params.forget_after. */
void ht_neighbours_expire(struct ht_neighbours *nb, ht_ms now);
size_t ht_neighbours_count(const struct ht_neighbours *nb);

#endif
