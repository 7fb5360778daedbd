/* Says what would be decided about a new flow, and why, by the code that decides. */
#ifndef HT_CORE_EXPLAIN_H
#define HT_CORE_EXPLAIN_H

#include "core/placing.h"
#include "core/steering.h"

/** Candidates shown, the best ones first. */
#define HT_EXPLAIN_CANDIDATES_MAX 8

/** A target that was examined. */
struct ht_explained_target {
	struct ht_placing_candidate candidate;
	bool listed; /**< among the most loaded targets of the view */
	struct ht_load_target load;
};

/**
 * Decision on the first copy of the opening packet of a new flow. Pointers are borrowed and valid
 * until the catalogue changes.
 */
struct ht_steering_explanation {
	const struct ht_target *replaced; /**< of a flow with the same addresses that it ends */
	const struct ht_route *route;	  /**< NULL if the configuration has none */
	const struct ht_service *service; /**< picked by the split; NULL if there is none */
	bool planned;	/**< the target is chosen by the plan of the service, not by cost alone */
	bool has_class; /**< the plan has classes; @admit and @delay apply while room is short */
	double admit;	/**< share of the class that is admitted */
	bool delay;	/**< the rest is delayed, not refused */
	bool has_load;	/**< loads are collected; @source and @load_age are set */
	enum ht_load_source source;
	ht_ms load_age; /**< HT_NEVER: no report yet */
	/** If it is forwarded, the target is the one that the next new flow gets if nothing changes
	 * before. The choice includes random numbers, so that the next one may get another one. */
	struct ht_steering_decision decision;
	bool incomplete;	/**< out of memory: the decision and the candidates are not known */
	size_t examined;	/**< targets that were compared */
	size_t candidate_count; /**< of these, shown */
	struct ht_explained_target candidates[HT_EXPLAIN_CANDIDATES_MAX];
};

/**
 * Explains the decision on a new flow from @src to @dst at @now. Nothing is changed, neither counts
 * nor the state of the random source.
 */
void ht_steering_explain(const struct ht_steering *st, struct ht_endpoint src,
			 struct ht_endpoint dst, struct ht_steering_explanation *out, ht_ms now);

#endif
