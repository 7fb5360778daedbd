/*
 * Ledger of a home instance: the state of each request, so that a repeated request attaches to the
 * first one or gets its cached answer. POST requests are identified by their
 * ticket, idempotent requests by flow and token.
 */
#ifndef HT_CORE_LEDGER_H
#define HT_CORE_LEDGER_H

#include "base/list.h"
#include "core/request.h"

/** Maximum age of a ticket at its first use, in ms. */
#define HT_TICKET_FIRST_USE_MS 30000
/** Entries are kept this long after their last change, in ms; older tickets may have run. */
#define HT_LEDGER_RETENTION_MS 120000
/** Maximum number of POST requests; further ones are refused, as their entries cannot be evicted.
 */
#define HT_LEDGER_POSTINGS_MAX 262144
/** Maximum number of idempotent entries kept for their verdict after their body was evicted. */
#define HT_LEDGER_BODYLESS_MAX 32768
/** Bytes counted in the answer cache for an entry of an idempotent request, besides its body. */
#define HT_ENTRY_OVERHEAD 256

/** Same numbers as LedgerState in wire/peer.proto. */
enum ht_entry_state {
	HT_ENTRY_OPEN = 0,     /**< queued, not sent */
	HT_ENTRY_SENT = 1,     /**< may have run */
	HT_ENTRY_ANSWERED = 2, /**< final answer: ran, or refused until it expires */
	HT_ENTRY_SEALED = 3,   /**< never ran and never will */
	HT_ENTRY_UNKNOWN = 4,  /**< sent, outcome not known */
};

struct ht_job;

struct ht_entry {
	uint64_t key;
	uint64_t block_key;
	struct ht_list age; /**< all entries, by last change */
	struct ht_list
		kept; /**< entries with a body by last change, or bodyless ones by eviction */
	uint64_t flow;
	uint64_t content;
	uint64_t target;
	ht_ms changed;
	ht_ms expires;	    /**< refusals: a repeat from then on is a new request */
	struct ht_job *job; /**< while queued or sent */
	enum ht_entry_state state;
	enum ht_verdict verdict;
	bool posting;
	bool evicted;  /**< the body was removed */
	bool bodyless; /**< idempotent, body evicted */
	size_t cost;   /**< bytes counted in the cache */
	uint8_t code;
	uint8_t token_len;
	uint8_t token[HT_TOKEN_MAX];
	uint8_t ticket[HT_TICKET_LEN];
	bool has_next_ticket;
	uint8_t next_ticket[HT_TICKET_LEN];
	uint32_t content_format;
	ht_ms retry_after;
	uint8_t *payload;
	size_t payload_len;
	uint8_t etag[8];
};

struct ht_ledger;

struct ht_ledger *ht_ledger_new(size_t cache_bytes);
void ht_ledger_free(struct ht_ledger *l);

/** Entry of the request, by ticket if it has one; NULL if not found. */
struct ht_entry *ht_ledger_find(struct ht_ledger *l, const struct ht_stored_request *body);
/** Entry with the answer to an earlier request of the flow with the same content, for blocks. */
struct ht_entry *ht_ledger_find_blocks(struct ht_ledger *l, const struct ht_stored_request *body);

/** Adds a request, replacing an older entry with the same key. NULL when full or out of memory. */
struct ht_entry *ht_ledger_add(struct ht_ledger *l, const struct ht_stored_request *body,
			       enum ht_entry_state state, ht_ms now);
void ht_ledger_remove(struct ht_ledger *l, struct ht_entry *e);
void ht_ledger_change(struct ht_ledger *l, struct ht_entry *e, enum ht_entry_state state,
		      ht_ms now);
/** Stores a copy of the final answer and evicts older ones beyond the size of the cache. */
void ht_ledger_store_answer(struct ht_ledger *l, struct ht_entry *e, const struct ht_answer *answer,
			    ht_ms now);
/** Removes entries that have not changed for HT_LEDGER_RETENTION_MS, except those with a job. */
void ht_ledger_expire(struct ht_ledger *l, ht_ms now);

/** Calls @visit for each entry of a POST request; @visit must not change the ledger. */
void ht_ledger_each_posting(struct ht_ledger *l, void (*visit)(void *ctx, struct ht_entry *e),
			    void *ctx);
/** Bytes of cached answers. */
size_t ht_ledger_bytes(const struct ht_ledger *l);
size_t ht_ledger_count(const struct ht_ledger *l);

#endif
