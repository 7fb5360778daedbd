/* Set of times at which ht_core_advance() has to be called. */
#ifndef HT_CORE_WAKEUPS_H
#define HT_CORE_WAKEUPS_H

#include "base/clock.h"

#include <stdbool.h>
#include <stddef.h>

/** Sorted, latest first, without duplicates, so that due times are taken from the end. */
struct ht_wakeups {
	ht_ms *due;
	size_t count, capacity;
};

/**
 * Adds @due; HT_NEVER is ignored. When out of memory, @due replaces the earliest time if it is
 * before it, and is ignored otherwise.
 */
void ht_wakeups_add(struct ht_wakeups *w, ht_ms due);

/** Earliest time, or HT_NEVER. */
ht_ms ht_wakeups_first(const struct ht_wakeups *w);

/** Removes all times up to and including @now. */
void ht_wakeups_drop(struct ht_wakeups *w, ht_ms now);

void ht_wakeups_clear(struct ht_wakeups *w);

#endif
