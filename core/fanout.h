/*
 * An announcement to many instances: its sender reaches a few, and each of these passes it on to a
 * part of the rest. Nobody sends more than HT_FANOUT copies, however many there are.
 */
#ifndef HT_CORE_FANOUT_H
#define HT_CORE_FANOUT_H

#include "core/catalog.h"

/** Copies that one instance sends. */
#define HT_FANOUT 8

/** Receivers of one copy: the first one gets it and passes it on to the others. */
struct ht_fanout_group {
	const struct ht_endpoint *to; /**< borrowed */
	size_t count;		      /**< at least 1 */
};

/** Puts @to into another order for each @seed, so that a receiver that is gone is not always first.
 */
void ht_fanout_shuffle(struct ht_endpoint *to, size_t count, uint64_t seed);

/** Splits @to into groups of about the same size; returns their number. */
size_t ht_fanout_split(const struct ht_endpoint *to, size_t count,
		       struct ht_fanout_group out[HT_FANOUT]);

#endif
