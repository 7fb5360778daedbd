#include "core/placing.h"

#include <stdlib.h>

/* Targets examined for one flow; of a larger service, a random run of this length. */
#define SAMPLE_MAX 64

/* Errors make their callers retry: an error rate of 1 adds this many times the cost. */
#define ERROR_COST 8.0

/* The smoothed answer time changes the cost by at most this factor, up or down. */
#define SPEED_FACTOR_MAX 2.0

/* Instances stop at the limit of flows of a target. More than this many times as many are an error
 * of whoever has reported them, which must not close the target. */
#define FLOWS_ABSURD 4

/* Requests in flight per slot, by the view, from which a target is nearly full, and the factor by
 * which it costs more. Counts below that are too old to compare targets by. */
#define FULL_PER_SLOT 3.5
#define FULL_COST 16.0

/* Stated rates of cold targets are in thousandths per second. */
#define WARMUP_RATE_UNIT 1000

/* splitmix64: random enough to choose between targets of equal cost. */
static uint64_t next_random(struct ht_placing *pl)
{
	uint64_t z = (pl->random += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

static bool was_tried(const struct ht_target *t, struct ht_target *const *tried, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (tried[i] == t)
			return true;
	return false;
}

static bool is_suspected(const struct ht_target *t, ht_ms now)
{
	return ht_evidence_suspected(&t->evidence, now);
}

/* Suspected because of packets without response, not of errors, which full targets return, too. */
static bool is_silent(const struct ht_target *t, ht_ms now)
{
	return is_suspected(t, now) && t->evidence.misses;
}

/* Answer time as a ratio to the mean of the service, clamped; 1 while unknown. */
static double relative_answer_time(const struct ht_target *t)
{
	double ratio;

	if (t->evidence.answer_ms <= 0 || t->service->answer_ms <= 0)
		return 1;
	ratio = t->evidence.answer_ms / t->service->answer_ms;
	if (ratio > SPEED_FACTOR_MAX)
		return SPEED_FACTOR_MAX;
	return ratio < 1 / SPEED_FACTOR_MAX ? 1 / SPEED_FACTOR_MAX : ratio;
}

static bool is_limited(const struct ht_target *t, ht_ms now)
{
	return t->service->warmup_rate && now < t->warmup_ends_at;
}

/* New flows per second that all instances together may send to a cold target of @s. */
static uint32_t warmup_limit(const struct ht_placing *pl, const struct ht_service *s)
{
	double rate = (double)s->warmup_rate / WARMUP_RATE_UNIT;
	double limit = rate * pl->bounds->warmup_overage + pl->bounds->warmup_slack;

	return limit < HT_WARMUP_PERMITS_MAX ? (uint32_t)limit : HT_WARMUP_PERMITS_MAX;
}

bool ht_placing_allows(const struct ht_placing *pl, struct ht_target *t, ht_ms now)
{
	if (!is_limited(t, now))
		return true;
	if (!t->dc->local)
		return false;
	if (!t->flows_while_cold)
		t->flows_while_cold = calloc(1, sizeof(*t->flows_while_cold));
	return t->flows_while_cold && ht_warmup_allows(t->flows_while_cold, &pl->peers, t->id,
						       warmup_limit(pl, t->service), now);
}

void ht_placing_count(struct ht_target *t, ht_ms now)
{
	if (is_limited(t, now) && t->flows_while_cold)
		ht_warmup_use(t->flows_while_cold, now);
}

static double expected_cost(const struct ht_placing *pl, const struct ht_target *t, ht_ms now)
{
	double c = (t->open + 1.0) / t->slots * relative_answer_time(t) *
		   (1 + ERROR_COST * t->evidence.error_rate);

	if (!t->dc->local) {
		c *= pl->params->remote_factor;
		if (ht_evidence_suspected(&t->dc->evidence, now))
			c *= pl->params->suspected_factor;
	}
	if (is_suspected(t, now))
		c *= pl->params->suspected_factor;
	if (now < t->warmup_ends_at)
		c *= pl->params->cold_factor;
	return c;
}

/* Suspected targets are skipped only if they are at most the allowed share of the sample, so that
 * wrong suspicions cannot take down a service. */
static bool may_skip_suspected(const struct ht_placing *pl, const struct ht_service *s,
			       size_t start, size_t sampled, ht_ms now)
{
	size_t n = 0;

	for (size_t i = 0; i < sampled; i++)
		n += is_suspected(s->targets[(start + i) % s->count], now);
	return (double)n <= pl->params->suspected_share_max * (double)sampled;
}

/* Requests in flight and flows at @t from all instances, as far as known here. */
static struct ht_load_target load_of(const struct ht_placing *pl, const struct ht_target *t,
				     ht_ms now)
{
	struct ht_load_target load = {.open = t->waiting, .flows = t->flows}, shared;

	if (!pl->params->overload.load ||
	    !ht_load_target(pl->params->overload.load, t->marks[0].value, &shared, now))
		return load;
	if (shared.open > load.open)
		load.open = shared.open;
	if (shared.flows > load.flows)
		load.flows = shared.flows;
	return load;
}

bool ht_placing_holds_more(const struct ht_placing *pl, const struct ht_target *t, ht_ms now)
{
	uint32_t max = t->service->flows_max, flows;

	if (!max)
		return true;
	flows = load_of(pl, t, now).flows;
	if (flows > FLOWS_ABSURD * (uint64_t)max)
		flows = t->flows;
	return flows < max;
}

static double planned_cost(const struct ht_placing *pl, const struct ht_target *t, ht_ms now)
{
	double c = (t->waiting + 1.0) / t->slots * relative_answer_time(t) *
		   (1 + ERROR_COST * t->evidence.error_rate);

	if (load_of(pl, t, now).open >= FULL_PER_SLOT * t->slots)
		c *= FULL_COST;
	return now < t->warmup_ends_at ? c * pl->params->cold_factor : c;
}

static double random_unit(struct ht_placing *pl)
{
	return (double)(next_random(pl) >> 11) / (double)(1ULL << 53);
}

/* Key of a data centre of the plan, drawn by the shares. */
static uint32_t draw_dc(struct ht_placing *pl, const struct ht_admission_plan *plan)
{
	double x = random_unit(pl);
	size_t i = 0;

	while (i + 1 < plan->dc_count && x >= plan->share[i])
		x -= plan->share[i++];
	return plan->dcs[i];
}

struct ht_target *ht_placing_choose_by_plan(struct ht_placing *pl, const struct ht_service *s,
					    struct ht_target *const *tried, size_t n, ht_ms now)
{
	size_t sampled = s->count < SAMPLE_MAX ? s->count : SAMPLE_MAX;
	size_t start = s->count ? next_random(pl) % s->count : 0, seen = 0;
	struct ht_target *drawn[2] = {NULL, NULL};
	uint32_t dc;

	if (!s->plan.dc_count)
		return NULL;
	dc = draw_dc(pl, &s->plan);
	/* Draws two of the candidates with equal chances. */
	for (size_t i = 0; i < sampled; i++) {
		struct ht_target *t = s->targets[(start + i) % s->count];
		size_t at = seen;

		if (t->dc->key != dc || was_tried(t, tried, n) || is_silent(t, now) ||
		    !ht_placing_allows(pl, t, now))
			continue;
		if (seen++ >= 2)
			at = next_random(pl) % seen;
		if (at < 2)
			drawn[at] = t;
	}
	for (size_t i = 0; i < 2; i++)
		if (drawn[i] && !ht_placing_holds_more(pl, drawn[i], now))
			drawn[i] = NULL;
	if (!drawn[0] || !drawn[1])
		return drawn[0] ? drawn[0] : drawn[1];
	return planned_cost(pl, drawn[1], now) < planned_cost(pl, drawn[0], now) ? drawn[1]
										 : drawn[0];
}

/* @check_flows: leaves out targets that hold as many flows as their service states. */
static struct ht_target *choose(struct ht_placing *pl, struct ht_service *s, size_t start,
				struct ht_target *const *tried, size_t n, bool check_flows,
				ht_ms now)
{
	size_t sampled = s->count < SAMPLE_MAX ? s->count : SAMPLE_MAX;
	bool skip_suspected = may_skip_suspected(pl, s, start, sampled, now);
	struct ht_target *best = NULL, *fallback = NULL;
	double best_cost = 0, fallback_cost = 0;

	/* The random start breaks ties and selects the sample. */
	for (size_t i = 0; i < sampled; i++) {
		struct ht_target *t = s->targets[(start + i) % s->count];
		double c = expected_cost(pl, t, now);

		if (!ht_placing_allows(pl, t, now) ||
		    (check_flows && !ht_placing_holds_more(pl, t, now)))
			continue;
		if (was_tried(t, tried, n) || (skip_suspected && is_suspected(t, now))) {
			if (!fallback || c < fallback_cost) {
				fallback = t;
				fallback_cost = c;
			}
		} else if (!best || c < best_cost) {
			best = t;
			best_cost = c;
		}
	}
	return best ? best : fallback;
}

struct ht_target *ht_placing_choose(struct ht_placing *pl, struct ht_service *s,
				    struct ht_target *const *tried, size_t n, ht_ms now)
{
	size_t start = s->count ? next_random(pl) % s->count : 0;
	struct ht_target *t = choose(pl, s, start, tried, n, false, now);

	/* Looking up the flows of each target would double the cost of a decision. */
	return t && !ht_placing_holds_more(pl, t, now) ? choose(pl, s, start, tried, n, true, now)
						       : t;
}
