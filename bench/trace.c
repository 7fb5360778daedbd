#include "bench/trace.h"

#include "base/hash.h"
#include "core/placement.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define REQUESTS_PER_FLOW 20
#define GAP_MS (5 * TRACE_SERVICE_MS)
#define HOP_MS 1
#define NO_TARGET 255

static void *checked(void *p)
{
	if (!p)
		abort();
	return p;
}

static double uniform(uint64_t *seed)
{
	return ((double)(ht_hash_pair((*seed)++, 0x7ace) >> 11) + 0.5) / 9007199254740992.0;
}

static double exponential(uint64_t *seed)
{
	return -log(uniform(seed));
}

void trace_targets_make(struct trace_targets *t, uint64_t seed)
{
	seed <<= 32;
	t->capacity = 0;
	for (int i = 0; i < TRACE_TARGETS; i++)
		t->speed[i] = 0.5 * pow(4, (double)i / (TRACE_TARGETS - 1));
	for (int i = TRACE_TARGETS - 1; i > 0; i--) {
		int k = (int)(uniform(&seed) * (i + 1));
		double swap = t->speed[i];

		t->speed[i] = t->speed[k];
		t->speed[k] = swap;
	}
	for (int i = 0; i < TRACE_TARGETS; i++) {
		t->weight[i] = t->speed[i] * (0.7 + 0.6 * uniform(&seed));
		t->capacity += t->speed[i] * TRACE_SLOTS * 1000 / TRACE_SERVICE_MS;
	}
}

static int by_time(const void *a, const void *b)
{
	const struct trace_request *x = a, *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	if (x->flow != y->flow)
		return x->flow < y->flow ? -1 : 1;
	return x->number < y->number ? -1 : 1;
}

/* Flows that began before the start are there at the start, so that the load is even. */
struct trace *trace_new(const struct trace_targets *t, double load, ht_ms length, uint64_t seed)
{
	struct trace *trace = checked(calloc(1, sizeof(*trace)));
	double rate = t->capacity * load / REQUESTS_PER_FLOW / 1000; /* flows a ms */
	double start = -4.0 * REQUESTS_PER_FLOW * GAP_MS;
	size_t room = 0;

	seed = seed << 32 | 1U << 30;
	trace->length = length;
	trace->warm = length / 5;
	while (start < (double)length) {
		double at = start;
		uint32_t number = 0;

		do {
			struct trace_request r = {.at = (ht_ms)at,
						  .flow = trace->flows,
						  .number = number++,
						  .demand = exponential(&seed)};

			if (trace->count == room) {
				room = room ? room * 2 : 4096;
				trace->requests = checked(
					realloc(trace->requests, room * sizeof(*trace->requests)));
			}
			if (at >= 0 && at < (double)length)
				trace->requests[trace->count++] = r;
			at += exponential(&seed) * GAP_MS;
		} while (uniform(&seed) > 1.0 / REQUESTS_PER_FLOW);
		trace->flows++;
		start += exponential(&seed) / rate;
	}
	if (trace->requests)
		qsort(trace->requests, trace->count, sizeof(*trace->requests), by_time);
	return trace;
}

void trace_free(struct trace *trace)
{
	free(trace->requests);
	free(trace);
}

void outcome_init(struct outcome *o, const struct trace *trace)
{
	o->answer_ms = checked(malloc(trace->count * sizeof(*o->answer_ms)));
	o->target = checked(malloc(trace->count));
	o->flow_moved = checked(calloc(trace->flows, 1));
	o->starts = 0;
	memset(o->target, NO_TARGET, trace->count);
	for (uint32_t i = 0; i < trace->count; i++)
		o->answer_ms[i] = -1;
}

void outcome_clear(struct outcome *o)
{
	free(o->answer_ms);
	free(o->target);
	free(o->flow_moved);
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

double outcome_p99(const struct outcome *o, const struct trace *trace)
{
	double *sorted = checked(malloc(trace->count * sizeof(*sorted)));
	uint32_t n = 0;
	double p99;

	for (uint32_t i = 0; i < trace->count; i++)
		if (trace->requests[i].at >= trace->warm && o->answer_ms[i] >= 0)
			sorted[n++] = o->answer_ms[i];
	qsort(sorted, n, sizeof(*sorted), by_value);
	p99 = n ? sorted[(uint64_t)n * 99 / 100] / TRACE_SERVICE_MS : NAN;
	free(sorted);
	return p99;
}

double outcome_moved(const struct outcome *o, const struct trace *trace)
{
	uint8_t *seen = checked(calloc(trace->flows, 1));
	uint32_t flows = 0, moved = 0;

	for (uint32_t i = 0; i < trace->count; i++)
		seen[trace->requests[i].flow] = 1;
	for (uint32_t f = 0; f < trace->flows; f++) {
		flows += seen[f];
		moved += o->flow_moved[f] != 0;
	}
	free(seen);
	return (double)moved / flows;
}

double outcome_goodput(const struct outcome *o, const struct trace *trace,
		       const struct trace_targets *t)
{
	uint32_t good = 0;

	for (uint32_t i = 0; i < trace->count; i++)
		good += trace->requests[i].at >= trace->warm && o->answer_ms[i] >= 0;
	return good / (t->capacity * (double)(trace->length - trace->warm) / 1000);
}

uint64_t trace_flow_id(uint32_t flow)
{
	return ht_hash_pair(flow, 0xf10f);
}

ht_ms trace_run_ms(const struct trace_request *r, const struct trace_targets *t, int target)
{
	return 1 + (ht_ms)(r->demand * TRACE_SERVICE_MS / t->speed[target]);
}

/* One target: the times at which its slots become free. */
struct queue {
	double free_at[TRACE_SLOTS];
};

static int next_slot(const struct queue *q)
{
	int best = 0;

	for (int i = 1; i < TRACE_SLOTS; i++)
		if (q->free_at[i] < q->free_at[best])
			best = i;
	return best;
}

static int best_queue(const struct queue *q, const struct trace_targets *t, double now,
		      enum policy policy, uint64_t *seed)
{
	double least = INFINITY, best_tie = -1;
	int best = 0;

	for (int i = 0; i < TRACE_TARGETS; i++) {
		double wait = fmax(0, q[i].free_at[next_slot(&q[i])] - now);
		double tie = ht_rendezvous_score((*seed)++, (uint64_t)i, t->speed[i]);

		if (policy == POLICY_FIRST_ANSWER)
			wait += TRACE_SERVICE_MS / t->speed[i];
		if (wait < least || (wait == least && tie > best_tie)) {
			least = wait;
			best_tie = tie;
			best = i;
		}
	}
	return best;
}

static int choose(const struct queue *q, const struct trace_targets *t, double now,
		  enum policy policy, const struct ht_service_conf *svc, uint32_t flow,
		  uint64_t *seed)
{
	struct ht_candidates row;

	if (policy == POLICY_RANDOM)
		return (int)(uniform(seed) * TRACE_TARGETS);
	if (policy != POLICY_HASH)
		return best_queue(q, t, now, policy, seed);
	ht_placement_candidates(&row, svc, trace_flow_id(flow));
	return atoi(strrchr(row.target[0]->name, '-') + 1);
}

void policy_run(struct outcome *o, const struct trace *trace, const struct trace_targets *t,
		enum policy policy, const struct ht_service_conf *svc, uint64_t seed)
{
	struct queue queues[TRACE_TARGETS] = {0};
	uint8_t *place = checked(malloc(trace->flows));

	memset(place, NO_TARGET, trace->flows);
	seed <<= 32;
	for (uint32_t i = 0; i < trace->count; i++) {
		const struct trace_request *r = &trace->requests[i];
		double arrives = (double)(r->at + HOP_MS);
		struct queue *q;
		int slot;

		if (place[r->flow] == NO_TARGET)
			place[r->flow] =
				(uint8_t)choose(queues, t, arrives, policy, svc, r->flow, &seed);
		q = &queues[place[r->flow]];
		slot = next_slot(q);
		q->free_at[slot] = fmax(arrives, q->free_at[slot]) +
				   (double)trace_run_ms(r, t, place[r->flow]);
		o->answer_ms[i] = q->free_at[slot] + HOP_MS - (double)r->at;
		o->target[i] = place[r->flow];
		o->starts++;
	}
	free(place);
}
