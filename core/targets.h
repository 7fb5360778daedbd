/* Targets whose home is this instance: health, slots, queue and measured service time. */
#ifndef HT_CORE_TARGETS_H
#define HT_CORE_TARGETS_H

#include "base/list.h"
#include "rules/config.h"

#include <math.h>

/** Service time assumed before the first answer, in ms. */
#define HT_SERVICE_TIME_INITIAL 20.0
/** Answers after which a cold target gets one more slot. */
#define HT_RAMP_ANSWERS 4
/** Consecutive requests lost or timed out that make a target unhealthy. */
#define HT_LOST_LIMIT 3
/** Time after which an unhealthy target is probed with one request, in ms. */
#define HT_PROBE_INTERVAL 1000

struct ht_target {
	uint64_t id;
	struct ht_list queue;
	struct ht_list sent;
	uint32_t queued;
	uint32_t in_flight;
	uint32_t ramp; /**< slots usable during slow start; at most the target's slots */
	uint32_t ramp_answers;
	uint32_t lost; /**< consecutive requests lost or timed out */
	ht_ms probe_at;
	double service_time; /**< mean, in ms */
	double deviation;    /**< mean distance from service_time, in ms */
	bool opened;	     /**< connections were requested */
	bool connecting;     /**< opened, and its first state is not known yet */
	bool up;
	bool draining; /**< reported by the target */
	bool misassigned;
};

struct ht_target *ht_target_new(uint64_t id);

/** The target has a new connection: slow start begins again. */
void ht_target_connected(struct ht_target *t);
/** Records an answer that took @ms. */
void ht_target_answered(struct ht_target *t, ht_ms ms, uint32_t slots);
/** Records a lost or timed out request; returns true if the target has just become unhealthy. */
bool ht_target_lost(struct ht_target *t, ht_ms now);

/** False while it is down, misassigned, or unhealthy and not due for a probe. */
bool ht_target_healthy(const struct ht_target *t, ht_ms now);

/**
 * Returns how many of the @owned slots, the number that ownership grants, may be used at @now:
 * limited by slow start, and to one probe at an unhealthy target.
 */
uint32_t ht_target_usable(const struct ht_target *t, uint32_t owned, ht_ms now);

/**
 * Time in ms that a request must have left to get a slot: the mean plus one mean deviation. With
 * the mean alone, a third of the requests that start last ran into their deadline.
 */
double ht_target_time_needed(const struct ht_target *t);

/** Estimated wait in ms until a new request starts: 0 with a free slot, INFINITY without slots. */
double ht_target_estimated_wait(const struct ht_target *t, uint32_t usable);

#endif
