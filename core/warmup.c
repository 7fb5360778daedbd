#include "core/warmup.h"

#include "base/hash.h"

#include <stdlib.h>

/* A permit is used once in this time: a second, and what the network may delay one packet more than
 * the next. */
#define PERMIT_INTERVAL_MS 1100

bool ht_warmup_set_peers(struct ht_warmup_peers *peers, const uint64_t *names, size_t count)
{
	uint64_t version = 1;
	uint64_t *copy;

	/* Independent of the order. */
	for (size_t i = 0; i < count; i++)
		version += ht_hash_pair(names[i], 1);
	if (!version)
		version = 1;
	if (version == peers->version)
		return true;
	copy = malloc((count + 1) * sizeof(*copy));
	if (!copy)
		return false;
	for (size_t i = 0; i < count; i++)
		copy[i] = names[i];
	free(peers->names);
	peers->names = copy;
	peers->count = count;
	peers->version = version;
	return true;
}

void ht_warmup_clear_peers(struct ht_warmup_peers *peers)
{
	free(peers->names);
	*peers = (struct ht_warmup_peers){.own = peers->own};
}

static bool owns(const struct ht_warmup_peers *peers, uint64_t permit)
{
	uint64_t own = ht_hash_pair(permit, peers->own);

	for (size_t i = 0; i < peers->count; i++)
		if (ht_hash_pair(permit, peers->names[i]) > own)
			return false;
	return true;
}

uint32_t ht_warmup_permits(const struct ht_warmup_peers *peers, uint64_t target, uint32_t total)
{
	uint32_t n = 0;

	if (total > HT_WARMUP_PERMITS_MAX)
		total = HT_WARMUP_PERMITS_MAX;
	for (uint32_t i = 0; peers->version && i < total; i++)
		n += owns(peers, ht_hash_pair(target, i));
	return n;
}

bool ht_warmup_allows(struct ht_warmup *w, const struct ht_warmup_peers *peers, uint64_t target,
		      uint32_t total, ht_ms now)
{
	uint32_t recent = 0;

	if (w->peers_version != peers->version || w->total != total) {
		w->peers_version = peers->version;
		w->total = total;
		w->permits = ht_warmup_permits(peers, target, total);
	}
	for (size_t i = 0; i < HT_WARMUP_PERMITS_MAX; i++)
		recent += w->used_at[i] && now - w->used_at[i] < PERMIT_INTERVAL_MS;
	return recent < w->permits;
}

void ht_warmup_use(struct ht_warmup *w, ht_ms now)
{
	w->used_at[w->next++ % HT_WARMUP_PERMITS_MAX] = now;
}
