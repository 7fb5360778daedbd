/* Processor time per new flow, request, heartbeat, configuration change and claim. */
#include "bench/capacity.h"

#include <stdio.h>
#include <stdlib.h>

static ht_ms one_ms(void *ctx, struct sim_node *node, struct sim_target *target,
		    const struct ht_target_request *req)
{
	(void)ctx;
	(void)node;
	(void)target;
	(void)req;
	return 1;
}

/* Requests at instance 0, @per_flow to each flow; returns processor time in microseconds. */
static double request_time(struct sim *s, int count, int per_flow)
{
	static uint64_t flow;
	double began = cpu_seconds();

	for (int i = 0; i < count; i++) {
		struct ht_request req;

		flow += i % per_flow == 0;
		req = capacity_get(flow, (uint32_t)i);
		sim_request(s, 0, (uint64_t)i, &req);
		if (i % 50 == 49)
			sim_run(s, s->now + 10);
	}
	return (cpu_seconds() - began) * 1e6;
}

static void requests(int nodes)
{
	struct rules_shape shape = {.services = 1, .targets = 200, .dcs = 1};
	struct series fresh = {.what = "CPU per new flow with one request", .unit = "us"};
	struct series known = {.what = "CPU per request, 20 to a flow", .unit = "us"};
	struct sim *s = capacity_sim(5, nodes, &shape);

	s->hooks.started = one_ms;
	request_time(s, 20000, 1);
	for (int n = 20000; n <= 80000; n += 20000) {
		series_add(&fresh, n, request_time(s, n, 1));
		series_add(&known, n, request_time(s, n, 20));
	}
	printf("%d instance(s), whole way from ingress to home and back:\n", nodes);
	series_print(&fresh);
	series_print(&known);
	sim_free(s);
}

/* All instances idle: the processor time is that of heartbeats, almost alone. */
static void heartbeats(void)
{
	static const int sizes[] = {9, 27, 54, 108};

	printf("idle data centre, CPU per heartbeat (sent, received and its share of ticks):\n");
	for (int i = 0; i < 4; i++) {
		struct rules_shape shape = {.services = 3, .targets = 8 * sizes[i], .dcs = 1};
		struct sim *s = capacity_sim(6, sizes[i], &shape);
		uint64_t messages = 0;
		double began, used;

		for (int k = 0; k < sizes[i]; k++)
			messages -= s->nodes[k].received_messages;
		began = cpu_seconds();
		sim_run(s, s->now + 120000);
		used = cpu_seconds() - began;
		for (int k = 0; k < sizes[i]; k++)
			messages += s->nodes[k].received_messages;
		printf("  n=%d: %.2f us a message, %.4f %% of a core for each instance\n", sizes[i],
		       used * 1e6 / (double)messages, used / 120 / sizes[i] * 100);
		fflush(stdout);
		sim_free(s);
	}
}

/* A difference taken from a peer: patch, parse, adopt. The relay's own adoption is left out. */
static double change_time(int targets, int services, int changes)
{
	struct rules_shape shape = {.services = services, .targets = targets, .dcs = 26};
	struct sim *s = capacity_sim(7, 3, &shape);
	double relay, began;

	/* Version 1 is in force at all three; apply itself is not part of an instance's work. */
	began = cpu_seconds();
	for (int i = 0; i < changes; i++) {
		shape.changed++;
		capacity_apply(s, 2 + (uint64_t)i, &shape);
	}
	relay = cpu_seconds() - began;
	began = cpu_seconds();
	for (int i = 0; i < changes; i++) {
		shape.changed++;
		capacity_apply(s, 100 + (uint64_t)i, &shape);
		sim_run(s, s->now + 3000);
	}
	began = cpu_seconds() - began - relay;
	for (int i = 0; i < 3; i++)
		if (ht_core_config(s->nodes[i].core)->version != 99 + (uint64_t)changes)
			abort();
	sim_free(s);
	return began / changes / 3 * 1e6;
}

static void changes(void)
{
	static const int targets[] = {2625, 5250, 10500, 21000};
	struct series s = {.what = "CPU per configuration change, by targets", .unit = "us"};

	for (int i = 0; i < 4; i++)
		series_add(&s, targets[i], change_time(targets[i], targets[i] * 81 / 210, 8));
	series_print(&s);
}

/* One instance ends and comes back: its targets are claimed twice by others and itself. */
static void claims(void)
{
	static const int sizes[] = {9, 27, 54, 108};

	for (int i = 0; i < 4; i++) {
		struct rules_shape shape = {.services = 3, .targets = 8 * sizes[i], .dcs = 1};
		struct sim *s = capacity_sim(8, sizes[i], &shape);
		uint64_t sent = sim_counter(s, HT_C_claims_sent);
		double idle, began = cpu_seconds();

		sim_run(s, s->now + 30000);
		idle = cpu_seconds() - began;
		began = cpu_seconds();
		sim_kill(s, 0, true);
		sim_run(s, s->now + 15000);
		sim_start(s, 0);
		sim_run(s, s->now + 15000);
		began = cpu_seconds() - began - idle;
		sent = sim_counter(s, HT_C_claims_sent) - sent;
		printf("claims, n=%d: %llu sent, %.1f us each at all members together, %.0f us a "
		       "member for one replacement\n",
		       sizes[i], (unsigned long long)sent, began * 1e6 / (double)sent,
		       began * 1e6 / sizes[i]);
		fflush(stdout);
		sim_free(s);
	}
}

void capacity_cpu(void)
{
	requests(1);
	requests(2);
	heartbeats();
	changes();
	claims();
}
