/* Nodes of the in-memory network: callbacks of their cores, links, start and end. */
#ifndef HT_TESTS_CONTROL_NODES_H
#define HT_TESTS_CONTROL_NODES_H

#include "tests/control/fake_path.h"

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

static void op_platform(void *ctx, enum ht_platform_call call, struct ht_revision known,
			const char *body)
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
						      .known = known.number,
						      .due = net->now + 3};
}

static void op_event(void *ctx, const struct ht_event *ev)
{
	struct node *n = ctx;

	if (ev->number >= 1000 && ev->number < 1100)
		n->events[ev->number - 1000]++;
	if (n->net->trace)
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

/* Publishes the list of nodes marked as listed on the platform. */
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
	n->ownership = ht_registry_find(ht_core_registry(n->core), "ownership");
	n->members = ht_registry_find(ht_core_registry(n->core), "membership");
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

/* Ends a node's process. With @proof, its peers are notified of the reset of their links. */
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

/* Rules with one line per target in the data centre salto; @note is part of a comment. */
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

/* Takes ownership of the reference to @cfg. Removed targets keep their index. */
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
	net->trace = getenv("NET_TRACE") != NULL;
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

#endif
