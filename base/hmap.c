#include "base/hmap.h"

#include <stdlib.h>

#define FIRST_BUCKETS ((size_t)64)

bool ht_hmap_init(struct ht_hmap *map)
{
	*map = (struct ht_hmap){
		.buckets = calloc(FIRST_BUCKETS, sizeof(struct ht_hnode *)),
		.mask = FIRST_BUCKETS - 1,
	};
	return map->buckets;
}

void ht_hmap_clear(struct ht_hmap *map)
{
	free(map->buckets);
	*map = (struct ht_hmap){0};
}

static void push(struct ht_hnode **bucket, struct ht_hnode *node)
{
	node->next = *bucket;
	*bucket = node;
}

static void grow(struct ht_hmap *map)
{
	size_t n = (map->mask + 1) * 2;
	struct ht_hnode **buckets = calloc(n, sizeof(struct ht_hnode *));

	if (!buckets)
		return;
	for (size_t i = 0; i <= map->mask; i++) {
		struct ht_hnode *node = map->buckets[i], *next;

		for (; node; node = next) {
			next = node->next;
			push(&buckets[node->hash & (n - 1)], node);
		}
	}
	free(map->buckets);
	map->buckets = buckets;
	map->mask = n - 1;
}

void ht_hmap_add(struct ht_hmap *map, struct ht_hnode *node, uint64_t hash)
{
	if (map->count > map->mask)
		grow(map);
	node->hash = hash;
	push(&map->buckets[hash & map->mask], node);
	map->count++;
}

void ht_hmap_del(struct ht_hmap *map, struct ht_hnode *node)
{
	struct ht_hnode **at = &map->buckets[node->hash & map->mask];

	while (*at && *at != node)
		at = &(*at)->next;
	if (!*at)
		return;
	*at = node->next;
	map->count--;
}
