/* Hybrid logical clock: orders events of all processes so that a cause precedes its effect. */
#ifndef HT_BASE_HLC_H
#define HT_BASE_HLC_H

#include "base/clock.h"

/** Wall time in ms in the upper 48 bits, a counter in the lower 16. */
struct ht_hlc {
	uint64_t last;
};

/** Advances for a local event at wall time @wall and returns the new value. */
static inline uint64_t ht_hlc_tick(struct ht_hlc *hlc, ht_ms wall)
{
	uint64_t now = (uint64_t)wall << 16;

	hlc->last = now > hlc->last ? now : hlc->last + 1;
	return hlc->last;
}

/** Takes in the clock of a received message. */
static inline void ht_hlc_receive(struct ht_hlc *hlc, uint64_t remote)
{
	if (remote > hlc->last)
		hlc->last = remote;
}

#endif
