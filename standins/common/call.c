#include "standins/common/call.h"

#include "base/verdict.h"
#include "standins/common/body.h"

#include <string.h>

#define UNAUTHORIZED HT_SI_CODE(4, 1)
/* A posting that never gets past 4.01 ends here; three takeovers in one deadline are rare. */
#define TICKETS_MAX 8
#define RESTARTS_MAX 3

static void new_token(uint8_t token[8], GRand *rand)
{
	for (int i = 0; i < 8; i += 4) {
		guint32 r = g_rand_int(rand);

		memcpy(token + i, &r, 4);
	}
}

void ht_si_call_init(struct ht_si_call *call, GRand *rand)
{
	ht_list_init(&call->node);
	new_token(call->token, rand);
	new_token(call->cancel_token, rand);
	call->body = g_byte_array_new();
	call->verdict = -1;
}

void ht_si_call_clear(struct ht_si_call *call)
{
	g_byte_array_unref(call->body);
}

void ht_si_call_message(const struct ht_si_call *call, bool cancel, ht_ms now, GRand *rand,
			GByteArray *out)
{
	char query[80];
	struct ht_si_msg m;

	g_snprintf(query, sizeof(query), "id=%s", call->id);
	ht_si_msg_init(&m, call->method, cancel ? call->cancel_token : call->token, 8);
	ht_si_msg_opt_str(&m, COAP_OPTION_URI_PATH, call->path);
	ht_si_msg_opt_str(&m, COAP_OPTION_URI_QUERY, query);
	if (call->next_block && !cancel)
		ht_si_msg_opt_uint(&m, COAP_OPTION_BLOCK2, call->next_block << 4 | call->szx);
	if (call->ticket_len)
		ht_si_msg_opt(&m, COAP_OPTION_ECHO, call->ticket, call->ticket_len);
	ht_si_msg_opt_uint(&m, HT_SI_OPT_DEADLINE, (uint32_t)MAX(call->deadline - now, 1));
	if (cancel)
		ht_si_msg_opt(&m, HT_SI_OPT_CANCEL, call->token, 8);
	/* Both types occur in the field; no retransmission is left to the message layer. */
	ht_si_msg_udp(&m, g_rand_boolean(rand) ? COAP_MESSAGE_CON : COAP_MESSAGE_NON,
		      (uint16_t)g_rand_int(rand), out);
	ht_si_msg_clear(&m);
}

/*
 * A ticket counts only as an answer to the message that was sent last: each new ticket comes with
 * a new token, so 4.01 answers to earlier repeats no longer match.
 */
static enum ht_si_step take_ticket(struct ht_si_call *call, const coap_pdu_t *pdu, GRand *rand)
{
	const uint8_t *value;
	size_t len;

	if (!ht_si_msg_find(pdu, COAP_OPTION_ECHO, &value, &len) || len > sizeof(call->ticket) ||
	    ++call->tickets > TICKETS_MAX)
		return HT_SI_DONE;
	memcpy(call->ticket, value, len);
	call->ticket_len = len;
	new_token(call->token, rand);
	return HT_SI_SEND;
}

static bool etag_fits(struct ht_si_call *call, const coap_pdu_t *pdu, unsigned num)
{
	const uint8_t *value = NULL;
	size_t len = 0;

	ht_si_msg_find(pdu, COAP_OPTION_ETAG, &value, &len);
	len = MIN(len, sizeof(call->etag));
	if (num == 0) {
		call->etag_len = len;
		if (len)
			memcpy(call->etag, value, len);
		return true;
	}
	return len == call->etag_len && (!len || memcmp(value, call->etag, len) == 0);
}

/* The parts belong to two versions of the answer: starts over, a few times. */
static enum ht_si_step restart(struct ht_si_call *call)
{
	g_byte_array_set_size(call->body, 0);
	call->next_block = 0;
	if (++call->restarts <= RESTARTS_MAX)
		return HT_SI_SEND;
	call->cut = true;
	return HT_SI_DONE;
}

static enum ht_si_step take_body(struct ht_si_call *call, const coap_pdu_t *pdu)
{
	coap_block_t block = {.num = 0};
	bool in_blocks = coap_get_block(pdu, COAP_OPTION_BLOCK2, &block);
	const uint8_t *data = NULL;
	size_t len = 0;

	coap_get_data(pdu, &len, &data);
	if (block.num != call->next_block)
		return HT_SI_IGNORE;
	if (!etag_fits(call, pdu, block.num))
		return restart(call);
	if (len)
		g_byte_array_append(call->body, data, (guint)len);
	if (!in_blocks || !block.m)
		return HT_SI_DONE;
	call->szx = block.szx;
	call->next_block++;
	return HT_SI_SEND;
}

static enum ht_si_step take_final(struct ht_si_call *call, const coap_pdu_t *pdu)
{
	unsigned code = coap_pdu_get_code(pdu);
	enum ht_si_step step = HT_SI_DONE;

	if (code >> 5 == 2)
		step = take_body(call, pdu);
	if (step != HT_SI_DONE)
		return step;
	call->code = code;
	call->verdict = (int)ht_si_msg_uint(pdu, HT_SI_OPT_VERDICT, UINT32_MAX);
	call->max_age = ht_si_msg_uint(pdu, COAP_OPTION_MAXAGE, 0);
	return HT_SI_DONE;
}

enum ht_si_step ht_si_call_answer(struct ht_si_call *call, const coap_pdu_t *pdu, GRand *rand)
{
	coap_bin_const_t token = coap_pdu_get_token(pdu);
	unsigned code = coap_pdu_get_code(pdu);

	if (token.length != 8 || code < 64 || call->code)
		return HT_SI_IGNORE;
	if (memcmp(token.s, call->cancel_token, 8) == 0) {
		call->cancel_code = code;
		return HT_SI_IGNORE;
	}
	if (memcmp(token.s, call->token, 8) != 0)
		return HT_SI_IGNORE;
	if (code == UNAUTHORIZED && call->method == COAP_REQUEST_POST &&
	    take_ticket(call, pdu, rand) == HT_SI_SEND)
		return HT_SI_SEND;
	return take_final(call, pdu);
}

/* Only an answer of class 2 has a body to check. */
static bool body_ok(const struct ht_si_call *call)
{
	GString *want;
	bool ok;

	if (call->code >> 5 != 2)
		return true;
	want = ht_si_body(call->service, call->path, call->id);
	ok = want->len == call->body->len && memcmp(want->str, call->body->data, want->len) == 0;
	g_string_free(want, TRUE);
	return ok;
}

static int code_number(unsigned code)
{
	return (int)((code >> 5) * 100 + (code & 31));
}

json_t *ht_si_call_record(const struct ht_si_call *call, ht_ms done_wall)
{
	bool has_verdict = call->verdict >= HT_NOT_RUN && call->verdict <= HT_RAN;
	bool ok = body_ok(call);

	return json_pack("{sssssssssIsIsisiss?sbsbsbsisisisi}", "id", call->id, "path", call->path,
			 "service", call->service, "method",
			 call->method == COAP_REQUEST_POST ? "POST" : "GET", "sent_ms",
			 (json_int_t)call->sent_wall, "done_ms", (json_int_t)done_wall, "attempts",
			 call->attempts, "code", code_number(call->code), "verdict",
			 has_verdict ? ht_verdict_name((enum ht_verdict)call->verdict) : NULL,
			 "body_ok", ok, "cut", call->cut, "cancelled", call->cancelled,
			 "cancel_code", code_number(call->cancel_code), "max_age",
			 (int)call->max_age, "tickets", call->tickets, "blocks",
			 (int)call->next_block);
}
