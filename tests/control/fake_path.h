/* Types of the in-memory network in net.h, and the fake request path of its cores. */
#ifndef HT_TESTS_CONTROL_FAKE_PATH_H
#define HT_TESTS_CONTROL_FAKE_PATH_H

#include "base/hash.h"
#include "core/services.h"
#include "rules/rules.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_NODES 12
#define MAX_TARGETS 8
#define SLOTS 3
#define LATENCY 1
#define MAX_RUN_MS 2000 /* deadline that each request to a target carries */

struct net;

/* Fake request path: counts the requests in flight that start_requests() puts on the targets. */
struct ht_request_path {
	struct ht_env *env;
	struct ht_router_if router;
	struct ht_targets_if targets;
	struct ht_ledger_if ledger;
	uint32_t in_flight[MAX_TARGETS];
	int handed_over, config_changes;
	bool ack_missing; /* a ledger batch has not been acknowledged */
	uint32_t pending; /* answers that the router has yet to send */
};

struct node {
	struct net *net;
	int index;
	char name[HT_NAME_MAX];
	const char *dc;
	double size;
	struct ht_core *core;
	struct ht_request_path *path;
	const struct ht_ownership_if *ownership;
	const struct ht_membership_if *members;
	uint64_t incarnation;
	ht_ms timer;
	bool frozen, listed, stopped;
	ht_ms isolated_until; /* end of its requests when isolated */
	uint64_t last_version;
	ht_ms version_at;
	unsigned int events[100]; /* count by event number - 1000 */
};

struct packet {
	int from, to;
	uint64_t incarnation, sender; /* incarnations of the receiver and the sender */
	ht_ms due;
	uint8_t *data;
	size_t len;
};

struct running {
	int node, target;
	uint64_t incarnation;
	ht_ms end;
	bool noticed;
};

struct call {
	int node;
	uint64_t incarnation;
	enum ht_platform_call kind;
	uint64_t known;
	ht_ms due;
};

struct net {
	ht_ms now;
	uint64_t seed;
	struct node nodes[MAX_NODES];
	int count;
	bool cut[MAX_NODES][MAX_NODES];
	bool wanted[MAX_NODES][MAX_NODES];	/* links to open */
	uint64_t link[MAX_NODES][MAX_NODES][2]; /* incarnations of both ends, lower index first */
	bool hidden[MAX_NODES][MAX_NODES];	/* [i][j]: the list that i gets omits j */
	struct packet *packets;
	size_t packet_count;
	struct running *running;
	size_t running_count;
	struct call calls[64];
	size_t call_count;
	unsigned int calls_by_kind[4];
	struct ht_config *head;
	uint64_t top_version;
	bool platform_down;
	uint64_t era, revision; /* of the list of instances */
	struct ht_instance_info list[MAX_NODES];
	int list_count;
	uint64_t targets[MAX_TARGETS];
	int target_count;
	bool load;			     /* use every usable slot */
	int bound_extra;		     /* excess over the slots that a test permits */
	int peak;			     /* most slots of one target in use at once */
	ht_ms gap[MAX_TARGETS], longest_gap; /* ms without any usable slot */
	uint64_t lost;			     /* packets dropped by cuts */
	bool trace;			     /* print events: NET_TRACE is set */
	bool drop;			     /* cut links lose packets instead of delaying them */
	char last_status[512];
	/* Called with each packet, whose arrival it may delay; may be NULL. */
	void (*on_send)(struct packet *p, const Ht__PeerMsg *msg);
};

static inline uint64_t net_random(struct net *net)
{
	net->seed = net->seed * 6364136223846793005ULL + 1442695040888963407ULL;
	return net->seed >> 33;
}

static inline int target_index(const struct net *net, uint64_t target)
{
	for (int i = 0; i < net->target_count; i++)
		if (net->targets[i] == target)
			return i;
	return -1;
}

static inline struct net *net_of(struct ht_env *env)
{
	return ((struct node *)env->params.ctx)->net;
}

static uint32_t fake_in_flight(void *ctx, uint64_t target)
{
	struct ht_request_path *p = ctx;
	int i = target_index(net_of(p->env), target);

	return i < 0 ? 0 : p->in_flight[i];
}

static void fake_target(void *ctx, uint64_t target)
{
	(void)ctx;
	(void)target;
}

static void fake_config_changed(void *ctx)
{
	((struct ht_request_path *)ctx)->config_changes++;
}

static uint32_t fake_open(void *ctx)
{
	struct ht_request_path *p = ctx;
	uint32_t n = 0;

	for (int i = 0; i < MAX_TARGETS; i++)
		n += p->in_flight[i];
	return n;
}

static void fake_hand_over(void *ctx, uint64_t target, uint64_t to)
{
	(void)target;
	(void)to;
	((struct ht_request_path *)ctx)->handed_over++;
}

static void fake_hand_over_all(void *ctx)
{
	((struct ht_request_path *)ctx)->handed_over++;
}

static bool fake_handed_over(void *ctx)
{
	return !((struct ht_request_path *)ctx)->ack_missing;
}

static uint32_t fake_pending(void *ctx)
{
	return ((struct ht_request_path *)ctx)->pending;
}

static void fake_peer_down(void *ctx, uint64_t peer, enum ht_peer_down_reason reason)
{
	(void)ctx;
	(void)peer;
	(void)reason;
}

struct ht_request_path *ht_request_path_new(struct ht_env *env)
{
	struct ht_request_path *p = calloc(1, sizeof(*p));

	p->env = env;
	p->router = (struct ht_router_if){
		.ctx = p, .pending = fake_pending, .peer_down = fake_peer_down};
	p->targets = (struct ht_targets_if){.ctx = p,
					    .in_flight = fake_in_flight,
					    .owner_changed = fake_target,
					    .config_changed = fake_config_changed,
					    .open_requests = fake_open};
	p->ledger = (struct ht_ledger_if){.ctx = p,
					  .hand_over = fake_hand_over,
					  .hand_over_all = fake_hand_over_all,
					  .handed_over = fake_handed_over};
	ht_registry_add(env->registry, "router", &p->router);
	ht_registry_add(env->registry, "targets", &p->targets);
	ht_registry_add(env->registry, "ledger", &p->ledger);
	((struct node *)env->params.ctx)->path = p;
	return p;
}

void ht_request_path_free(struct ht_request_path *p)
{
	free(p);
}

#endif
