/*
 * Several request paths in one process: fakes of env, config, membership and ownership, a network
 * with 1 ms latency whose frames are packed and unpacked, and targets that the test answers.
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
	const struct ht_service_conf *prev[4];
	bool dead;
	bool no_lease;
	ht_ms taken_over[TARGETS];
	int view[TARGETS];  /* home in this node's view, or -2: as in the net */
	int state[TARGETS]; /* enum ht_owner_state, or -1: owned when home */
	unsigned int seen;
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
	unsigned int sends; /* frames sent in all */
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

/* Configuration with targets first..last of service "svc"; @draining is one of them or -1. */
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
	net->sends++;
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
	return ((struct node *)ctx)->prev[k];
}

static void fake_seen(void *ctx, uint64_t peer, uint64_t version)
{
	(void)peer;
	(void)version;
	((struct node *)ctx)->seen++;
}

static uint64_t fake_home(void *ctx, uint64_t target, const char *dc)
{
	struct node *n = ctx;
	int t = target_index(target);
	int home = n->view[t] == -2 ? n->net->home[t] : n->view[t];

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

	if (n->state[t] >= 0)
		return (enum ht_owner_state)n->state[t];
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
	memset(n->state, 0xff, sizeof(n->state));
	for (int t = 0; t < TARGETS; t++) {
		n->taken_over[t] = HT_NEVER;
		n->view[t] = -2;
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

/* Tells node @i that target @t is up and warm, with @answers answers of 10 ms. */
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

/* @nodes instances; target i is at home at instance i modulo @nodes. */
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

/* Moves time by @ms in steps of 1 ms: frames first, in the order sent, then timers. */
static inline void net_run(struct net *net, ht_ms ms)
{
	for (ht_ms end = net->now + ms; net->now < end;) {
		int kept = 0, count;

		net->now++;
		for (int i = 0; i < net->node_count; i++)
			net->nodes[i].env.now = net->now;
		count = net->frame_count;
		for (int i = 0; i < count; i++) {
			struct frame f = net->frames[i];

			if (f.due > net->now)
				continue;
			if (!net->nodes[f.to].dead && !net->cut[f.from][f.to])
				deliver(net, &f);
			free(f.data);
			net->frames[i].data = NULL;
		}
		for (int i = 0; i < net->frame_count; i++)
			if (net->frames[i].data)
				net->frames[kept++] = net->frames[i];
		net->frame_count = kept;
		for (int i = 0; i < net->node_count; i++)
			if (!net->nodes[i].dead)
				net->nodes[i].tick->tick(net->nodes[i].tick->ctx);
	}
}

/* The process of node @i ends: its state is gone and the others see a reset. */
static inline void node_kill(struct net *net, int i)
{
	net->nodes[i].dead = true;
	for (int k = 0; k < net->node_count; k++) {
		struct node *n = &net->nodes[k];

		if (k != i && !n->dead)
			n->router->peer_down(n->router->ctx, node_id(i), HT_PEER_GONE);
	}
}

struct call {
	uint64_t flow;
	const char *token;
	uint8_t method;
	const char *path;
	const uint8_t *ticket;
	ht_ms deadline;
	bool cancel;
	int block; /* Block2 number + 1 */
};

static inline void request(struct net *net, int node, uint64_t handle, struct call c)
{
	struct node *n = &net->nodes[node];
	struct ht_request req = {.service = ht_hash_str("svc"),
				 .flow = c.flow,
				 .method = c.method,
				 .cancel = c.cancel,
				 .path = c.path ? c.path : "x",
				 .query = "id=1",
				 .deadline = c.deadline,
				 .has_block = c.block > 0,
				 .block_num = c.block > 0 ? (uint32_t)c.block - 1 : 0,
				 .block_szx = 6};

	req.token_len = (uint8_t)strlen(c.token);
	memcpy(req.token, c.token, req.token_len);
	if (c.ticket) {
		req.has_ticket = true;
		memcpy(req.ticket, c.ticket, HT_TICKET_LEN);
	}
	n->router->request(n->router->ctx, handle, &req);
}

/* The configuration of node @i becomes @cfg; the net keeps a reference until it is freed. */
static inline void adopt(struct net *net, int i, struct ht_config *cfg)
{
	struct node *n = &net->nodes[i];
	const struct ht_service_conf *old = ht_config_service(n->cfg, ht_hash_str("svc"));
	const struct ht_service_conf *now = ht_config_service(cfg, ht_hash_str("svc"));

	if (old->target_set != now->target_set) {
		memmove(&n->prev[1], &n->prev[0], 3 * sizeof(n->prev[0]));
		n->prev[0] = old;
	}
	n->cfg = cfg;
	for (int t = 0; t < TARGETS; t++)
		if (net->home[t] == i && ht_config_target(cfg, target_id(t)) &&
		    !g_hash_table_lookup(n->path->targets, &(uint64_t){target_id(t)}))
			target_up(net, i, t);
	n->targets->config_changed(n->targets->ctx);
}

/* All nodes adopt @cfg, which becomes the net's. */
static inline void adopt_all(struct net *net, struct ht_config *cfg)
{
	ck_assert_int_lt(net->old_count, 16);
	net->old[net->old_count++] = net->cfg;
	net->cfg = cfg;
	for (int i = 0; i < net->node_count; i++)
		adopt(net, i, cfg);
}

/* Target @t gets the home @to as by a planned change, at this moment. */
static inline void move_home(struct net *net, int t, int to)
{
	struct node *from = &net->nodes[net->home[t]];

	net->home[t] = to;
	net->nodes[to].taken_over[t] = net->now;
	target_up(net, to, t);
	if (!from->dead)
		from->targets->owner_changed(from->targets->ctx, target_id(t));
}

/* The last request sent to a target; NULL when there is none that is open. */
static inline struct sent *last_sent(struct net *net)
{
	for (int i = net->sent_count - 1; i >= 0; i--)
		if (!net->sent[i].done)
			return &net->sent[i];
	return NULL;
}

static inline void target_result(struct net *net, struct sent *s, enum ht_target_result result,
				 const char *payload, bool draining)
{
	struct node *n = &net->nodes[s->node];
	struct ht_target_answer ans = {.id = s->id,
				       .result = result,
				       .code = HT_CONTENT,
				       .draining = draining,
				       .payload = (const uint8_t *)payload,
				       .payload_len = payload ? strlen(payload) : 0};

	s->done = true;
	if (!n->dead)
		n->router->target_answer(n->router->ctx, &ans);
}

/* Answers every open request. */
static inline void answer_all(struct net *net)
{
	for (int i = 0; i < net->sent_count; i++)
		if (!net->sent[i].done)
			target_result(net, &net->sent[i], HT_TARGET_ANSWERED, "body", false);
}

/* Flow whose candidates 1 and 2 are the targets @first and @second (-1: any). */
static inline uint64_t flow_at(const struct ht_config *cfg, int first, int second)
{
	const struct ht_service_conf *svc = ht_config_service(cfg, ht_hash_str("svc"));
	static uint64_t next = 1;

	for (;; next++) {
		struct ht_row row;

		ht_placement_row(&row, svc, next);
		if (row.at[0]->id == target_id(first) &&
		    (second < 0 || (row.count > 1 && row.at[1]->id == target_id(second))))
			return next++;
	}
}

/* Gets a ticket for @flow through @node. */
static inline void get_ticket(struct net *net, int node, uint64_t handle, uint64_t flow,
			      uint8_t ticket[HT_TICKET_LEN])
{
	request(net, node, handle, (struct call){.flow = flow, .token = "tk", .method = HT_POST});
	net_run(net, 20);
	ck_assert_int_eq(net->got[handle].count, 1);
	ck_assert_int_eq(net->got[handle].a.code, HT_UNAUTHORIZED);
	ck_assert(net->got[handle].a.has_ticket);
	memcpy(ticket, net->got[handle].a.ticket, HT_TICKET_LEN);
}

#define expect(net, handle, want_code, want_verdict)                                               \
	do {                                                                                       \
		ck_assert_int_eq((net)->got[handle].count, 1);                                     \
		ck_assert_int_eq((net)->got[handle].a.code, want_code);                            \
		ck_assert_int_eq((net)->got[handle].a.verdict, want_verdict);                      \
	} while (0)

#endif
