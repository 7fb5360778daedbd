/* Configuration, platform, time and load for tests over core_net.h. */
#ifndef HT_TESTS_CORE_CORE_RUN_H
#define HT_TESTS_CORE_CORE_RUN_H

#include "tests/core/core_net.h"

static inline struct ht_config *net_config(struct net *net, uint64_t version)
{
	struct ht_rules_errors errors = {0};
	struct ht_config *cfg;
	char text[4096];
	size_t len;

	len = (size_t)snprintf(
		text, sizeof(text),
		"service svc region r address 127.0.0.1:8000 deadline 3000 affinity %s # test\n",
		net->request_affinity ? "request" : "flow");
	for (int i = net->first; i <= net->last; i++)
		len += (size_t)snprintf(text + len, sizeof(text) - len,
					"target svc t%d dc dc address 127.0.0.1:%d # test\n", i,
					9000 + i);
	if (net->draining >= net->first && net->draining <= net->last)
		len += (size_t)snprintf(text + len, sizeof(text) - len, "drain svc t%d # test\n",
					net->draining);
	cfg = ht_rules_parse(text, len, &errors);
	ck_assert_ptr_nonnull(cfg);
	cfg->version = version;
	return cfg;
}

static inline void set_targets(struct net *net, int first, int last, int draining)
{
	uint64_t version = net->head ? net->head->version + 1 : 1;

	net->first = first;
	net->last = last;
	net->draining = draining;
	ht_config_put(net->head);
	net->head = net_config(net, version);
}

static inline void answer_list(struct net *net, struct node *n)
{
	struct ht_instance_info list[NODES];
	int count = 0;

	for (int i = 0; i < net->count; i++) {
		if (!net->nodes[i].core)
			continue;
		list[count] = node_info(&net->nodes[i]);
		list[count++].leaving = net->nodes[i].leaving;
	}
	ht_core_live_list(n->core, (struct ht_revision){0, net->revision}, list, count);
}

static inline void platform_step(struct net *net)
{
	for (int i = 0; i < net->watch_count;) {
		struct node *n = &net->nodes[net->watch[i].node];
		enum ht_platform_call kind = net->watch[i].kind;
		bool gone = !n->core || n->incarnation != net->watch[i].incarnation;
		bool waits =
			kind == HT_PLATFORM_WATCH_HEAD && net->head->version == net->watch[i].known;

		if (!gone && (waits || n->frozen)) {
			i++;
			continue;
		}
		memmove(&net->watch[i], &net->watch[i + 1],
			(size_t)(net->watch_count - i - 1) * sizeof(net->watch[0]));
		net->watch_count--;
		if (gone)
			continue;
		ht_core_advance(n->core, net->now);
		if (kind == HT_PLATFORM_READ_LIVE)
			answer_list(net, n);
		else
			ht_core_platform_config(n->core, net->head);
	}
}

static inline void deliver(struct net *net)
{
	size_t kept = 0, count = net->packet_count;
	struct packet *batch = net->packets;

	if (!count)
		return;
	net->packets = NULL;
	net->packet_count = 0;
	for (size_t i = 0; i < count; i++) {
		struct packet p = batch[i];
		struct node *to = &net->nodes[p.to];
		Ht__PeerMsg *msg;

		if (!to->core || to->incarnation != p.incarnation) {
			free(p.data);
			continue;
		}
		if (p.due > net->now || to->frozen || net->cut[p.from][p.to]) {
			batch[kept++] = p;
			continue;
		}
		msg = ht__peer_msg__unpack(NULL, p.len, p.data);
		ck_assert_ptr_nonnull(msg);
		ht_core_advance(to->core, net->now);
		ht_core_peer_msg(to->core, ht_instance_id(net->nodes[p.from].name), msg);
		ht__peer_msg__free_unpacked(msg, NULL);
		free(p.data);
	}
	batch = realloc(batch, (kept + net->packet_count + 1) * sizeof(*batch));
	if (net->packet_count)
		memcpy(batch + kept, net->packets, net->packet_count * sizeof(*batch));
	free(net->packets);
	net->packets = batch;
	net->packet_count += kept;
}

static inline void end_run(struct net *net, struct run *r)
{
	struct node *n = &net->nodes[r->node];
	char body[32];
	struct ht_target_answer ans = {.id = r->id, .code = HT_CONTENT};

	if (!n->core || n->incarnation != r->incarnation)
		return;
	snprintf(body, sizeof(body), "answer %d", r->call);
	ans.payload = (const uint8_t *)body;
	ans.payload_len = strlen(body);
	if (r->call < 0)
		ans.result = HT_TARGET_REFUSED;
	else if (r->end > r->deadline)
		ans.result = HT_TARGET_TIMEOUT;
	else if (rnd(net, 100) < (uint64_t)net->lose_percent)
		ans.result = HT_TARGET_LOST;
	ht_core_advance(n->core, net->now);
	ht_core_target_answer(n->core, &ans);
}

static inline void targets_step(struct net *net)
{
	for (int i = net->run_first; i < net->run_count; i++) {
		struct run *r = &net->runs[i];
		const struct node *n = &net->nodes[r->node];
		ht_ms end = r->end < r->deadline ? r->end : r->deadline;
		bool alive = n->core && n->incarnation == r->incarnation;

		if (r->over || net->now < end || (n->frozen && alive))
			continue;
		r->over = true;
		end_run(net, r);
	}
	while (net->run_first < net->run_count && net->runs[net->run_first].over)
		net->run_first++;
	for (int i = 0; i < net->count; i++) {
		struct node *n = &net->nodes[i];

		for (int t = 0; n->core && !n->frozen && t < TARGETS; t++) {
			char text[HT_ADDR_TEXT];

			if (!n->up_at[t] || net->now < n->up_at[t])
				continue;
			n->up_at[t] = 0;
			snprintf(text, sizeof(text), "127.0.0.1:%d", 9000 + t);
			ht_core_advance(n->core, net->now);
			ht_core_target_state(n->core, ht_hash_str(text), HT_TARGET_UP);
		}
	}
}

/* Resends requests whose instance has ended or that have got a ticket. */
static inline void callers_step(struct net *net)
{
	while (net->call_first < net->call_count && net->calls[net->call_first].done)
		net->call_first++;
	for (int id = net->call_first; id < net->call_count; id++) {
		struct call *c = &net->calls[id];
		const struct node *n = &net->nodes[c->node];

		if (c->done)
			continue;
		if (c->open && n->core && n->incarnation == c->incarnation) {
			ck_assert_msg(n->frozen || net->now <= n->thawed_at + 5 ||
					      net->now <= c->sent + c->deadline + 5,
				      "call %d has no answer", id);
			continue;
		}
		if (c->open) {
			c->lost_ingress = !c->posting;
			c->open = false;
		}
		if (c->attempts < 12)
			call_send(net, id, any_node(net));
		else
			c->done = true, c->verdict = HT_MAY_HAVE_RUN;
	}
}

static inline void node_end(struct net *net, int i)
{
	struct node *n = &net->nodes[i];
	uint64_t incarnation = n->incarnation;

	ht_core_free(n->core);
	n->core = NULL;
	net->revision++;
	for (int k = 0; k < net->count; k++) {
		struct node *o = &net->nodes[k];

		if (!o->core || o->frozen)
			continue;
		ht_core_advance(o->core, net->now);
		ht_core_peer_down(o->core, ht_instance_id(n->name), incarnation, HT_PEER_GONE);
	}
}

static inline void net_step(struct net *net)
{
	net->now++;
	targets_step(net);
	deliver(net);
	platform_step(net);
	for (int i = 0; i < net->count; i++) {
		struct node *n = &net->nodes[i];

		if (n->core && !n->frozen && n->timer <= net->now) {
			n->timer = HT_NEVER;
			ht_core_advance(n->core, net->now);
		}
		if (n->core && n->stopped) {
			for (int c = 0; c < net->call_count; c++)
				ck_assert(!net->calls[c].open || net->calls[c].node != i ||
					  net->calls[c].incarnation != n->incarnation);
			node_end(net, i);
		}
	}
	callers_step(net);
}

static inline void net_run(struct net *net, ht_ms ms)
{
	for (ht_ms end = net->now + ms; net->now < end;)
		net_step(net);
}

static inline void node_stop(struct net *net, int i)
{
	struct node *n = &net->nodes[i];

	n->leaving = true;
	net->revision++;
	ht_core_advance(n->core, net->now);
	ht_core_stop(n->core);
}

static inline struct net *net_new(uint64_t seed, int nodes, int targets)
{
	struct net *net = calloc(1, sizeof(*net));

	net->now = 1000000;
	net->seed = seed;
	net->count = nodes;
	net->service_ms = 20;
	net->calls = calloc(CALLS, sizeof(*net->calls));
	net->runs = calloc(RUNS, sizeof(*net->runs));
	set_targets(net, 0, targets - 1, -1);
	for (int i = 0; i < nodes; i++)
		node_start(net, i);
	net_run(net, 6000);
	return net;
}

static inline void net_free(struct net *net)
{
	for (int i = 0; i < net->count; i++)
		ht_core_free(net->nodes[i].core);
	for (size_t i = 0; i < net->packet_count; i++)
		free(net->packets[i].data);
	free(net->packets);
	ht_config_put(net->head);
	free(net->calls);
	free(net->runs);
	free(net);
}

/* Runs @per_s new requests per second over @flows flows for @ms; a third are postings, and some
 * requests are sent twice. */
static inline void load(struct net *net, ht_ms ms, int per_s, uint64_t flows)
{
	for (ht_ms end = net->now + ms; net->now < end;) {
		if (rnd(net, 1000) < (uint64_t)per_s)
			new_call(net, any_node(net), 1 + rnd(net, flows), rnd(net, 3) == 0, 2000);
		if (net->call_count && rnd(net, 1000) < (uint64_t)per_s / 4)
			call_copy(net, net->call_count - 1 - (int)rnd(net, 10) % net->call_count,
				  any_node(net));
		net_step(net);
	}
}

static inline int count_verdict(const struct net *net, enum ht_verdict v)
{
	int count = 0;

	for (int i = 0; i < net->call_count; i++)
		count += net->calls[i].done && net->calls[i].verdict == v;
	return count;
}

#endif
