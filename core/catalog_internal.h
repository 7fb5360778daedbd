/* What the parts of the catalogue share: catalog.c (targets) and catalog_routes.c. */
#ifndef HT_CORE_CATALOG_INTERNAL_H
#define HT_CORE_CATALOG_INTERNAL_H

#include "core/catalog.h"

/** Configurations from which a difference can be told: a change each 0.3 s for ten seconds. */
#define HT_CATALOG_ROUTES_HELD 32

struct ht_catalog {
	struct ht_list services, dcs, targets;
	struct ht_catalog_observer observer;
	struct ht_hmap by_name, by_mark, routes;
	struct ht_routes_id in_force;
	/*
	 * The last configurations in force, as a ring: number n is at n - 1. Those before
	 * routes_first can no longer be told as differences.
	 */
	struct ht_revision routes_held[HT_CATALOG_ROUTES_HELD];
	uint64_t routes_number, routes_first;
	struct ht_list routes_gone; /* oldest first */
	struct {
		uint64_t number;
		uint64_t begun; /* earliest revision seen in it, or UINT64_MAX */
		uint64_t known; /* everything was known up to here in the era before */
		ht_ms since;
		bool lapsed; /* what the copy held of silent targets has lapsed since */
	} era;
	struct ht_revision history;
	size_t target_count, restored;
};

/** Finds the service or adds it; NULL when out of memory. */
struct ht_service *ht_catalog_service(struct ht_catalog *cat, const char *name);
void ht_catalog_clear_routes(struct ht_catalog *cat);

#endif
