/*
 * Several cores in one process on an in-memory network, with a fake request path, targets that take
 * up to MAX_RUN_MS for a request, and a simple platform. Each test file includes this once.
 */
#ifndef HT_TESTS_CONTROL_NET_H
#define HT_TESTS_CONTROL_NET_H

#include "tests/control/nodes.h"

static inline void deliver(struct net *net)
{
	size_t kept = 0, n = net->packet_count, due = 0;
	struct packet *pending = net->packets;

	for (size_t i = 0; i < n; i++)
		due += pending[i].due <= net->now;
	if (due == 0)
		return;
	net->packets = NULL;
	net->packet_count = 0;
	for (size_t i = 0; i < n; i++) {
		struct packet p = pending[i];
		struct node *to = &net->nodes[p.to];
		bool cut = net->cut[p.from][p.to];
		Ht__PeerMsg *msg;

		if (!to->core || to->incarnation != p.incarnation ||
		    net->nodes[p.from].incarnation != p.sender || (cut && net->drop)) {
			net->lost++;
			free(p.data);
			continue;
		}
		if (p.due > net->now || cut || to->frozen) {
			pending[kept++] = p;
			continue;
		}
		msg = ht__peer_msg__unpack(NULL, p.len, p.data);
		ck_assert_ptr_nonnull(msg);
		ht_core_advance(to->core, net->now);
		ht_core_peer_msg(to->core, ht_instance_id(net->nodes[p.from].name), msg);
		ht__peer_msg__free_unpacked(msg, NULL);
		free(p.data);
	}
	/* Packets kept are older than those sent meanwhile, so each link stays in order. */
	pending = realloc(pending, (kept + net->packet_count + 1) * sizeof(*pending));
	if (net->packet_count)
		memcpy(pending + kept, net->packets, net->packet_count * sizeof(*pending));
	free(net->packets);
	net->packets = pending;
	net->packet_count += kept;
}

static inline void answer_list(struct net *net, struct node *n)
{
	struct ht_instance_info list[MAX_NODES];
	int count = 0;

	for (int i = 0; i < net->list_count; i++)
		if (!net->hidden[n->index]
				[node_by_id(net, ht_instance_id(net->list[i].name))->index])
			list[count++] = net->list[i];
	ht_core_live_list(n->core, (struct ht_revision){net->era, net->revision}, list,
			  net->platform_down ? -1 : count);
}

/* True when the call has ended. */
static inline bool answer_call(struct net *net, const struct call *c)
{
	struct node *n = &net->nodes[c->node];

	if (!n->core || n->incarnation != c->incarnation)
		return true;
	if (net->now < c->due || n->frozen)
		return false;
	if (c->kind == HT_PLATFORM_WATCH_HEAD && !net->platform_down && net->head &&
	    net->head->version == c->known)
		return false;
	ht_core_advance(n->core, net->now);
	if (c->kind == HT_PLATFORM_READ_LIVE)
		answer_list(net, n);
	else
		ht_core_platform_config(n->core, net->platform_down ? NULL : net->head);
	return true;
}

static inline void platform_step(struct net *net)
{
	for (size_t i = 0; i < net->call_count;) {
		struct call c = net->calls[i];

		if (!answer_call(net, &c)) {
			i++;
			continue;
		}
		memmove(&net->calls[i], &net->calls[i + 1], (net->call_count - i - 1) * sizeof(c));
		net->call_count--;
	}
}

static inline uint32_t node_slots(const struct node *n, int target)
{
	return n->ownership->slots(n->ownership->ctx, n->net->targets[target]);
}

static inline void end_requests(struct net *net)
{
	for (size_t i = 0; i < net->running_count;) {
		struct running *r = &net->running[i];
		struct node *n = &net->nodes[r->node];
		bool gone = !n->core || n->incarnation != r->incarnation;

		if (net->now < r->end || (n->frozen && !gone)) {
			i++;
			continue;
		}
		if (!gone) {
			ht_core_advance(n->core, net->now);
			n->path->in_flight[r->target]--;
			n->ownership->request_ended(n->ownership->ctx, net->targets[r->target]);
		}
		net->running[i] = net->running[--net->running_count];
	}
}

static inline void start_requests(struct net *net, struct node *n)
{
	ht_core_advance(n->core, net->now);
	for (int t = 0; t < net->target_count; t++) {
		uint32_t slots = node_slots(n, t);

		while (n->path->in_flight[t] < slots) {
			net->running = realloc(net->running,
					       (net->running_count + 1) * sizeof(*net->running));
			net->running[net->running_count++] = (struct running){
				.node = n->index,
				.target = t,
				.incarnation = n->incarnation,
				.end = net->now + 1 + (ht_ms)(net_random(net) % MAX_RUN_MS)};
			n->path->in_flight[t]++;
		}
	}
}

/* Checks that slots in use or usable stay within SLOTS, plus one per isolated instance. */
static inline void check_bound(struct net *net, int t)
{
	int sum = 0, isolated = 0;

	for (int i = 0; i < net->count; i++) {
		struct node *n = &net->nodes[i];
		int use = 0;

		for (size_t k = 0; k < net->running_count; k++)
			use += net->running[k].node == i && net->running[k].target == t &&
			       net->now < net->running[k].end;
		/* A frozen process sends nothing, and checks the clock when it resumes. */
		if (n->core && !n->frozen && (int)node_slots(n, t) > use)
			use = (int)node_slots(n, t);
		sum += use;
		isolated += net->now < n->isolated_until;
	}
	if (sum > net->peak)
		net->peak = sum;
	ck_assert_msg(sum <= SLOTS + isolated + net->bound_extra,
		      "target %d: %d slots in use at %lld, %d isolated", t, sum,
		      (long long)net->now, isolated);
}

static inline void check_node(struct net *net, struct node *n)
{
	const struct ht_membership_if *m = n->members;
	const struct ht_config *cfg = ht_core_config(n->core);
	uint64_t version = cfg ? cfg->version : 0;
	ht_ms since = m->minority_since(m->ctx);

	if (since != HT_NEVER && net->now >= since + 10000)
		n->isolated_until = net->now + MAX_RUN_MS;
	ck_assert_msg(version >= n->last_version, "%s fell from version %llu to %llu", n->name,
		      (unsigned long long)n->last_version, (unsigned long long)version);
	if (version != n->last_version)
		n->version_at = net->now;
	n->last_version = version;
}

static inline void open_links(struct net *net)
{
	for (int a = 0; a < net->count; a++)
		for (int b = 0; b < net->count; b++) {
			if (!net->wanted[a][b])
				continue;
			net->wanted[a][b] = false;
			if (!has_link(net, a, b))
				net_link(net, a, b);
		}
}

static inline void update_gap(struct net *net, int t)
{
	bool usable = false;

	for (int i = 0; i < net->count; i++)
		usable |= net->nodes[i].core && !net->nodes[i].frozen &&
			  node_slots(&net->nodes[i], t) > 0;
	net->gap[t] = usable ? 0 : net->gap[t] + 1;
	if (net->gap[t] > net->longest_gap)
		net->longest_gap = net->gap[t];
}

static inline void net_step(struct net *net)
{
	net->now++;
	end_requests(net);
	open_links(net);
	deliver(net);
	platform_step(net);
	for (int i = 0; i < net->count; i++) {
		struct node *n = &net->nodes[i];

		if (!n->core || n->frozen)
			continue;
		if (n->timer <= net->now) {
			n->timer = HT_NEVER;
			ht_core_advance(n->core, net->now);
		}
		check_node(net, n);
		if (net->load)
			start_requests(net, n);
	}
	for (int t = 0; t < net->target_count; t++) {
		check_bound(net, t);
		update_gap(net, t);
	}
}

static inline void net_run(struct net *net, ht_ms ms)
{
	for (ht_ms end = net->now + ms; net->now < end;)
		net_step(net);
}

static inline void net_freeze(struct net *net, int i, bool frozen)
{
	struct node *n = &net->nodes[i];

	n->frozen = frozen;
	if (!frozen)
		ht_core_advance(n->core, net->now);
}

/* Cuts or restores packets from @a to @b. A restored link that lost packets is opened again. */
static inline void net_cut(struct net *net, int a, int b, bool cut)
{
	net->cut[a][b] = cut;
	if (!cut && net->drop)
		net_link(net, a, b);
}

static inline void net_cut_both(struct net *net, int a, int b, bool cut)
{
	net_cut(net, a, b, cut);
	net_cut(net, b, a, cut);
}

/* Number of targets whose slots are all usable by exactly one running node. */
static inline int net_served(const struct net *net)
{
	int served = 0;

	for (int t = 0; t < net->target_count; t++) {
		int owners = 0;

		for (int i = 0; i < net->count; i++)
			owners += net->nodes[i].core && !net->nodes[i].frozen &&
				  node_slots(&net->nodes[i], t) == SLOTS;
		served += owners == 1;
	}
	return served;
}

/* Number of targets that node @i may send to. */
static inline int net_owned(const struct net *net, int i)
{
	int n = 0;

	for (int t = 0; t < net->target_count; t++)
		n += node_slots(&net->nodes[i], t) > 0;
	return n;
}

/* A data centre of @n nodes and 6 targets, run until all targets have an owner. */
static inline struct net *net_dc(uint64_t seed, int n)
{
	static const char *const names[MAX_NODES] = {"a", "b", "c", "d", "e", "f",
						     "g", "h", "i", "j", "k", "l"};
	struct net *net = net_new(seed);

	for (int i = 0; i < n; i++)
		net_add(net, names[i], "salto");
	net_publish_list(net);
	net->top_version = 1;
	net_set_head(net, make_config(1, 6, "first"));
	for (int i = 0; i < n; i++)
		net_start(net, i);
	net_run(net, 6000);
	ck_assert_int_eq(net_served(net), 6);
	net->longest_gap = 0;
	return net;
}

#endif
