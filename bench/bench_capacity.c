/*
 * Slopes of the core's memory, processor time, control bytes and platform calls. All figures come
 * from cores in one process over the in-memory network of bench/sim.h. Processor time is the
 * process's own (CLOCK_PROCESS_CPUTIME_ID) and includes packing, unpacking and the simulation's
 * event queue, so it is an upper bound for the core. Run with the names of parts to limit it.
 */
#include "bench/capacity.h"

#include "base/hash.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

void series_add(struct series *s, double x, double y)
{
	if (s->count == POINTS)
		abort();
	s->x[s->count] = x;
	s->y[s->count++] = y;
}

void series_print(const struct series *s)
{
	double mx = 0, my = 0, sxy = 0, sxx = 0;

	for (int i = 0; i < s->count; i++) {
		mx += s->x[i] / s->count;
		my += s->y[i] / s->count;
	}
	for (int i = 0; i < s->count; i++) {
		sxy += (s->x[i] - mx) * (s->y[i] - my);
		sxx += (s->x[i] - mx) * (s->x[i] - mx);
	}
	printf("%-44s slope %.5g, at 0 %.5g %s |", s->what, sxy / sxx, my - sxy / sxx * mx,
	       s->unit);
	for (int i = 0; i < s->count; i++)
		printf(" %.6g:%.6g", s->x[i], s->y[i]);
	printf("\n");
	fflush(stdout);
}

size_t heap_bytes(const struct sim *s)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd - (s ? sim_own_bytes(s) : 0);
}

double cpu_seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

void capacity_apply(struct sim *s, uint64_t version, const struct rules_shape *shape)
{
	char *text = rules_text(shape);

	sim_apply(s, version, text);
	free(text);
}

struct sim *capacity_sim(uint64_t seed, int nodes, const struct rules_shape *shape)
{
	struct sim *s = sim_new(seed);
	char name[32];

	capacity_apply(s, 1, shape);
	for (int i = 0; i < nodes; i++) {
		snprintf(name, sizeof(name), "%s-%d", rules_dc(0), i + 1);
		sim_add(s, name, rules_dc(0), 1);
	}
	sim_publish(s);
	for (int i = 0; i < nodes; i++)
		sim_start(s, i);
	sim_run(s, s->now + 60000);
	return s;
}

struct ht_request capacity_get(uint64_t flow, uint32_t token)
{
	struct ht_request req = {.service = ht_hash_str("stock-00000"),
				 .flow = ht_hash_pair(flow, 77),
				 .token_len = 4,
				 .method = HT_GET,
				 .path = "stock",
				 .query = "id=123456"};

	memcpy(req.token, &token, sizeof(token));
	return req;
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} parts[] = {{"memory", capacity_memory},
		     {"cpu", capacity_cpu},
		     {"control", capacity_control},
		     {"bursts", capacity_bursts}};

	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		bool wanted = argc < 2;

		for (int k = 1; k < argc; k++)
			wanted |= strcmp(argv[k], parts[i].name) == 0;
		if (!wanted)
			continue;
		printf("-- %s\n", parts[i].name);
		parts[i].run();
	}
	return 0;
}
