/*
 * Routes and targets as last read from the platform. Every object keeps the revision of its last
 * change, and nothing is taken back by an older one, whatever the order in which answers arrive. A
 * store that comes back from an older copy (base/revision.h) takes nothing back either: the highest
 * version of the configuration stays in force, and a target that had left is not used again until
 * it has written to the store since.
 */
#ifndef HT_CORE_CATALOG_H
#define HT_CORE_CATALOG_H

#include "base/clock.h"
#include "base/histogram.h"
#include "base/hmap.h"
#include "base/list.h"
#include "base/revision.h"
#include "core/answers.h"
#include "core/evidence.h"

#include <stddef.h>
#include <stdint.h>

/** Longest name of a service, data centre or target, with its end. */
#define HT_CATALOG_NAME 64

/** Marks per target: a flow whose first mark clashes with another target's takes the second. */
#define HT_TARGET_MARKS 2

/** IPv4 address and port, both in host byte order. */
struct ht_endpoint {
	uint32_t ip;
	uint16_t port;
};

static inline bool ht_endpoint_equal(struct ht_endpoint a, struct ht_endpoint b)
{
	return a.ip == b.ip && a.port == b.port;
}

/** Address that callers use, and the service behind it. */
struct ht_route_entry {
	struct ht_endpoint at;
	char service[HT_CATALOG_NAME];
	uint32_t priority; /**< 0 is served first */
	bool idempotent;   /**< its requests may run more than once */
};

/** Which configuration: by the operator's version, and of one version by the store's revision. */
struct ht_routes_id {
	uint64_t version;
	struct ht_revision revision; /**< of the object */
};

/** Earlier than every configuration, and later. */
#define HT_ROUTES_NONE ((struct ht_routes_id){0})
#define HT_ROUTES_NEVER                                                                            \
	((struct ht_routes_id){.version = UINT64_MAX, .revision = HT_REVISION_NEVER})

/** Negative, 0 or positive, as @a is earlier than, the same as or later than @b. */
static inline int ht_routes_compare(struct ht_routes_id a, struct ht_routes_id b)
{
	if (a.version != b.version)
		return a.version < b.version ? -1 : 1;
	return ht_revision_compare(a.revision, b.revision);
}

/** A whole configuration, decoded, or what one changes in an earlier one. */
struct ht_route_table {
	struct ht_routes_id id;
	struct ht_revision base; /**< of the configuration that this one differs from; 0: whole */
	size_t count;
	struct ht_route_entry *entries;
	size_t gone_count; /**< addresses of the earlier one that this one no longer has */
	struct ht_endpoint *gone;
};

/** What a target says of itself, decoded. */
struct ht_target_entry {
	char name[HT_CATALOG_NAME];
	uint64_t id; /**< number by which packets name the target; not 0 */
	struct ht_endpoint at;
	char service[HT_CATALOG_NAME];
	char dc[HT_CATALOG_NAME];
	uint32_t slots; /**< requests that it runs at once */
	bool draining;
	ht_ms warmup;	 /**< how much longer it is slow after its start */
	int64_t started; /**< its start by its own wall clock, in ms since 1970; tells lifetimes
			    apart */
	bool restored;	 /**< its entry is the older copy's, and it had left, see ht_target */
	struct ht_revision revision;
};

/** How much is known: the configuration in force, and all changes of targets up to a revision. */
struct ht_view_id {
	struct ht_routes_id routes;
	struct ht_revision targets;
};

struct ht_service {
	struct ht_list node;
	char name[HT_CATALOG_NAME];
	struct ht_target **targets; /**< that may get new flows, as far as the platform says */
	size_t count, capacity;
	uint64_t open;	      /**< sum of their open flows */
	uint64_t local_slots; /**< sum of the slots of those in the own data centre */
	double answer_ms;     /**< smoothed time to an answer over all targets; 0: none seen */
	uint32_t urgent;      /**< lowest priority number among its routes */
	struct ht_histogram answer_time; /**< from a request to its first answer */
};

struct ht_dc {
	struct ht_list node;
	char name[HT_CATALOG_NAME];
	bool local;
	struct ht_evidence evidence;
};

struct ht_mark {
	struct ht_hnode hnode;
	uint32_t value;
	struct ht_target *target;
};

struct ht_target {
	struct ht_hnode by_name;
	struct ht_list node;
	char name[HT_CATALOG_NAME];
	uint64_t id;
	struct ht_endpoint at;
	struct ht_service *service;
	struct ht_dc *dc;
	uint32_t slots;
	bool draining;
	bool listed;	   /**< in service->targets... */
	size_t place;	   /**< ...at this index */
	unsigned int seen; /**< bit of each source whose listing under way has held it */
	ht_ms warm_at;	   /**< when its cold start ends */
	ht_ms gone_at;	   /**< when the platform's entry was found missing, or HT_NEVER */
	ht_ms held_until;  /**< a missing entry is used until then */
	bool restored; /**< gone, while the store has its entry again, from an older copy of itself
			*/
	int64_t started;
	struct ht_revision revision;
	struct ht_mark marks[HT_TARGET_MARKS];
	uint32_t open;	/**< flows with packets lately, of those that this instance has seen */
	uint32_t flows; /**< flows that refer to the target; it is kept for as long as there are any
			 */
	struct ht_evidence evidence;
	uint64_t answers; /**< seen by this instance... */
	ht_ms answers_ms; /**< ...and the sum of their times */
};

/** Counts open flows of @target: @by is 1 or -1. */
static inline void ht_target_count_open(struct ht_target *target, int by)
{
	target->open += (uint32_t)by;
	if (target->listed)
		target->service->open += (uint64_t)(int64_t)by;
}

struct ht_route {
	struct ht_hnode hnode;
	struct ht_endpoint at;
	struct ht_service *service;
	struct ht_service *earlier; /**< the one before the last change in this lifetime, or NULL */
	uint32_t priority;
	bool idempotent;
	/* Configurations are numbered in the order in which they came into force here. */
	uint64_t held;	  /**< the last whole one that holds the route */
	uint64_t changed; /**< the one that gave it its present form */
	struct ht_answers answers;
};

struct ht_catalog;

/** @dc is the instance's own data centre. NULL when out of memory. */
struct ht_catalog *ht_catalog_new(const char *dc);
void ht_catalog_free(struct ht_catalog *cat);

/** Where whole listings of targets come from; two may be under way at a time. */
enum ht_catalog_source {
	HT_CATALOG_STORE,
	HT_CATALOG_NEIGHBOUR,
};

enum ht_catalog_change {
	HT_CATALOG_SAME, /**< nothing that matters for a packet changed */
	HT_CATALOG_CHANGED,
	HT_CATALOG_OLDER, /**< older than what is known: ignored */
	HT_CATALOG_UNFIT, /**< differs from a configuration that is not the one in force: ignored */
	HT_CATALOG_FAILED, /**< out of memory */
};

/** Told of what changes, for logs; either function may be NULL. */
struct ht_catalog_observer {
	/** A configuration came into force. */
	void (*routes)(void *ctx, const struct ht_route_table *table);
	/** A target is new, has changed, or its entry is gone. */
	void (*target)(void *ctx, const struct ht_target *target, ht_ms now);
	void *ctx;
};

void ht_catalog_observe(struct ht_catalog *cat, const struct ht_catalog_observer *observer);

/** Puts a configuration in force. After HT_CATALOG_FAILED the earlier one counts as in force. */
enum ht_catalog_change ht_catalog_set_routes(struct ht_catalog *cat,
					     const struct ht_route_table *table);
/**
 * Number, in the order in which configurations came into force here, of the one of revision @base;
 * 0 when what has changed since cannot be told.
 */
uint64_t ht_catalog_routes_number(const struct ht_catalog *cat, struct ht_revision base);
/** The configuration in force, or HT_ROUTES_NONE. */
struct ht_routes_id ht_catalog_routes(const struct ht_catalog *cat);

/**
 * The store has come back from an older copy: era @era has begun. Until then everything was known
 * up to revision number @known of the era before; 0 when nothing was. What an earlier era tells of
 * targets is HT_CATALOG_OLDER from now on.
 */
void ht_catalog_begin_era(struct ht_catalog *cat, uint64_t era, uint64_t known, ht_ms now);
/**
 * The store was at revision @at soon after the era began: what is later has been written in this
 * era, and what is not may be the copy's. Of several, the earliest counts.
 */
void ht_catalog_era_at(struct ht_catalog *cat, struct ht_revision at);
uint64_t ht_catalog_era(const struct ht_catalog *cat);
/** Number of the era's earliest revision that is known, or 0. */
uint64_t ht_catalog_era_begun(const struct ht_catalog *cat);
/** Targets that had left, and whose entries an older copy of the store has brought back. */
size_t ht_catalog_restored(const struct ht_catalog *cat);
/**
 * A read at @proven_at has confirmed the entries. The store drops those of targets that are silent
 * for @lapse: if the era is older than that, restored ones that are still there are of live
 * targets, which are used again. Returns how many.
 */
size_t ht_catalog_trust_restored(struct ht_catalog *cat, ht_ms proven_at, ht_ms lapse, ht_ms now);

/** Adds a target or updates it. */
enum ht_catalog_change ht_catalog_put_target(struct ht_catalog *cat,
					     const struct ht_target_entry *entry,
					     enum ht_catalog_source source, ht_ms now);
/**
 * The entry of target @name is gone as of @revision. New flows may use the target until
 * @held_until; packets of its flows go on to it until the entry is purged.
 */
enum ht_catalog_change ht_catalog_remove_target(struct ht_catalog *cat, const char *name,
						struct ht_revision revision, ht_ms now,
						ht_ms held_until);

/** A listing of all targets begins; each ht_catalog_put_target() from @source is part of it. */
void ht_catalog_begin_listing(struct ht_catalog *cat, enum ht_catalog_source source);
/** An entry of the listing that names no usable target, but that is there. */
void ht_catalog_skip_target(struct ht_catalog *cat, const char *name,
			    enum ht_catalog_source source);
/** Removes what a whole listing as of @revision did not hold; returns how many. */
size_t ht_catalog_end_listing(struct ht_catalog *cat, enum ht_catalog_source source,
			      struct ht_revision revision, ht_ms now, ht_ms held_until);

/**
 * Revision from which on every change is known here, deletions included: what changed after a later
 * revision can be told as a difference. HT_REVISION_NEVER before the first whole listing.
 */
struct ht_revision ht_catalog_history(const struct ht_catalog *cat);

/** Ends holds that are due, and forgets targets that have been gone for @keep. */
void ht_catalog_expire(struct ht_catalog *cat, ht_ms now, ht_ms keep);

/** NULL when the configuration in force has no such route. */
struct ht_route *ht_catalog_route(const struct ht_catalog *cat, struct ht_endpoint at);
/** Target whose flows carry @mark, or NULL. Of two, the one that started first. */
struct ht_target *ht_catalog_by_mark(const struct ht_catalog *cat, uint32_t mark);
struct ht_target *ht_catalog_by_name(const struct ht_catalog *cat, const char *name);
/** Mark for a new flow to @target that no other known target shares, or 0 when there is none. */
uint32_t ht_catalog_mark(const struct ht_catalog *cat, const struct ht_target *target);
size_t ht_catalog_target_count(const struct ht_catalog *cat);

/** Calls @visit for each known target, also for those that are gone and not yet purged. */
void ht_catalog_each_target(struct ht_catalog *cat,
			    void (*visit)(void *ctx, struct ht_target *target), void *ctx);
/** Calls @visit for each route of the configuration in force. */
void ht_catalog_each_route(const struct ht_catalog *cat,
			   void (*visit)(void *ctx, const struct ht_route *route), void *ctx);
/** Calls @visit for each address that was a route of configuration @number and no longer is. */
void ht_catalog_each_route_gone(const struct ht_catalog *cat, uint64_t number,
				void (*visit)(void *ctx, struct ht_endpoint at), void *ctx);
size_t ht_catalog_route_count(const struct ht_catalog *cat);
void ht_catalog_each_service(const struct ht_catalog *cat,
			     void (*visit)(void *ctx, const struct ht_service *service), void *ctx);

#endif
