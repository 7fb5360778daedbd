#include "core/placement.h"

#include "base/hash.h"

#include <string.h>

/* Puts the first HT_CANDIDATES_MAX targets, best score first, at @best; returns their number. */
static unsigned int pick_best(const struct ht_target_conf **best, const struct ht_service_conf *svc,
			      uint64_t flow, bool skip_draining)
{
	double scores[HT_CANDIDATES_MAX];
	unsigned int count = 0;

	for (size_t i = 0; i < svc->target_count; i++) {
		const struct ht_target_conf *t = &svc->targets[i];
		double score;
		unsigned int at = count;

		if (skip_draining && t->draining)
			continue;
		score = ht_rendezvous_score(flow, t->id, t->weight);
		if (score <= 0)
			continue;
		while (at > 0 && scores[at - 1] < score)
			at--;
		if (at == HT_CANDIDATES_MAX)
			continue;
		if (count < HT_CANDIDATES_MAX)
			count++;
		for (unsigned int k = count - 1; k > at; k--) {
			scores[k] = scores[k - 1];
			best[k] = best[k - 1];
		}
		scores[at] = score;
		best[at] = t;
	}
	return count;
}

/* The candidates that do not drain are also the best of all targets that do not. */
static void append_substitutes(struct ht_candidates *row, const struct ht_service_conf *svc,
			       uint64_t flow, unsigned int usable)
{
	const struct ht_target_conf *best[HT_CANDIDATES_MAX];
	unsigned int count = pick_best(best, svc, flow, true);

	for (unsigned int i = usable; i < count; i++)
		row->target[row->count++] = best[i];
}

void ht_placement_candidates(struct ht_candidates *row, const struct ht_service_conf *svc,
			     uint64_t flow)
{
	unsigned int usable = 0;

	row->count = svc ? pick_best(row->target, svc, flow, false) : 0;
	for (unsigned int i = 0; i < row->count; i++)
		usable += !row->target[i]->draining;
	if (usable < row->count)
		append_substitutes(row, svc, flow, usable);
}

unsigned int ht_candidates_index(const struct ht_candidates *row, uint64_t target)
{
	for (unsigned int i = 0; i < row->count; i++)
		if (row->target[i]->id == target)
			return i;
	return HT_ROW_MAX;
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
