/*
 * Requests served in time and turned away under each load pattern, in one run on the same queues
 * (bench/queuesim.h): as before admission by class, with it, and by an oracle.
 */
#include "bench/queuesim.h"

#include <stdio.h>

#define WARM_MS 4000
#define LOAD_MS 12000
#define SEEDS 3
#define URGENT 0
#define OTHER 1

struct pattern {
	const char *name;
	void (*begin)(struct queuesim *sim, const struct queuesim_params *p);
	void (*at_step)(struct queuesim *sim, const struct queuesim_params *p, int step);
};

static void set_loads(struct queuesim *sim, const struct queuesim_params *p, double urgent,
		      double other)
{
	for (size_t i = 0; i < p->dcs; i++) {
		queuesim_set_load(sim, i, URGENT, urgent);
		queuesim_set_load(sim, i, OTHER, other);
	}
}

static void burst_of_all(struct queuesim *sim, const struct queuesim_params *p)
{
	set_loads(sim, p, 0.6, 1.4);
}

static void burst_of_one_kind(struct queuesim *sim, const struct queuesim_params *p)
{
	set_loads(sim, p, 0.3, 2.0);
}

static void burst_in_one_data_centre(struct queuesim *sim, const struct queuesim_params *p)
{
	set_loads(sim, p, 0.2, 0.3);
	queuesim_set_load(sim, 0, URGENT, 0.6);
	queuesim_set_load(sim, 0, OTHER, 1.0);
}

static void half_of_the_targets_lost(struct queuesim *sim, const struct queuesim_params *p)
{
	set_loads(sim, p, 0.3, 0.4);
	for (size_t i = 0; i < p->dcs; i++)
		queuesim_stop_targets(sim, i, 0, p->targets / 2);
}

static void a_third_of_the_targets_slow(struct queuesim *sim, const struct queuesim_params *p)
{
	set_loads(sim, p, 0.3, 0.6);
	for (size_t i = 0; i < p->dcs; i++)
		queuesim_set_speed(sim, i, 0, p->targets / 3, 0.2);
}

/* One target in six restarts at a time. */
static void release_during_a_burst(struct queuesim *sim, const struct queuesim_params *p, int step)
{
	size_t n = p->targets / 6, at = (size_t)step % 6 * n;

	for (size_t i = 0; i < p->dcs; i++) {
		if (step > 0)
			queuesim_start_targets(sim, i, (at + p->targets - n) % p->targets, n);
		if (step < 6)
			queuesim_drain_targets(sim, i, at, n);
	}
}

static void recovery_of_all(struct queuesim *sim, const struct queuesim_params *p, int step)
{
	if (step != 4)
		return;
	for (size_t i = 0; i < p->dcs; i++)
		queuesim_start_targets(sim, i, 0, p->targets / 2);
}

static const struct pattern patterns[] = {
	{"burst of all", burst_of_all, NULL},
	{"burst of one kind", burst_of_one_kind, NULL},
	{"burst in one data centre", burst_in_one_data_centre, NULL},
	{"half of the targets lost", half_of_the_targets_lost, NULL},
	{"a third of the targets slow", a_third_of_the_targets_slow, NULL},
	{"a release during a burst", burst_of_all, release_during_a_burst},
	{"recovery of all", half_of_the_targets_lost, recovery_of_all},
};

struct result {
	double asked[2], served[2], in_aim[2], turned[2], shed[2], delayed;
};

static void add_sums(struct result *out, const struct queuesim *sim,
		     const struct queuesim_params *p)
{
	for (size_t c = 0; c < 2; c++) {
		struct queuesim_sums sums = queuesim_sums(sim, p->dcs, c);

		out->asked[c] += (double)sums.asked;
		out->served[c] += (double)sums.served;
		out->in_aim[c] += (double)sums.in_aim;
		out->turned[c] += (double)sums.turned;
		out->shed[c] += (double)sums.shed;
		out->delayed += (double)sums.delayed;
	}
}

static void play(struct result *out, const struct pattern *pattern, enum queuesim_policy policy,
		 uint64_t seed)
{
	struct queuesim_params p;
	struct queuesim *sim;

	queuesim_params_default(&p);
	p.policy = policy;
	p.seed = seed;
	sim = queuesim_new(&p);
	set_loads(sim, &p, 0.2, 0.3);
	queuesim_run(sim, WARM_MS);
	queuesim_clear(sim);
	pattern->begin(sim, &p);
	for (int step = 0; step < LOAD_MS / 1000; step++) {
		if (pattern->at_step)
			pattern->at_step(sim, &p, step);
		queuesim_run(sim, 1000);
	}
	add_sums(out, sim, &p);
	queuesim_free(sim);
}

static void print_result(const char *policy, const struct result *r)
{
	printf("  %-9s", policy);
	for (size_t c = 0; c < 2; c++)
		printf("  %8.1f %8.1f %8.0f", 100 * r->served[c] / r->asked[c],
		       100 * r->in_aim[c] / r->asked[c], r->turned[c] / SEEDS);
	printf("  %8.1f %8.0f %8.0f\n",
	       100 * (r->served[0] + r->served[1]) / (r->asked[0] + r->asked[1]),
	       (r->shed[0] + r->shed[1]) / SEEDS, r->delayed / SEEDS);
}

int main(void)
{
	static const char *const names[] = {"before", "admission", "oracle"};

	printf("admission: 3 data centres of 12 targets, state 400 ms old, %d s, mean of %d "
	       "seeds\n",
	       LOAD_MS / 1000, SEEDS);
	printf("             urgent: %% served in time, %% within the aim, requests turned away; "
	       "other: "
	       "the same; all: %% served, tries reset by full targets, copies delayed\n");
	for (size_t i = 0; i < sizeof(patterns) / sizeof(patterns[0]); i++) {
		printf("%s\n", patterns[i].name);
		for (int policy = 0; policy < QUEUESIM_POLICIES; policy++) {
			struct result result = {0};

			for (uint64_t seed = 1; seed <= SEEDS; seed++)
				play(&result, &patterns[i], policy, seed);
			print_result(names[policy], &result);
		}
		fflush(stdout);
	}
	return 0;
}
