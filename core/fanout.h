/*
 * Distribution of an announcement to many instances along a tree: the sender reaches a few, and
 * each of these relays it to a part of the rest. No instance sends more than HT_FANOUT copies,
 * regardless of the number of receivers.
 */
#ifndef HT_CORE_FANOUT_H
#define HT_CORE_FANOUT_H

#include "core/catalog.h"

/** Maximum number of copies sent by one instance, and this maximum for large messages. */
#define HT_FANOUT 8
#define HT_FANOUT_MIN 3
/** Bytes that all copies of a message should not exceed, to leave the sender time for packets. */
#define HT_FANOUT_BYTES 4096

struct ht_fanout_receiver {
	struct ht_endpoint at;
	bool for_dc; /**< it relays the message to its whole data centre */
};

/** Receivers of one copy: it is sent to the first, which relays it to the others. */
struct ht_fanout_group {
	const struct ht_fanout_receiver *to; /**< borrowed */
	size_t count;			     /**< at least 1 */
};

/** Shuffles @to by @seed, so that a dead receiver is not the first of a group each time. */
void ht_fanout_shuffle(struct ht_fanout_receiver *to, size_t count, uint64_t seed);

/** Number of copies of a message of @bytes to send: fewer for a large one, with more hops. */
size_t ht_fanout_copies(size_t bytes);

/** Splits @to into at most @copies groups of about equal size; returns their number. */
size_t ht_fanout_split(const struct ht_fanout_receiver *to, size_t count, size_t copies,
		       struct ht_fanout_group out[HT_FANOUT]);

#endif
