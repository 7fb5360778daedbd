#include "base/hmap.h"

#include <stdlib.h>

#define FIRST_BUCKETS ((size_t)64)

static struct ht_list *new_buckets(size_t n)
{
	struct ht_list *buckets = calloc(n, sizeof(*buckets));

	for (size_t i = 0; buckets && i < n; i++)
		ht_list_init(&buckets[i]);
	return buckets;
}

bool ht_hmap_init(struct ht_hmap *map)
{
	*map = (struct ht_hmap){.buckets = new_buckets(FIRST_BUCKETS), .mask = FIRST_BUCKETS - 1};
	return map->buckets;
}

void ht_hmap_clear(struct ht_hmap *map)
{
	free(map->buckets);
	*map = (struct ht_hmap){0};
}

static void grow(struct ht_hmap *map)
{
	size_t n = (map->mask + 1) * 2;
	struct ht_list *buckets = new_buckets(n), *old = map->buckets;

	if (!buckets)
		return;
	for (size_t i = 0; i <= map->mask; i++) {
		struct ht_list *pos, *tmp;

		ht_list_for_each_safe (pos, tmp, &old[i]) {
			struct ht_hnode *node = ht_container_of(pos, struct ht_hnode, link);

			ht_list_del(pos);
			ht_list_add_tail(&buckets[node->hash & (n - 1)], pos);
		}
	}
	map->buckets = buckets;
	map->mask = n - 1;
	free(old);
}

void ht_hmap_add(struct ht_hmap *map, struct ht_hnode *node, uint64_t hash)
{
	if (map->count > map->mask)
		grow(map);
	node->hash = hash;
	ht_list_add_head(ht_hmap_chain(map, hash), &node->link);
	map->count++;
}

void ht_hmap_del(struct ht_hmap *map, struct ht_hnode *node)
{
	ht_list_del(&node->link);
	map->count--;
}
