#include "core/ledger.h"

#include "base/hash.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

struct ht_ledger {
	GHashTable *entries; /* by key */
	GHashTable *blocks;  /* newest entry with a body, by block_key */
	struct ht_list age;
	struct ht_list kept;
	struct ht_list bodyless; /* idempotent entries whose body was evicted, oldest first */
	size_t bodyless_count;
	size_t bytes, max_bytes;
	size_t postings;
};

struct ht_ledger *ht_ledger_new(size_t cache_bytes)
{
	struct ht_ledger *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->entries = g_hash_table_new(g_int64_hash, g_int64_equal);
	l->blocks = g_hash_table_new(g_int64_hash, g_int64_equal);
	ht_list_init(&l->age);
	ht_list_init(&l->kept);
	ht_list_init(&l->bodyless);
	l->max_bytes = cache_bytes;
	return l;
}

void ht_ledger_free(struct ht_ledger *l)
{
	struct ht_list *pos, *next;

	if (!l)
		return;
	ht_list_for_each_safe (pos, next, &l->age)
		ht_ledger_remove(l, ht_container_of(pos, struct ht_entry, age));
	g_hash_table_destroy(l->entries);
	g_hash_table_destroy(l->blocks);
	free(l);
}

static uint64_t key_of(const struct ht_stored_request *b)
{
	if (b->has_ticket)
		return ht_hash(b->ticket, HT_TICKET_LEN);
	return ht_hash_pair(b->flow, ht_hash(b->token, b->token_len));
}

static uint64_t block_key_of(const struct ht_stored_request *b)
{
	return ht_hash_pair(b->flow, b->content);
}

/* 64-bit keys can collide, so the ticket, or flow and token, are compared. */
static bool same_request(const struct ht_entry *e, const struct ht_stored_request *b)
{
	if (e->posting != b->has_ticket)
		return false;
	if (e->posting)
		return memcmp(e->ticket, b->ticket, HT_TICKET_LEN) == 0;
	return e->flow == b->flow && e->token_len == b->token_len &&
	       memcmp(e->token, b->token, b->token_len) == 0;
}

struct ht_entry *ht_ledger_find(struct ht_ledger *l, const struct ht_stored_request *body)
{
	uint64_t key = key_of(body);
	struct ht_entry *e = g_hash_table_lookup(l->entries, &key);

	return e && same_request(e, body) ? e : NULL;
}

struct ht_entry *ht_ledger_find_blocks(struct ht_ledger *l, const struct ht_stored_request *body)
{
	uint64_t key = block_key_of(body);
	struct ht_entry *e = g_hash_table_lookup(l->blocks, &key);

	return e && e->flow == body->flow && e->content == body->content ? e : NULL;
}

static size_t entry_cost(const struct ht_entry *e)
{
	return e->payload_len + (e->posting ? 0 : HT_ENTRY_OVERHEAD);
}

static void drop_body(struct ht_ledger *l, struct ht_entry *e)
{
	if (g_hash_table_lookup(l->blocks, &e->block_key) == e)
		g_hash_table_remove(l->blocks, &e->block_key);
	l->bytes -= e->cost;
	e->cost = 0;
	if (e->bodyless)
		l->bodyless_count--;
	e->bodyless = false;
	ht_list_del(&e->kept);
	free(e->payload);
	e->payload = NULL;
	e->payload_len = 0;
}

/* A job outlives its entry only when a new request replaces it; the index then has that one. */
void ht_ledger_remove(struct ht_ledger *l, struct ht_entry *e)
{
	drop_body(l, e);
	if (g_hash_table_lookup(l->entries, &e->key) == e)
		g_hash_table_remove(l->entries, &e->key);
	ht_list_del(&e->age);
	if (e->posting)
		l->postings--;
	free(e);
}

/* The token is reused for other content; an unfinished earlier request keeps its entry. */
static void remove_from_index(struct ht_ledger *l, struct ht_entry *e)
{
	if (!e->job) {
		ht_ledger_remove(l, e);
		return;
	}
	g_hash_table_remove(l->entries, &e->key);
}

struct ht_entry *ht_ledger_add(struct ht_ledger *l, const struct ht_stored_request *body,
			       enum ht_entry_state state, ht_ms now)
{
	uint64_t key = key_of(body);
	struct ht_entry *old = g_hash_table_lookup(l->entries, &key);
	struct ht_entry *e;

	if (body->has_ticket && l->postings >= HT_LEDGER_POSTINGS_MAX)
		return NULL;
	e = calloc(1, sizeof(*e));
	if (!e)
		return NULL;
	if (old)
		remove_from_index(l, old);
	e->key = key;
	e->block_key = block_key_of(body);
	e->flow = body->flow;
	e->content = body->content;
	e->posting = body->has_ticket;
	e->token_len = body->token_len;
	memcpy(e->token, body->token, HT_TOKEN_MAX);
	memcpy(e->ticket, body->ticket, HT_TICKET_LEN);
	e->expires = HT_NEVER;
	ht_list_init(&e->age);
	ht_list_init(&e->kept);
	l->postings += e->posting;
	g_hash_table_replace(l->entries, &e->key, e);
	ht_ledger_change(l, e, state, now);
	return e;
}

void ht_ledger_change(struct ht_ledger *l, struct ht_entry *e, enum ht_entry_state state, ht_ms now)
{
	e->state = state;
	e->changed = now;
	ht_list_del(&e->age);
	ht_list_add_tail(&l->age, &e->age);
}

/* Without its body, an entry still gives the verdict; entries of POST requests are never evicted.
 */
static void evict_body(struct ht_ledger *l, struct ht_entry *e)
{
	e->evicted = e->payload_len > 0;
	drop_body(l, e);
	if (e->posting)
		return;
	e->bodyless = true;
	ht_list_add_tail(&l->bodyless, &e->kept);
	l->bodyless_count++;
}

static void evict(struct ht_ledger *l)
{
	struct ht_list *pos, *next;

	/* The newest answer has yet to be sent, so it is kept whatever its size. */
	while (l->bytes > l->max_bytes && l->kept.next != l->kept.prev)
		evict_body(l, ht_container_of(l->kept.next, struct ht_entry, kept));
	ht_list_for_each_safe (pos, next, &l->bodyless) {
		if (l->bodyless_count <= HT_LEDGER_BODYLESS_MAX)
			break;
		ht_ledger_remove(l, ht_container_of(pos, struct ht_entry, kept));
	}
}

void ht_ledger_store_answer(struct ht_ledger *l, struct ht_entry *e, const struct ht_answer *answer,
			    ht_ms now)
{
	drop_body(l, e);
	e->code = answer->code;
	e->verdict = answer->verdict;
	e->retry_after = answer->retry_after;
	e->content_format = answer->content_format;
	e->has_next_ticket = answer->has_ticket;
	memcpy(e->next_ticket, answer->ticket, HT_TICKET_LEN);
	e->payload = malloc(answer->payload_len + 1);
	e->evicted = !e->payload && answer->payload_len;
	if (e->payload) {
		if (answer->payload_len)
			memcpy(e->payload, answer->payload, answer->payload_len);
		e->payload_len = answer->payload_len;
	}
	memcpy(e->etag, answer->etag, sizeof(e->etag));
	ht_list_add_tail(&l->kept, &e->kept);
	e->cost = entry_cost(e);
	l->bytes += e->cost;
	if (answer->verdict == HT_RAN)
		g_hash_table_replace(l->blocks, &e->block_key, e);
	ht_ledger_change(l, e, HT_ENTRY_ANSWERED, now);
	evict(l);
}

void ht_ledger_expire(struct ht_ledger *l, ht_ms now)
{
	struct ht_list *pos, *next;

	ht_list_for_each_safe (pos, next, &l->age) {
		struct ht_entry *e = ht_container_of(pos, struct ht_entry, age);

		if (now - e->changed < HT_LEDGER_RETENTION_MS)
			return;
		if (e->job)
			ht_ledger_change(l, e, e->state, now);
		else
			ht_ledger_remove(l, e);
	}
}

void ht_ledger_each_posting(struct ht_ledger *l, void (*visit)(void *ctx, struct ht_entry *e),
			    void *ctx)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &l->age) {
		struct ht_entry *e = ht_container_of(pos, struct ht_entry, age);

		if (e->posting)
			visit(ctx, e);
	}
}

size_t ht_ledger_bytes(const struct ht_ledger *l)
{
	return l->bytes;
}

size_t ht_ledger_count(const struct ht_ledger *l)
{
	return g_hash_table_size(l->entries);
}
