#include "core/retries.h"

#include <glib.h>
#include <stdlib.h>

struct bucket {
	uint64_t service;
	double tokens;
};

struct ht_retries {
	double ratio, burst;
	GHashTable *buckets;
};

struct ht_retries *ht_retries_new(double ratio, double burst)
{
	struct ht_retries *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->ratio = ratio;
	r->burst = burst;
	r->buckets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	return r;
}

void ht_retries_free(struct ht_retries *retries)
{
	if (!retries)
		return;
	g_hash_table_destroy(retries->buckets);
	free(retries);
}

static struct bucket *bucket_of(struct ht_retries *r, uint64_t service)
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

void ht_retries_earn(struct ht_retries *retries, uint64_t service)
{
	struct bucket *b = bucket_of(retries, service);

	if (b && b->tokens + retries->ratio <= retries->burst)
		b->tokens += retries->ratio;
	else if (b)
		b->tokens = retries->burst;
}

bool ht_retries_spend(struct ht_retries *retries, uint64_t service)
{
	struct bucket *b = bucket_of(retries, service);

	if (!b || b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}
