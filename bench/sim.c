#include "bench/sim.h"

#include "base/hash.h"
#include "rules/rules.h"

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FRAME_HEADER 4
#define CONNECT_MS 2
#define PLATFORM_MS 3
#define WATCH_POLL_MS 20
/* Time after which a lost request is reported, as by a closed connection. */
#define LOST_MS 20

enum event_kind {
	EV_TIMER,
	EV_PEER,
	EV_TARGET_DONE,
	EV_TARGET_STATE,
	EV_PLATFORM,
	EV_STOPPED,
	EV_CALL,
};

struct sim_event {
	ht_ms due;
	uint64_t order;
	enum event_kind kind;
	int node, from;
	uint64_t incarnation; /* of the node; an event for an earlier process is dropped */
	uint64_t id;	      /* request, target or argument */
	uint64_t target;
	enum ht_target_result result;
	enum ht_platform_call call;
	bool ran;
	GBytes *message; /* packed */
};

static void fatal(const char *what)
{
	fprintf(stderr, "sim: %s\n", what);
	abort();
}

static void *checked(void *p)
{
	if (!p)
		fatal("out of memory");
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

static bool before(const struct sim_event *a, const struct sim_event *b)
{
	return a->due < b->due || (a->due == b->due && a->order < b->order);
}

static void push(struct sim *s, struct sim_event ev)
{
	size_t i = s->heap_count++;

	if (s->heap_count > s->heap_capacity) {
		s->heap_capacity = s->heap_capacity ? s->heap_capacity * 2 : 1024;
		s->heap = checked(realloc(s->heap, s->heap_capacity * sizeof(*s->heap)));
	}
	ev.order = s->sequence++;
	for (; i > 0 && before(&ev, &s->heap[(i - 1) / 2]); i = (i - 1) / 2)
		s->heap[i] = s->heap[(i - 1) / 2];
	s->heap[i] = ev;
}

static struct sim_event pop(struct sim *s)
{
	struct sim_event top = s->heap[0], last = s->heap[--s->heap_count];
	size_t i = 0;

	while (2 * i + 1 < s->heap_count) {
		size_t c = 2 * i + 1;

		if (c + 1 < s->heap_count && before(&s->heap[c + 1], &s->heap[c]))
			c++;
		if (!before(&s->heap[c], &last))
			break;
		s->heap[i] = s->heap[c];
		i = c;
	}
	s->heap[i] = last;
	return top;
}

static int node_by_id(const struct sim *s, uint64_t id)
{
	for (int i = 0; i < s->node_count; i++)
		if (s->nodes[i].id == id)
			return i;
	return -1;
}

static bool is_data(const Ht__PeerMsg *msg)
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
	if (is_data(msg)) {
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
	data = checked(malloc(len + 1));
	ht__peer_msg__pack(msg, data);
	ev.message = g_bytes_new_take(data, len);
	push(s, ev);
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
	push(s, ev);
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
	push(n->sim, (struct sim_event){.kind = EV_TARGET_STATE,
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
	push(n->sim, (struct sim_event){.kind = EV_TIMER,
					.node = n->index,
					.incarnation = n->incarnation,
					.due = due});
}

static void op_platform(void *ctx, enum ht_platform_call call, uint64_t known, const char *body)
{
	struct sim_node *n = ctx;

	(void)body;
	n->sim->platform_calls[call]++;
	if (call != HT_PLATFORM_WRITE_STATUS)
		push(n->sim, (struct sim_event){.kind = EV_PLATFORM,
						.node = n->index,
						.incarnation = n->incarnation,
						.call = call,
						.id = known,
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
	push(n->sim, (struct sim_event){.kind = EV_STOPPED,
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
	struct sim *s = checked(calloc(1, sizeof(*s)));

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
		fatal("too many instances");
	*n = (struct sim_node){.sim = s, .index = s->node_count, .size = size, .listed = true};
	n->id = ht_instance_id(name);
	snprintf(n->name, sizeof(n->name), "%s", name);
	snprintf(n->dc, sizeof(n->dc), "%s", dc);
	return s->node_count++;
}

static struct ht_instance_info info_of(const struct sim_node *n)
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
	struct ht_instance_info ia = info_of(a), ib = info_of(b);

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
	params.self = info_of(n);
	params.incarnation = n->incarnation;
	params.seed = sim_random(s);
	for (size_t i = 0; i < sizeof(params.ticket_key); i++)
		params.ticket_key[i] = (uint8_t)sim_random(s);
	params.now = s->now;
	n->core = checked(ht_core_new(&params));
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
		s->target_index = checked(calloc(s->target_index_size, sizeof(*s->target_index)));
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
		s->targets =
			checked(realloc(s->targets, (s->target_count + 1) * sizeof(*s->targets)));
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
		fatal("the rules do not parse");
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
		push(s, (struct sim_event){.kind = EV_TARGET_STATE,
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
	push(s, (struct sim_event){.kind = EV_CALL, .node = -1, .id = arg, .due = due});
}

static void peer_message(struct sim *s, struct sim_node *n, const struct sim_event *ev)
{
	size_t len = g_bytes_get_size(ev->message);
	Ht__PeerMsg *msg =
		checked(ht__peer_msg__unpack(NULL, len, g_bytes_get_data(ev->message, NULL)));

	n->kind_bytes[msg->kind_case] += len + FRAME_HEADER;
	if (!is_data(msg)) {
		n->received_bytes += len + FRAME_HEADER;
		n->received_messages++;
	}
	ht_core_peer_msg(n->core, s->nodes[ev->from].id, msg);
	ht__peer_msg__free_unpacked(msg, NULL);
}

static void target_done(struct sim *s, struct sim_node *n, const struct sim_event *ev, bool current)
{
	static const char body[] = "answer";
	struct sim_target *t = sim_target(s, ev->target);
	struct ht_target_answer ans = {.id = ev->id, .result = ev->result};

	if (ev->ran)
		t->in_flight--;
	if (!current)
		return;
	if (ev->result == HT_TARGET_ANSWERED) {
		ans.code = HT_CONTENT;
		ans.payload = (const uint8_t *)body;
		ans.payload_len = sizeof(body) - 1;
	} else if (ev->result == HT_TARGET_REFUSED) {
		ans.code = HT_SERVICE_UNAVAILABLE;
		ans.retry_after = 1000;
	}
	ht_core_target_answer(n->core, &ans);
}

static void fill_ghost(struct ht_instance_info *info, int i)
{
	*info = (struct ht_instance_info){.size = 1};
	snprintf(info->name, sizeof(info->name), "region%d-dc%02d-%d", i % 8 + 1, i % 25 + 2,
		 i / 25 + 1);
	snprintf(info->dc, sizeof(info->dc), "region%d-dc%02d", i % 8 + 1, i % 25 + 2);
	snprintf(info->peer_address, sizeof(info->peer_address), "127.2.%d.%d:7000", i / 250,
		 i % 250 + 1);
	snprintf(info->admin_address, sizeof(info->admin_address), "127.2.%d.%d:7001", i / 250,
		 i % 250 + 1);
}

static void list_reply(struct sim *s, struct sim_node *n, bool down)
{
	struct ht_instance_info *list =
		checked(calloc((size_t)(s->node_count + s->ghosts), sizeof(*list)));
	int count = 0;

	for (int i = 0; i < s->node_count; i++)
		if (s->nodes[i].listed)
			list[count++] = info_of(&s->nodes[i]);
	for (int i = 0; i < s->ghosts; i++)
		fill_ghost(&list[count++], i);
	ht_core_live_list(n->core, s->revision, list, down ? -1 : count);
	free(list);
}

static void platform_reply(struct sim *s, struct sim_node *n, const struct sim_event *ev)
{
	bool down = s->platform_down || n->no_platform;

	if (ev->call == HT_PLATFORM_WATCH_HEAD && !down && s->head && s->head->version == ev->id) {
		struct sim_event again = *ev;

		again.due = s->now + WATCH_POLL_MS;
		push(s, again);
		return;
	}
	if (ev->call != HT_PLATFORM_READ_LIVE) {
		ht_core_platform_config(n->core, down ? NULL : s->head);
		return;
	}
	list_reply(s, n, down);
}

static void dispatch(struct sim *s, const struct sim_event *ev)
{
	struct sim_node *n = ev->node < 0 ? NULL : &s->nodes[ev->node];
	bool current = n && n->core && n->incarnation == ev->incarnation;

	if (ev->kind == EV_CALL) {
		s->hooks.call(s->hooks.ctx, ev->id);
		return;
	}
	if (ev->kind == EV_TIMER && (!current || n->timer != ev->due))
		return;
	if (current)
		ht_core_advance(n->core, s->now);
	if (ev->kind == EV_TARGET_DONE) {
		target_done(s, n, ev, current);
	} else if (current && ev->kind == EV_PEER) {
		peer_message(s, n, ev);
	} else if (current && ev->kind == EV_PLATFORM) {
		platform_reply(s, n, ev);
	} else if (current && ev->kind == EV_STOPPED) {
		sim_kill(s, ev->node, true);
	} else if (current && ev->kind == EV_TARGET_STATE) {
		bool down = sim_target(s, ev->target)->mode == SIM_TARGET_DOWN;

		ht_core_target_state(n->core, ev->target, down ? HT_TARGET_DOWN : HT_TARGET_UP);
	}
}

void sim_run(struct sim *s, ht_ms end)
{
	while (s->heap_count && s->heap[0].due <= end) {
		struct sim_event ev = pop(s);

		s->now = ev.due > s->now ? ev.due : s->now;
		dispatch(s, &ev);
		g_bytes_unref(ev.message);
	}
	s->now = end;
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
