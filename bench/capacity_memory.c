/* Memory: bytes of the heap per flow, request kept, target, service and instance known. */
#include "bench/capacity.h"

#include <stdio.h>
#include <stdlib.h>

/* Heap bytes of one core with the configuration; @changes: further versions adopted. */
static double config_bytes(const struct rules_shape *shape, int changes)
{
	struct sim *s = sim_new(1);
	struct rules_shape next = *shape;
	size_t before;
	double used;

	sim_add(s, "solo", "elsewhere", 1);
	before = heap_bytes(s);
	capacity_apply(s, 1, shape);
	sim_publish(s);
	sim_start(s, 0);
	sim_run(s, s->now + 5000);
	for (int i = 0; i < changes; i++) {
		next.changed++;
		capacity_apply(s, 2 + (uint64_t)i, &next);
		sim_run(s, s->now + 100);
	}
	if (ht_core_config(s->nodes[0].core)->version != 1 + (uint64_t)changes)
		abort();
	used = (double)(heap_bytes(s) - before);
	sim_free(s);
	return used;
}

static void configuration(void)
{
	static const int targets[] = {2625, 5250, 10500, 21000}, services[] = {1000, 4000, 8100};
	struct series per_target = {.what = "memory per target known (100 services)", .unit = "B"};
	struct series per_service = {.what = "memory per service known (8,100 targets)",
				     .unit = "B"};
	struct series per_change = {
		.what = "memory per change kept (2,625 targets, 1,000 services)", .unit = "B"};
	struct rules_shape shape = {.services = 1000, .targets = 2625, .dcs = 26};

	for (int i = 0; i < 4; i++)
		series_add(&per_target, targets[i],
			   config_bytes(&(struct rules_shape){.services = 100,
							      .targets = targets[i],
							      .dcs = 26},
					0));
	series_print(&per_target);
	for (int i = 0; i < 3; i++)
		series_add(&per_service, services[i],
			   config_bytes(&(struct rules_shape){.services = services[i],
							      .targets = 8100,
							      .dcs = 26},
					0));
	series_print(&per_service);
	for (int i = 0; i <= 32; i += 8)
		series_add(&per_change, i, config_bytes(&shape, i));
	series_print(&per_change);
}

static double owned_bytes(int targets)
{
	struct rules_shape shape = {.services = 10, .targets = targets, .dcs = 1};
	size_t before = heap_bytes(NULL);
	struct sim *s = capacity_sim(2, 1, &shape);
	double used = (double)(heap_bytes(s) - before);

	sim_free(s);
	return used;
}

static void owned(void)
{
	struct series at_home = {.what = "memory per target known and at home here", .unit = "B"};

	for (int n = 250; n <= 1000; n += 250)
		series_add(&at_home, n, owned_bytes(n));
	series_print(&at_home);
}

static void instances(void)
{
	static const int counts[] = {100, 700, 1400, 2800};
	struct series per_instance = {.what = "memory per instance known", .unit = "B"};
	struct ht_instance_info *list = calloc(2800, sizeof(*list));

	for (int i = 0; i < 2800; i++) {
		list[i].size = 1;
		snprintf(list[i].name, sizeof(list[i].name), "%s-%d", rules_dc(i % 26), i / 26 + 1);
		snprintf(list[i].dc, sizeof(list[i].dc), "%s", rules_dc(i % 26));
		snprintf(list[i].peer_address, sizeof(list[i].peer_address), "10.1.%d.%d:7000",
			 i / 250, i % 250 + 1);
		snprintf(list[i].admin_address, sizeof(list[i].admin_address), "10.1.%d.%d:7001",
			 i / 250, i % 250 + 1);
	}
	for (int i = 0; i < 4; i++) {
		struct sim *s = sim_new(3);
		size_t before;

		sim_add(s, "solo", "elsewhere", 1);
		sim_start(s, 0);
		before = heap_bytes(s);
		ht_core_live_list(s->nodes[0].core, (struct ht_revision){0, 9}, list, counts[i]);
		series_add(&per_instance, counts[i], (double)(heap_bytes(s) - before));
		sim_free(s);
	}
	series_print(&per_instance);
	free(list);
}

/* Flows are opened in batches; each answers at once. Returns heap bytes more than before. */
static double open_flows(struct sim *s, uint64_t first, uint64_t count, size_t before)
{
	for (uint64_t i = 0; i < count; i++) {
		struct ht_request req = capacity_get(first + i, (uint32_t)i);

		sim_request(s, 0, i, &req);
		if (i % 100 == 99)
			sim_run(s, s->now + 5);
	}
	return (double)heap_bytes(s) - (double)before;
}

static ht_ms one_ms(void *ctx, struct sim_node *node, struct sim_target *target,
		    const struct ht_target_request *req)
{
	(void)ctx;
	(void)node;
	(void)target;
	(void)req;
	return 1;
}

/*
 * The table of flows doubles, so the points are full tables. Kept answers are measured apart: the
 * flows are measured when the ledger has forgotten their requests.
 */
static void flows(void)
{
	struct rules_shape shape = {.services = 1, .targets = 200, .dcs = 1};
	struct series held = {.what = "memory per flow held (full tables)", .unit = "B"};
	struct series kept = {.what = "memory per request kept in the ledger", .unit = "B"};
	struct sim *s = capacity_sim(4, 1, &shape);
	uint64_t total = 0;
	size_t before;

	s->hooks.started = one_ms;
	before = heap_bytes(s);
	for (uint64_t size = 16384; size <= 131072; size *= 2) {
		open_flows(s, total, size - total, before);
		total = size;
		sim_run(s, s->now + 130000);
		series_add(&held, (double)size, (double)heap_bytes(s) - (double)before);
	}
	series_print(&held);
	printf("flows opened %llu, evicted or dropped %llu\n",
	       (unsigned long long)sim_counter(s, HT_C_flows_opened),
	       (unsigned long long)sim_counter(s, HT_C_flows_dropped));
	before = heap_bytes(s);
	for (int i = 1; i <= 4; i++)
		series_add(&kept, 8000 * i, open_flows(s, (uint64_t)i * 1000000, 8000, before));
	series_print(&kept);
	sim_free(s);
}

void capacity_memory(void)
{
	configuration();
	owned();
	instances();
	flows();
}
