/* Clocks and times in milliseconds. Only this module reads the system clocks. */
#ifndef HT_BASE_CLOCK_H
#define HT_BASE_CLOCK_H

#include <stdint.h>

/** A point in time or a duration, in ms. Points in time are readings of the monotonic clock. */
typedef int64_t ht_ms;

/** A point in time that is never reached. */
#define HT_NEVER INT64_MAX

/** Source of the current time; tests replace it by a fake clock. */
struct ht_clock {
	ht_ms (*now)(void *ctx);
	void *ctx;
};

static inline ht_ms ht_clock_now(const struct ht_clock *clock)
{
	return clock->now(clock->ctx);
}

/** The system's monotonic clock. */
extern const struct ht_clock ht_clock_monotonic;

/** Returns the current time of the system's monotonic clock. */
static inline ht_ms ht_now(void)
{
	return ht_clock_now(&ht_clock_monotonic);
}

/** Returns the monotonic time in s at the clock's full resolution, to measure short operations. */
double ht_clock_seconds(void);

/** Returns the wall-clock time in ms since 1970; use it only for identifiers and time stamps. */
ht_ms ht_clock_wall(void);

#endif
