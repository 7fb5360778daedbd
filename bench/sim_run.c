/* Takes the events of the simulation in the order of their time. */
#include "bench/sim_private.h"

#include <stdio.h>
#include <stdlib.h>

/* Distance between two looks of a waiting watch at the head. */
#define WATCH_POLL_MS 20

static struct sim_event pop(struct sim *s)
{
	struct sim_event top = s->heap[0], last = s->heap[--s->heap_count];
	size_t i = 0;

	while (2 * i + 1 < s->heap_count) {
		size_t c = 2 * i + 1;

		if (c + 1 < s->heap_count && sim_before(&s->heap[c + 1], &s->heap[c]))
			c++;
		if (!sim_before(&s->heap[c], &last))
			break;
		s->heap[i] = s->heap[c];
		i = c;
	}
	s->heap[i] = last;
	return top;
}

static void peer_message(struct sim *s, struct sim_node *n, const struct sim_event *ev)
{
	size_t len = g_bytes_get_size(ev->message);
	Ht__PeerMsg *msg =
		sim_checked(ht__peer_msg__unpack(NULL, len, g_bytes_get_data(ev->message, NULL)));

	n->kind_bytes[msg->kind_case] += len + FRAME_HEADER;
	if (!sim_is_data(msg)) {
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
		sim_checked(calloc((size_t)s->node_count + (size_t)s->ghosts, sizeof(*list)));
	int count = 0;

	for (int i = 0; i < s->node_count; i++)
		if (s->nodes[i].listed)
			list[count++] = sim_info_of(&s->nodes[i]);
	for (int i = 0; i < s->ghosts; i++)
		fill_ghost(&list[count++], i);
	ht_core_live_list(n->core, (struct ht_revision){0, s->revision}, list, down ? -1 : count);
	free(list);
}

static void platform_reply(struct sim *s, struct sim_node *n, const struct sim_event *ev)
{
	bool down = s->platform_down || n->no_platform;

	if (ev->call == HT_PLATFORM_WATCH_HEAD && !down && s->head && s->head->version == ev->id) {
		struct sim_event again = *ev;

		again.due = s->now + WATCH_POLL_MS;
		sim_push(s, again);
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
