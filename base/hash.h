/* Hashing that all instances must agree on, over xxHash. */
#ifndef HT_BASE_HASH_H
#define HT_BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

/** 64-bit hash of @len bytes. */
uint64_t ht_hash(const void *data, size_t len);

/** 64-bit hash of a string; the identity of instances, services and targets. */
uint64_t ht_hash_str(const char *s);

/** Mixes two 64-bit values into one. */
uint64_t ht_hash_pair(uint64_t a, uint64_t b);

/**
 * Score of @member for @key in weighted rendezvous hashing: the member with the highest score
 * wins, and a member's share of keys is proportional to @weight (> 0). A member of weight 0
 * scores 0 and never wins against another.
 */
double ht_rendezvous_score(uint64_t key, uint64_t member, double weight);

#endif
