#include "core/placement.h"

#include "base/hash.h"

#include <string.h>

void ht_placement_candidates(struct ht_candidates *row, const struct ht_service_conf *svc,
			     uint64_t flow)
{
	double scores[HT_CANDIDATES_MAX];

	row->count = 0;
	for (size_t i = 0; svc && i < svc->target_count; i++) {
		const struct ht_target_conf *t = &svc->targets[i];
		double score = ht_rendezvous_score(flow, t->id, t->weight);
		unsigned int at = row->count;

		if (score <= 0)
			continue;
		while (at > 0 && scores[at - 1] < score)
			at--;
		if (at == HT_CANDIDATES_MAX)
			continue;
		if (row->count < HT_CANDIDATES_MAX)
			row->count++;
		for (unsigned int k = row->count - 1; k > at; k--) {
			scores[k] = scores[k - 1];
			row->target[k] = row->target[k - 1];
		}
		scores[at] = score;
		row->target[at] = t;
	}
}

unsigned int ht_candidates_index(const struct ht_candidates *row, uint64_t target)
{
	for (unsigned int i = 0; i < row->count; i++)
		if (row->target[i]->id == target)
			return i;
	return HT_CANDIDATES_MAX;
}

const struct ht_target_conf *ht_service_target(const struct ht_service_conf *svc, uint64_t target)
{
	size_t low = 0, high = svc ? svc->target_count : 0;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (svc->targets[mid].id < target)
			low = mid + 1;
		else
			high = mid;
	}
	if (svc && low < svc->target_count && svc->targets[low].id == target)
		return &svc->targets[low];
	return NULL;
}
