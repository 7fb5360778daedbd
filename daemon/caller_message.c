#include "daemon/caller_message.h"

#include <string.h>

#define CODE(class, detail) ((class) * 32 + (detail))

#define OPTION_ECHO 252 /* RFC 9175 */

static bool read_uint(const coap_pdu_t *pdu, coap_option_num_t number, size_t max_len, bool *found,
		      uint64_t *value)
{
	coap_opt_iterator_t it;
	coap_opt_t *opt = coap_check_option(pdu, number, &it);

	*found = opt != NULL;
	if (!opt)
		return true;
	if (coap_opt_length(opt) > max_len)
		return false;
	*value = coap_decode_var_bytes8(coap_opt_value(opt), coap_opt_length(opt));
	return true;
}

static uint8_t read_blocks(struct ht_request *req, const coap_pdu_t *pdu)
{
	uint64_t v = 0;
	bool found;

	if (!read_uint(pdu, COAP_OPTION_BLOCK1, 3, &found, &v))
		return CODE(4, 2);
	/* Requests must fit one datagram; only their answers are cut into blocks. */
	if (found && (v >> 4 || v & 8))
		return CODE(4, 13);
	if (!read_uint(pdu, COAP_OPTION_BLOCK2, 3, &found, &v))
		return CODE(4, 2);
	if (!found)
		return 0;
	req->block_szx = v & 7;
	if (req->block_szx == 7)
		return CODE(4, 2);
	req->has_block = true;
	req->block_num = (uint32_t)(v >> 4);
	return 0;
}

static uint8_t read_numbers(struct ht_request *req, const coap_pdu_t *pdu)
{
	uint64_t v = 0;
	bool found;

	if (!read_uint(pdu, HT_OPTION_DEADLINE, 4, &found, &v))
		return CODE(4, 2);
	if (found)
		req->deadline = (ht_ms)(v < HT_DEADLINE_MAX ? v : HT_DEADLINE_MAX);
	if (!read_uint(pdu, COAP_OPTION_CONTENT_FORMAT, 2, &found, &v))
		return CODE(4, 2);
	if (found)
		req->content_format = (uint32_t)v;
	return read_blocks(req, pdu);
}

static uint8_t read_token(struct ht_request *req, const coap_pdu_t *pdu)
{
	coap_opt_iterator_t it;
	coap_opt_t *opt = coap_check_option(pdu, HT_OPTION_CANCEL, &it);
	coap_bin_const_t token = coap_pdu_get_token(pdu);

	if (opt) {
		req->cancel = true;
		token.s = coap_opt_value(opt);
		token.length = coap_opt_length(opt);
	}
	if (token.length > HT_TOKEN_MAX)
		return CODE(4, 2);
	req->token_len = (uint8_t)token.length;
	if (token.length)
		memcpy(req->token, token.s, token.length);
	return 0;
}

static void read_ticket(struct ht_request *req, const coap_pdu_t *pdu)
{
	coap_opt_iterator_t it;
	coap_opt_t *opt = coap_check_option(pdu, OPTION_ECHO, &it);

	/* An Echo of another length is no ticket of this product: the core issues one. */
	if (!opt || coap_opt_length(opt) != HT_TICKET_LEN)
		return;
	req->has_ticket = true;
	memcpy(req->ticket, coap_opt_value(opt), HT_TICKET_LEN);
}

uint8_t ht_caller_message_read(struct ht_caller_message *msg, const coap_pdu_t *pdu)
{
	struct ht_request *req = &msg->req;
	uint8_t code;

	memset(msg, 0, sizeof(*msg));
	req->method = (uint8_t)coap_pdu_get_code(pdu);
	code = read_token(req, pdu);
	if (!code)
		code = read_numbers(req, pdu);
	if (code)
		return code;
	read_ticket(req, pdu);
	coap_get_data(pdu, &req->payload_len, &req->payload);
	msg->path = coap_get_uri_path(pdu);
	msg->query = coap_get_query(pdu);
	req->path = msg->path ? (const char *)msg->path->s : "";
	req->query = msg->query ? (const char *)msg->query->s : "";
	return 0;
}

void ht_caller_message_clear(struct ht_caller_message *msg)
{
	coap_delete_string(msg->path);
	coap_delete_string(msg->query);
	msg->path = NULL;
	msg->query = NULL;
}

static bool add_uint(coap_pdu_t *pdu, coap_option_num_t number, uint32_t value)
{
	uint8_t buf[4];

	return coap_add_option(pdu, number, coap_encode_var_safe(buf, sizeof(buf), value), buf) > 0;
}

/* Options must be added in the order of their numbers. */
bool ht_caller_message_write(coap_pdu_t *pdu, const struct ht_answer *ans)
{
	uint32_t seconds = (uint32_t)((ans->retry_after + 999) / 1000);
	bool ok = true;

	if (ans->etag_len)
		ok = coap_add_option(pdu, COAP_OPTION_ETAG, ans->etag_len, ans->etag) > 0;
	if (ans->content_format && ans->payload_len)
		ok = ok && add_uint(pdu, COAP_OPTION_CONTENT_FORMAT, ans->content_format);
	if (ans->retry_after > 0)
		ok = ok && add_uint(pdu, COAP_OPTION_MAXAGE, seconds);
	if (ans->has_block)
		ok = ok &&
		     add_uint(pdu, COAP_OPTION_BLOCK2,
			      ans->block_num << 4 | (ans->block_more ? 8U : 0U) | ans->block_szx);
	if (ans->has_ticket)
		ok = ok && coap_add_option(pdu, OPTION_ECHO, HT_TICKET_LEN, ans->ticket) > 0;
	ok = ok && add_uint(pdu, HT_OPTION_VERDICT, (uint32_t)ans->verdict);
	if (ans->payload_len)
		ok = ok && coap_add_data(pdu, ans->payload_len, ans->payload);
	return ok;
}
