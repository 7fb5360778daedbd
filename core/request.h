/* Stored requests, which ingress and home of one instance share, and tickets of POST requests. */
#ifndef HT_CORE_REQUEST_H
#define HT_CORE_REQUEST_H

#include "core/core.h"

/** Immutable, reference-counted copy of a request. */
struct ht_stored_request {
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

/** Copies a request; the caller owns a reference. NULL when out of memory. */
struct ht_stored_request *ht_stored_request_new(const struct ht_request *req);
/** Copies a forwarded request; NULL when it is invalid or out of memory. */
struct ht_stored_request *ht_stored_request_from_forward(const Ht__Forward *fwd);
/** Copies a request without its ticket; NULL when out of memory. */
struct ht_stored_request *ht_stored_request_without_ticket(const struct ht_stored_request *req);

static inline struct ht_stored_request *ht_stored_request_get(struct ht_stored_request *req)
{
	req->refs++;
	return req;
}
void ht_stored_request_put(struct ht_stored_request *req);

/** True when running the request twice has the same effect as once: all but POST. */
static inline bool ht_stored_request_idempotent(const struct ht_stored_request *req)
{
	return req->method != HT_POST;
}

/**
 * Ticket of a POST request, issued by one incarnation of an instance. Raw form: the fields in this
 * order, little-endian, of 8, 8, 4 and 8 bytes.
 */
struct ht_ticket {
	uint64_t incarnation;
	ht_ms issued; /**< clock of the issuer */
	uint32_t sequence;
	uint64_t mac; /**< ht_ticket_mac() */
};

void ht_ticket_unpack(struct ht_ticket *t, const uint8_t raw[HT_TICKET_LEN]);
void ht_ticket_pack(const struct ht_ticket *t, uint8_t raw[HT_TICKET_LEN]);
/** Keyed hash over the ticket's other fields and the flow. */
uint64_t ht_ticket_mac(const struct ht_ticket *t, uint64_t flow, const uint8_t key[16]);
void ht_ticket_to_wire(Ht__Ticket *wire, const uint8_t raw[HT_TICKET_LEN]);
void ht_ticket_from_wire(uint8_t raw[HT_TICKET_LEN], const Ht__Ticket *wire);

#endif
