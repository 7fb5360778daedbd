/*
 * Ledger of a home: what became of each request, so that a repeat attaches to it or gets the kept
 * answer. Postings are identified by ticket, idempotent requests by flow and token.
 */
#ifndef HT_CORE_LEDGER_H
#define HT_CORE_LEDGER_H

#include "base/list.h"
#include "core/request.h"

/** A ticket may first be used while it is younger than this. */
#define HT_TICKET_FRESH 30000
/** Entries are kept this long after the last change; older tickets may have run. */
#define HT_LEDGER_KEEP 120000
/** Postings held at most; beyond it new ones are refused, since entries cannot be evicted. */
#define HT_LEDGER_POSTINGS_MAX 262144
/** Idempotent entries without a body that are kept for their verdict. */
#define HT_LEDGER_BARE_MAX 32768
/** Bytes that an entry of an idempotent request counts for in the answer cache. */
#define HT_ENTRY_COST 256

/** The numbers are those of LedgerState in wire/peer.proto. */
enum ht_entry_state {
	HT_ENTRY_OPEN = 0,     /**< queued, not sent */
	HT_ENTRY_SENT = 1,     /**< may have run */
	HT_ENTRY_ANSWERED = 2, /**< has a final answer: ran, or refused until it expires */
	HT_ENTRY_SEALED = 3,   /**< never ran and never will */
	HT_ENTRY_UNKNOWN = 4,  /**< sent, outcome not known */
};

struct ht_job;

struct ht_entry {
	uint64_t key;
	uint64_t block_key;
	struct ht_list age;  /**< by last change */
	struct ht_list kept; /**< entries with a body, by last change */
	uint64_t flow;
	uint64_t content;
	uint64_t target;
	ht_ms changed;
	ht_ms expires;	    /**< refusals: from then on a repeat is a new request */
	struct ht_job *job; /**< while queued or sent */
	enum ht_entry_state state;
	enum ht_verdict verdict;
	bool posting;
	bool evicted; /**< the body was dropped */
	bool bare;    /**< idempotent and without its body */
	size_t cost;  /**< bytes counted in the cache */
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

/** Entry of the request (by ticket when it carries one), or NULL. */
struct ht_entry *ht_ledger_find(struct ht_ledger *l, const struct ht_body *body);
/** Kept whole answer to an earlier request of the flow with the same content, for blocks. */
struct ht_entry *ht_ledger_find_blocks(struct ht_ledger *l, const struct ht_body *body);

/** Records a request; an older entry of the same key is replaced. NULL when it is full. */
struct ht_entry *ht_ledger_add(struct ht_ledger *l, const struct ht_body *body,
			       enum ht_entry_state state, ht_ms now);
void ht_ledger_remove(struct ht_ledger *l, struct ht_entry *e);
void ht_ledger_change(struct ht_ledger *l, struct ht_entry *e, enum ht_entry_state state,
		      ht_ms now);
/** Keeps the final answer within the cache's bound. */
void ht_ledger_keep(struct ht_ledger *l, struct ht_entry *e, const struct ht_answer *answer,
		    ht_ms now);
/** Drops entries that were not changed for HT_LEDGER_KEEP. */
void ht_ledger_expire(struct ht_ledger *l, ht_ms now);

/** Calls @visit for each entry of a posting; @visit must not change the ledger. */
void ht_ledger_each_posting(struct ht_ledger *l, void (*visit)(void *ctx, struct ht_entry *e),
			    void *ctx);
/** Bytes of answers kept now. */
size_t ht_ledger_bytes(const struct ht_ledger *l);
size_t ht_ledger_count(const struct ht_ledger *l);

#endif
