/* Hash functions based on xxHash. All instances must compute the same values. */
#ifndef HT_BASE_HASH_H
#define HT_BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

/** Returns the 64-bit hash of @len bytes. */
uint64_t ht_hash(const void *data, size_t len);

/** Returns the 64-bit hash of a string. Ids of instances, services and targets are such hashes. */
uint64_t ht_hash_str(const char *s);

/** Returns a hash of two 64-bit values; their order matters. */
uint64_t ht_hash_pair(uint64_t a, uint64_t b);

/**
 * Returns the score of @member for @key in weighted rendezvous hashing. A key is assigned to the
 * member with the highest score, so that a member's share of the keys is proportional to @weight.
 * A member of weight 0 has the score 0 and loses against every member of positive weight.
 */
double ht_rendezvous_score(uint64_t key, uint64_t member, double weight);

#endif
