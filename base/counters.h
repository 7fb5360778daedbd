/* Counters: an array of 64-bit numbers. Counting takes no lock and allocates nothing. */
#ifndef HT_BASE_COUNTERS_H
#define HT_BASE_COUNTERS_H

#include <stdint.h>

#define HT_COUNTER(name, help) HT_C_##name,
enum ht_counter {
#include "base/counters.def"
	HT_COUNTER_COUNT
};
#undef HT_COUNTER

struct ht_counters {
	uint64_t values[HT_COUNTER_COUNT];
};

static inline void ht_count(struct ht_counters *c, enum ht_counter id, uint64_t n)
{
	c->values[id] += n;
}

/** Returns the counter's name in lower case, as shown to operators. */
const char *ht_counter_name(enum ht_counter id);

/** Returns a one-line description of the counter. */
const char *ht_counter_help(enum ht_counter id);

#endif
