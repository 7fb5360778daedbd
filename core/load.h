/*
 * How loaded each service is: demand and occupancy as seen by this instance, and the sums over all
 * instances that a collector of each data centre makes of their reports. All of it is soft state
 * that ages out. Names are represented by ht_load_key(). Rates are per second.
 */
#ifndef HT_CORE_LOAD_H
#define HT_CORE_LOAD_H

#include "base/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HT_LOAD_SERVICES_MAX 8 /**< services in a report; those with the most demand */
#define HT_LOAD_DCS_MAX 8      /**< data centres in a view, and of the targets in a report */
#define HT_LOAD_CLASSES_MAX 6  /**< classes of a service; those with the most demand */
#define HT_LOAD_TARGETS_MAX 16 /**< most loaded targets in a report or sum */

/** What the routes of a class have in common. */
struct ht_load_terms {
	uint32_t priority; /**< 0 is the highest */
	ht_ms aim;	   /**< response time that callers should see; 0: not specified */
	ht_ms limit;	   /**< time after which callers give up; 0: not specified */
};

static inline bool ht_load_terms_equal(const struct ht_load_terms *a, const struct ht_load_terms *b)
{
	return a->priority == b->priority && a->aim == b->aim && a->limit == b->limit;
}

/** Demand for a class of a service at the instances of one data centre. */
struct ht_load_demand {
	struct ht_load_terms terms;
	double opening;	  /**< new flows requested: first copies of opening packets */
	double refused;	  /**< of these, refused */
	double continued; /**< requests on flows that were already open */
	double work_ms;	  /**< response time of the fastest requests; 0: unknown */
};

/** Targets of a service in data centre @dc, as seen by the instances of the reporting one. */
struct ht_load_place {
	uint32_t dc;
	double open;	  /**< requests in flight */
	double answered;  /**< responses, errors included */
	double shed;	  /**< responses that look like errors */
	double continued; /**< requests on flows that were already open */
};

struct ht_load_service {
	uint32_t service;
	size_t class_count, place_count;
	struct ht_load_demand classes[HT_LOAD_CLASSES_MAX];
	struct ht_load_place places[HT_LOAD_DCS_MAX];
};

struct ht_load_target {
	uint32_t mark;	/**< the first of the target's marks */
	uint32_t open;	/**< requests in flight */
	uint32_t flows; /**< flows, idle ones included */
};

/** What the instances of one data centre see; a report is the same of a single instance. */
struct ht_load_sum {
	uint32_t dc;
	uint32_t instances; /**< live ones that the figures stand for */
	ht_ms age;	    /**< of the oldest part */
	size_t service_count, target_count;
	struct ht_load_service services[HT_LOAD_SERVICES_MAX];
	struct ht_load_target targets[HT_LOAD_TARGETS_MAX];
};

struct ht_load_view {
	size_t count;
	struct ht_load_sum dcs[HT_LOAD_DCS_MAX];
};

enum ht_load_source {
	HT_LOAD_OWN,	/**< estimated from what this instance sees alone */
	HT_LOAD_SHARED, /**< from a view that is recent enough */
	HT_LOAD_SOURCES
};

/** A data centre in the state of a service: its targets, and the demand at its instances. */
struct ht_load_dc {
	uint32_t dc;
	double open, answered, shed, continued; /**< over all reporting data centres */
	double opening[HT_LOAD_CLASSES_MAX], refused[HT_LOAD_CLASSES_MAX];
};

/** State of one service in all data centres. */
struct ht_load_state {
	enum ht_load_source source;
	ht_ms age; /**< of the oldest part */
	size_t dc_count, class_count;
	struct ht_load_dc dcs[HT_LOAD_DCS_MAX];
	struct ht_load_terms classes[HT_LOAD_CLASSES_MAX];
	double continued[HT_LOAD_CLASSES_MAX]; /**< by class, at all instances */
	double work_ms[HT_LOAD_CLASSES_MAX]; /**< response time of the fastest requests; 0: unknown
					      */
};

/** Name for logs and metrics. */
static inline const char *ht_load_source_name(enum ht_load_source source)
{
	return source == HT_LOAD_SHARED ? "shared" : "own";
}

struct ht_load_params {
	uint32_t dc;	       /**< key of the own data centre */
	ht_ms report_valid;    /**< a member's report counts for this long at a collector */
	ht_ms sum_valid;       /**< the same for the sum of another data centre */
	ht_ms view_valid;      /**< the same for a view at an instance */
	ht_ms smoothing;       /**< time constant of the own estimate */
	double outlier_factor; /**< a figure counts at most as this multiple of the expected one...
				*/
	double outlier_slack;  /**< ...plus this */
};

void ht_load_params_default(struct ht_load_params *params);

/** Key of the name of a service or data centre: its ht_hash_str() truncated to 32 bits. */
uint32_t ht_load_key(const char *name);

struct ht_load;

/** Returns NULL when out of memory. */
struct ht_load *ht_load_new(const struct ht_load_params *params);
void ht_load_free(struct ht_load *load);

/** Counts the first copy of an opening packet. */
void ht_load_count_opening(struct ht_load *load, uint32_t service,
			   const struct ht_load_terms *terms, bool refused);
/** Counts a request on a flow that was already open to a target in data centre @dc. */
void ht_load_count_continued(struct ht_load *load, uint32_t service, uint32_t dc,
			     const struct ht_load_terms *terms);
/** Counts a response @took after its request. @error: it looks like an error. */
void ht_load_count_answer(struct ht_load *load, uint32_t service, uint32_t dc,
			  const struct ht_load_terms *terms, ht_ms took, bool error);
/** Number of times that a service, class or data centre had no room in a table, report or sum. */
uint64_t ht_load_left_out(const struct ht_load *load);

/** Begins the report of the time since the last one; ht_load_add_target() adds the targets. */
void ht_load_begin_report(struct ht_load *load);
/** Adds the requests in flight and flows that this instance sees at a target. */
void ht_load_add_target(struct ht_load *load, uint32_t service, uint32_t dc,
			const struct ht_load_target *target);
/**
 * Ends the report, fills @out and clears the counters. It is also part of the own sum. The first
 * report has no rates, as its period is unknown.
 */
void ht_load_end_report(struct ht_load *load, struct ht_load_sum *out, ht_ms now);

/** At a collector: the report of the member @instance (hash of its name) has arrived. */
void ht_load_put_report(struct ht_load *load, uint64_t instance, const struct ht_load_sum *report,
			ht_ms now);
/** Number of members whose reports count now, without this instance. */
size_t ht_load_member_count(const struct ht_load *load, ht_ms now);
/** Sums the reports of the members and the own one, scaled to @alive live instances. */
void ht_load_sum_members(const struct ht_load *load, size_t alive, struct ht_load_sum *out,
			 ht_ms now);
/** At a collector: the sum of another data centre has arrived. */
void ht_load_put_dc(struct ht_load *load, const struct ht_load_sum *sum, ht_ms now);
/** Makes the view for the members of the sums of all data centres. */
void ht_load_make_view(const struct ht_load *load, size_t alive, struct ht_load_view *out,
		       ht_ms now);

/** A view has arrived from a collector, or was made here. */
void ht_load_set_view(struct ht_load *load, const struct ht_load_view *view, ht_ms now);
/** Time since the view in force arrived, or HT_NEVER if there is none. */
ht_ms ht_load_view_age(const struct ht_load *load, ht_ms now);
/**
 * Fills @out with the state of @service: of the view if that is recent enough and lists it,
 * otherwise of the own smoothed counts times @alive, the number of live instances of the own data
 * centre. An unknown service has no data centres, and without any report the age is HT_NEVER.
 */
void ht_load_get(const struct ht_load *load, uint32_t service, size_t alive,
		 struct ht_load_state *out, ht_ms now);
/**
 * Requests in flight and flows from all instances at the target with @mark; false if no recent view
 * lists it among the most loaded.
 */
bool ht_load_target(const struct ht_load *load, uint32_t mark, struct ht_load_target *out,
		    ht_ms now);
/** Calls @visit for each target that a recent view lists. */
void ht_load_each_target(const struct ht_load *load,
			 void (*visit)(void *ctx, const struct ht_load_target *target), void *ctx,
			 ht_ms now);

#endif
