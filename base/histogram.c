#include "base/histogram.h"

const struct ht_histogram_ranges ht_histogram_calls = {
	.count = 13,
	.ends = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10},
};

const struct ht_histogram_ranges ht_histogram_work = {
	.count = 14,
	.ends = {0.5e-6, 1e-6, 2e-6, 5e-6, 10e-6, 20e-6, 50e-6, 100e-6, 200e-6, 500e-6, 1e-3, 2e-3,
		 5e-3, 10e-3},
};

struct ht_histogram ht_histogram_of(const struct ht_histogram_ranges *ranges)
{
	return (struct ht_histogram){.ranges = ranges};
}

void ht_histogram_add(struct ht_histogram *h, double seconds)
{
	size_t i = 0;

	while (i < h->ranges->count && seconds > h->ranges->ends[i])
		i++;
	h->counts[i]++;
	h->count++;
	h->sum += seconds;
}
