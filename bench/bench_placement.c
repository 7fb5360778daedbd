/*
 * Placement policies on the same recorded traces, in one run: 99th percentile of the answer time
 * in mean service times, share of flows that change target, goodput in overload, extra requests
 * when half of the targets fail, and the control bytes and platform calls of the same runs.
 */
#include "bench/sim.h"
#include "bench/trace.h"

#include "base/hash.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS 5
#define NODES 9
#define LENGTH_MS 200000
#define OVERLOAD_MS 60000
#define START_MS 30000 /* before the trace: claims, connections */
#define GOAL_P99 1.25
#define GOAL_GOODPUT 0.9
#define BUDGET_SHARE 0.1
#define BUDGET_BURST 10

/** One run of the product's core. */
struct run {
	struct sim *sim;
	const struct trace *trace;
	const struct trace_targets *targets;
	struct outcome *outcome;
	uint8_t *flow_target;
	ht_ms base;
	ht_ms deadline;
	enum sim_target_mode half; /* mode of half of the targets from a third of the trace on */
	bool failed;
};

static const char *const dcs[] = {"paysandu", "salto", "fray-bentos"};

static char *rules(const struct trace_targets *t, const char *affinity, ht_ms deadline)
{
	size_t size = 0;
	char *text = NULL;
	FILE *out = open_memstream(&text, &size);

	if (!out)
		abort();
	fprintf(out,
		"service almacen region litoral address 127.41.0.1:5683 deadline %lld"
		" affinity %s  # measurement\n",
		(long long)deadline, affinity);
	for (int i = 0; i < TRACE_TARGETS; i++)
		fprintf(out,
			"target almacen t-%d dc %s address 127.41.100.%d:5700 weight %.3f"
			"  # measurement\n",
			i, dcs[i % 3], i + 1, t->weight[i]);
	if (fclose(out) != 0)
		abort();
	return text;
}

static void answered(void *ctx, struct sim_node *node, uint64_t handle,
		     const struct ht_answer *answer)
{
	struct run *r = ctx;

	(void)node;
	if (answer->verdict == HT_RAN && answer->code == HT_CONTENT)
		r->outcome->answer_ms[handle] =
			(double)(r->sim->now - r->base - r->trace->requests[handle].at);
}

static ht_ms started(void *ctx, struct sim_node *node, struct sim_target *target,
		     const struct ht_target_request *req)
{
	struct run *r = ctx;
	uint64_t i = strtoull(strchr(req->query, '=') + 1, NULL, 10);
	const struct trace_request *q = &r->trace->requests[i];
	int index = atoi(strrchr(target->name, '-') + 1);

	(void)node;
	r->outcome->starts++;
	r->outcome->target[i] = (uint8_t)index;
	if (r->flow_target[q->flow] != 255 && r->flow_target[q->flow] != index)
		r->outcome->flow_moved[q->flow] = 1;
	r->flow_target[q->flow] = (uint8_t)index;
	return trace_run_ms(q, r->targets, index);
}

static void fail_half(struct run *r)
{
	for (size_t i = 0; i < r->sim->target_count; i += 2)
		sim_target_mode(r->sim, &r->sim->targets[i], r->half);
	r->failed = true;
}

/* Issues request @i at an instance chosen at random and arranges the next one. */
static void issue(void *ctx, uint64_t i)
{
	struct run *r = ctx;
	const struct trace_request *q = &r->trace->requests[i];
	char query[32];
	uint32_t token = (uint32_t)i;
	struct ht_request req = {.service = ht_hash_str("almacen"),
				 .flow = trace_flow_id(q->flow),
				 .token_len = 4,
				 .method = HT_GET,
				 .path = "stock",
				 .query = query};

	if (r->half != SIM_TARGET_UP && !r->failed && q->at >= r->trace->length / 3)
		fail_half(r);
	snprintf(query, sizeof(query), "id=%llu", (unsigned long long)i);
	memcpy(req.token, &token, sizeof(token));
	sim_request(r->sim, (int)(sim_random(r->sim) % NODES), i, &req);
	if (i + 1 < r->trace->count)
		sim_call_at(r->sim, r->base + r->trace->requests[i + 1].at, i + 1);
}

static struct sim *product_sim(const struct trace_targets *t, const char *affinity, ht_ms deadline,
			       uint64_t seed)
{
	static const double sizes[] = {1, 2, 0.5};
	struct sim *s = sim_new(seed);
	char *text = rules(t, affinity, deadline);
	char name[32];

	s->params.target_deadline = deadline;
	sim_apply(s, 1, text);
	free(text);
	for (int i = 0; i < NODES; i++) {
		snprintf(name, sizeof(name), "%s-%d", dcs[i % 3], i / 3 + 1);
		sim_add(s, name, dcs[i % 3], sizes[i / 3]);
	}
	sim_publish(s);
	for (int i = 0; i < NODES; i++)
		sim_start(s, i);
	sim_run(s, s->now + START_MS);
	return s;
}

/* Runs the trace on the product's core; the simulation is left for its counters. */
static struct sim *product_run(struct outcome *o, const struct trace *trace,
			       const struct trace_targets *t, const char *affinity, ht_ms deadline,
			       enum sim_target_mode half, uint64_t seed)
{
	struct sim *s = product_sim(t, affinity, deadline, seed);
	struct run r = {.sim = s,
			.trace = trace,
			.targets = t,
			.outcome = o,
			.base = s->now,
			.deadline = deadline,
			.half = half};

	r.flow_target = malloc(trace->flows);
	if (!r.flow_target)
		abort();
	memset(r.flow_target, 255, trace->flows);
	s->hooks.ctx = &r;
	s->hooks.answered = answered;
	s->hooks.started = started;
	s->hooks.call = issue;
	sim_call_at(s, r.base + trace->requests[0].at, 0);
	sim_run(s, r.base + trace->length + deadline + 1000);
	memset(&s->hooks, 0, sizeof(s->hooks));
	free(r.flow_target);
	return s;
}

enum {
	P_RANDOM,
	P_HASH,
	P_FLOW,
	P_REQUEST,
	P_ORACLE,
	P_COUNT
};

static const char *const policy_names[] = {"random choice", "weighted hash alone",
					   "core, affinity flow", "core, affinity request",
					   "oracle"};

struct cell {
	double p99[SEEDS], moved[SEEDS], ratio[SEEDS];
};

static void control_line(struct sim *s, const char *what, ht_ms length)
{
	uint64_t control = 0, data = 0;

	for (int i = 0; i < s->node_count; i++) {
		control += s->nodes[i].sent_bytes + s->nodes[i].received_bytes;
		data += s->nodes[i].data_sent_bytes;
	}
	printf("  %s: control %.0f B/s a node (both directions), data %.0f B/s sent a node; "
	       "deflections %llu, returned %llu, look-ups %llu, retries %llu; platform calls: head "
	       "%llu, watch %llu, list %llu, status %llu\n",
	       what, (double)control / s->node_count / ((double)(length + START_MS) / 1000),
	       (double)data / s->node_count / ((double)length / 1000),
	       (unsigned long long)sim_counter(s, HT_C_deflections),
	       (unsigned long long)sim_counter(s, HT_C_deflections_returned),
	       (unsigned long long)sim_counter(s, HT_C_lookups),
	       (unsigned long long)sim_counter(s, HT_C_retries),
	       (unsigned long long)s->platform_calls[HT_PLATFORM_READ_HEAD],
	       (unsigned long long)s->platform_calls[HT_PLATFORM_WATCH_HEAD],
	       (unsigned long long)s->platform_calls[HT_PLATFORM_READ_LIVE],
	       (unsigned long long)s->platform_calls[HT_PLATFORM_WRITE_STATUS]);
}

static void note(struct cell *c, int seed, const struct outcome *o, const struct trace *trace)
{
	c->p99[seed] = outcome_p99(o, trace);
	c->moved[seed] = outcome_moved(o, trace);
}

static void models(struct cell *cells, int k, const struct trace *trace,
		   const struct trace_targets *t, const struct ht_service_conf *svc)
{
	static const enum policy policies[] = {POLICY_RANDOM, POLICY_HASH, POLICY_LEAST_WAIT,
					       POLICY_FIRST_ANSWER};
	double oracle = INFINITY;

	for (int i = 0; i < 4; i++) {
		struct outcome o;

		outcome_init(&o, trace);
		policy_run(&o, trace, t, policies[i], svc, (uint64_t)k + 1);
		if (i < 2) {
			note(&cells[i == 0 ? P_RANDOM : P_HASH], k, &o, trace);
		} else if (outcome_p99(&o, trace) < oracle) {
			/* The better of the two oracles is the reference. */
			oracle = outcome_p99(&o, trace);
			note(&cells[P_ORACLE], k, &o, trace);
		}
		outcome_clear(&o);
	}
}

static void one_seed(struct cell *cells, int k, double load)
{
	static const char *const affinity[] = {"flow", "request"};
	struct trace_targets t;
	struct trace *trace;

	trace_targets_make(&t, (uint64_t)k + 1);
	trace = trace_new(&t, load, LENGTH_MS, (uint64_t)k + 1);
	for (int a = 0; a < 2; a++) {
		struct outcome o;
		struct sim *s;

		outcome_init(&o, trace);
		s = product_run(&o, trace, &t, affinity[a], 60000, SIM_TARGET_UP, (uint64_t)k + 1);
		note(&cells[P_FLOW + a], k, &o, trace);
		if (k == 0)
			control_line(s, policy_names[P_FLOW + a], LENGTH_MS);
		if (a == 0)
			models(cells, k, trace, &t,
			       ht_config_service(s->head, ht_hash_str("almacen")));
		sim_free(s);
		outcome_clear(&o);
	}
	for (int p = 0; p < P_COUNT; p++)
		cells[p].ratio[k] = cells[p].p99[k] / cells[P_ORACLE].p99[k];
	trace_free(trace);
}

static double mean(const double *v)
{
	double sum = 0;

	for (int i = 0; i < SEEDS; i++)
		sum += v[i] / SEEDS;
	return sum;
}

static void loads(void)
{
	static const double all[] = {0.5, 0.7, 0.85};

	printf("targets %d, slots %d, speeds 0.5 to 2, weights known to 30 %%, %d instances in 3 "
	       "data centres, %d seeds, traces of %d s, first fifth left out\n",
	       TRACE_TARGETS, TRACE_SLOTS, NODES, SEEDS, LENGTH_MS / 1000);
	for (size_t l = 0; l < sizeof(all) / sizeof(all[0]); l++) {
		struct cell cells[P_COUNT];

		printf("load %.0f %%\n", all[l] * 100);
		for (int k = 0; k < SEEDS; k++)
			one_seed(cells, k, all[l]);
		for (int p = 0; p < P_COUNT; p++) {
			printf("  %-23s p99 %.2f (", policy_names[p], mean(cells[p].p99));
			for (int k = 0; k < SEEDS; k++)
				printf("%s%.2f", k ? " " : "", cells[p].p99[k]);
			printf(") ratio to oracle %.2f, flows that changed target %.2f %%%s\n",
			       mean(cells[p].ratio), mean(cells[p].moved) * 100,
			       p != P_FLOW && p != P_REQUEST	  ? ""
			       : mean(cells[p].ratio) <= GOAL_P99 ? "  goal 1.25: met"
								  : "  goal 1.25: MISSED");
		}
		fflush(stdout);
	}
}

static void overload(void)
{
	static const char *const affinity[] = {"flow", "request"};

	printf("overload at 2x capacity, deadline 10 mean service times, %d s\n",
	       OVERLOAD_MS / 1000);
	for (int a = 0; a < 2; a++) {
		double goodput[SEEDS], p99[SEEDS];

		for (int k = 0; k < SEEDS; k++) {
			struct trace_targets t;
			struct trace *trace;
			struct outcome o;
			struct sim *s;

			trace_targets_make(&t, (uint64_t)k + 1);
			trace = trace_new(&t, 2, OVERLOAD_MS, (uint64_t)k + 1);
			outcome_init(&o, trace);
			s = product_run(&o, trace, &t, affinity[a], 10 * TRACE_SERVICE_MS,
					SIM_TARGET_UP, (uint64_t)k + 1);
			goodput[k] = outcome_goodput(&o, trace, &t);
			p99[k] = outcome_p99(&o, trace);
			if (k == 0)
				control_line(s, policy_names[P_FLOW + a], OVERLOAD_MS);
			sim_free(s);
			outcome_clear(&o);
			trace_free(trace);
		}
		printf("  %-23s goodput %.1f %% of capacity (", policy_names[P_FLOW + a],
		       mean(goodput) * 100);
		for (int k = 0; k < SEEDS; k++)
			printf("%s%.1f", k ? " " : "", goodput[k] * 100);
		printf("), p99 %.2f  goal 90 %%: %s\n", mean(p99),
		       mean(goodput) >= GOAL_GOODPUT ? "met" : "MISSED");
		fflush(stdout);
	}
}

static void failures(void)
{
	static const enum sim_target_mode modes[] = {SIM_TARGET_LOSING, SIM_TARGET_DOWN};
	static const char *const names[] = {"connected but losing each request",
					    "connections down"};

	printf("half of the targets fail for two thirds of the run, 40 %% load, deadline 50 mean "
	       "service times\n");
	for (int m = 0; m < 2; m++) {
		for (int k = 0; k < SEEDS; k++) {
			struct trace_targets t;
			struct trace *trace;
			struct outcome o;
			struct sim *s;
			uint64_t first = 0, ok = 0;
			double bound;

			trace_targets_make(&t, (uint64_t)k + 1);
			trace = trace_new(&t, 0.4, OVERLOAD_MS, (uint64_t)k + 1);
			outcome_init(&o, trace);
			s = product_run(&o, trace, &t, "flow", 50 * TRACE_SERVICE_MS, modes[m],
					(uint64_t)k + 1);
			for (uint32_t i = 0; i < trace->count; i++) {
				first += o.target[i] != 255;
				ok += o.answer_ms[i] >= 0;
			}
			bound = BUDGET_SHARE * (double)first + BUDGET_BURST;
			printf("  %s, seed %d: %u requests, answered with success %.1f %%, extra "
			       "starts %llu (%.2f %%), 10 %% + 10 of them all is %.0f: %s; retries "
			       "%llu, denied %llu\n",
			       names[m], k + 1, trace->count, 100.0 * (double)ok / trace->count,
			       (unsigned long long)(o.starts - first),
			       100.0 * (double)(o.starts - first) / (double)first, bound,
			       (double)(o.starts - first) <= bound ? "met" : "MISSED",
			       (unsigned long long)sim_counter(s, HT_C_retries),
			       (unsigned long long)sim_counter(s, HT_C_retries_denied));
			if (k == 0)
				control_line(s, names[m], OVERLOAD_MS);
			fflush(stdout);
			sim_free(s);
			outcome_clear(&o);
			trace_free(trace);
		}
	}
}

int main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : NULL;

	if (!only || strcmp(only, "loads") == 0)
		loads();
	if (!only || strcmp(only, "overload") == 0)
		overload();
	if (!only || strcmp(only, "failures") == 0)
		failures();
	return 0;
}
