#include "daemon/target_internal.h"

#include <stdlib.h>

struct ht_exchange *ht_exchange_new(struct ht_target_pool *pool, enum ht_exchange_kind kind,
				    uint64_t id)
{
	struct ht_exchange *x = g_new0(struct ht_exchange, 1);

	ht_list_init(&x->node);
	x->kind = kind;
	x->id = id;
	x->token = ++pool->next_token;
	g_hash_table_insert(pool->by_token, GUINT_TO_POINTER(x->token), x);
	return x;
}

void ht_exchange_start(struct ht_target_pool *pool, struct ht_exchange *x,
		       struct ht_target_conn *conn, ht_ms due)
{
	x->conn = conn;
	x->due = due;
	ht_list_add_tail(&conn->exchanges, &x->node);
	if (x->kind != HT_EXCHANGE_REQUEST)
		return;
	conn->open++;
	g_hash_table_insert(pool->by_req, &x->id, x);
}

void ht_exchange_free(struct ht_target_pool *pool, struct ht_exchange *x)
{
	if (x->conn && x->kind == HT_EXCHANGE_REQUEST) {
		x->conn->open--;
		g_hash_table_remove(pool->by_req, &x->id);
	}
	ht_list_del(&x->node);
	g_hash_table_remove(pool->by_token, GUINT_TO_POINTER(x->token));
}

void ht_exchange_finish(struct ht_target_pool *pool, struct ht_exchange *x,
			enum ht_target_result result)
{
	struct ht_target_answer ans = {.id = x->id, .result = result};
	bool report = x->kind == HT_EXCHANGE_REQUEST;

	ht_exchange_free(pool, x);
	if (report)
		pool->p.ops->answer(pool->p.ctx, &ans);
}
