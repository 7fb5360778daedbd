/* Candidate targets of a flow: the first of its service by weighted rendezvous hashing. */
#ifndef HT_CORE_PLACEMENT_H
#define HT_CORE_PLACEMENT_H

#include "rules/config.h"

/** Candidates of a flow; a request is refused when none of them and no substitute takes it. */
#define HT_CANDIDATES_MAX 3

/** Candidates and substitutes: at most one substitute for each candidate that drains. */
#define HT_ROW_MAX (2 * HT_CANDIDATES_MAX)

/**
 * The first candidates of a flow, best score first. A substitute follows for each candidate that
 * drains in the configuration: the targets with the next best scores that do not drain. Candidates
 * stay where they are while they drain, as their homes know the flow and the requests in flight.
 */
struct ht_candidates {
	const struct ht_target_conf *target[HT_ROW_MAX];
	unsigned int count;
};

/** Computes the row of @flow from the configuration alone; targets of weight 0 are left out. */
void ht_placement_candidates(struct ht_candidates *row, const struct ht_service_conf *svc,
			     uint64_t flow);

/** Returns the index of @target in the row, or HT_ROW_MAX if it is not in it. */
unsigned int ht_candidates_index(const struct ht_candidates *row, uint64_t target);

/** Returns the target of the service with this id, or NULL. */
const struct ht_target_conf *ht_service_target(const struct ht_service_conf *svc, uint64_t target);

#endif
