/*
 * Complete cores in one process: an in-memory network with 1 ms latency, a platform, targets that
 * run requests, and callers that repeat a request through another instance when theirs has ended.
 * Checks continuously: one answer for each request, by its deadline; at most one run of a posting;
 * no run after "not run"; the body belongs to the request; the slots of targets.
 */
#ifndef HT_TESTS_CORE_CORE_NET_H
#define HT_TESTS_CORE_CORE_NET_H

#include "base/hash.h"
#include "core/core.h"
#include "core/services.h"
#include "rules/rules.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 5
#define TARGETS 8
#define SLOTS 3
#define CALLS 20000
#define RUNS 65536

struct net;

struct node {
	struct net *net;
	int index;
	char name[16];
	struct ht_core *core;
	uint64_t incarnation;
	ht_ms timer;
	bool frozen, leaving, stopped;
	ht_ms thawed_at;
	bool open[TARGETS];
	ht_ms up_at[TARGETS];	    /* when the connection is established */
	uint64_t sent_clock[NODES]; /* of the last message to each node */
};

struct packet {
	int from, to;
	uint64_t incarnation;
	ht_ms due;
	uint8_t *data;
	size_t len;
};

/* One request of a caller, with all its repeats. */
struct call {
	uint64_t flow;
	int node;
	uint64_t incarnation;
	ht_ms sent, deadline; /* of the current attempt */
	bool posting, has_ticket, open, done;
	uint8_t ticket[HT_TICKET_LEN];
	int attempts, runs, ticket_rounds;
	bool lost_ingress; /* a GET that another instance may have run */
	bool sealed;	   /* a copy with the current ticket was answered "not run" */
	uint8_t code;
	enum ht_verdict verdict;
	ht_ms done_at;
	int target; /* of the last run */
};

struct run {
	int node, target, call;
	uint64_t incarnation, id;
	ht_ms end, deadline;
	bool over;
};

struct net {
	ht_ms now;
	uint64_t seed;
	struct node nodes[NODES];
	int count;
	bool cut[NODES][NODES];
	struct packet *packets;
	size_t packet_count;
	struct ht_config *head;
	uint64_t revision;
	struct call *calls;
	int call_count, call_first; /* all calls before call_first are done */
	struct run *runs;
	int run_count, run_first;
	int first, last, draining; /* targets configured */
	ht_ms service_ms;
	int refuse_percent, lose_percent;
	int extra_slots; /* allowed above SLOTS, for isolated instances */
	int peak;
	int copies; /* open copies of requests */
	bool request_affinity;
	bool stable; /* all instances have the same view: GETs are checked like postings */
	struct {
		int node;
		uint64_t incarnation, known;
		enum ht_platform_call kind;
	} watch[64];
	int watch_count;
	ht_ms wall_skew; /* each node's wall clock is this much behind that of the node before */
	void (*on_event)(const struct node *n, const struct ht_event *ev); /* may be NULL */
};

static inline uint64_t rnd(struct net *net, uint64_t bound)
{
	net->seed = net->seed * 6364136223846793005ULL + 1442695040888963407ULL;
	return (net->seed >> 33) % bound;
}

static inline int target_of(uint64_t id)
{
	char text[HT_ADDR_TEXT];

	for (int i = 0; i < TARGETS; i++) {
		snprintf(text, sizeof(text), "127.0.0.1:%d", 9000 + i);
		if (ht_hash_str(text) == id)
			return i;
	}
	ck_abort_msg("unknown target");
	return -1;
}

static inline struct node *node_by_id(struct net *net, uint64_t id)
{
	for (int i = 0; i < net->count; i++)
		if (ht_instance_id(net->nodes[i].name) == id)
			return &net->nodes[i];
	return NULL;
}

static bool op_send(void *ctx, uint64_t peer, const Ht__PeerMsg *msg)
{
	struct node *n = ctx, *to = node_by_id(n->net, peer);
	struct packet *p;

	if (!to || !to->core)
		return false;
	n->net->packets = realloc(n->net->packets, (n->net->packet_count + 1) * sizeof(*p));
	p = &n->net->packets[n->net->packet_count++];
	*p = (struct packet){.from = n->index,
			     .to = to->index,
			     .incarnation = to->incarnation,
			     .due = n->net->now + 1,
			     .len = ht__peer_msg__get_packed_size(msg)};
	p->data = malloc(p->len + 1);
	ht__peer_msg__pack(msg, p->data);
	n->sent_clock[to->index] = msg->clock;
	return true;
}

static void op_timer(void *ctx, ht_ms due)
{
	((struct node *)ctx)->timer = due;
}

static void op_platform(void *ctx, enum ht_platform_call call, struct ht_revision known,
			const char *body)
{
	struct node *n = ctx;
	struct net *net = n->net;

	(void)body;
	if (call == HT_PLATFORM_WRITE_STATUS)
		return;
	ck_assert_int_lt(net->watch_count, 64);
	net->watch[net->watch_count].node = n->index;
	net->watch[net->watch_count].incarnation = n->incarnation;
	net->watch[net->watch_count].known = known.number;
	net->watch[net->watch_count++].kind = call;
}

static void op_event(void *ctx, const struct ht_event *ev)
{
	const struct node *n = ctx;

	if (n->net->on_event)
		n->net->on_event(n, ev);
	if (getenv("HT_TEST_TRACE")) {
		printf("%lld ", (long long)n->net->now);
		fflush(stdout);
		ht_event_log(ev, n->name, HT_DEBUG);
	}
}

static void op_stopped(void *ctx)
{
	((struct node *)ctx)->stopped = true;
}

static void op_open(void *ctx, const struct ht_target_conf *conf, const char *service)
{
	struct node *n = ctx;
	int t = target_of(conf->id);

	ck_assert_str_eq(service, "svc");
	n->open[t] = true;
	n->up_at[t] = n->net->now + 2;
}

static void op_close(void *ctx, uint64_t target)
{
	struct node *n = ctx;

	n->open[target_of(target)] = false;
	n->up_at[target_of(target)] = 0;
}

static void op_cancel(void *ctx, uint64_t target, uint64_t id)
{
	(void)ctx;
	(void)target;
	(void)id;
}

static inline int busy_slots(const struct net *net, int t)
{
	int busy = 0;

	for (int i = net->run_first; i < net->run_count; i++)
		busy += !net->runs[i].over && net->runs[i].target == t;
	return busy;
}

/* The target starts the request, refuses it, or loses it with its connection. */
static void op_send_target(void *ctx, const struct ht_target_request *req)
{
	struct node *n = ctx;
	struct net *net = n->net;
	struct run *r = &net->runs[net->run_count];
	int id = atoi(req->query + 3), busy;

	ck_assert_int_lt(net->run_count, RUNS);
	ck_assert_str_eq(req->service_name, "svc");
	net->run_count++;
	*r = (struct run){.node = n->index,
			  .target = target_of(req->target),
			  .call = id,
			  .incarnation = n->incarnation,
			  .id = req->id,
			  .deadline = net->now + req->deadline};
	r->end = net->now + 1 + net->service_ms / 2 + (ht_ms)rnd(net, (uint64_t)net->service_ms);
	if (rnd(net, 100) < (uint64_t)net->refuse_percent) {
		r->call = -1; /* refused: it does not run */
		r->end = net->now + 1;
		return;
	}
	net->calls[id].runs++;
	net->calls[id].target = r->target;
	ck_assert_msg(!net->calls[id].posting || net->calls[id].runs <= 1,
		      "posting %d ran twice at %lld", id, (long long)net->now);
	ck_assert_msg(!net->calls[id].done || net->calls[id].verdict != HT_NOT_RUN ||
			      net->calls[id].lost_ingress,
		      "call %d ran at %lld after 'not run'", id, (long long)net->now);
	ck_assert_msg(!net->calls[id].sealed, "posting %d ran after a copy was refused", id);
	busy = busy_slots(net, r->target);
	if (busy > net->peak)
		net->peak = busy;
	ck_assert_msg(busy <= SLOTS + net->extra_slots, "target %d has %d requests at %lld",
		      r->target, busy, (long long)net->now);
}

static void op_answer(void *ctx, uint64_t handle, const struct ht_answer *a);

static const struct ht_core_ops core_ops = {
	.send_peer = op_send,
	.answer = op_answer,
	.send_target = op_send_target,
	.cancel_target = op_cancel,
	.open_target = op_open,
	.close_target = op_close,
	.arm_timer = op_timer,
	.platform = op_platform,
	.log_event = op_event,
	.stopped = op_stopped,
};

static inline struct ht_instance_info node_info(const struct node *n)
{
	struct ht_instance_info info = {.size = 1};

	snprintf(info.name, sizeof(info.name), "%s", n->name);
	snprintf(info.dc, sizeof(info.dc), "dc");
	snprintf(info.peer_address, sizeof(info.peer_address), "127.0.0.1:%d", 7000 + n->index);
	return info;
}

static inline void link_nodes(struct net *net, int a, int b)
{
	struct node *x = &net->nodes[a], *y = &net->nodes[b];
	struct ht_instance_info ix = node_info(x), iy = node_info(y);

	if (!x->core || !y->core)
		return;
	ht_core_advance(x->core, net->now);
	ht_core_advance(y->core, net->now);
	ht_core_peer_up(x->core, &iy, y->incarnation);
	ht_core_peer_up(y->core, &ix, x->incarnation);
}

static inline void node_start(struct net *net, int i)
{
	struct node *n = &net->nodes[i];
	struct ht_core_params params;

	ht_core_params_default(&params);
	*n = (struct node){.net = net, .index = i, .timer = HT_NEVER};
	snprintf(n->name, sizeof(n->name), "n%d", i);
	n->incarnation = ht_hash_pair(++net->seed, 7) | 1;
	params.ops = &core_ops;
	params.ctx = n;
	params.self = node_info(n);
	params.incarnation = n->incarnation;
	params.seed = net->seed;
	params.now = net->now;
	params.wall = net->now - i * net->wall_skew;
	memcpy(params.ticket_key, &n->incarnation, 8);
	n->core = ht_core_new(&params);
	ck_assert_ptr_nonnull(n->core);
	net->revision++;
	for (int k = 0; k < net->count; k++)
		if (k != i)
			link_nodes(net, i, k);
}

static inline int any_node(struct net *net)
{
	for (;;) {
		int i = (int)rnd(net, (uint64_t)net->count);

		if (net->nodes[i].core && !net->nodes[i].frozen && !net->nodes[i].stopped)
			return i;
	}
}

/* Sends the request of call @id to @node, which must be running. */
static inline void call_request(struct net *net, int id, int node, uint64_t handle)
{
	const struct call *c = &net->calls[id];
	char query[16];
	struct ht_request req = {.service = ht_hash_str("svc"),
				 .flow = c->flow,
				 .method = c->posting ? HT_POST : HT_GET,
				 .path = "item",
				 .query = query,
				 .deadline = c->deadline,
				 .token_len = 4};

	snprintf(query, sizeof(query), "id=%d", id);
	memcpy(req.token, &id, 4);
	req.has_ticket = c->has_ticket;
	memcpy(req.ticket, c->ticket, HT_TICKET_LEN);
	ht_core_request(net->nodes[node].core, handle, &req);
}

static inline void call_send(struct net *net, int id, int node)
{
	struct call *c = &net->calls[id];

	ht_core_advance(net->nodes[node].core, net->now);
	if (net->nodes[node].stopped) /* it has just ended */
		node = any_node(net);
	c->node = node;
	c->incarnation = net->nodes[node].incarnation;
	c->sent = net->now;
	c->open = true;
	c->attempts++;
	ht_core_advance(net->nodes[node].core, net->now);
	call_request(net, id, node, (uint64_t)id);
}

static inline int new_call(struct net *net, int node, uint64_t flow, bool posting, ht_ms deadline)
{
	int id = net->call_count++;

	ck_assert_int_lt(net->call_count, CALLS);
	net->calls[id] =
		(struct call){.flow = flow, .posting = posting, .deadline = deadline, .target = -1};
	call_send(net, id, node);
	return id;
}

/* Sends a copy of a request through another instance while the first is open. */
static inline void call_copy(struct net *net, int id, int node)
{
	const struct call first = net->calls[id];

	if (!first.open || net->nodes[node].stopped)
		return;
	net->copies++;
	/* Instances with different views may both run a GET. */
	if (!first.posting && !net->stable)
		net->calls[id].lost_ingress = true;
	call_request(net, id, node, (uint64_t)id + CALLS * (1 + (uint64_t)first.ticket_rounds));
	ck_assert(net->calls[id].node == first.node);
}

/* Checks that the answer to a copy does not contradict the outcome of the request. */
static inline void copy_answered(struct net *net, struct call *c, uint64_t handle,
				 const struct ht_answer *a)
{
	net->copies--;
	ck_assert_int_ge(net->copies, 0);
	if (a->code == HT_UNAUTHORIZED || (!c->posting && !net->stable))
		return;
	/* The answer to a copy with an earlier ticket, or none, does not apply to the current one.
	 */
	if (c->posting && (!c->has_ticket || handle / CALLS - 1 != (uint64_t)c->ticket_rounds))
		return;
	if (a->verdict == HT_RAN)
		ck_assert_int_gt(c->runs, 0);
	if (a->verdict == HT_NOT_RUN) {
		ck_assert_int_eq(c->runs, 0);
		c->sealed = true;
	}
}

static void op_answer(void *ctx, uint64_t handle, const struct ht_answer *a)
{
	struct node *n = ctx;
	struct net *net = n->net;
	struct call *c = &net->calls[handle % CALLS];
	char want[32];

	if (handle >= CALLS) {
		copy_answered(net, c, handle, a);
		return;
	}
	ck_assert_msg(c->open && c->node == n->index, "call %d answered twice", (int)handle);
	ck_assert_msg(net->now <= c->sent + c->deadline + 1 || c->sent <= n->thawed_at,
		      "call %d answered %lld ms late", (int)handle,
		      (long long)(net->now - c->sent - c->deadline));
	c->open = false;
	if (a->code == HT_UNAUTHORIZED) {
		ck_assert(a->has_ticket && c->posting);
		memcpy(c->ticket, a->ticket, HT_TICKET_LEN);
		c->has_ticket = true;
		c->sealed = false;
		c->ticket_rounds++;
		return;
	}
	c->done = true;
	c->done_at = net->now;
	c->code = a->code;
	c->verdict = a->verdict;
	if (a->verdict == HT_RAN)
		ck_assert_int_gt(c->runs, 0);
	if (a->code == HT_CONTENT) {
		snprintf(want, sizeof(want), "answer %d", (int)handle);
		ck_assert_uint_eq(a->payload_len, strlen(want));
		ck_assert_mem_eq(a->payload, want, strlen(want));
	}
	if (a->verdict == HT_NOT_RUN) {
		ck_assert_msg(c->runs == 0 || c->lost_ingress, "call %d: 'not run' after a run",
			      (int)handle);
		ck_assert_int_ge((int)a->retry_after, 1000);
	}
}

#endif
