/* Shared by catalog.c (targets), catalog_routes.c and catalog_evacuations.c. */
#ifndef HT_CORE_CATALOG_INTERNAL_H
#define HT_CORE_CATALOG_INTERNAL_H

#include "core/catalog.h"

/** Configurations kept as a base of differences: one change every 0.3 s for 10 s. */
#define HT_CATALOG_ROUTES_RING 32

struct ht_catalog {
	struct ht_list services, dcs, targets;
	struct ht_catalog_observer observer;
	struct ht_hmap by_name, by_mark, routes;
	struct ht_routes_id in_force;
	bool incomplete; /* routes of the configuration in force could not be read */
	bool verified;	 /* the configuration in force was read at HT_READING_LEVEL */
	/*
	 * Ring buffer of the revisions of the last configurations: number n is at index n - 1.
	 * Differences to those before routes_first are not available.
	 */
	struct ht_revision routes_ring[HT_CATALOG_ROUTES_RING];
	uint64_t routes_number, routes_first;
	struct ht_list routes_removed; /* oldest first */
	struct {
		uint64_t number;
		uint64_t first_revision; /* earliest one known, or UINT64_MAX */
		uint64_t known_before;	 /* the previous era is known up to this revision */
		ht_ms began_at;
		bool lapsed; /* since then, entries of dead targets have expired */
	} era;
	struct ht_revision evacuations; /* latest change; number 0: none */
	struct ht_revision history;
	size_t target_count, restored;
};

/** Finds or adds the service; NULL when out of memory. */
struct ht_service *ht_catalog_service(struct ht_catalog *cat, const char *name);
/** Finds or adds the data centre; NULL when out of memory. */
struct ht_dc *ht_catalog_dc(struct ht_catalog *cat, const char *name);
/** Lists or unlists @target after a change of its data centre. */
void ht_catalog_update_eligible(struct ht_target *target, ht_ms now);
/** The era has lasted for so long that its entries hold, for evacuations too. */
void ht_catalog_settle_evacuations(struct ht_catalog *cat, ht_ms now);
void ht_catalog_clear_routes(struct ht_catalog *cat);

#endif
