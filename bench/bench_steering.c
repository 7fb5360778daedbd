/*
 * Processor time of one decision on a packet, by the number of targets known, against a search
 * through all targets as baseline. One instance, no sockets, a clock that is advanced.
 */
#include "core/steering.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define DECISIONS 200000
#define ADDRESS 0xc6120001U

struct world {
	struct ht_catalog *cat;
	struct ht_reports reports;
	struct ht_steering *st;
	uint32_t *marks;
	size_t count;
};

static double cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

static void make_world(struct world *w, size_t targets)
{
	struct ht_route_entry route = {.at = {ADDRESS, 443}, .service = "s0"};
	struct ht_route_table table = {.id = {1, {0, 1}}, .count = 1, .entries = &route};
	struct ht_steering_params params;

	*w = (struct world){.cat = ht_catalog_new("d0"), .count = targets};
	w->marks = calloc(targets, sizeof(*w->marks));
	ht_catalog_set_routes(w->cat, &table);
	for (size_t i = 0; i < targets; i++) {
		static const char *const dcs[] = {"d0", "d1", "d2"};
		char name[32];
		struct ht_target_entry e = {.name = name,
					    .id = 0x1000 + i,
					    .at = {0x0a000000U + (uint32_t)i, 80},
					    .service = "s0",
					    .dc = dcs[i % 3],
					    .slots = 3,
					    .revision = {0, i + 1}};

		snprintf(name, sizeof(name), "i-%zx", 0x1000 + i);
		ht_catalog_put_target(w->cat, &e, HT_CATALOG_STORE, 0);
		w->marks[i] = ht_catalog_by_name(w->cat, e.name)->marks[0].value;
	}
	ht_steering_params_default(&params);
	params.catalog = w->cat;
	params.reports = &w->reports;
	params.seed = 1;
	w->st = ht_steering_new(&params);
	ht_steering_set_view_complete(w->st, true);
}

static void free_world(struct world *w)
{
	ht_steering_free(w->st);
	ht_catalog_free(w->cat);
	free(w->marks);
}

static double opening(struct world *w)
{
	double start = cpu_ns();

	for (uint32_t i = 0; i < DECISIONS; i++) {
		struct ht_packet pkt = {.src = {i / 50000, (uint16_t)(i % 50000)},
					.dst = {ADDRESS, 443},
					.opens = true,
					.acknowledged = 2};

		ht_steering_packet(w->st, &pkt, i / 10);
		w->reports.count = 0;
	}
	return (cpu_ns() - start) / DECISIONS;
}

static double marked(struct world *w)
{
	double start = cpu_ns();

	for (uint32_t i = 0; i < DECISIONS; i++) {
		struct ht_packet pkt = {.src = {99, (uint16_t)i},
					.dst = {ADDRESS, 443},
					.mark = w->marks[i % w->count]};

		ht_steering_packet(w->st, &pkt, i / 10);
	}
	return (cpu_ns() - start) / DECISIONS;
}

/* What a list without an index costs for the same look-up. */
static double searched(const struct world *w)
{
	volatile size_t found = 0;
	double start = cpu_ns();
	uint32_t n = DECISIONS / 10;

	for (uint32_t i = 0; i < n; i++) {
		uint32_t mark = w->marks[(i * 7919U) % w->count];

		for (size_t k = 0; k < w->count; k++) {
			if (w->marks[k] == mark) {
				found += k;
				break;
			}
		}
	}
	return (cpu_ns() - start) / n;
}

int main(void)
{
	static const size_t sizes[] = {18, 150, 3000, 21000};

	printf("targets  marked ns  opening ns  search of a plain list ns\n");
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		struct world w;

		make_world(&w, sizes[i]);
		printf("%7zu  %9.0f  %10.0f  %25.0f\n", sizes[i], marked(&w), opening(&w),
		       searched(&w));
		free_world(&w);
	}
	return 0;
}
