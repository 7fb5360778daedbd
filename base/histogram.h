/* Counts of durations by range, in the usual 1-2-5 steps. */
#ifndef HT_BASE_HISTOGRAM_H
#define HT_BASE_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

#define HT_HISTOGRAM_MAX 14

/** Upper ends of the ranges, in seconds; what is longer than the last is counted apart. */
struct ht_histogram_ranges {
	size_t count;
	double ends[HT_HISTOGRAM_MAX];
};

/** From 1 ms to 10 s, for calls and answers. */
extern const struct ht_histogram_ranges ht_histogram_calls;
/** From 0.5 us to 10 ms, for work in one process. */
extern const struct ht_histogram_ranges ht_histogram_work;

struct ht_histogram {
	const struct ht_histogram_ranges *ranges;
	uint64_t counts[HT_HISTOGRAM_MAX + 1];
	uint64_t count;
	double sum; /**< s */
};

struct ht_histogram ht_histogram_of(const struct ht_histogram_ranges *ranges);

void ht_histogram_add(struct ht_histogram *h, double seconds);

#endif
