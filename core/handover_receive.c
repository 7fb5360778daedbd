/* Receives ledgers and flows handed over by other incarnations. */
#include "core/path.h"

#include <stdlib.h>
#include <string.h>

/* A ledger received from another incarnation. */
struct received_ledger {
	uint64_t incarnation;
	uint32_t next_batch; /* number of the next batch expected */
	ht_ms clock_offset;  /* its clock minus this instance's clock */
	ht_ms received;
	bool gap;
	bool complete;
};

static void store_entry(struct ht_request_path *p, const Ht__LedgerEntry *m)
{
	struct ht_stored_request body = {.method = HT_POST, .has_ticket = true};
	struct ht_answer a = {0};
	struct ht_entry *e;

	if (!m->key || !m->key->ticket || m->key->token.len > HT_TOKEN_MAX ||
	    m->state > HT__LEDGER_STATE__LEDGER_UNKNOWN)
		return;
	body.flow = m->key->flow;
	body.token_len = (uint8_t)m->key->token.len;
	if (body.token_len)
		memcpy(body.token, m->key->token.data, body.token_len);
	ht_ticket_from_wire(body.ticket, m->key->ticket);
	e = ht_ledger_find(p->ledger, &body);
	if (!e)
		e = ht_ledger_add(p->ledger, &body, HT_ENTRY_UNKNOWN, p->env->now);
	if (!e || e->job)
		return;
	e->target = m->target;
	ht_ledger_change(p->ledger, e, (enum ht_entry_state)m->state, p->env->now);
	if (m->state != HT__LEDGER_STATE__LEDGER_ANSWERED || !m->answer)
		return;
	a.code = (uint8_t)m->answer->code;
	a.verdict = (enum ht_verdict)m->answer->verdict;
	a.payload = m->answer->payload.data;
	a.payload_len = m->answer->payload.len;
	a.content_format = m->answer->content_format;
	if (m->answer->etag.len == sizeof(a.etag))
		memcpy(a.etag, m->answer->etag.data, sizeof(a.etag));
	ht_ledger_store_answer(p->ledger, e, &a, p->env->now);
}

/* Adds only unknown flows, as this instance's own entries are newer than the former owner's. */
static void store_flows(struct ht_request_path *p, const Ht__LedgerEntries *m)
{
	bool evicted;

	for (size_t i = 0; i + 1 < m->n_flows; i += 2)
		if (!ht_flows_use(p->flows, m->flows[i], p->env->now, NULL))
			ht_flows_set(p->flows, m->flows[i], m->flows[i + 1], p->env->now, false,
				     &evicted);
}

static struct received_ledger *get_received_ledger(struct ht_request_path *p, uint64_t incarnation)
{
	struct received_ledger *rl = g_hash_table_lookup(p->received_ledgers, &incarnation);

	if (rl)
		return rl;
	rl = calloc(1, sizeof(*rl));
	if (!rl)
		return NULL;
	rl->incarnation = incarnation;
	g_hash_table_insert(p->received_ledgers, &rl->incarnation, rl);
	return rl;
}

void ht_handover_receive(void *ctx, uint64_t peer, const Ht__LedgerEntries *m)
{
	struct ht_request_path *p = ctx;
	struct received_ledger *rl = get_received_ledger(p, m->incarnation);
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;
	Ht__LedgerAck ack = HT__LEDGER_ACK__INIT;

	if (!rl)
		return;
	/* After the loss of a batch with its link, the copy stays incomplete. */
	if (m->batch != rl->next_batch)
		rl->gap = true;
	rl->next_batch = m->batch + 1;
	rl->clock_offset = m->now_ms - p->env->now;
	rl->received = p->env->now;
	for (size_t i = 0; i < m->n_entries; i++)
		store_entry(p, m->entries[i]);
	store_flows(p, m);
	rl->complete = (rl->complete || m->last) && !rl->gap;
	p->env->emit(p->env, HT_EV_LEDGER_RECEIVED, 0, 0, 0, peer,
		     "incarnation=%016llx entries=%zu flows=%zu complete=%d",
		     (unsigned long long)m->incarnation, m->n_entries, m->n_flows / 2,
		     rl->complete);
	ack.batch = m->batch;
	ack.last = m->last;
	msg.kind_case = HT__PEER_MSG__KIND_LEDGER_ACK;
	msg.ledger_ack = &ack;
	p->env->send(p->env, peer, &msg);
}

bool ht_handover_complete(struct ht_request_path *p, uint64_t incarnation, ht_ms *clock)
{
	struct received_ledger *rl = g_hash_table_lookup(p->received_ledgers, &incarnation);

	if (!rl || !rl->complete)
		return false;
	if (clock)
		*clock = p->env->now + rl->clock_offset;
	return true;
}

static gboolean is_expired(void *key, void *value, void *ctx)
{
	const struct received_ledger *rl = value;
	const struct ht_request_path *p = ctx;

	(void)key;
	return p->env->now - rl->received > HT_LEDGER_RETENTION_MS;
}

void ht_handover_expire_received(struct ht_request_path *p)
{
	g_hash_table_foreach_remove(p->received_ledgers, is_expired, p);
}
