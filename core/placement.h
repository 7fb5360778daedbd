/* Candidate targets of a flow: the first of its service by weighted rendezvous hashing. */
#ifndef HT_CORE_PLACEMENT_H
#define HT_CORE_PLACEMENT_H

#include "rules/config.h"

/** Candidates tried for one request; it is refused when none of them takes it. */
#define HT_CANDIDATES_MAX 3

/** The first candidates of a flow, best score first. */
struct ht_candidates {
	const struct ht_target_conf *target[HT_CANDIDATES_MAX];
	unsigned int count;
};

/** Computes the candidates of @flow; targets of weight 0 are left out. */
void ht_placement_candidates(struct ht_candidates *row, const struct ht_service_conf *svc,
			     uint64_t flow);

/** Returns the index of @target among the candidates, or HT_CANDIDATES_MAX if it is none of them.
 */
unsigned int ht_candidates_index(const struct ht_candidates *row, uint64_t target);

/** Returns the target of the service with this id, or NULL. */
const struct ht_target_conf *ht_service_target(const struct ht_service_conf *svc, uint64_t target);

#endif
