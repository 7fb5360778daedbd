#include "base/hash.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

uint64_t ht_hash(const void *data, size_t len)
{
	return XXH3_64bits(data, len);
}

uint64_t ht_hash_str(const char *s)
{
	return ht_hash(s, strlen(s));
}

uint64_t ht_hash_pair(uint64_t a, uint64_t b)
{
	return XXH3_64bits_withSeed(&a, sizeof(a), b);
}

double ht_rendezvous_score(uint64_t key, uint64_t member, double weight)
{
	/* The mantissa of a double has 53 bits. Adding 0.5 keeps u inside (0, 1), where its
	 * logarithm is finite and not 0. */
	double u = ((double)(ht_hash_pair(key, member) >> 11) + 0.5) / 9007199254740992.0;

	return weight > 0 ? weight / -log(u) : 0;
}
