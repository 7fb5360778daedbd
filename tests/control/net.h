/*
 * Several cores in one process over an in-memory network, with a fake request path, targets that
 * run requests for a while, and a small platform. Each test file includes this once.
 */
#ifndef HT_TESTS_CONTROL_NET_H
#define HT_TESTS_CONTROL_NET_H

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

/* Fake request path: counts requests in flight, keeps the target as busy as it may. */
struct ht_request_path {
	struct ht_env *env;
	struct ht_router_if router;
	struct ht_targets_if targets;
	struct ht_ledger_if ledger;
	uint32_t in_flight[MAX_TARGETS];
	int handed_over, config_changes;
};

struct node {
	struct net *net;
	int index;
	char name[HT_NAME_MAX];
	const char *dc;
	double size;
	struct ht_core *core;
	struct ht_request_path *path;
	uint64_t incarnation;
	ht_ms timer;
	bool frozen, listed, stopped;
	ht_ms isolated_until; /* its requests may run so long */
	uint64_t last_version;
	ht_ms version_at;
	unsigned int events[100]; /* by number - 1000 */
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
	uint64_t link[MAX_NODES][MAX_NODES][2]; /* incarnations at the ends, lower index first */
	bool hidden[MAX_NODES][MAX_NODES];	/* [i][j]: i's list lacks j */
	struct packet *packets;
	size_t packet_count;
	struct running *running;
	size_t running_count;
	struct call calls[64];
	size_t call_count;
	unsigned int calls_by_kind[4];
	struct ht_config *head;
	bool platform_down;
	uint64_t revision;
	struct ht_instance_info list[MAX_NODES];
	int list_count;
	uint64_t targets[MAX_TARGETS];
	int target_count;
	bool load;	 /* saturate every usable slot */
	int bound_extra; /* allowed above the slots, for tests of unequal lists */
	int peak;	 /* highest sum seen */
	ht_ms gap[MAX_TARGETS], longest_gap; /* without any usable slot */
	uint64_t lost;			     /* packets dropped by cuts */
	bool drop;			     /* cut links lose packets instead of delaying them */
	char last_status[512];
	/* Sees each packet and may put off its arrival; may be NULL. */
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

/* ---- fake request path ---- */

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

static bool fake_true(void *ctx)
{
	(void)ctx;
	return true;
}

static uint32_t fake_zero(void *ctx)
{
	(void)ctx;
	return 0;
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
	p->router =
		(struct ht_router_if){.ctx = p, .pending = fake_zero, .peer_down = fake_peer_down};
	p->targets = (struct ht_targets_if){.ctx = p,
					    .in_flight = fake_in_flight,
					    .owner_changed = fake_target,
					    .config_changed = fake_config_changed,
					    .open_requests = fake_open};
	p->ledger = (struct ht_ledger_if){.ctx = p,
					  .hand_over = fake_hand_over,
					  .hand_over_all = fake_hand_over_all,
					  .handed_over = fake_true};
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

/* ---- the harness's side of each core ---- */

static inline struct node *node_by_id(struct net *net, uint64_t id)
{
	for (int i = 0; i < net->count; i++)
		if (ht_instance_id(net->nodes[i].name) == id)
			return &net->nodes[i];
	return NULL;
}

static inline bool has_link(const struct net *net, int a, int b)
{
	const uint64_t *link = a < b ? net->link[a][b] : net->link[b][a];
	const struct node *x = &net->nodes[a < b ? a : b], *y = &net->nodes[a < b ? b : a];

	return link[0] == x->incarnation && link[1] == y->incarnation && link[0] != 0;
}

static bool op_send(void *ctx, uint64_t peer, const Ht__PeerMsg *msg)
{
	struct node *n = ctx, *to = node_by_id(n->net, peer);
	struct packet *p;

	if (!to)
		return false;
	if (!has_link(n->net, n->index, to->index)) {
		n->net->wanted[n->index][to->index] = true;
		return false;
	}
	n->net->packets = realloc(n->net->packets, (n->net->packet_count + 1) * sizeof(*p));
	p = &n->net->packets[n->net->packet_count++];
	*p = (struct packet){.from = n->index,
			     .to = to->index,
			     .incarnation = to->incarnation,
			     .sender = n->incarnation,
			     .due = n->net->now + LATENCY,
			     .len = ht__peer_msg__get_packed_size(msg)};
	p->data = malloc(p->len + 1);
	ht__peer_msg__pack(msg, p->data);
	if (n->net->on_send)
		n->net->on_send(p, msg);
	return true;
}

static void op_timer(void *ctx, ht_ms due)
{
	((struct node *)ctx)->timer = due;
}

static void op_platform(void *ctx, enum ht_platform_call call, uint64_t known, const char *body)
{
	struct node *n = ctx;
	struct net *net = n->net;

	net->calls_by_kind[call]++;
	if (call == HT_PLATFORM_WRITE_STATUS) {
		snprintf(net->last_status, sizeof(net->last_status), "%s", body);
		return;
	}
	ck_assert(net->call_count < 64);
	net->calls[net->call_count++] = (struct call){.node = n->index,
						      .incarnation = n->incarnation,
						      .kind = call,
						      .known = known,
						      .due = net->now + 3};
}

static void op_event(void *ctx, const struct ht_event *ev)
{
	struct node *n = ctx;

	if (ev->number >= 1000 && ev->number < 1100)
		n->events[ev->number - 1000]++;
	if (getenv("NET_TRACE"))
		ht_event_log(ev, n->name, HT_DEBUG);
}

static void op_stopped(void *ctx)
{
	((struct node *)ctx)->stopped = true;
}

static const struct ht_core_ops net_ops = {
	.send_peer = op_send,
	.arm_timer = op_timer,
	.platform = op_platform,
	.log_event = op_event,
	.stopped = op_stopped,
};

static inline struct ht_instance_info node_info(const struct node *n)
{
	struct ht_instance_info info = {.size = n->size};

	snprintf(info.name, sizeof(info.name), "%s", n->name);
	snprintf(info.dc, sizeof(info.dc), "%s", n->dc);
	snprintf(info.peer_address, sizeof(info.peer_address), "127.0.0.1:%d", 7000 + n->index);
	return info;
}

/* Publishes the nodes marked as listed. */
static inline void net_publish_list(struct net *net)
{
	net->revision++;
	net->list_count = 0;
	for (int i = 0; i < net->count; i++)
		if (net->nodes[i].listed)
			net->list[net->list_count++] = node_info(&net->nodes[i]);
}

static inline bool net_linked(const struct net *net, int a, int b)
{
	return net->nodes[a].core && net->nodes[b].core && !net->cut[a][b] && !net->cut[b][a];
}

/* Opens the link between two nodes: both learn the other's incarnation. */
static inline void net_link(struct net *net, int a, int b)
{
	struct ht_instance_info ia = node_info(&net->nodes[a]), ib = node_info(&net->nodes[b]);

	if (!net_linked(net, a, b) || net->nodes[a].frozen || net->nodes[b].frozen)
		return;
	net->link[a < b ? a : b][a < b ? b : a][0] = net->nodes[a < b ? a : b].incarnation;
	net->link[a < b ? a : b][a < b ? b : a][1] = net->nodes[a < b ? b : a].incarnation;
	ht_core_advance(net->nodes[a].core, net->now);
	ht_core_advance(net->nodes[b].core, net->now);
	ht_core_peer_up(net->nodes[a].core, &ib, net->nodes[b].incarnation);
	ht_core_peer_up(net->nodes[b].core, &ia, net->nodes[a].incarnation);
}

static inline void net_start(struct net *net, int i)
{
	struct node *n = &net->nodes[i];
	struct ht_core_params params;

	ht_core_params_default(&params);
	n->incarnation = ++net->seed * 2 + 1;
	params.ops = &net_ops;
	params.ctx = n;
	params.self = node_info(n);
	params.incarnation = n->incarnation;
	params.seed = net->seed;
	params.now = net->now;
	n->timer = HT_NEVER;
	n->frozen = n->stopped = false;
	n->last_version = 0;
	n->core = ht_core_new(&params);
	ck_assert_ptr_nonnull(n->core);
	for (int k = 0; k < net->count; k++)
		if (k != i)
			net_link(net, i, k);
}

static inline int net_add(struct net *net, const char *name, const char *dc)
{
	struct node *n = &net->nodes[net->count];

	*n = (struct node){.net = net, .index = net->count, .dc = dc, .size = 1, .listed = true};
	snprintf(n->name, sizeof(n->name), "%s", name);
	return net->count++;
}

/* Ends a node's process. With @proof its peers see the reset of their links. */
static inline void net_kill(struct net *net, int i, bool proof)
{
	struct node *n = &net->nodes[i];

	ht_core_free(n->core);
	n->core = NULL;
	n->path = NULL;
	for (int k = 0; proof && k < net->count; k++) {
		if (k == i || !net->nodes[k].core || net->nodes[k].frozen || net->cut[i][k])
			continue;
		ht_core_advance(net->nodes[k].core, net->now);
		ht_core_peer_down(net->nodes[k].core, ht_instance_id(n->name), n->incarnation,
				  HT_PEER_GONE);
	}
}

/* Rules with one line per target in the data centre salto; @note changes one comment only. */
static inline struct ht_config *make_config(uint64_t version, int targets, const char *note)
{
	size_t room = (size_t)targets * 160 + 512, len;
	char *text = malloc(room);
	struct ht_config *cfg;

	len = (size_t)snprintf(
		text, room, "service almacen region litoral address 127.0.0.1:9000  # %s\n", note);
	for (int i = 0; i < targets; i++)
		len += (size_t)snprintf(text + len, room - len,
					"target almacen t%d dc salto address 127.%d.%d.1:9100  "
					"# asked for by the stock team, request %d\n",
					i, i / 200, i % 200, i);
	cfg = ht_rules_parse(text, len, NULL);
	ck_assert_ptr_nonnull(cfg);
	cfg->version = version;
	free(text);
	return cfg;
}

/* Takes over the reference to @cfg. Targets keep their index, also when they are taken out. */
static inline void net_set_head(struct net *net, struct ht_config *cfg)
{
	ht_config_put(net->head);
	net->head = cfg;
	for (size_t i = 0; i < cfg->target_count && net->target_count < MAX_TARGETS; i++)
		if (target_index(net, cfg->targets[i].id) < 0)
			net->targets[net->target_count++] = cfg->targets[i].id;
}

static inline struct net *net_new(uint64_t seed)
{
	struct net *net = calloc(1, sizeof(*net));

	net->seed = seed;
	net->now = 1000000;
	net->load = true;
	return net;
}

static inline void net_free(struct net *net)
{
	for (int i = 0; i < net->count; i++)
		ht_core_free(net->nodes[i].core);
	for (size_t i = 0; i < net->packet_count; i++)
		free(net->packets[i].data);
	free(net->packets);
	free(net->running);
	ht_config_put(net->head);
	free(net);
}

/* ---- time ---- */

static inline void deliver(struct net *net)
{
	size_t kept = 0, n = net->packet_count;
	struct packet *batch = net->packets;

	net->packets = NULL;
	net->packet_count = 0;
	for (size_t i = 0; i < n; i++) {
		struct packet p = batch[i];
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
	/* Kept packets are older than those sent meanwhile, so links stay in order. */
	batch = realloc(batch, (kept + net->packet_count + 1) * sizeof(*batch));
	if (net->packet_count)
		memcpy(batch + kept, net->packets, net->packet_count * sizeof(*batch));
	free(net->packets);
	net->packets = batch;
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
	ht_core_live_list(n->core, net->revision, list, net->platform_down ? -1 : count);
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

static inline const struct ht_ownership_if *ownership_of(const struct node *n)
{
	return ht_registry_find(ht_core_registry(n->core), "ownership");
}

static inline uint32_t node_slots(const struct node *n, int target)
{
	const struct ht_ownership_if *o = ownership_of(n);

	return o->slots(o->ctx, n->net->targets[target]);
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
			const struct ht_ownership_if *o = ownership_of(n);

			ht_core_advance(n->core, net->now);
			n->path->in_flight[r->target]--;
			o->request_ended(o->ctx, net->targets[r->target]);
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

/* Slots in use at a target or usable by some instance, against the bound of the design. */
static inline void check_bound(struct net *net, int t)
{
	int sum = 0, isolated = 0;

	for (int i = 0; i < net->count; i++) {
		struct node *n = &net->nodes[i];
		int use = 0;

		for (size_t k = 0; k < net->running_count; k++)
			use += net->running[k].node == i && net->running[k].target == t &&
			       net->now < net->running[k].end;
		/* A frozen process sends nothing; it looks at the clock when it wakes. */
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
	const struct ht_membership_if *m =
		ht_registry_find(ht_core_registry(n->core), "membership");
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

static inline void note_gap(struct net *net, int t)
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
		note_gap(net, t);
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

/* Cuts or heals the packets from @a to @b; a healed link greets again. */
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

/* Number of targets of which exactly one running node has all slots. */
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

/* A data centre of @n nodes with 6 targets, settled. */
static inline struct net *net_dc(uint64_t seed, int n)
{
	static const char *const names[MAX_NODES] = {"a", "b", "c", "d", "e", "f",
						     "g", "h", "i", "j", "k", "l"};
	struct net *net = net_new(seed);

	for (int i = 0; i < n; i++)
		net_add(net, names[i], "salto");
	net_publish_list(net);
	net_set_head(net, make_config(1, 6, "first"));
	for (int i = 0; i < n; i++)
		net_start(net, i);
	net_run(net, 6000);
	ck_assert_int_eq(net_served(net), 6);
	net->longest_gap = 0;
	return net;
}

#endif
