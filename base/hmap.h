/* Intrusive hash map. Keys stay in the objects: a lookup walks the chain of one hash. */
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

/** False when out of memory. */
bool ht_hmap_init(struct ht_hmap *map);
/** Frees the buckets; the objects belong to the caller. */
void ht_hmap_clear(struct ht_hmap *map);

/** Adds @node, newest first. Grows when it can; without memory the chains only get longer. */
void ht_hmap_add(struct ht_hmap *map, struct ht_hnode *node, uint64_t hash);
void ht_hmap_del(struct ht_hmap *map, struct ht_hnode *node);

/** Visits the chain in which nodes with @hash stand, together with others. */
#define ht_hmap_for_each(pos, map, hash)                                                           \
	for (pos = (map)->buckets[(hash) & (map)->mask]; pos; pos = (pos)->next)

#endif
