#include "bench/sim_private.h"

#include "base/hash.h"
#include "rules/rules.h"

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_MS 2
#define PLATFORM_MS 3
/* Time after which a lost request is reported, as by a closed connection. */
#define LOST_MS 20

void sim_fatal(const char *what)
{
	fprintf(stderr, "sim: %s\n", what);
	abort();
}

void *sim_checked(void *p)
{
	if (!p)
		sim_fatal("out of memory");
	return p;
}

uint64_t sim_random(struct sim *s)
{
	return ht_hash_pair(s->seed++, 0x5eed);
}

double sim_uniform(struct sim *s)
{
	return (double)(sim_random(s) >> 11) / 9007199254740992.0;
}

void sim_push(struct sim *s, struct sim_event ev)
{
	size_t i = s->heap_count++;

	if (s->heap_count > s->heap_capacity) {
		s->heap_capacity = s->heap_capacity ? s->heap_capacity * 2 : 1024;
		s->heap = sim_checked(realloc(s->heap, s->heap_capacity * sizeof(*s->heap)));
	}
	ev.order = s->sequence++;
	for (; i > 0 && sim_before(&ev, &s->heap[(i - 1) / 2]); i = (i - 1) / 2)
		s->heap[i] = s->heap[(i - 1) / 2];
	s->heap[i] = ev;
}

static int node_by_id(const struct sim *s, uint64_t id)
{
	for (int i = 0; i < s->node_count; i++)
		if (s->nodes[i].id == id)
			return i;
	return -1;
}

bool sim_is_data(const Ht__PeerMsg *msg)
{
	return msg->kind_case == HT__PEER_MSG__KIND_FORWARD ||
	       msg->kind_case == HT__PEER_MSG__KIND_ANSWER ||
	       msg->kind_case == HT__PEER_MSG__KIND_RETURNED;
}

static bool op_send(void *ctx, uint64_t peer, const Ht__PeerMsg *msg)
{
	struct sim_node *n = ctx;
	struct sim *s = n->sim;
	int to = node_by_id(s, peer);
	struct sim_event ev = {.kind = EV_PEER, .from = n->index, .node = to};
	uint8_t *data;
	size_t len;

	if (to < 0 || (!s->nodes[to].core && !s->cut[n->index][to]))
		return false;
	len = ht__peer_msg__get_packed_size(msg);
	n->kind_bytes[msg->kind_case] += len + FRAME_HEADER;
	if (sim_is_data(msg)) {
		n->data_sent_bytes += len + FRAME_HEADER;
	} else {
		n->sent_bytes += len + FRAME_HEADER;
		n->sent_messages++;
	}
	if (s->cut[n->index][to] || (s->loss > 0 && sim_uniform(s) < s->loss))
		return true;
	ev.incarnation = s->nodes[to].incarnation;
	ev.due = s->now + s->latency;
	if (s->jitter)
		ev.due += (ht_ms)(sim_random(s) % (uint64_t)(s->jitter + 1));
	if (ev.due < s->last_due[n->index][to])
		ev.due = s->last_due[n->index][to];
	s->last_due[n->index][to] = ev.due;
	data = sim_checked(malloc(len + 1));
	ht__peer_msg__pack(msg, data);
	ev.message = g_bytes_new_take(data, len);
	sim_push(s, ev);
	return true;
}

static void op_answer(void *ctx, uint64_t handle, const struct ht_answer *answer)
{
	struct sim_node *n = ctx;

	if (n->sim->hooks.answered)
		n->sim->hooks.answered(n->sim->hooks.ctx, n, handle, answer);
}

static void op_send_target(void *ctx, const struct ht_target_request *req)
{
	struct sim_node *n = ctx;
	struct sim *s = n->sim;
	struct sim_target *t = sim_target(s, req->target);
	struct sim_event ev = {.kind = EV_TARGET_DONE,
			       .node = n->index,
			       .incarnation = n->incarnation,
			       .id = req->id,
			       .target = req->target,
			       .result = HT_TARGET_ANSWERED,
			       .due = s->now + 1};

	if (t->mode == SIM_TARGET_DOWN) {
		ev.result = HT_TARGET_UNSENT;
	} else if (t->mode == SIM_TARGET_REFUSING) {
		ev.result = HT_TARGET_REFUSED;
	} else {
		ev.ran = true;
		t->started++;
		if (++t->in_flight > t->peak)
			t->peak = t->in_flight;
		if (s->hooks.started)
			ev.due = s->now + s->hooks.started(s->hooks.ctx, n, t, req);
		if (t->mode == SIM_TARGET_LOSING) {
			ev.result = HT_TARGET_LOST;
			ev.due = s->now + LOST_MS;
		} else if (ev.due - s->now > req->deadline) {
			ev.result = HT_TARGET_TIMEOUT;
			ev.due = s->now + req->deadline;
		}
	}
	sim_push(s, ev);
}

static void op_cancel_target(void *ctx, uint64_t target, uint64_t id)
{
	(void)ctx;
	(void)target;
	(void)id;
}

static void op_open(void *ctx, const struct ht_target_conf *conf, const char *service)
{
	struct sim_node *n = ctx;

	(void)service;
	sim_push(n->sim, (struct sim_event){.kind = EV_TARGET_STATE,
					    .node = n->index,
					    .incarnation = n->incarnation,
					    .target = conf->id,
					    .due = n->sim->now + CONNECT_MS});
}

static void op_close(void *ctx, uint64_t target)
{
	(void)ctx;
	(void)target;
}

static void op_timer(void *ctx, ht_ms due)
{
	struct sim_node *n = ctx;

	n->timer = due;
	sim_push(n->sim, (struct sim_event){.kind = EV_TIMER,
					    .node = n->index,
					    .incarnation = n->incarnation,
					    .due = due});
}

static void op_platform(void *ctx, enum ht_platform_call call, struct ht_revision known,
			const char *body)
{
	struct sim_node *n = ctx;

	(void)body;
	n->sim->platform_calls[call]++;
	if (call != HT_PLATFORM_WRITE_STATUS)
		sim_push(n->sim, (struct sim_event){.kind = EV_PLATFORM,
						    .node = n->index,
						    .incarnation = n->incarnation,
						    .call = call,
						    .id = known.number,
						    .due = n->sim->now + PLATFORM_MS});
}

static void op_event(void *ctx, const struct ht_event *ev)
{
	struct sim_node *n = ctx;

	if (getenv("SIM_TRACE")) {
		fprintf(stderr, "%lld ", (long long)n->sim->now);
		ht_event_log(ev, n->name, HT_DEBUG);
	}
}

static void op_stopped(void *ctx)
{
	struct sim_node *n = ctx;

	n->stopped = true;
	sim_push(n->sim, (struct sim_event){.kind = EV_STOPPED,
					    .node = n->index,
					    .incarnation = n->incarnation,
					    .due = n->sim->now + 1});
}

static const struct ht_core_ops sim_ops = {
	.send_peer = op_send,
	.answer = op_answer,
	.send_target = op_send_target,
	.cancel_target = op_cancel_target,
	.open_target = op_open,
	.close_target = op_close,
	.arm_timer = op_timer,
	.platform = op_platform,
	.log_event = op_event,
	.stopped = op_stopped,
};

struct sim *sim_new(uint64_t seed)
{
	struct sim *s = sim_checked(calloc(1, sizeof(*s)));

	s->now = 1000000;
	s->seed = seed << 32;
	s->latency = 1;
	ht_core_params_default(&s->params);
	return s;
}

void sim_free(struct sim *s)
{
	for (int i = 0; i < s->node_count; i++)
		ht_core_free(s->nodes[i].core);
	for (size_t i = 0; i < s->heap_count; i++)
		g_bytes_unref(s->heap[i].message);
	free(s->heap);
	free(s->targets);
	free(s->target_index);
	ht_config_put(s->head);
	free(s);
}

int sim_add(struct sim *s, const char *name, const char *dc, double size)
{
	struct sim_node *n = &s->nodes[s->node_count];

	if (s->node_count == SIM_NODES)
		sim_fatal("too many instances");
	*n = (struct sim_node){.sim = s, .index = s->node_count, .size = size, .listed = true};
	n->id = ht_instance_id(name);
	snprintf(n->name, sizeof(n->name), "%s", name);
	snprintf(n->dc, sizeof(n->dc), "%s", dc);
	return s->node_count++;
}

struct ht_instance_info sim_info_of(const struct sim_node *n)
{
	struct ht_instance_info info = {.size = n->size};

	snprintf(info.name, sizeof(info.name), "%s", n->name);
	snprintf(info.dc, sizeof(info.dc), "%s", n->dc);
	snprintf(info.peer_address, sizeof(info.peer_address), "127.1.%d.%d:7000", n->index / 250,
		 n->index % 250 + 1);
	snprintf(info.admin_address, sizeof(info.admin_address), "127.1.%d.%d:7001", n->index / 250,
		 n->index % 250 + 1);
	return info;
}

static void link_nodes(struct sim *s, struct sim_node *a, struct sim_node *b)
{
	struct ht_instance_info ia = sim_info_of(a), ib = sim_info_of(b);

	if (!a->core || !b->core || s->cut[a->index][b->index] || s->cut[b->index][a->index])
		return;
	ht_core_advance(a->core, s->now);
	ht_core_advance(b->core, s->now);
	ht_core_peer_up(a->core, &ib, b->incarnation);
	ht_core_peer_up(b->core, &ia, a->incarnation);
}

void sim_start(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];
	struct ht_core_params params = s->params;

	n->incarnation = sim_random(s) | 1;
	n->stopped = false;
	n->timer = HT_NEVER;
	params.ops = &sim_ops;
	params.ctx = n;
	params.self = sim_info_of(n);
	params.incarnation = n->incarnation;
	params.seed = sim_random(s);
	for (size_t i = 0; i < sizeof(params.ticket_key); i++)
		params.ticket_key[i] = (uint8_t)sim_random(s);
	params.now = s->now;
	n->core = sim_checked(ht_core_new(&params));
	for (int i = 0; i < s->node_count; i++)
		if (i != node)
			link_nodes(s, n, &s->nodes[i]);
}

void sim_kill(struct sim *s, int node, bool proof)
{
	struct sim_node *n = &s->nodes[node];

	if (!n->core)
		return;
	ht_core_free(n->core);
	n->core = NULL;
	for (int i = 0; proof && i < s->node_count; i++) {
		struct sim_node *o = &s->nodes[i];

		if (!o->core || s->cut[i][node] || s->cut[node][i])
			continue;
		ht_core_advance(o->core, s->now);
		ht_core_peer_down(o->core, n->id, n->incarnation, HT_PEER_GONE);
	}
}

void sim_publish(struct sim *s)
{
	s->revision++;
}

static void index_target(struct sim *s, uint32_t number)
{
	size_t mask = s->target_index_size - 1, i = s->targets[number].id & mask;

	while (s->target_index[i])
		i = (i + 1) & mask;
	s->target_index[i] = number + 1;
}

static void index_targets(struct sim *s)
{
	if (s->target_count * 2 > s->target_index_size) {
		free(s->target_index);
		s->target_index_size = s->target_index_size ? s->target_index_size * 2 : 64;
		s->target_index =
			sim_checked(calloc(s->target_index_size, sizeof(*s->target_index)));
		for (size_t i = 0; i < s->target_count; i++)
			index_target(s, (uint32_t)i);
	} else {
		index_target(s, (uint32_t)s->target_count - 1);
	}
}

static void learn_target(struct sim *s, const struct ht_config *cfg, size_t i)
{
	const struct ht_target_conf *t = &cfg->targets[i];
	struct sim_target *known = sim_target(s, t->id);
	const struct ht_service_conf *svc = ht_config_service(cfg, t->service);

	if (!known) {
		s->targets = sim_checked(
			realloc(s->targets, (s->target_count + 1) * sizeof(*s->targets)));
		known = &s->targets[s->target_count++];
		*known = (struct sim_target){.id = t->id, .speed = 1, .slots = t->slots};
		index_targets(s);
	}
	snprintf(known->name, sizeof(known->name), "%s", t->name);
	snprintf(known->service, sizeof(known->service), "%s", svc->name);
}

void sim_apply(struct sim *s, uint64_t version, const char *text)
{
	struct ht_rules_errors errors = {0};
	struct ht_config *cfg = ht_rules_parse(text, strlen(text), &errors);

	if (!cfg) {
		ht_rules_errors_print(&errors, "rules", stderr);
		sim_fatal("the rules do not parse");
	}
	cfg->version = version;
	snprintf(cfg->change_id, sizeof(cfg->change_id), "change-%llu",
		 (unsigned long long)version);
	ht_config_put(s->head);
	s->head = cfg;
	for (size_t i = 0; i < cfg->target_count; i++)
		learn_target(s, cfg, i);
}

struct sim_target *sim_target(struct sim *s, uint64_t id)
{
	size_t mask = s->target_index_size - 1;

	for (size_t i = id & mask; s->target_index_size; i = (i + 1) & mask) {
		if (!s->target_index[i])
			return NULL;
		if (s->targets[s->target_index[i] - 1].id == id)
			return &s->targets[s->target_index[i] - 1];
	}
	return NULL;
}

struct sim_target *sim_target_by_name(struct sim *s, const char *name)
{
	for (size_t i = 0; i < s->target_count; i++)
		if (strcmp(s->targets[i].name, name) == 0)
			return &s->targets[i];
	return NULL;
}

void sim_target_mode(struct sim *s, struct sim_target *t, enum sim_target_mode mode)
{
	enum sim_target_mode old = t->mode;

	t->mode = mode;
	if ((old == SIM_TARGET_DOWN) == (mode == SIM_TARGET_DOWN))
		return;
	for (int i = 0; i < s->node_count; i++)
		sim_push(s, (struct sim_event){.kind = EV_TARGET_STATE,
					       .node = i,
					       .incarnation = s->nodes[i].incarnation,
					       .target = t->id,
					       .due = s->now + CONNECT_MS});
}

void sim_request(struct sim *s, int node, uint64_t handle, const struct ht_request *req)
{
	ht_core_advance(s->nodes[node].core, s->now);
	ht_core_request(s->nodes[node].core, handle, req);
}

void sim_call_at(struct sim *s, ht_ms due, uint64_t arg)
{
	sim_push(s, (struct sim_event){.kind = EV_CALL, .node = -1, .id = arg, .due = due});
}

uint64_t sim_counter(struct sim *s, enum ht_counter id)
{
	uint64_t sum = 0;

	for (int i = 0; i < s->node_count; i++)
		if (s->nodes[i].core)
			sum += ht_core_counters(s->nodes[i].core)->values[id];
	return sum;
}

size_t sim_own_bytes(const struct sim *s)
{
	return malloc_usable_size(s->targets) + malloc_usable_size(s->heap) +
	       malloc_usable_size(s->target_index);
}
