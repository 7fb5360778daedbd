/* A recorded trace of requests, and reference policies over model queues. */
#ifndef HT_BENCH_TRACE_H
#define HT_BENCH_TRACE_H

#include "rules/config.h"

#include <stdbool.h>
#include <stdint.h>

#define TRACE_TARGETS 14
#define TRACE_SLOTS 3
/** Mean run time of a request at a target of speed 1, in ms: the mean service time. */
#define TRACE_SERVICE_MS 100

struct trace_request {
	ht_ms at; /**< from the start of the trace */
	uint32_t flow;
	uint32_t number; /**< within the flow */
	double demand;	 /**< exponential with mean 1 */
};

/** Targets of one seed: speeds 0.5 to 2, and weights that know them to 30 %. */
struct trace_targets {
	double speed[TRACE_TARGETS];
	double weight[TRACE_TARGETS];
	double capacity; /**< requests a second of all slots together */
};

struct trace {
	struct trace_request *requests; /**< by time */
	uint32_t count, flows;
	ht_ms length, warm; /**< requests before @warm are left out of the statistics */
};

/** What became of the requests of a trace under one policy. */
struct outcome {
	double *answer_ms; /**< by request; negative: not answered with success */
	uint8_t *target;   /**< by request: last target it ran at, 255 when none */
	uint8_t *flow_moved;
	uint64_t starts; /**< requests that started at a target, repeats included */
};

void trace_targets_make(struct trace_targets *t, uint64_t seed);
/** Flows with about 20 requests, gaps of 5 mean service times; @load as a share of capacity. */
struct trace *trace_new(const struct trace_targets *t, double load, ht_ms length, uint64_t seed);
void trace_free(struct trace *trace);

void outcome_init(struct outcome *o, const struct trace *trace);
void outcome_clear(struct outcome *o);
/** 99th percentile of the answer times, in mean service times. */
double outcome_p99(const struct outcome *o, const struct trace *trace);
/** Share of the flows that ran at more than one target. */
double outcome_moved(const struct outcome *o, const struct trace *trace);
/** Requests answered with success per second, as a share of the capacity. */
double outcome_goodput(const struct outcome *o, const struct trace *trace,
		       const struct trace_targets *t);

enum policy {
	POLICY_RANDOM,	     /**< each flow at a target chosen at random */
	POLICY_HASH,	     /**< weighted rendezvous hashing alone */
	POLICY_LEAST_WAIT,   /**< oracle: each flow at the shortest wait, ties by speed */
	POLICY_FIRST_ANSWER, /**< oracle: each flow where its first answer is expected first */
};

/** Runs the policy over first-in, first-out queues without limits; one hop of 1 ms each way. */
void policy_run(struct outcome *o, const struct trace *trace, const struct trace_targets *t,
		enum policy policy, const struct ht_service_conf *svc, uint64_t seed);

/** Key of a flow of a trace. */
uint64_t trace_flow_id(uint32_t flow);
/** Run time of a request at a target, in ms. */
ht_ms trace_run_ms(const struct trace_request *r, const struct trace_targets *t, int target);

#endif
