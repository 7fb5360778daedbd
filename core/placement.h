/* Row of a flow: the service's targets in the order of weighted rendezvous hashing. */
#ifndef HT_CORE_PLACEMENT_H
#define HT_CORE_PLACEMENT_H

#include "rules/config.h"

/** Candidates tried for one request; beyond them it is refused. */
#define HT_CANDIDATES 3

/** Head of a row. */
struct ht_row {
	const struct ht_target_conf *at[HT_CANDIDATES];
	unsigned int count;
};

/** Computes the first candidates of @flow; targets of weight 0 are left out. */
void ht_placement_row(struct ht_row *row, const struct ht_service_conf *svc, uint64_t flow);

/** Index of @target in the row, or HT_CANDIDATES when it is not among the first. */
unsigned int ht_row_index(const struct ht_row *row, uint64_t target);

/** The service's target with this id, or NULL. */
const struct ht_target_conf *ht_service_target(const struct ht_service_conf *svc, uint64_t target);

#endif
