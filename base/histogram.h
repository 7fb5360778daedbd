/* Histograms of durations, with ranges in 1-2-5 steps. */
#ifndef HT_BASE_HISTOGRAM_H
#define HT_BASE_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

/** Maximum number of ranges. */
#define HT_HISTOGRAM_RANGES_MAX 14

/** Inclusive upper ends of the ranges, in s. Longer durations fall into one more, open range. */
struct ht_histogram_ranges {
	size_t count;
	double ends[HT_HISTOGRAM_RANGES_MAX];
};

/** From 1 ms to 10 s, for network calls and answers. */
extern const struct ht_histogram_ranges ht_histogram_calls;
/** From 0.5 us to 10 ms, for computation within a process. */
extern const struct ht_histogram_ranges ht_histogram_work;

struct ht_histogram {
	const struct ht_histogram_ranges *ranges;
	uint64_t counts[HT_HISTOGRAM_RANGES_MAX + 1];
	uint64_t count;
	double sum; /**< s */
};

struct ht_histogram ht_histogram_of(const struct ht_histogram_ranges *ranges);

void ht_histogram_add(struct ht_histogram *h, double seconds);

#endif
