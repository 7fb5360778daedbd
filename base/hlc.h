/* Hybrid logical clock: timestamps of all processes order every cause before its effects. */
#ifndef HT_BASE_HLC_H
#define HT_BASE_HLC_H

#include "base/clock.h"

/** The upper 48 bits of @last are wall-clock time in ms, the lower 16 a counter. */
struct ht_hlc {
	uint64_t last;
};

/** Advances the clock for a local event at wall-clock time @wall (ms). Returns the new value. */
static inline uint64_t ht_hlc_tick(struct ht_hlc *hlc, ht_ms wall)
{
	uint64_t now = (uint64_t)wall << 16;

	hlc->last = now > hlc->last ? now : hlc->last + 1;
	return hlc->last;
}

/** Advances the clock to that of a received message if that is later. */
static inline void ht_hlc_receive(struct ht_hlc *hlc, uint64_t remote)
{
	if (remote > hlc->last)
		hlc->last = remote;
}

#endif
