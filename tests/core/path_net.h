/*
 * Several request paths in one process, with fakes of env, config, membership and ownership. The
 * simulated network packs and unpacks each message and delivers it after 1 ms; the test itself
 * answers for the targets.
 */
#ifndef HT_TESTS_CORE_PATH_NET_H
#define HT_TESTS_CORE_PATH_NET_H

#include "base/hash.h"
#include "core/path.h"

#include <check.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 5
#define TARGETS 8
#define FRAMES 4096
#define HANDLES 4096

struct net;

struct node {
	struct net *net;
	struct ht_env env;
	struct ht_request_path *path;
	struct ht_router_if *router;
	struct ht_targets_if *targets;
	struct ht_ledger_if *ledger;
	struct ht_tick_if *tick;
	struct ht_config_if config;
	struct ht_membership_if membership;
	struct ht_ownership_if ownership;
	struct ht_core_ops ops;
	struct ht_config *cfg;
	const struct ht_service_conf *prev_sets[4];
	bool dead;
	bool no_lease;
	ht_ms taken_over[TARGETS];
	int home_view[TARGETS];	  /* home in this node's view; -2: net.home */
	int owner_state[TARGETS]; /* enum ht_owner_state; -1: owned if this node is home */
	unsigned int versions_seen;
	unsigned int events[2000];
};

struct frame {
	ht_ms due;
	int from, to;
	size_t len;
	uint8_t *data;
};

struct sent {
	int node;
	uint64_t id;
	uint64_t target;
	uint8_t method;
	char service[HT_NAME_MAX];
	char path[64];
	ht_ms deadline, at;
	bool done, cancelled;
};

struct got {
	int count;
	ht_ms at;
	struct ht_answer a;
	char payload[1200];
};

struct net {
	ht_ms now;
	struct node nodes[NODES];
	int node_count;
	int home[TARGETS];
	struct frame frames[FRAMES];
	int frame_count;
	struct sent sent[HANDLES];
	int sent_count;
	struct got got[HANDLES];
	bool cut[NODES][NODES];
	uint64_t seed;
	struct ht_config *cfg;
	struct ht_config *old[16];
	int old_count;
	unsigned int frames_sent; /* total number of frames sent */
};

static inline uint64_t target_id(int i)
{
	char text[HT_ADDR_TEXT];

	snprintf(text, sizeof(text), "127.0.0.1:%d", 9000 + i);
	return ht_hash_str(text);
}

static inline int target_index(uint64_t id)
{
	for (int i = 0; i < TARGETS; i++)
		if (target_id(i) == id)
			return i;
	ck_abort_msg("unknown target");
	return -1;
}

static inline uint64_t node_id(int i)
{
	char name[16];

	snprintf(name, sizeof(name), "n%d", i);
	return ht_hash_str(name);
}

static inline int node_index(struct net *net, uint64_t id)
{
	for (int i = 0; i < net->node_count; i++)
		if (node_id(i) == id)
			return i;
	return -1;
}

/* Configuration of service "svc" with targets @first to @last; @draining is one of them or -1. */
static inline struct ht_config *make_config(uint64_t version, int first, int last, int draining,
					    enum ht_affinity affinity)
{
	struct ht_config *cfg = ht_config_new(version, "test", "");
	struct ht_service_conf svc = {.name = "svc", .deadline = 1000, .affinity = affinity};
	struct ht_err err;

	ck_assert(ht_config_add_service(cfg, &svc));
	for (int i = first; i <= last; i++) {
		struct ht_target_conf t = {.slots = 3, .weight = 1, .draining = i == draining};
		char text[HT_ADDR_TEXT];

		snprintf(t.name, sizeof(t.name), "t%d", i);
		snprintf(t.dc, sizeof(t.dc), "dc");
		snprintf(text, sizeof(text), "127.0.0.1:%d", 9000 + i);
		ck_assert(ht_addr_parse(&t.addr, text, &err));
		ck_assert(ht_config_add_target(cfg, "svc", &t));
	}
	ck_assert(ht_config_seal(cfg, &err));
	return cfg;
}

static bool fake_send(struct ht_env *env, uint64_t peer, Ht__PeerMsg *msg)
{
	struct node *n = ht_container_of(env, struct node, env);
	struct net *net = n->net;
	int to = node_index(net, peer), from = (int)(n - net->nodes);
	struct frame *f = &net->frames[net->frame_count];

	if (to < 0 || net->nodes[to].dead || net->cut[from][to])
		return false;
	ck_assert_int_lt(net->frame_count, FRAMES);
	*f = (struct frame){.due = net->now + 1, .from = from, .to = to};
	f->len = ht__peer_msg__get_packed_size(msg);
	f->data = malloc(f->len + 1);
	ht__peer_msg__pack(msg, f->data);
	net->frame_count++;
	net->frames_sent++;
	return true;
}

static void fake_wake(struct ht_env *env, ht_ms due)
{
	(void)env;
	(void)due;
}

static void fake_emit(struct ht_env *env, enum ht_event_number number, uint64_t flow,
		      uint64_t request, uint64_t target, uint64_t instance, const char *fmt, ...)
	__attribute__((format(printf, 7, 8)));

static void fake_emit(struct ht_env *env, enum ht_event_number number, uint64_t flow,
		      uint64_t request, uint64_t target, uint64_t instance, const char *fmt, ...)
{
	struct node *n = ht_container_of(env, struct node, env);
	char detail[112];
	va_list ap;

	(void)target;
	(void)instance;
	n->events[number]++;
	va_start(ap, fmt);
	vsnprintf(detail, sizeof(detail), fmt, ap);
	va_end(ap);
	if (getenv("HT_TEST_TRACE"))
		printf("%6lld n%d %s flow=%llx req=%llx %s\n", (long long)n->net->now,
		       (int)(n - n->net->nodes), ht_event_info(number)->name,
		       (unsigned long long)flow, (unsigned long long)request, detail);
}

static uint64_t fake_random(struct ht_env *env)
{
	struct node *n = ht_container_of(env, struct node, env);

	return ht_hash_pair(n->net->seed++, 1);
}

static struct ht_config *fake_current(void *ctx)
{
	return ((struct node *)ctx)->cfg;
}

static const struct ht_service_conf *fake_previous(void *ctx, uint64_t service, unsigned int k)
{
	(void)service;
	return ((struct node *)ctx)->prev_sets[k];
}

static void fake_seen(void *ctx, uint64_t peer, uint64_t version)
{
	(void)peer;
	(void)version;
	((struct node *)ctx)->versions_seen++;
}

static uint64_t fake_home(void *ctx, uint64_t target, const char *dc)
{
	struct node *n = ctx;
	int t = target_index(target);
	int home = n->home_view[t] == -2 ? n->net->home[t] : n->home_view[t];

	(void)dc;
	return home < 0 || n->net->nodes[home].dead ? 0 : node_id(home);
}

static uint64_t fake_by_incarnation(void *ctx, uint64_t incarnation)
{
	struct node *n = ctx;

	for (int i = 0; i < n->net->node_count; i++)
		if (n->net->nodes[i].env.params.incarnation == incarnation &&
		    !n->net->nodes[i].dead)
			return node_id(i);
	return 0;
}

static bool fake_reachable(void *ctx, uint64_t instance)
{
	struct node *n = ctx;
	int i = node_index(n->net, instance);

	return i >= 0 && !n->net->nodes[i].dead;
}

static bool fake_lease(void *ctx)
{
	return !((struct node *)ctx)->no_lease;
}

static enum ht_owner_state fake_state(void *ctx, uint64_t target)
{
	struct node *n = ctx;
	int t = target_index(target);

	if (n->owner_state[t] >= 0)
		return (enum ht_owner_state)n->owner_state[t];
	return n->net->home[t] == n - n->net->nodes ? HT_OWNER_OWNED : HT_OWNER_NONE;
}

static uint32_t fake_slots(void *ctx, uint64_t target)
{
	struct node *n = ctx;

	return !n->no_lease && fake_state(ctx, target) == HT_OWNER_OWNED ? 3 : 0;
}

static ht_ms fake_taken_over(void *ctx, uint64_t target)
{
	return ((struct node *)ctx)->taken_over[target_index(target)];
}

static void fake_request_ended(void *ctx, uint64_t target)
{
	(void)ctx;
	(void)target;
}

static void op_answer(void *ctx, uint64_t handle, const struct ht_answer *a)
{
	struct node *n = ctx;
	struct got *g = &n->net->got[handle];

	g->count++;
	g->at = n->net->now;
	g->a = *a;
	ck_assert_uint_lt(a->payload_len, sizeof(g->payload));
	if (a->payload_len)
		memcpy(g->payload, a->payload, a->payload_len);
	g->payload[a->payload_len] = 0;
}

static void op_send_target(void *ctx, const struct ht_target_request *req)
{
	struct node *n = ctx;
	struct sent *s = &n->net->sent[n->net->sent_count++];

	ck_assert_int_lt(n->net->sent_count, HANDLES);
	*s = (struct sent){.node = (int)(n - n->net->nodes),
			   .id = req->id,
			   .target = req->target,
			   .method = req->method,
			   .deadline = req->deadline,
			   .at = n->net->now};
	snprintf(s->service, sizeof(s->service), "%s", req->service_name);
	snprintf(s->path, sizeof(s->path), "%s", req->path);
}

static void op_cancel_target(void *ctx, uint64_t target, uint64_t id)
{
	struct node *n = ctx;

	(void)target;
	for (int i = 0; i < n->net->sent_count; i++)
		if (n->net->sent[i].id == id && n->net->sent[i].node == n - n->net->nodes)
			n->net->sent[i].cancelled = true;
}

static void op_open(void *ctx, const struct ht_target_conf *conf, const char *service)
{
	(void)ctx;
	(void)conf;
	(void)service;
}

static void op_close(void *ctx, uint64_t target)
{
	(void)ctx;
	(void)target;
}

static inline void node_start(struct net *net, int i, struct ht_core_params *params)
{
	struct node *n = &net->nodes[i];

	*n = (struct node){.net = net, .cfg = net->cfg};
	memset(n->owner_state, 0xff, sizeof(n->owner_state));
	for (int t = 0; t < TARGETS; t++) {
		n->taken_over[t] = HT_NEVER;
		n->home_view[t] = -2;
	}
	n->ops = (struct ht_core_ops){.answer = op_answer,
				      .send_target = op_send_target,
				      .cancel_target = op_cancel_target,
				      .open_target = op_open,
				      .close_target = op_close};
	n->env = (struct ht_env){.params = *params,
				 .registry = ht_registry_new(),
				 .now = net->now,
				 .send = fake_send,
				 .wake_at = fake_wake,
				 .emit = fake_emit,
				 .random = fake_random,
				 .self = node_id(i)};
	n->env.params.ops = &n->ops;
	n->env.params.ctx = n;
	n->env.params.incarnation = ht_hash_pair(node_id(i), ++net->seed);
	n->env.params.ticket_key[0] = (uint8_t)net->seed;
	n->config = (struct ht_config_if){.ctx = n,
					  .current = fake_current,
					  .previous_set = fake_previous,
					  .seen = fake_seen};
	n->membership = (struct ht_membership_if){.ctx = n,
						  .home = fake_home,
						  .by_incarnation = fake_by_incarnation,
						  .reachable = fake_reachable,
						  .lease_valid = fake_lease};
	n->ownership = (struct ht_ownership_if){.ctx = n,
						.state = fake_state,
						.slots = fake_slots,
						.taken_over_at = fake_taken_over,
						.request_ended = fake_request_ended};
	ht_registry_add(n->env.registry, "config", &n->config);
	ht_registry_add(n->env.registry, "membership", &n->membership);
	ht_registry_add(n->env.registry, "ownership", &n->ownership);
	n->path = ht_request_path_new(&n->env);
	ck_assert_ptr_nonnull(n->path);
	n->router = ht_registry_find(n->env.registry, "router");
	n->targets = ht_registry_find(n->env.registry, "targets");
	n->ledger = ht_registry_find(n->env.registry, "ledger");
	n->tick = ht_registry_find(n->env.registry, "request_path.tick");
}

/* Makes target @t up and warm at node @i: all 3 slots usable, service time 10 ms. */
static inline void target_up(struct net *net, int i, int t)
{
	struct node *n = &net->nodes[i];
	struct ht_target *target;
	uint64_t id = target_id(t);

	n->targets->owner_changed(n->targets->ctx, id);
	n->router->target_state(n->router->ctx, id, HT_TARGET_UP);
	target = g_hash_table_lookup(n->path->targets, &id);
	target->ramp = 3;
	target->service_time = 10;
}

static inline struct ht_core_params net_params(void)
{
	return (struct ht_core_params){.claim_wait = 200,
				       .flow_idle = 600000,
				       .target_deadline = 2000,
				       .flow_table_max = 4096,
				       .answer_cache_bytes = 1 << 20,
				       .queue_max = 64,
				       .retry_ratio = 0.1,
				       .retry_burst = 10};
}

/* Creates @nodes instances; the home of target i is instance i modulo @nodes. Takes @cfg over. */
static inline struct net *net_new(int nodes, struct ht_config *cfg, struct ht_core_params params)
{
	struct net *net = calloc(1, sizeof(*net));

	net->now = 1000000;
	net->node_count = nodes;
	net->cfg = cfg;
	for (int t = 0; t < TARGETS; t++)
		net->home[t] = t % nodes;
	for (int i = 0; i < nodes; i++)
		node_start(net, i, &params);
	for (int t = 0; t < TARGETS; t++)
		if (ht_config_target(cfg, target_id(t)))
			target_up(net, net->home[t], t);
	return net;
}

static inline void net_free(struct net *net)
{
	for (int i = 0; i < net->node_count; i++) {
		ht_request_path_free(net->nodes[i].path);
		ht_registry_free(net->nodes[i].env.registry);
	}
	for (int i = 0; i < net->frame_count; i++)
		free(net->frames[i].data);
	for (int i = 0; i < net->old_count; i++)
		ht_config_put(net->old[i]);
	ht_config_put(net->cfg);
	free(net);
}

static inline void deliver(struct net *net, const struct frame *f)
{
	struct node *n = &net->nodes[f->to];
	Ht__PeerMsg *m = ht__peer_msg__unpack(NULL, f->len, f->data);
	uint64_t peer = node_id(f->from);

	ck_assert_ptr_nonnull(m);
	switch (m->kind_case) {
	case HT__PEER_MSG__KIND_FORWARD:
		n->router->forward(n->router->ctx, peer, m->forward);
		break;
	case HT__PEER_MSG__KIND_ANSWER:
		n->router->answer(n->router->ctx, peer, m->answer);
		break;
	case HT__PEER_MSG__KIND_RETURNED:
		n->router->returned(n->router->ctx, peer, m->returned);
		break;
	case HT__PEER_MSG__KIND_LEDGER_ENTRIES:
		n->ledger->entries(n->ledger->ctx, peer, m->ledger_entries);
		break;
	case HT__PEER_MSG__KIND_LEDGER_ACK:
		n->ledger->ack(n->ledger->ctx, peer, m->ledger_ack);
		break;
	default:
		break;
	}
	ht__peer_msg__free_unpacked(m, NULL);
}

#endif
