/*
 * Intrusive hash map with chaining. It knows hashes but no keys: a lookup walks the chain of a
 * hash, and the caller compares the keys in its objects.
 */
#ifndef HT_BASE_HMAP_H
#define HT_BASE_HMAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ht_hnode {
	struct ht_hnode *next;
	uint64_t hash;
};

struct ht_hmap {
	struct ht_hnode **buckets;
	size_t mask, count;
};

/** Returns false when out of memory. */
bool ht_hmap_init(struct ht_hmap *map);
/** Frees the buckets, but not the objects: they belong to the caller. */
void ht_hmap_clear(struct ht_hmap *map);

/**
 * Adds @node at the head of its chain. If there is no memory for a larger bucket array, chains get
 * longer, and the map still works.
 */
void ht_hmap_add(struct ht_hmap *map, struct ht_hnode *node, uint64_t hash);
/** Removes @node; does nothing if it is not in the map. */
void ht_hmap_del(struct ht_hmap *map, struct ht_hnode *node);

/** Visits all nodes with @hash; nodes with other hashes in the same bucket are visited as well. */
#define ht_hmap_for_each(pos, map, hash)                                                           \
	for (pos = (map)->buckets[(hash) & (map)->mask]; pos; pos = (pos)->next)

#endif
