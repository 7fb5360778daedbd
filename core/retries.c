#include "core/retries.h"

#include <glib.h>
#include <stdlib.h>

struct bucket {
	uint64_t service;
	double tokens;
};

struct ht_retry_budget {
	double ratio, burst;
	GHashTable *buckets;
};

struct ht_retry_budget *ht_retry_budget_new(double ratio, double burst)
{
	struct ht_retry_budget *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->ratio = ratio;
	r->burst = burst;
	r->buckets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	return r;
}

void ht_retry_budget_free(struct ht_retry_budget *budget)
{
	if (!budget)
		return;
	g_hash_table_destroy(budget->buckets);
	free(budget);
}

static struct bucket *get_bucket(struct ht_retry_budget *r, uint64_t service)
{
	struct bucket *b = g_hash_table_lookup(r->buckets, &service);

	if (b)
		return b;
	b = malloc(sizeof(*b));
	if (!b)
		return NULL;
	*b = (struct bucket){.service = service, .tokens = r->burst};
	g_hash_table_insert(r->buckets, &b->service, b);
	return b;
}

void ht_retry_budget_earn(struct ht_retry_budget *budget, uint64_t service)
{
	struct bucket *b = get_bucket(budget, service);

	if (b && b->tokens + budget->ratio <= budget->burst)
		b->tokens += budget->ratio;
	else if (b)
		b->tokens = budget->burst;
}

bool ht_retry_budget_spend(struct ht_retry_budget *budget, uint64_t service)
{
	struct bucket *b = get_bucket(budget, service);

	if (!b || b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}
