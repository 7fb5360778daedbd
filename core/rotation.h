/*
 * Decides whether the instance stays in the routers' rotation while it has a complete view. When
 * all instances of a data centre have left, the routers send its callers through other data
 * centres.
 */
#ifndef HT_CORE_ROTATION_H
#define HT_CORE_ROTATION_H

#include "core/catalog.h"
#include "core/neighbours.h"

enum ht_rotation {
	HT_ROTATION_IN,
	/** Out: its data centre is evacuated, and instances near the other targets take over. */
	HT_ROTATION_EVACUATED,
	/** Out: its data centre has no targets, and no data centre that has some responds. */
	HT_ROTATION_STRANDED,
};

/** @view_age: since the own view was last proven, or HT_NEVER. */
enum ht_rotation ht_rotation_decide(const struct ht_catalog *cat,
				    const struct ht_neighbours *neighbours, ht_ms view_age,
				    ht_ms now);

#endif
