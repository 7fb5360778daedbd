/* Steps of tests on path_net.h: time, requests, target results, changes of homes and targets. */
#ifndef HT_TESTS_CORE_PATH_CALLS_H
#define HT_TESTS_CORE_PATH_CALLS_H

#include "tests/core/path_net.h"

/* Advances time by @ms in steps of 1 ms: delivers due frames in send order, then runs timers. */
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

/* Ends the process of node @i; the other nodes are told that its connection was reset. */
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
	int block; /* Block2 number + 1; 0: no Block2 */
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

/* Node @i adopts @cfg, which must stay referenced until net_free(). */
static inline void adopt(struct net *net, int i, struct ht_config *cfg)
{
	struct node *n = &net->nodes[i];
	const struct ht_service_conf *old = ht_config_service(n->cfg, ht_hash_str("svc"));
	const struct ht_service_conf *now = ht_config_service(cfg, ht_hash_str("svc"));

	if (old->target_set != now->target_set) {
		memmove(&n->prev_sets[1], &n->prev_sets[0], 3 * sizeof(n->prev_sets[0]));
		n->prev_sets[0] = old;
	}
	n->cfg = cfg;
	for (int t = 0; t < TARGETS; t++)
		if (net->home[t] == i && ht_config_target(cfg, target_id(t)) &&
		    !g_hash_table_lookup(n->path->targets, &(uint64_t){target_id(t)}))
			target_up(net, i, t);
	n->targets->config_changed(n->targets->ctx);
}

/* All nodes adopt @cfg; the net takes the reference over. */
static inline void adopt_all(struct net *net, struct ht_config *cfg)
{
	ck_assert_int_lt(net->old_count, 16);
	net->old[net->old_count++] = net->cfg;
	net->cfg = cfg;
	for (int i = 0; i < net->node_count; i++)
		adopt(net, i, cfg);
}

/* Moves the home of target @t to node @to, as after a planned change of owner. */
static inline void move_home(struct net *net, int t, int to)
{
	struct node *from = &net->nodes[net->home[t]];

	net->home[t] = to;
	net->nodes[to].taken_over[t] = net->now;
	target_up(net, to, t);
	if (!from->dead)
		from->targets->owner_changed(from->targets->ctx, target_id(t));
}

/* The last request sent to a target that has no result yet, or NULL. */
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

/* Answers all requests at targets that have no result yet. */
static inline void answer_all(struct net *net)
{
	for (int i = 0; i < net->sent_count; i++)
		if (!net->sent[i].done)
			target_result(net, &net->sent[i], HT_TARGET_ANSWERED, "body", false);
}

/* A new flow whose candidates 1 and 2 are the targets @first and @second (-1: any). */
static inline uint64_t flow_at(const struct ht_config *cfg, int first, int second)
{
	const struct ht_service_conf *svc = ht_config_service(cfg, ht_hash_str("svc"));
	static uint64_t next = 1;

	for (;; next++) {
		struct ht_candidates row;

		ht_placement_candidates(&row, svc, next);
		if (row.target[0]->id == target_id(first) &&
		    (second < 0 || (row.count > 1 && row.target[1]->id == target_id(second))))
			return next++;
	}
}

/* Obtains a ticket for a POST request of @flow through @node. */
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
