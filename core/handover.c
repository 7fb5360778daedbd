/*
 * Hand-over of the ledger of POST requests. An instance that stops streams its full ledger and each
 * later change to every instance that takes over a target (a receiver). The copy is complete only
 * once the batch flagged `last` has arrived: from then on, a ticket missing from it has not run.
 */
#include "core/path.h"

#include <stdlib.h>
#include <string.h>

#define BATCH_ENTRIES 128
#define FLOW_PAIRS 4096
/* Larger bodies are omitted, keeping the verdict "ran", so that frames stay below 1 MiB. */
#define BODY_BYTES_MAX 4096
/* A receiver that does not acknowledge for this long, in ms, is removed with an incomplete copy. */
#define ACK_TIMEOUT 2000

struct ledger_receiver {
	struct ht_list node;
	uint64_t peer;
	uint32_t sent;	/* batches sent */
	uint32_t acked; /* batches acknowledged */
	ht_ms waiting_since;
	bool sent_in_full; /* was sent every POST request, not only those of one target */
	bool last;
};

struct batch {
	struct ht_request_path *p;
	struct ledger_receiver *f;
	uint64_t target; /* 0: all */
	size_t count;
	uint64_t *flows; /* pairs of flow and target; sent without entries */
	size_t flow_count;
	Ht__LedgerEntry *entries[BATCH_ENTRIES];
	Ht__LedgerEntry entry[BATCH_ENTRIES];
	Ht__RequestKey key[BATCH_ENTRIES];
	Ht__Ticket ticket[BATCH_ENTRIES];
	Ht__Ticket next[BATCH_ENTRIES];
	Ht__Answer answer[BATCH_ENTRIES];
};

void ht_handover_init(struct ht_request_path *p)
{
	ht_list_init(&p->ledger_receivers);
	p->received_ledgers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
}

void ht_handover_free(struct ht_request_path *p)
{
	struct ht_list *pos, *next;

	ht_list_for_each_safe (pos, next, &p->ledger_receivers)
		free(ht_container_of(pos, struct ledger_receiver, node));
	g_hash_table_destroy(p->received_ledgers);
}

static struct ledger_receiver *get_receiver(struct ht_request_path *p, uint64_t peer, bool create)
{
	struct ht_list *pos;
	struct ledger_receiver *f;

	ht_list_for_each (pos, &p->ledger_receivers) {
		f = ht_container_of(pos, struct ledger_receiver, node);
		if (f->peer == peer)
			return f;
	}
	f = create ? calloc(1, sizeof(*f)) : NULL;
	if (!f)
		return NULL;
	f->peer = peer;
	ht_list_add_tail(&p->ledger_receivers, &f->node);
	return f;
}

static void remove_receiver(struct ht_request_path *p, struct ledger_receiver *f, const char *why)
{
	p->env->emit(p->env, HT_EV_LEDGER_NOT_TAKEN, 0, 0, 0, f->peer, "why=%s sent=%u acked=%u",
		     why, f->sent, f->acked);
	ht_list_del(&f->node);
	free(f);
}

/* Sends the batch; sets its receiver to NULL if sending failed and removed it. */
static void flush_batch(struct batch *b, bool last)
{
	struct ht_request_path *p = b->p;
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;
	Ht__LedgerEntries m = HT__LEDGER_ENTRIES__INIT;

	m.incarnation = p->env->params.incarnation;
	m.n_entries = b->count;
	m.entries = b->entries;
	m.last = last;
	m.batch = b->f->sent;
	m.now_ms = p->env->now;
	m.flows = b->flows;
	m.n_flows = b->flow_count;
	msg.kind_case = HT__PEER_MSG__KIND_LEDGER_ENTRIES;
	msg.ledger_entries = &m;
	b->count = 0;
	if (!p->env->send(p->env, b->f->peer, &msg)) {
		remove_receiver(p, b->f, "not_sent");
		b->f = NULL;
		return;
	}
	if (b->f->sent == b->f->acked)
		b->f->waiting_since = p->env->now;
	b->f->sent++;
	b->f->last = b->f->last || last;
}

static void fill_answer(struct batch *b, size_t i, const struct ht_entry *e)
{
	Ht__Answer *a = &b->answer[i];

	ht__answer__init(a);
	a->code = e->code;
	a->verdict = e->verdict;
	a->content_format = e->content_format;
	if (e->payload_len <= BODY_BYTES_MAX && !e->evicted) {
		a->payload.data = e->payload;
		a->payload.len = e->payload_len;
		a->etag.data = (uint8_t *)e->etag;
		a->etag.len = sizeof(e->etag);
	} else {
		a->code = HT_GATEWAY_TIMEOUT;
	}
	b->entry[i].answer = a;
}

static void add_to_batch(void *ctx, struct ht_entry *e)
{
	struct batch *b = ctx;
	struct ht_ticket t;
	size_t i;

	ht_ticket_unpack(&t, e->ticket);
	if (!b->f || t.incarnation != b->p->env->params.incarnation ||
	    (b->target && e->target != b->target))
		return;
	i = b->count++;
	ht__ledger_entry__init(&b->entry[i]);
	ht__request_key__init(&b->key[i]);
	ht_ticket_to_wire(&b->ticket[i], e->ticket);
	b->entries[i] = &b->entry[i];
	b->key[i].flow = e->flow;
	b->key[i].token.data = e->token;
	b->key[i].token.len = e->token_len;
	b->key[i].ticket = &b->ticket[i];
	b->entry[i].key = &b->key[i];
	b->entry[i].state = (Ht__LedgerState)e->state;
	b->entry[i].target = e->target;
	if (e->state == HT_ENTRY_ANSWERED)
		fill_answer(b, i, e);
	if (b->count == BATCH_ENTRIES)
		flush_batch(b, false);
}

/* Returns false if the receiver was removed. */
static bool send_ledger(struct ht_request_path *p, struct ledger_receiver *f, uint64_t target,
			bool last)
{
	struct batch *b = calloc(1, sizeof(*b));
	bool accepted;

	if (!b) {
		remove_receiver(p, f, "memory");
		return false;
	}
	b->p = p;
	b->f = f;
	b->target = target;
	if (!last || !f->sent_in_full)
		ht_ledger_each_posting(p->ledger, add_to_batch, b);
	if (b->f && (b->count || last))
		flush_batch(b, last);
	if (b->f)
		p->env->emit(p->env, HT_EV_LEDGER_SENT, 0, 0, target, f->peer, "batches=%u last=%d",
			     f->sent, last);
	accepted = b->f != NULL;
	free(b);
	return accepted;
}

void ht_handover_update(struct ht_request_path *p, const struct ht_entry *e)
{
	struct ht_list *pos, *tmp;

	if (!e->posting || ht_list_empty(&p->ledger_receivers))
		return;
	ht_list_for_each_safe (pos, tmp, &p->ledger_receivers) {
		struct batch *b = calloc(1, sizeof(*b));

		if (!b)
			return;
		b->p = p;
		b->f = ht_container_of(pos, struct ledger_receiver, node);
		add_to_batch(b, (struct ht_entry *)e);
		if (b->f && b->count)
			flush_batch(b, false);
		free(b);
	}
}

/* Sends every POST request. Later changes follow one by one, and a batch flagged `last` at the end.
 */
static void send_full_ledger(struct ht_request_path *p, struct ledger_receiver *f)
{
	if (!send_ledger(p, f, 0, false))
		return;
	f->sent_in_full = true;
	if (p->ledger_closed)
		send_ledger(p, f, 0, true);
}

/* Flows to hand over with a target: those placed on it, and those hashed to it but placed
 * elsewhere. */
struct flow_batch {
	struct ht_request_path *p;
	struct ledger_receiver *f;
	uint64_t target;
	size_t count, total;
	uint64_t pairs[FLOW_PAIRS * 2];
};

static void flush_flows(struct flow_batch *b)
{
	struct batch *frame = b->count ? calloc(1, sizeof(*frame)) : NULL;

	if (!frame)
		return;
	frame->p = b->p;
	frame->f = b->f;
	frame->flows = b->pairs;
	frame->flow_count = b->count * 2;
	flush_batch(frame, false);
	b->f = frame->f;
	b->total += b->count;
	b->count = 0;
	free(frame);
}

static void add_flow(void *ctx, uint64_t flow, uint64_t target)
{
	struct flow_batch *b = ctx;
	struct ht_config *cfg = b->p->config->current(b->p->config->ctx);
	const struct ht_target_conf *conf = cfg ? ht_config_target(cfg, target) : NULL;
	struct ht_candidates row;

	if (!conf || !b->f)
		return;
	if (target != b->target) {
		ht_placement_candidates(&row, ht_config_service(cfg, conf->service), flow);
		if (!row.count || row.target[0]->id != b->target)
			return;
	}
	b->pairs[b->count * 2] = flow;
	b->pairs[b->count * 2 + 1] = target;
	if (++b->count == FLOW_PAIRS)
		flush_flows(b);
}

/*
 * Sends the flows of a target, as without them the new owner could not tell established flows from
 * new ones after the next change of the target set. Takes 16 bytes per flow, once per planned
 * change of home.
 */
static void send_flows(struct ht_request_path *p, uint64_t target, uint64_t to)
{
	struct flow_batch *b = calloc(1, sizeof(*b));

	if (!b)
		return;
	b->p = p;
	b->f = get_receiver(p, to, true);
	b->target = target;
	ht_flows_each(p->flows, add_flow, b);
	if (b->f)
		flush_flows(b);
	p->env->emit(p->env, HT_EV_FLOWS_SENT, 0, 0, target, to, "flows=%zu", b->total);
	free(b);
}

/* While stopping, the receiver gets the full ledger, as any of its tickets may be used there. */
static void hand_over(void *ctx, uint64_t target, uint64_t to)
{
	struct ht_request_path *p = ctx;
	struct ledger_receiver *f;

	send_flows(p, target, to);
	f = get_receiver(p, to, true);
	if (!f || f->sent_in_full)
		return;
	if (!p->env->stopping) {
		send_ledger(p, f, target, false);
		return;
	}
	send_full_ledger(p, f);
}

static void hand_over_all(void *ctx)
{
	struct ht_request_path *p = ctx;
	struct ht_config *cfg = p->config->current(p->config->ctx);
	struct ht_list *pos, *tmp;
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, p->targets);
	while (cfg && g_hash_table_iter_next(&it, NULL, &value)) {
		const struct ht_target_conf *conf =
			ht_config_target(cfg, ((struct ht_target *)value)->id);
		uint64_t home =
			conf ? p->membership->home(p->membership->ctx, conf->id, conf->dc) : 0;

		if (home && home != p->env->self)
			get_receiver(p, home, true);
	}
	p->handing_over = true;
	ht_list_for_each_safe (pos, tmp, &p->ledger_receivers) {
		struct ledger_receiver *f = ht_container_of(pos, struct ledger_receiver, node);

		if (!f->sent_in_full)
			send_full_ledger(p, f);
	}
}

/* True when no POST request can run here any more: no slots are usable, nothing queued or in
 * flight. */
static bool all_released(struct ht_request_path *p)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, p->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct ht_target *t = value;

		if (t->queued || t->in_flight || p->ownership->slots(p->ownership->ctx, t->id))
			return false;
	}
	return true;
}

void ht_handover_finish(struct ht_request_path *p)
{
	struct ht_list *pos, *tmp;

	if (!p->handing_over || p->ledger_closed || !all_released(p))
		return;
	p->ledger_closed = true;
	ht_list_for_each_safe (pos, tmp, &p->ledger_receivers)
		send_ledger(p, ht_container_of(pos, struct ledger_receiver, node), 0, true);
}

static bool handed_over(void *ctx)
{
	struct ht_request_path *p = ctx;
	struct ht_list *pos;

	ht_list_for_each (pos, &p->ledger_receivers) {
		struct ledger_receiver *f = ht_container_of(pos, struct ledger_receiver, node);

		if (f->acked < f->sent || (p->handing_over && !f->last))
			return false;
	}
	return true;
}

static void process_ack(void *ctx, uint64_t peer, const Ht__LedgerAck *m)
{
	struct ht_request_path *p = ctx;
	struct ledger_receiver *f = get_receiver(p, peer, false);

	if (!f || m->batch < f->acked || m->batch >= f->sent)
		return;
	f->acked = m->batch + 1;
	f->waiting_since = p->env->now;
}

void ht_handover_peer_down(struct ht_request_path *p, uint64_t peer)
{
	struct ledger_receiver *f = get_receiver(p, peer, false);

	if (!f)
		return;
	remove_receiver(p, f, "link_down");
	if (p->handing_over)
		hand_over_all(p);
}

void ht_handover_expire(struct ht_request_path *p)
{
	struct ht_list *pos, *tmp;

	ht_handover_expire_received(p);
	ht_list_for_each_safe (pos, tmp, &p->ledger_receivers) {
		struct ledger_receiver *f = ht_container_of(pos, struct ledger_receiver, node);

		if (f->acked < f->sent && p->env->now - f->waiting_since >= ACK_TIMEOUT)
			remove_receiver(p, f, "no_acknowledgement");
	}
}

void ht_handover_publish(struct ht_request_path *p)
{
	p->ledger_if = (struct ht_ledger_if){
		.ctx = p,
		.hand_over = hand_over,
		.hand_over_all = hand_over_all,
		.handed_over = handed_over,
		.entries = ht_handover_receive,
		.ack = process_ack,
	};
	ht_registry_add(p->env->registry, "ledger", &p->ledger_if);
}
