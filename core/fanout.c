#include "core/fanout.h"

#include "base/hash.h"

void ht_fanout_shuffle(struct ht_fanout_receiver *to, size_t count, uint64_t seed)
{
	for (size_t i = count; i > 1; i--) {
		size_t k = ht_hash_pair(seed, i) % i;
		struct ht_fanout_receiver swap = to[i - 1];

		to[i - 1] = to[k];
		to[k] = swap;
	}
}

size_t ht_fanout_copies(size_t bytes)
{
	size_t copies = bytes ? HT_FANOUT_BYTES / bytes : HT_FANOUT;

	if (copies < HT_FANOUT_MIN)
		return HT_FANOUT_MIN;
	return copies < HT_FANOUT ? copies : HT_FANOUT;
}

size_t ht_fanout_split(const struct ht_fanout_receiver *to, size_t count, size_t copies,
		       struct ht_fanout_group out[HT_FANOUT])
{
	size_t groups = count < copies ? count : copies;

	for (size_t i = 0; i < groups; i++) {
		size_t first = count * i / groups, end = count * (i + 1) / groups;

		out[i] = (struct ht_fanout_group){.to = to + first, .count = end - first};
	}
	return groups;
}
