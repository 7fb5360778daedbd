/*
 * An announcement to many instances: its sender reaches a few, and each of these passes it on to a
 * part of the rest. Nobody sends more than HT_FANOUT copies, however many there are.
 */
#ifndef HT_CORE_FANOUT_H
#define HT_CORE_FANOUT_H

#include "core/catalog.h"

/** Copies that one instance sends at most, and of large messages. */
#define HT_FANOUT 8
#define HT_FANOUT_MIN 3
/** Bytes that the copies of one message should not exceed, so that its sender can serve on. */
#define HT_FANOUT_BYTES 4096

struct ht_fanout_receiver {
	struct ht_endpoint at;
	bool for_dc; /**< it tells its whole data centre */
};

/** Receivers of one copy: the first one gets it and passes it on to the others. */
struct ht_fanout_group {
	const struct ht_fanout_receiver *to; /**< borrowed */
	size_t count;			     /**< at least 1 */
};

/** Puts @to into another order for each @seed, so that a receiver that is gone is not always first.
 */
void ht_fanout_shuffle(struct ht_fanout_receiver *to, size_t count, uint64_t seed);

/** Copies of a message of @bytes that one instance sends: fewer of a large one, over more hops. */
size_t ht_fanout_copies(size_t bytes);

/** Splits @to into at most @copies groups of about the same size; returns their number. */
size_t ht_fanout_split(const struct ht_fanout_receiver *to, size_t count, size_t copies,
		       struct ht_fanout_group out[HT_FANOUT]);

#endif
