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
	uint64_t version, routes_revision;
	/* Revisions of the last configurations in force, this one included, as a ring. */
	uint64_t routes_held[HT_CATALOG_ROUTES_HELD];
	size_t routes_held_count;
	struct ht_list routes_gone; /* oldest first */
	uint64_t history;
	size_t target_count;
};

/** Finds the service or adds it; NULL when out of memory. */
struct ht_service *ht_catalog_service(struct ht_catalog *cat, const char *name);
void ht_catalog_clear_routes(struct ht_catalog *cat);

#endif
