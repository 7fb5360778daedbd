/* A request as kept by the request path: shared by the ingress and the home in one instance. */
#ifndef HT_CORE_REQUEST_H
#define HT_CORE_REQUEST_H

#include "core/core.h"

/** Immutable copy of a request, shared by reference count. */
struct ht_body {
	int refs;
	uint64_t service;
	uint64_t flow;
	uint64_t content; /**< hash of method, path, query and payload */
	uint8_t token[HT_TOKEN_MAX];
	uint8_t token_len;
	uint8_t method;
	bool cancel;
	bool has_ticket;
	uint8_t ticket[HT_TICKET_LEN];
	char *path;
	char *query;
	uint8_t *payload;
	size_t payload_len;
	uint32_t content_format;
	bool has_block;
	uint32_t block_num;
	uint8_t block_szx;
};

/** Copies a request; NULL when out of memory. */
struct ht_body *ht_body_new(const struct ht_request *req);
/** Copies a forwarded request; NULL when it is invalid or memory is out. */
struct ht_body *ht_body_from_forward(const Ht__Forward *fwd);
/** A copy without the ticket. */
struct ht_body *ht_body_without_ticket(const struct ht_body *body);

static inline struct ht_body *ht_body_get(struct ht_body *body)
{
	body->refs++;
	return body;
}
void ht_body_put(struct ht_body *body);

/** True when running the request twice has the effect of running it once. */
static inline bool ht_body_idempotent(const struct ht_body *body)
{
	return body->method != HT_POST;
}

/* Tickets: little-endian incarnation, time of issue, sequence number, keyed hash. */
struct ht_ticket {
	uint64_t incarnation;
	ht_ms issued;
	uint32_t sequence;
	uint64_t mac;
};

void ht_ticket_unpack(struct ht_ticket *t, const uint8_t raw[HT_TICKET_LEN]);
void ht_ticket_pack(const struct ht_ticket *t, uint8_t raw[HT_TICKET_LEN]);
/** Keyed hash over the ticket's fields and the flow. */
uint64_t ht_ticket_mac(const struct ht_ticket *t, uint64_t flow, const uint8_t key[16]);
void ht_ticket_to_wire(Ht__Ticket *wire, const uint8_t raw[HT_TICKET_LEN]);
void ht_ticket_from_wire(uint8_t raw[HT_TICKET_LEN], const Ht__Ticket *wire);

#endif
