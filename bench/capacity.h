/* Parts of the capacity measurement and what they share. */
#ifndef HT_BENCH_CAPACITY_H
#define HT_BENCH_CAPACITY_H

#include "bench/rules_text.h"
#include "bench/sim.h"

#define POINTS 6

/** One series: a value at each of several sizes, and the slope by least squares. */
struct series {
	const char *what;
	const char *unit;
	int count;
	double x[POINTS], y[POINTS];
};

void series_add(struct series *s, double x, double y);
/** Prints the points, the slope (unit per step of x) and the value at x = 0. */
void series_print(const struct series *s);

/** Bytes of the heap in use, without what the simulation holds. */
size_t heap_bytes(const struct sim *s);
/** Processor time of the process, in seconds. */
double cpu_seconds(void);

/** A data centre of @nodes instances with @shape in force; runs until all targets are owned. */
struct sim *capacity_sim(uint64_t seed, int nodes, const struct rules_shape *shape);
void capacity_apply(struct sim *s, uint64_t version, const struct rules_shape *shape);
/** A GET of flow number @flow; the first service unless @service is given. */
struct ht_request capacity_get(uint64_t flow, uint32_t token);

void capacity_memory(void);
void capacity_cpu(void);
void capacity_control(void);
void capacity_bursts(void);

#endif
