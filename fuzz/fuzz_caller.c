/* Datagrams of callers: any bytes that libcoap accepts as a message. */
#include "daemon/caller_message.h"

#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check(const struct ht_request *req)
{
	if (req->token_len > HT_TOKEN_MAX || req->block_szx > 6 || req->deadline < 0 ||
	    req->deadline > HT_DEADLINE_MAX || strlen(req->path) > 8192 ||
	    strlen(req->query) > 8192)
		__builtin_trap();
}

/* The same values as an answer must fit a datagram when the payload does. */
static void answer(const struct ht_request *req)
{
	struct ht_answer ans = {
		.code = HT_CONTENT,
		.verdict = HT_RAN,
		.retry_after = req->deadline,
		.content_format = req->content_format,
		.has_ticket = req->has_ticket,
		.has_block = req->has_block,
		.block_num = req->block_num,
		.block_szx = req->block_szx,
		.payload = req->payload,
		.payload_len = req->payload_len < 1024 ? req->payload_len : 1024,
	};
	coap_pdu_t *pdu = coap_pdu_init(COAP_MESSAGE_NON, COAP_RESPONSE_CODE_CONTENT, 1, 1152);

	if (!coap_add_token(pdu, req->token_len, req->token) || !ht_caller_message_write(pdu, &ans))
		__builtin_trap();
	coap_delete_pdu(pdu);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	coap_pdu_t *pdu = coap_pdu_init(0, 0, 0, size + 16);
	struct ht_caller_message msg;

	coap_set_log_level(LOG_EMERG);
	if (pdu && coap_pdu_parse(COAP_PROTO_UDP, data, size, pdu)) {
		if (!ht_caller_message_read(&msg, pdu)) {
			check(&msg.req);
			answer(&msg.req);
		}
		ht_caller_message_clear(&msg);
	}
	coap_delete_pdu(pdu);
	return 0;
}
