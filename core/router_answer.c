/* Answers and refusals that a home sends to the ingresses waiting for a request. */
#include "base/hash.h"
#include "core/path.h"

#include <string.h>

/* Largest Block2 size exponent: 1024 bytes fit into one datagram at any common path MTU. */
#define BLOCK_SZX_MAX 6

/*
 * Reduces the answer to the requested block; an answer of one block is sent whole when no block was
 * requested. Returns false when the block is beyond the end.
 */
static bool select_block(uint32_t block, struct ht_answer *a)
{
	uint32_t num = block >> 4;
	uint8_t szx = block && (block >> 1 & 7) < BLOCK_SZX_MAX ? block >> 1 & 7 : BLOCK_SZX_MAX;
	size_t size = (size_t)16 << szx;
	size_t start = num * size;

	if (a->payload_len <= size && !block)
		return true;
	if (start && start >= a->payload_len)
		return false;
	a->has_block = true;
	a->block_num = num;
	a->block_szx = szx;
	a->block_more = a->payload_len - start > size;
	if (a->payload)
		a->payload += start;
	a->payload_len = a->block_more ? size : a->payload_len - start;
	return true;
}

static void fill_answer_msg(Ht__Answer *m, const struct ht_answer *a)
{
	m->code = a->code;
	m->verdict = a->verdict;
	m->retry_after_ms = (uint32_t)a->retry_after;
	m->payload.data = (uint8_t *)a->payload;
	m->payload.len = a->payload_len;
	m->content_format = a->content_format;
	m->etag.data = (uint8_t *)a->etag;
	m->etag.len = a->etag_len;
	m->has_block = a->has_block;
	m->block_num = a->block_num;
	m->block_szx = a->block_szx;
	m->block_more = a->block_more;
}

void ht_reply_send(struct ht_request_path *p, const struct ht_stored_request *req, uint64_t target,
		   const struct ht_waiter *to, const struct ht_answer *answer)
{
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;
	Ht__Answer m = HT__ANSWER__INIT;
	Ht__RequestKey key = HT__REQUEST_KEY__INIT;
	Ht__Ticket ticket;

	if (to->ingress == p->env->self) {
		ht_ingress_answer(p, to->ingress_id, answer);
		return;
	}
	fill_answer_msg(&m, answer);
	key.flow = req->flow;
	key.token.data = (uint8_t *)req->token;
	key.token.len = req->token_len;
	m.key = &key;
	m.ingress_id = to->ingress_id;
	m.service = req->service;
	m.target = target;
	if (answer->has_ticket) {
		ht_ticket_to_wire(&ticket, answer->ticket);
		m.next_ticket = &ticket;
	}
	msg.kind_case = HT__PEER_MSG__KIND_ANSWER;
	msg.answer = &m;
	p->env->send(p->env, to->ingress, &msg);
}

static void send_all(struct ht_request_path *p, struct ht_job *job, const struct ht_answer *a,
		     bool by_block)
{
	struct ht_waiter *waiters = job->waiters;
	unsigned int count = job->waiter_count;

	job->waiters = NULL;
	job->waiter_count = 0;
	job->answered = true;
	for (unsigned int i = 0; i < count; i++) {
		struct ht_answer block = *a;

		if (by_block && !select_block(waiters[i].block, &block)) {
			block.code = 128; /* 4.00: block out of range */
			block.payload_len = 0;
		}
		ht_reply_send(p, job->req, job->target, &waiters[i], &block);
	}
	g_free(waiters);
}

void ht_reply_all(struct ht_request_path *p, struct ht_job *job, const struct ht_answer *a)
{
	send_all(p, job, a, false);
}

void ht_reply_refusal(struct ht_request_path *p, struct ht_job *job, uint8_t code,
		      enum ht_verdict verdict, ht_ms retry_after, const char *why)
{
	struct ht_answer a = {.code = code, .verdict = verdict, .retry_after = retry_after};

	if (a.verdict == HT_NOT_RUN && job->min_verdict != HT_NOT_RUN) {
		a.verdict = job->min_verdict;
		a.code = HT_GATEWAY_TIMEOUT;
	}
	if (a.retry_after && a.retry_after < HT_RETRY_AFTER_MIN)
		a.retry_after = HT_RETRY_AFTER_MIN;
	ht_path_event(p, REQUEST_REFUSED, job->req, job->target, 0,
		      "verdict=%s retry_after=%lld why=%s", ht_verdict_name(a.verdict),
		      (long long)a.retry_after, why);
	ht_reply_all(p, job, &a);
}

void ht_reply_unavailable(struct ht_request_path *p, struct ht_job *job, const char *why)
{
	ht_reply_refusal(p, job, HT_SERVICE_UNAVAILABLE, HT_NOT_RUN, HT_RETRY_AFTER_MIN, why);
}

void ht_reply_may_have_run(struct ht_request_path *p, struct ht_job *job, const char *why)
{
	ht_reply_refusal(p, job, HT_GATEWAY_TIMEOUT, HT_MAY_HAVE_RUN, 0, why);
}

static void answer_from_entry(const struct ht_entry *e, struct ht_answer *a)
{
	*a = (struct ht_answer){
		.code = e->code,
		.verdict = e->verdict,
		.retry_after = e->retry_after,
		.payload = e->payload,
		.payload_len = e->payload_len,
		.content_format = e->content_format,
		.has_ticket = e->has_next_ticket,
	};
	memcpy(a->ticket, e->next_ticket, HT_TICKET_LEN);
	if (e->verdict == HT_RAN) {
		memcpy(a->etag, e->etag, sizeof(a->etag));
		a->etag_len = e->payload_len ? sizeof(a->etag) : 0;
	}
	if (!e->evicted)
		return;
	a->code = HT_GATEWAY_TIMEOUT;
	a->payload = NULL;
	a->payload_len = 0;
	a->content_format = 0;
}

void ht_reply_entry(struct ht_request_path *p, struct ht_job *job, const struct ht_entry *e)
{
	struct ht_answer a;

	answer_from_entry(e, &a);
	send_all(p, job, &a, !e->evicted && e->verdict == HT_RAN);
}
