/* Shared by load.c (counters and report), load_members.c (collector) and load_view.c (view). */
#ifndef HT_CORE_LOAD_INTERNAL_H
#define HT_CORE_LOAD_INTERNAL_H

#include "base/list.h"
#include "core/load.h"

/** Members whose last report a collector keeps; as many as the list of neighbours holds. */
#define HT_LOAD_MEMBERS_MAX 1024

/** Services counted here. Each has its place in a window of slots that starts at its key. */
#define HT_LOAD_SLOTS 64
#define HT_LOAD_WINDOW 8
#define HT_LOAD_TABLE (HT_LOAD_SLOTS + HT_LOAD_WINDOW - 1)

/** Classes and data centres counted per service, twice as many as fit a report. */
#define HT_LOAD_CLASS_SLOTS (2 * HT_LOAD_CLASSES_MAX)
#define HT_LOAD_PLACE_SLOTS (2 * HT_LOAD_DCS_MAX)

/** Different services, classes and data centres that a sum considers. */
#define HT_LOAD_SUM_SERVICES 64
#define HT_LOAD_SUM_CLASSES 32
#define HT_LOAD_SUM_PLACES 32

/** One figure of this instance. */
struct ht_load_figure {
	uint32_t count;	 /* since the last report */
	double reported; /* in the last report */
	double smooth;	 /* own estimate */
};

struct ht_load_class_counts {
	struct ht_load_terms terms;
	struct ht_load_figure opening, refused, continued;
	double low_ms; /* low estimate of the response time; 0: unknown */
};

struct ht_load_place_counts {
	uint32_t dc;
	struct ht_load_figure open, answered, shed, continued;
};

/** Counters of a service. A slot without credits is free. */
struct ht_load_counts {
	uint32_t class_hand, place_hand; /* the next slot to lose a credit */
	uint32_t class_credits[HT_LOAD_CLASS_SLOTS], place_credits[HT_LOAD_PLACE_SLOTS];
	struct ht_load_class_counts classes[HT_LOAD_CLASS_SLOTS];
	struct ht_load_place_counts places[HT_LOAD_PLACE_SLOTS];
};

/** The targets with the most requests in flight and those with the most flows, largest first. */
struct ht_load_top {
	size_t open_count, flows_count;
	struct ht_load_target by_open[HT_LOAD_TARGETS_MAX], by_flows[HT_LOAD_TARGETS_MAX];
};

struct ht_load_member {
	struct ht_list node; /* in order of arrival */
	uint64_t instance;
	ht_ms at;
	struct ht_load_sum report;
};

/** Buffers of ht_load_sum_members(), too large for the stack. */
struct ht_load_scratch {
	uint64_t left_out;
	size_t count; /* of reports */
	bool own;     /* the first report is the own one */
	const struct ht_load_sum *reports[HT_LOAD_MEMBERS_MAX + 1];
	const struct ht_load_service *services[HT_LOAD_MEMBERS_MAX + 1];
	const void *parts[HT_LOAD_MEMBERS_MAX + 1]; /* classes or places of a service */
	double values[HT_LOAD_MEMBERS_MAX + 1], sorted[HT_LOAD_MEMBERS_MAX + 1];
	struct ht_load_service sums[HT_LOAD_SUM_SERVICES];
	struct ht_load_target targets[(HT_LOAD_MEMBERS_MAX + 1) * HT_LOAD_TARGETS_MAX];
};

struct ht_load {
	struct ht_load_params params;
	uint64_t left_out;
	uint32_t keys[HT_LOAD_TABLE], credits[HT_LOAD_TABLE];
	uint32_t hands[HT_LOAD_SLOTS]; /* by window: the next slot to lose a credit */
	struct ht_load_counts counts[HT_LOAD_TABLE];
	struct ht_load_top top;
	double weight;		/* of all observed time in the own estimate, up to 1 */
	struct ht_load_sum own; /* the last own report... */
	ht_ms own_at;		/* ...and its time, or HT_NEVER */
	ht_ms counted_at;	/* the counters were cleared, or HT_NEVER */
	struct ht_list members;
	size_t member_count; /* expired ones included */
	size_t dc_count;
	struct ht_load_sum dcs[HT_LOAD_DCS_MAX - 1];
	ht_ms dc_at[HT_LOAD_DCS_MAX - 1];
	struct ht_load_view view;
	ht_ms view_at; /* or HT_NEVER */
	size_t listed_count;
	struct ht_load_target listed[HT_LOAD_DCS_MAX * HT_LOAD_TARGETS_MAX]; /* by mark */
	struct ht_load_scratch *scratch;
};

/** Returns true if something that arrived @at counts for @valid. */
static inline bool ht_load_recent(ht_ms at, ht_ms valid, ht_ms now)
{
	return at != HT_NEVER && now - at < valid;
}

/** Figure at offset @at of a class or place. */
static inline double ht_load_field(const void *part, size_t at)
{
	return *(const double *)((const char *)part + at);
}

/** Requests per second that decide which services, classes and data centres are kept. */
double ht_load_service_demand(const struct ht_load_service *service);
double ht_load_place_demand(const struct ht_load_place *place);

/** Fills @chosen with the indices of the @max largest of @scores above 0; returns their number. */
size_t ht_load_choose(const double *scores, size_t count, size_t max, size_t *chosen);

/** Limits the counts and figures of a message to what is possible. */
void ht_load_clean(struct ht_load_sum *sum);

/* Look-ups; NULL if there is none, also without a @service. */
const struct ht_load_service *ht_load_find(const struct ht_load_sum *sum, uint32_t service);
const struct ht_load_demand *ht_load_find_class(const struct ht_load_service *service,
						const struct ht_load_terms *terms);
const struct ht_load_place *ht_load_find_place(const struct ht_load_service *service, uint32_t dc);

/** Fills @out with the own smoothed figures of a service; false if there are none. */
bool ht_load_own_estimate(const struct ht_load *load, uint32_t service, double times,
			  struct ht_load_service *out);

void ht_load_top_add(struct ht_load_top *top, const struct ht_load_target *target);
/** Takes from both lists by turns. Returns the number of targets. */
size_t ht_load_top_take(const struct ht_load_top *top, struct ht_load_target *out);

#endif
