#include "core/targets.h"

#include <math.h>
#include <stdlib.h>

struct ht_target *ht_target_new(uint64_t id)
{
	struct ht_target *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->id = id;
	t->ramp = 1;
	t->service_time = HT_SERVICE_TIME_INITIAL;
	ht_list_init(&t->queue);
	ht_list_init(&t->sent);
	return t;
}

void ht_target_connected(struct ht_target *t)
{
	t->up = true;
	t->misassigned = false;
	t->ramp = 1;
	t->ramp_answers = 0;
	t->lost = 0;
}

void ht_target_answered(struct ht_target *t, ht_ms ms, uint32_t slots)
{
	double off = (double)(ms > 0 ? ms : 0) - t->service_time;

	/* A weight of 1/8 adapts within about 20 answers and smooths out single ones. */
	t->deviation += (fabs(off) - t->deviation) / 8;
	t->service_time += off / 8;
	if (t->service_time < 0.5)
		t->service_time = 0.5;
	t->lost = 0;
	if (t->ramp < slots && ++t->ramp_answers >= HT_RAMP_ANSWERS) {
		t->ramp_answers = 0;
		t->ramp++;
	}
}

bool ht_target_lost(struct ht_target *t, ht_ms now)
{
	t->lost++;
	if (t->lost < HT_LOST_LIMIT)
		return false;
	t->probe_at = now + HT_PROBE_INTERVAL;
	return t->lost == HT_LOST_LIMIT;
}

bool ht_target_healthy(const struct ht_target *t, ht_ms now)
{
	return t->up && !t->misassigned && (t->lost < HT_LOST_LIMIT || now >= t->probe_at);
}

uint32_t ht_target_usable(const struct ht_target *t, uint32_t owned, ht_ms now)
{
	if (!ht_target_healthy(t, now))
		return 0;
	if (t->lost >= HT_LOST_LIMIT)
		return owned ? 1 : 0;
	return owned < t->ramp ? owned : t->ramp;
}

double ht_target_time_needed(const struct ht_target *t)
{
	return t->service_time + t->deviation;
}

double ht_target_estimated_wait(const struct ht_target *t, uint32_t usable)
{
	uint32_t ahead = t->queued + t->in_flight;

	if (!usable)
		return INFINITY;
	if (ahead < usable)
		return 0;
	return (double)(ahead - usable + 1) / usable * t->service_time;
}
