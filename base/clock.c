#include "base/clock.h"

#include <time.h>

static ht_ms read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (ht_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static ht_ms monotonic_now(void *ctx)
{
	(void)ctx;
	return read_clock(CLOCK_MONOTONIC);
}

const struct ht_clock ht_clock_monotonic = {.now = monotonic_now};

double ht_clock_seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

ht_ms ht_clock_wall(void)
{
	return read_clock(CLOCK_REALTIME);
}
