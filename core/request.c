#include "core/request.h"

#include "base/hash.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static uint64_t content_hash(const struct ht_stored_request *b)
{
	uint64_t h = ht_hash_pair(b->method, ht_hash_str(b->path));

	h = ht_hash_pair(h, ht_hash_str(b->query));
	return ht_hash_pair(h,
			    ht_hash(b->payload ? b->payload : (const uint8_t *)"", b->payload_len));
}

struct ht_stored_request *ht_stored_request_new(const struct ht_request *req)
{
	struct ht_stored_request *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->refs = 1;
	b->service = req->service;
	b->flow = req->flow;
	b->token_len = req->token_len > HT_TOKEN_MAX ? HT_TOKEN_MAX : req->token_len;
	memcpy(b->token, req->token, b->token_len);
	b->method = req->method;
	b->cancel = req->cancel;
	b->has_ticket = req->has_ticket;
	memcpy(b->ticket, req->ticket, HT_TICKET_LEN);
	b->path = strdup(req->path ? req->path : "");
	b->query = strdup(req->query ? req->query : "");
	b->payload = malloc(req->payload_len + 1);
	if (!b->path || !b->query || !b->payload) {
		ht_stored_request_put(b);
		return NULL;
	}
	if (req->payload_len)
		memcpy(b->payload, req->payload, req->payload_len);
	b->payload_len = req->payload_len;
	b->content_format = req->content_format;
	b->has_block = req->has_block;
	b->block_num = req->block_num;
	b->block_szx = req->block_szx;
	b->content = content_hash(b);
	return b;
}

struct ht_stored_request *ht_stored_request_from_forward(const Ht__Forward *fwd)
{
	struct ht_request req = {
		.service = fwd->service,
		.method = (uint8_t)fwd->method,
		.cancel = (fwd->flags & HT__FORWARD_FLAG__FORWARD_CANCEL) != 0,
		.path = fwd->path,
		.query = fwd->query,
		.payload = fwd->payload.data,
		.payload_len = fwd->payload.len,
		.content_format = fwd->content_format,
		.has_block = fwd->has_block,
		.block_num = fwd->block_num,
		.block_szx = (uint8_t)fwd->block_szx,
	};

	if (!fwd->key || fwd->key->token.len > HT_TOKEN_MAX || fwd->method < HT_GET ||
	    fwd->method > HT_DELETE || fwd->block_szx > 6)
		return NULL;
	req.flow = fwd->key->flow;
	req.token_len = (uint8_t)fwd->key->token.len;
	if (req.token_len)
		memcpy(req.token, fwd->key->token.data, req.token_len);
	if (fwd->key->ticket) {
		req.has_ticket = true;
		ht_ticket_from_wire(req.ticket, fwd->key->ticket);
	}
	return ht_stored_request_new(&req);
}

struct ht_stored_request *ht_stored_request_without_ticket(const struct ht_stored_request *req)
{
	struct ht_request copy = {
		.service = req->service,
		.flow = req->flow,
		.token_len = req->token_len,
		.method = req->method,
		.path = req->path,
		.query = req->query,
		.payload = req->payload,
		.payload_len = req->payload_len,
		.content_format = req->content_format,
		.has_block = req->has_block,
		.block_num = req->block_num,
		.block_szx = req->block_szx,
	};

	memcpy(copy.token, req->token, HT_TOKEN_MAX);
	return ht_stored_request_new(&copy);
}

void ht_stored_request_put(struct ht_stored_request *req)
{
	if (!req || --req->refs)
		return;
	free(req->path);
	free(req->query);
	free(req->payload);
	free(req);
}

static void put_le(uint8_t *out, uint64_t v, int bytes)
{
	for (int i = 0; i < bytes; i++)
		out[i] = (uint8_t)(v >> (8 * i));
}

static uint64_t get_le(const uint8_t *in, int bytes)
{
	uint64_t v = 0;

	for (int i = 0; i < bytes; i++)
		v |= (uint64_t)in[i] << (8 * i);
	return v;
}

void ht_ticket_unpack(struct ht_ticket *t, const uint8_t raw[HT_TICKET_LEN])
{
	t->incarnation = get_le(raw, 8);
	t->issued = (ht_ms)get_le(raw + 8, 8);
	t->sequence = (uint32_t)get_le(raw + 16, 4);
	t->mac = get_le(raw + 20, 8);
}

void ht_ticket_pack(const struct ht_ticket *t, uint8_t raw[HT_TICKET_LEN])
{
	put_le(raw, t->incarnation, 8);
	put_le(raw + 8, (uint64_t)t->issued, 8);
	put_le(raw + 16, t->sequence, 4);
	put_le(raw + 20, t->mac, 8);
}

uint64_t ht_ticket_mac(const struct ht_ticket *t, uint64_t flow, const uint8_t key[16])
{
	uint8_t raw[HT_TICKET_LEN];
	uint8_t out[crypto_shorthash_BYTES];

	ht_ticket_pack(t, raw);
	put_le(raw + 20, flow, 8);
	crypto_shorthash(out, raw, sizeof(raw), key);
	return get_le(out, 8);
}

void ht_ticket_to_wire(Ht__Ticket *wire, const uint8_t raw[HT_TICKET_LEN])
{
	struct ht_ticket t;

	ht_ticket_unpack(&t, raw);
	ht__ticket__init(wire);
	wire->incarnation = t.incarnation;
	wire->issued_ms = t.issued;
	wire->sequence = t.sequence;
	wire->mac = t.mac;
}

void ht_ticket_from_wire(uint8_t raw[HT_TICKET_LEN], const Ht__Ticket *wire)
{
	struct ht_ticket t = {
		.incarnation = wire->incarnation,
		.issued = wire->issued_ms,
		.sequence = wire->sequence,
		.mac = wire->mac,
	};

	ht_ticket_pack(&t, raw);
}
