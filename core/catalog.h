/*
 * Routes and targets as last read from the platform. Every object keeps the revision of its last
 * change, and updates with an older revision are ignored, so answers may arrive in any order. This
 * also holds when the store is restored from an older backup (base/revision.h): the highest version
 * of the configuration stays in force, and a target that had been removed is not used again until
 * it has written a new entry.
 */
#ifndef HT_CORE_CATALOG_H
#define HT_CORE_CATALOG_H

#include "base/clock.h"
#include "base/histogram.h"
#include "base/hmap.h"
#include "base/list.h"
#include "base/revision.h"
#include "core/admission.h"
#include "core/answers.h"
#include "core/evidence.h"
#include "core/warmup.h"

#include <stddef.h>
#include <stdint.h>

/** Marks per target: a flow uses the second if the first collides with another target's mark. */
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

/*
 * Names of services, data centres and targets are of any length. The entries below borrow them from
 * the message that they were decoded from; the catalogue copies what it keeps.
 */

/** A service of a route that splits its new flows. */
struct ht_share_entry {
	const char *service;
	uint32_t weight; /**< relative to the other services of the route; 0: no new flows */
};

/** What the configuration says of a service; services without such a limit are not listed. */
struct ht_service_entry {
	const char *name;
	uint32_t warmup_rate; /**< requests that a cold target bears, in thousandths per second */
	ht_ms warmup;	      /**< time for which a target is cold */
	uint32_t flows_max;   /**< that a target holds, idle ones included; 0: not stated */
	bool unreadable;      /**< the limit of cold targets is not known; it stays as it was */
};

/** Address that callers use, and the services that it maps to. */
struct ht_route_entry {
	struct ht_endpoint at;
	const char *service; /**< gets all new flows, unless share_count is set */
	size_t first_share;  /**< index in ht_route_table.shares */
	size_t share_count;
	uint32_t priority; /**< 0 is the highest */
	uint32_t aim_ms;   /**< response time that callers should see; 0: not stated */
	uint32_t limit_ms; /**< after which callers give up; 0: not stated */
	bool idempotent;   /**< requests may be executed more than once */
	bool unreadable;   /**< only the address is known; the route keeps its former meaning */
};

/** Identifies a configuration: ordered by the operator's version, then by the store's revision. */
struct ht_routes_id {
	uint64_t version;
	struct ht_revision revision; /**< of the configuration object in the store */
};

/** Sorts before every configuration, and after every one. */
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

/** A decoded configuration, either complete or as a difference to an earlier one. */
struct ht_route_table {
	struct ht_routes_id id;
	struct ht_revision base; /**< that the difference applies to; number 0: complete */
	bool verified;		 /**< read at HT_READING_LEVEL, see core/reading.h */
	size_t count;
	struct ht_route_entry *entries;
	size_t share_count;
	struct ht_share_entry *shares;
	size_t service_count; /**< all services with a limit, also in a difference */
	struct ht_service_entry *services;
	bool services_unknown; /**< nothing is said of services; they keep their limits */
	/** Some routes could not be read and are not in @entries: a route that is missing here is
	 * not known to be removed. */
	bool incomplete;
	size_t gone_count; /**< routes of the base that are removed */
	struct ht_endpoint *gone;
};

/** Decoded entry of a target in the store. */
struct ht_target_entry {
	const char *name;
	uint64_t id; /**< identifies the target in packets; not 0 */
	struct ht_endpoint at;
	const char *service;
	const char *dc;
	uint32_t slots; /**< requests that it can run concurrently */
	bool draining;
	ht_ms warmup;	 /**< remaining time of its slow phase after the start */
	int64_t started; /**< start by its own wall clock, in ms since 1970; distinguishes
			    restarts */
	bool restored;	 /**< a removed target's entry from an older backup, see ht_target */
	struct ht_revision revision;
};

/** State of a view: the configuration in force, and the revision of the targets. */
struct ht_view_id {
	struct ht_routes_id routes;
	struct ht_revision targets;
	struct ht_revision evacuations;
};

/** How an opening packet was not forwarded because others go first. */
enum ht_turned_away {
	HT_TURNED_AWAY_REFUSED,	 /**< by the plan: reset */
	HT_TURNED_AWAY_DELAYED,	 /**< by the plan: dropped, a later copy may be forwarded */
	HT_TURNED_AWAY_DEFERRED, /**< without a plan, by this instance's open flows: dropped */
	HT_TURNED_AWAY_KINDS
};

/* Priorities of a service that are counted separately; further ones are counted together. */
#define HT_TURNED_AWAY_PRIORITIES 8

struct ht_turned_away_count {
	uint32_t priority;
	uint64_t packets[HT_TURNED_AWAY_KINDS];
};

/** What the plan of a service is based on, and the plan that the observer was last notified of. */
struct ht_plan_basis {
	struct ht_admission_input load;
	ht_ms load_age; /**< of the oldest part when the plan was made; HT_NEVER: no report yet */
	ht_ms made_at;	/**< 0: no plan has been made */
	struct ht_admission_plan notified;
	enum ht_load_source notified_source;
	ht_ms notified_at;
};

/** Age of the oldest part of the load at @now, or HT_NEVER. */
static inline ht_ms ht_plan_basis_age(const struct ht_plan_basis *basis, ht_ms now)
{
	return basis->load_age == HT_NEVER ? HT_NEVER : basis->load_age + now - basis->made_at;
}

struct ht_service {
	struct ht_list node;
	char *name;
	uint32_t key;		    /**< ht_load_key() of the name */
	struct ht_target **targets; /**< that the platform allows to get new flows */
	size_t count, capacity;
	uint64_t open;	       /**< sum of the open flows of @targets */
	uint64_t local_slots;  /**< sum of the slots of @targets in the own data centre */
	double answer_ms;      /**< smoothed time to an answer over all targets; 0: no answer yet */
	uint32_t top_priority; /**< lowest priority number (served first) of its routes */
	size_t route_count;    /**< routes that send it new flows */
	struct ht_load_terms terms;    /**< of one of them */
	bool has_classes;	       /**< others differ from it in priority, aim or limit */
	struct ht_admission_plan plan; /**< of the steering */
	uint32_t flows_max;	       /**< that a target holds; 0: not stated */
	uint32_t warmup_rate; /**< that a cold target bears, see ht_service_entry; 0: no limit */
	ht_ms warmup;	      /**< time for which its targets are cold */
	struct ht_histogram answer_time; /**< from a request to its first answer */
	struct ht_plan_basis basis;
	/** By priority; the last element is for all priorities beyond. */
	struct ht_turned_away_count turned_away[HT_TURNED_AWAY_PRIORITIES + 1];
	size_t turned_away_count; /**< elements in use, without the last one */
};

/** Counts an opening packet of a route of @priority to @service. */
void ht_service_count_turned_away(struct ht_service *service, uint32_t priority,
				  enum ht_turned_away kind);

struct ht_dc {
	struct ht_list node;
	char *name;
	uint32_t key; /**< ht_load_key() of the name */
	bool local;
	bool evacuated;		  /**< its targets get no new flows */
	bool evacuation_listed;	  /* by the current listing */
	bool evacuation_restored; /* taken back, but a backup of the store has it again */
	struct ht_revision evacuation_revision; /**< of the last change; 0: never evacuated */
	size_t eligible;			/**< targets that may get new flows */
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
	char *name;
	uint64_t id;
	struct ht_endpoint at;
	struct ht_service *service;
	struct ht_dc *dc;
	uint32_t slots;
	bool draining;
	bool eligible;		      /**< may get new flows: is in service->targets... */
	size_t service_index;	      /**< ...at this index */
	unsigned int listing_sources; /**< bit per source whose current listing has it */
	ht_ms warmup_ends_at;	      /**< end of the slow phase after its start */
	ht_ms gone_at;		      /**< when its entry was found missing, or HT_NEVER */
	ht_ms held_until;	      /**< with a missing entry it gets new flows until then */
	bool restored; /**< removed, but a store restored from an older backup has its entry */
	int64_t started;
	struct ht_revision revision;
	struct ht_mark marks[HT_TARGET_MARKS];
	uint32_t open;	  /**< recently active flows seen by this instance */
	uint32_t waiting; /**< of these, waiting for the target */
	uint32_t flows;	  /**< flows that refer to the target, which is not freed before they end */
	struct ht_evidence evidence;
	uint32_t refusals;		    /**< in a row, see ht_answer_is_refusal() */
	uint64_t answers;		    /**< seen by this instance... */
	ht_ms answers_ms;		    /**< ...and the sum of their times */
	struct ht_warmup *flows_while_cold; /**< NULL if there have been none under a limit */
};

/** True if a plan limits the new flows of @service. One that has no classes any more does not. */
static inline bool ht_service_is_short(const struct ht_service *service)
{
	return service->has_classes && service->plan.short_of_room;
}

/** Adds @by, 1 or -1, to the number of open flows of @target. */
static inline void ht_target_count_open(struct ht_target *target, int by)
{
	target->open += (uint32_t)by;
	if (target->eligible)
		target->service->open += (uint64_t)(int64_t)by;
}

/**
 * The target may be cold without its entry saying so yet. Matters only for services that limit the
 * flows of cold targets.
 */
static inline void ht_target_assume_cold(struct ht_target *target, ht_ms now)
{
	if (target->service->warmup_rate && target->warmup_ends_at < now + target->service->warmup)
		target->warmup_ends_at = now + target->service->warmup;
}

/** A service that gets, or formerly got, new flows of a route. */
struct ht_share {
	struct ht_service *service;
	uint32_t weight;
};

struct ht_route {
	struct ht_hnode hnode;
	struct ht_endpoint at;
	/**
	 * Services of the configuration in force, then former ones, whose flows may still be open.
	 * None at all if the route could not be read and had no former meaning.
	 */
	struct ht_share *shares;
	size_t share_count;   /**< of the configuration in force */
	size_t service_count; /**< former ones included */
	struct ht_load_terms terms;
	bool idempotent;
	/* Configurations are numbered in the order in which this instance applied them. */
	uint64_t last_config;	 /**< last configuration that set the route */
	uint64_t changed_config; /**< last configuration that added or changed it */
	struct ht_answer_stats answers;
};

struct ht_catalog;

/** @dc is the instance's own data centre. NULL when out of memory. */
struct ht_catalog *ht_catalog_new(const char *dc);
void ht_catalog_free(struct ht_catalog *cat);

/** Source of a complete listing of targets; both may be in progress at the same time. */
enum ht_catalog_source {
	HT_CATALOG_STORE,
	HT_CATALOG_NEIGHBOUR,
};

enum ht_catalog_change {
	HT_CATALOG_SAME, /**< no change that affects the handling of packets */
	HT_CATALOG_CHANGED,
	HT_CATALOG_OLDER,	  /**< ignored: older than the known state */
	HT_CATALOG_BASE_MISMATCH, /**< ignored: not based on the one in force */
	HT_CATALOG_FAILED,	  /**< out of memory */
};

/** Callbacks for changes, used for logging; each may be NULL. */
struct ht_catalog_observer {
	/** A configuration came into force. */
	void (*routes)(void *ctx, const struct ht_route_table *table);
	/** A target was added or changed, or its entry is missing. */
	void (*target)(void *ctx, const struct ht_target *target, ht_ms now);
	/** The evacuation of a data centre has begun or ended. */
	void (*evacuation)(void *ctx, const struct ht_dc *dc, ht_ms now);
	void *ctx;
};

void ht_catalog_observe(struct ht_catalog *cat, const struct ht_catalog_observer *observer);

/**
 * Applies a configuration. A verified one replaces the same one if that was not verified. On
 * HT_CATALOG_FAILED the previous one is still reported as in force.
 */
enum ht_catalog_change ht_catalog_set_routes(struct ht_catalog *cat,
					     const struct ht_route_table *table);
/**
 * Sequence number of the configuration with revision @base among those applied by this instance; 0
 * if the changes since then are no longer known.
 */
uint64_t ht_catalog_routes_number(const struct ht_catalog *cat, struct ht_revision base);
/** The configuration in force, or HT_ROUTES_NONE. */
struct ht_routes_id ht_catalog_routes(const struct ht_catalog *cat);

/**
 * The store was restored from an older backup, which begins era @era. @known is the revision number
 * up to which the previous era was known completely, or 0. From now on, updates of targets from an
 * earlier era return HT_CATALOG_OLDER.
 */
void ht_catalog_begin_era(struct ht_catalog *cat, uint64_t era, uint64_t known, ht_ms now);
/**
 * The store was at revision @at soon after the era began: later revisions were written in this era,
 * others may come from the backup. If called several times, the earliest revision counts.
 */
void ht_catalog_note_era_revision(struct ht_catalog *cat, struct ht_revision at);
uint64_t ht_catalog_era(const struct ht_catalog *cat);
/** Number of the earliest known revision of the era, or 0. */
uint64_t ht_catalog_era_start(const struct ht_catalog *cat);
/** Number of removed targets whose entries a restored store contains again. */
size_t ht_catalog_restored(const struct ht_catalog *cat);
/**
 * The entries were proven by an exact read at @proven_at. The store deletes entries that their
 * targets do not renew for @lapse: if the era is older than that, restored entries that are still
 * there belong to live targets, which may get new flows again. Returns their number.
 */
size_t ht_catalog_readmit_restored(struct ht_catalog *cat, ht_ms proven_at, ht_ms lapse, ht_ms now);

/** The evacuation of data centre @dc has been requested or taken back, as of @revision. */
enum ht_catalog_change ht_catalog_put_evacuation(struct ht_catalog *cat, const char *dc,
						 bool evacuated, struct ht_revision revision,
						 ht_ms now);
/** Begins a listing of all evacuations, made of the following ht_catalog_put_evacuation(). */
void ht_catalog_begin_evacuations(struct ht_catalog *cat);
/**
 * Ends evacuations that a complete listing as of @revision lacks. Those known from an earlier era
 * continue: the operators may have to write them again.
 */
void ht_catalog_end_evacuations(struct ht_catalog *cat, struct ht_revision revision, ht_ms now);
/** A neighbour, whose evacuations are known here now, knows of a change of them at @revision. */
void ht_catalog_note_evacuations(struct ht_catalog *cat, struct ht_revision revision);
/** Revision of the latest change of the evacuations; its number is 0 if there was none. */
struct ht_revision ht_catalog_evacuations(const struct ht_catalog *cat);
/** True if the own data centre is evacuated and another one has targets for new flows. */
bool ht_catalog_is_evacuated(const struct ht_catalog *cat);
/** True if data centre @dc has targets for new flows. */
bool ht_catalog_dc_eligible(const struct ht_catalog *cat, const char *dc);
/**
 * True if there are targets for new flows, but none in the own data centre, and no data centre that
 * has some has answered the last packets sent there.
 */
bool ht_catalog_is_stranded(const struct ht_catalog *cat, ht_ms now);
/** Calls @visit for each evacuated data centre. */
void ht_catalog_each_evacuated(const struct ht_catalog *cat,
			       void (*visit)(void *ctx, const struct ht_dc *dc), void *ctx);

/** Adds or updates a target. */
enum ht_catalog_change ht_catalog_put_target(struct ht_catalog *cat,
					     const struct ht_target_entry *entry,
					     enum ht_catalog_source source, ht_ms now);
/**
 * The entry of target @name is missing as of @revision. The target gets new flows until
 * @held_until, and packets of its flows until ht_catalog_expire() removes it.
 */
enum ht_catalog_change ht_catalog_remove_target(struct ht_catalog *cat, const char *name,
						struct ht_revision revision, ht_ms now,
						ht_ms held_until);

/** Begins a listing of all targets, made of the following ht_catalog_put_target() of @source. */
void ht_catalog_begin_listing(struct ht_catalog *cat, enum ht_catalog_source source);
/** The listing contains target @name, but with an entry that cannot be used. */
void ht_catalog_mark_present(struct ht_catalog *cat, const char *name,
			     enum ht_catalog_source source);
/** Removes targets that a complete listing as of @revision lacks; returns their number. */
size_t ht_catalog_end_listing(struct ht_catalog *cat, enum ht_catalog_source source,
			      struct ht_revision revision, ht_ms now, ht_ms held_until);

/**
 * Revision since which every change is known, deletions included: differences can be computed from
 * this revision on. HT_REVISION_NEVER before the first complete listing.
 */
struct ht_revision ht_catalog_history_start(const struct ht_catalog *cat);

/** Ends the use of missing targets at held_until; frees targets missing for @keep. */
void ht_catalog_expire(struct ht_catalog *cat, ht_ms now, ht_ms keep);

/** NULL if the configuration in force has no such route. */
struct ht_route *ht_catalog_route(const struct ht_catalog *cat, struct ht_endpoint at);
/** Target with @mark, or NULL; if two share it, the one that started first. */
struct ht_target *ht_catalog_by_mark(const struct ht_catalog *cat, uint32_t mark);
struct ht_target *ht_catalog_by_name(const struct ht_catalog *cat, const char *name);
/** Mark of @target that no other known target has, for a new flow; 0 if there is none. */
uint32_t ht_catalog_unique_mark(const struct ht_catalog *cat, const struct ht_target *target);
size_t ht_catalog_target_count(const struct ht_catalog *cat);

/** Calls @visit for each known target, missing ones included. */
void ht_catalog_each_target(struct ht_catalog *cat,
			    void (*visit)(void *ctx, struct ht_target *target), void *ctx);
/** Calls @visit for each route of the configuration in force. */
void ht_catalog_each_route(const struct ht_catalog *cat,
			   void (*visit)(void *ctx, const struct ht_route *route), void *ctx);
/** Calls @visit for each route that was removed after configuration @number. */
void ht_catalog_each_route_gone(const struct ht_catalog *cat, uint64_t number,
				void (*visit)(void *ctx, struct ht_endpoint at), void *ctx);
size_t ht_catalog_route_count(const struct ht_catalog *cat);
/** True if a service limits the flows of its cold targets. */
bool ht_catalog_limits_cold(const struct ht_catalog *cat);
/** True if the configuration in force may have routes that are not known here. */
bool ht_catalog_routes_incomplete(const struct ht_catalog *cat);
void ht_catalog_each_service(const struct ht_catalog *cat,
			     void (*visit)(void *ctx, const struct ht_service *service), void *ctx);
/** Name of the data centre with the key @key, or NULL if no target is known there. */
const char *ht_catalog_dc_name(const struct ht_catalog *cat, uint32_t key);
/**
 * Calls @visit, which may change the plan, for each service whose routes differ in their terms, and
 * for those that still have a plan from when they did.
 */
void ht_catalog_each_planned_service(struct ht_catalog *cat,
				     void (*visit)(void *ctx, struct ht_service *service),
				     void *ctx);

#endif
