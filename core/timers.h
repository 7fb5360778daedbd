/* Timers of one core, ordered by due time. */
#ifndef HT_CORE_TIMERS_H
#define HT_CORE_TIMERS_H

#include "base/clock.h"

#include <glib.h>

struct ht_timer {
	ht_ms due;
	void (*fire)(void *ctx, struct ht_timer *timer);
	GSequenceIter *place; /**< NULL while not armed */
};

struct ht_timers;

/** @wake is called whenever the earliest due time becomes earlier. */
struct ht_timers *ht_timers_new(void *ctx, void (*wake)(void *ctx, ht_ms due));
void ht_timers_free(struct ht_timers *timers);

/** Arms or re-arms @timer. */
void ht_timer_set(struct ht_timers *timers, struct ht_timer *timer, ht_ms due);
void ht_timer_stop(struct ht_timer *timer);

/** Fires every timer due at or before @now, earliest first, and calls wake for the next one. */
void ht_timers_run(struct ht_timers *timers, ht_ms now);

#endif
